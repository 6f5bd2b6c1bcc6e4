"""Request forwarding: routing, choice of an instance, attempts, response.

A request that is not idempotent is sent to another instance only if it was not
sent to the previous one, or if that one reports that it did not run it. While
this gateway is cut off from a service, other gateways forward its requests.
"""

import asyncio
import collections.abc
import contextlib
import functools
import typing

from honeyport.bundle import model
from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import balancer
from honeyport.gateway import connectivity
from honeyport.gateway import detours
from honeyport.gateway import exchanges
from honeyport.gateway import forwarded
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import instance_signals
from honeyport.gateway import lease_gate
from honeyport.gateway import pool
from honeyport.gateway import request_log
from honeyport.gateway import routes
from honeyport.gateway import silence_timeout
from honeyport.gateway import stream_directory
from honeyport.gateway import withdrawals
from honeyport.policy import begun_streams
from honeyport.policy import fingerprints
from honeyport.policy import placement
from honeyport.policy import repeats
from honeyport.policy import silence
from honeyport.policy import suspicion
from honeyport.router import fleetstate
from honeyport.router import suspects
from honeyport.router import witness
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Attempts for one request, refusals included.
_MAX_OFFERS = 3
# Retry-After for refusals without a specific time, in seconds.
_RETRY_AFTER_S = 0.3
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
# Statuses that callers take as "the request was not run".
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MIN_FAILURE_STATUS = 500

# Returns the exchange of a request, or raises the reason to refuse it.
Admit = collections.abc.Callable[
    [], collections.abc.Awaitable[exchanges.Exchange]
]
# Sends a request and returns the response.
Send = collections.abc.Callable[
    [], collections.abc.Awaitable[attempt.Response]
]


class Forwarder:
    """Forwards requests of callers to instances.

    :param state: this instance's view of the fleet
    :param gate: admits requests while the lease is valid
    :param signals: backoffs and departures that instances announced
    :param budgets: retry budgets by service
    :param detector: detects instances that ended with requests running
    :param suspect_tracker: permits for requests that may crash instances
    :param monitor: the services that this gateway is cut off from
    :param peer_detours: sends requests through other gateways
    :param streams: knows which software versions began streams
    """

    def __init__(
        self,
        state: fleetstate.FleetState,
        gate: lease_gate.LeaseGate,
        names: gateway_headers.HeaderNames,
        load_balancer: balancer.Balancer,
        signals: instance_signals.InstanceSignals,
        connection_pool: pool.Pool,
        budgets: repeats.RetryBudgets,
        detector: witness.EndDetector,
        suspect_tracker: suspects.SuspectTracker,
        monitor: connectivity.ConnectivityMonitor,
        peer_detours: detours.Detours,
        streams: stream_directory.StreamDirectory,
        counters: metrics.Metrics,
    ) -> None:
        self._state = state
        self._gate = gate
        self._names = names
        self._balancer = load_balancer
        self._signals = signals
        self._pool = connection_pool
        self._metrics = counters
        self._table: routes.Table | None = None
        self._budgets = budgets
        self._end_detector = detector
        self._suspects = suspect_tracker
        self._withdrawals = withdrawals.Withdrawals(suspect_tracker)
        self._connectivity = monitor
        self._detours = peer_detours
        self._streams = streams
        self._request_log = request_log.RequestLog(state, counters)
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    async def serve(
        self, request: gateway_headers.Request, reply: exchanges.Reply
    ) -> None:
        """Answer a request of a caller, and log its outcome."""

        async def admit() -> exchanges.Exchange:
            waited_s = await self._gate.wait_until_open(request.deadline)
            exchange = await self._create_exchange(request, reply)
            exchange.waited_s = waited_s
            return exchange

        await self._serve(request, reply, admit, origin='')

    async def serve_forwarded(
        self, request: gateway_headers.Request, reply: forwarded.PeerReply
    ) -> None:
        """Answer a request for another gateway, and log its outcome."""

        async def admit() -> exchanges.Exchange:
            reply.exchange = self._create_forwarded(request, reply)
            return reply.exchange

        await self._serve(request, reply, admit, origin=reply.call.origin)

    async def _serve(
        self,
        request: gateway_headers.Request,
        reply: exchanges.Reply,
        admit: Admit,
        *,
        origin: str,
    ) -> None:
        self._running += 1
        exchange: exchanges.Exchange | None = None
        log = functools.partial(self._request_log.record, origin=origin)
        try:
            exchange = await admit()
            await self._run(exchange)
            log(events.REQUEST_SERVED, request, exchange)
        except errors.HoneyportError as error:
            is_refused = error.ran is False
            event = (
                events.REQUEST_REFUSED if is_refused else events.REQUEST_BROKEN
            )
            log(event, request, exchange, error)
            await reply.refuse(error)
        except asyncio.CancelledError:
            log(events.REQUEST_ABANDONED, request, exchange)
            raise
        finally:
            self._running -= 1

    def table(self) -> routes.Table:
        """Return the routes of the configuration in force.

        :raises errors.NotReady: without a configuration or a lease
        """
        self._gate.check_lease()
        bundle = self._state.bundle
        if self._table is None or self._table.version != bundle.version:
            self._table = routes.Table(bundle)
        return self._table

    async def _create_exchange(
        self, request: gateway_headers.Request, reply: exchanges.Reply
    ) -> exchanges.Exchange:
        table = self.table()
        match = table.find(request.host, request.path, request.api_key)
        timeout_s = match.route.timeout_ms / 1000
        origin = await self._find_origin(request, match)
        service = (
            origin.service if origin else routes.pick_service(match.route)
        )
        self._budgets.record_request(service, request.received)
        return exchanges.Exchange(
            request,
            reply,
            match,
            service,
            min(request.deadline, request.received + timeout_s),
            table.version,
            fingerprints.compute(
                match.account, request.host, request.target, request.body
            ),
            stream_version=origin.version if origin else None,
            on_begun=self._record_stream,
        )

    async def _find_origin(
        self, request: gateway_headers.Request, match: routes.Match
    ) -> stream_directory.Origin | None:
        """Return what began the stream that a request takes up, if any.

        :raises errors.StreamUnknown: if that is not known, or if the route no
            longer leads there
        """
        if not request.resumes or match.route.semantics != model.STREAMING:
            return None
        origin = await self._streams.find(request, match)
        if origin.service not in match.route.weights:
            raise errors.StreamUnknown(
                f'the stream began at {origin.service}, which {match.name} no '
                'longer leads to',
                retry_after=_RETRY_AFTER_S,
            )
        return origin

    def _record_stream(self, exchange: exchanges.Exchange) -> None:
        """Record the version of a stream that its caller may resume."""
        request = exchange.request
        if not exchange.match.route.resumable or not request.request_id:
            return
        self._streams.record(
            begun_streams.BegunStream(
                request.request_id,
                exchange.service,
                exchange.attempt_version,
                request.deadline,
            )
        )

    def _create_forwarded(
        self, request: gateway_headers.Request, reply: forwarded.PeerReply
    ) -> exchanges.Exchange:
        """Return the exchange of a request that another gateway admitted.

        :raises errors.NotReady: if the configuration here is older, or has no
            such route, client account or service
        """
        call = reply.call
        table = self.table()
        if table.version < call.config_version:
            raise errors.NotReady(
                f'version {call.config_version} is not in force here yet',
                retry_after=_RETRY_AFTER_S,
            )
        try:
            match = table.find_by_name(call.route, call.account)
        except (errors.UnknownRoute, errors.UnknownAccount) as error:
            raise errors.NotReady(
                f'version {table.version} does not admit it: {error.detail}',
                retry_after=_RETRY_AFTER_S,
            ) from None
        if call.service not in match.route.weights:
            raise errors.NotReady(
                f'version {table.version} routes {call.route} elsewhere',
                retry_after=_RETRY_AFTER_S,
            )
        return exchanges.Exchange(
            request,
            reply,
            match,
            call.service,
            call.deadline,
            table.version,
            fingerprints.compute(
                match.account, request.host, request.target, request.body
            ),
            origin=call.origin,
            tried=set(call.tried),
            offers=call.offers,
            stream_version=call.version,
            # The caller's gateway has counted the attempt that follows.
            possible_runs=call.attempt - 1,
        )

    async def _run(self, exchange: exchanges.Exchange) -> None:
        """Try instances until there is a final response.

        :raises errors.DeadlinePassed: if time is over and it may have run
        :raises errors.Overloaded: if time is over and it did not run
        """
        try:
            async with asyncio.timeout_at(exchange.deadline):
                await self._try_instances(exchange)
        except TimeoutError:
            if exchange.may_have_run:
                error = errors.DeadlinePassed()
                self._notify_end_detector(exchange, error)
                raise error from None
            raise errors.Overloaded(retry_after=_RETRY_AFTER_S) from None

    async def _try_instances(self, exchange: exchanges.Exchange) -> None:
        while True:
            try:
                await self._try_once(exchange)
                return
            except errors.HoneyportError as error:
                if self._may_retry(exchange, error):
                    exchange.splitter.discard_partial()
                    continue
                if exchange.failed_response is None:
                    raise _error_for_all_attempts(exchange, error) from None
                await self._write_response(exchange, exchange.failed_response)
                return

    async def _try_once(self, exchange: exchanges.Exchange) -> None:
        """Send the request to an instance, or through another gateway.

        :raises errors.HoneyportError: if it was not answered
        """
        exchange.via = ''
        choice = None
        if not self._connectivity.is_direct(exchange.service):
            choice = self._choose_connected(exchange)
            if choice is None and self._needs_detour(exchange):
                await self._try_other_gateway(exchange)
                return
        async with self._hold_permit(exchange):
            await self._try_next_instance(exchange, choice)

    def _needs_detour(self, exchange: exchanges.Exchange) -> bool:
        """Whether a request must not open a connection to an instance.

        Right after this gateway was cut off, some requests take the detour so
        that not all open connections at once, if there is a detour.
        """
        if self._connectivity.is_cut_off(exchange.service):
            return True
        return not exchange.origin and bool(
            self._detours.reached_by(exchange.service)
        )

    def _choose_connected(
        self, exchange: exchanges.Exchange
    ) -> placement.Choice | None:
        """Choose an instance; ``None`` without a connection to it."""
        try:
            choice = self._choose(exchange)
        except errors.NoInstance:
            return None
        has_connection = self._connectivity.has_connection(choice.instance)
        return choice if has_connection else None

    def _choose(self, exchange: exchanges.Exchange) -> placement.Choice:
        """Choose an instance.

        :raises errors.NoInstance: if no instance can take it now
        """
        return self._balancer.choose(
            exchange.service,
            exchange.parts,
            exchange.tried,
            exchange.match.regions,
            exchange.stream_version,
        )

    async def _try_other_gateway(self, exchange: exchanges.Exchange) -> None:
        """Send the request through another gateway; pass on its response.

        :raises errors.HoneyportError: if it was not answered
        """
        self._check_admitted(exchange)
        self._suspects.check_not_barred(exchange.traits)
        exchange.choice = None
        if exchange.origin:
            raise errors.ServiceUnreachable(
                f'{exchange.service} cannot be reached from here',
                retry_after=_RETRY_AFTER_S,
            )
        try:
            member = self._detours.choose(exchange)
        except errors.ServiceUnreachable as error:
            # Not the refusal itself, after which another gateway is tried.
            refusal = exchange.refusal
            if refusal is None:
                raise
            raise errors.ServiceUnreachable(
                f'{error.detail}; last refusal: {refusal.detail}',
                retry_after=refusal.retry_after or error.retry_after,
            ) from None
        exchange.via = member.router
        exchange.failed_response = None
        exchange.possible_runs += 1
        try:
            response = await self._within_silence_timeouts(
                exchange, lambda: self._detours.send(exchange, member)
            )
            response = self._check_response(exchange, response)
        except errors.HoneyportError as error:
            if error.ran is False:
                exchange.possible_runs -= 1
            if isinstance(error, detours.FAILURES):
                exchange.failed_gateways.add(member.router)
                exchange.refusal = error
            else:
                exchange.offers += 1
            self._log_failed_attempt(exchange, error, via=member.router)
            raise
        exchange.offers += 1
        await self._write_response(exchange, response)

    def _check_admitted(self, exchange: exchanges.Exchange) -> None:
        """Check that the configuration still admits a request.

        Called for each attempt: routes and keys may have been removed.

        :raises errors.HoneyportError: if it does not
        """
        request = exchange.request
        table = self.table()
        if not exchange.origin:
            table.find(request.host, request.path, request.api_key)

    @contextlib.asynccontextmanager
    async def _hold_permit(
        self, exchange: exchanges.Exchange
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a permit for a request that may crash its instance.

        :raises errors.HoneyportError: if it may not be sent now
        """
        # If each possible run crashed its instance, the request needs a permit
        # or its parts may be barred. So wait until it is known whether the
        # last one did, and what follows from it.
        is_in_question = (
            exchange.possible_runs > 0
            and self._suspects.is_under_suspicion(exchange.traits)
        )
        if (
            is_in_question
            or exchange.possible_runs >= suspicion.PERMIT_MIN_ENDS
        ):
            await self._end_detector.wait_probed(exchange.instance_id)
        if is_in_question:
            await self._suspects.wait_decided()
        async with self._suspects.admit(
            exchange.traits,
            lambda call: self._end_detector.call_when_probed(
                exchange.instance_id, call
            ),
        ) as exchange.has_permit:
            yield

    async def _try_next_instance(
        self, exchange: exchanges.Exchange, choice: placement.Choice | None
    ) -> None:
        """Send the request to one instance and pass on its response.

        :param choice: ``None`` to choose an instance
        :raises errors.HoneyportError: if that instance did not answer it
        """
        self._check_admitted(exchange)
        exchange.choice = choice or self._choose(exchange)
        instance = exchange.choice.instance
        exchange.attempt_version = instance.version
        with self._balancer.count_in_flight(instance):
            try:
                response = await self._send(exchange, instance)
            except errors.HoneyportError as error:
                self._handle_failure(exchange, instance, error)
                raise
        self._balancer.record_success(instance, exchange.parts)
        if response.head.is_success:
            self._suspects.record_success(exchange.traits, exchange.sent_at)
        await self._write_response(exchange, response)

    async def _send(
        self, exchange: exchanges.Exchange, instance: placement.Instance
    ) -> attempt.Response:
        """Connect to an instance, send the request and check its response."""
        exchange.tried.add(instance.id)
        exchange.offers += 1
        started_at = asyncio.get_running_loop().time()
        connection = await self._pool.acquire(instance)
        exchange.connect_s += asyncio.get_running_loop().time() - started_at
        is_released = False
        try:
            # Checked again after connecting: the lease may have expired, the
            # instance may have requested a backoff, or the request may have
            # been barred meanwhile.
            self._gate.check_lease()
            self._signals.check_not_in_backoff(instance)
            if not exchange.has_permit:
                self._suspects.check_not_barred(exchange.traits)
            exchange.failed_response = None
            exchange.possible_runs += 1
            exchange.arrived.append(instance.id)
            response = await self._attempt(exchange, connection)
            keep_alive_s = attempt.keep_alive_s(response.head)
            if keep_alive_s != 0:
                self._pool.release(connection, keep_alive_s)
                is_released = True
        finally:
            if not is_released:
                connection.close()
        return self._check_response(exchange, response)

    async def _attempt(
        self, exchange: exchanges.Exchange, connection: pool.Connection
    ) -> attempt.Response:
        """Return the response of an instance."""
        headers = exchange.headers(self._names, connection.instance)
        exchange.sent_at = sent_at = asyncio.get_running_loop().time()
        single_attempt = attempt.Attempt(
            connection,
            self._names,
            exchange,
            lambda head: self._observe(connection.instance, head, sent_at),
        )
        return await self._within_silence_timeouts(
            exchange,
            lambda: self._withdrawals.run(
                exchange, lambda: single_attempt.run(exchange.request, headers)
            ),
        )

    def _observe(
        self, instance: placement.Instance, head: attempt.Head, sent_at: float
    ) -> None:
        """Process the head of a response on a connection."""
        self._signals.observe(instance, head, sent_at)
        self._balancer.record_answer(
            instance,
            gateway_headers.parse_load(head.headers.get(self._names.load, '')),
            is_rejected=head.status == _UNAVAILABLE_STATUS
            and self._names.not_run in head.headers,
        )

    async def _within_silence_timeouts(
        self, exchange: exchanges.Exchange, send: Send
    ) -> attempt.Response:
        """Send a request and return the response.

        :raises errors.BackendSilent: if nothing arrives in time and the
            request may be sent to another instance
        """
        timeouts = None
        if exchange.may_repeat:
            timeouts = silence.timeouts(exchange.match.route)
        try:
            async with silence_timeout.SilenceTimeout(
                timeouts
            ) as exchange.idle_timer:
                return await send()
        except TimeoutError:
            raise errors.BackendSilent(
                f'no bytes received in time: {timeouts}'
            ) from None

    def _check_response(
        self, exchange: exchanges.Exchange, response: attempt.Response
    ) -> attempt.Response:
        """Return the response if it may be passed on.

        :raises errors.NotExecuted: if the instance did not run the request
        :raises errors.AttemptFailed: if the request ran and failed
        """
        head = response.head
        if head.status == _MISDIRECTED_STATUS:
            exchange.possible_runs -= 1
            raise errors.Misdirected(retry_after=_RETRY_AFTER_S)
        if self._names.not_run in head.headers:
            exchange.possible_runs -= 1
            raise errors.NotExecuted(
                f'status {head.status}', retry_after=_RETRY_AFTER_S
            )
        has_not_run_status = head.status in _NOT_RUN_STATUSES
        if head.status < _MIN_FAILURE_STATUS and not has_not_run_status:
            return response
        # Without the header, a status that callers take as "not run" is not
        # passed on: the request may have run.
        is_started = exchange.reply.is_started
        if not has_not_run_status and not is_started:
            exchange.failed_response = response
            if not exchange.may_repeat:
                return response
        raise errors.AttemptFailed(f'status {head.status}')

    def _handle_failure(
        self,
        exchange: exchanges.Exchange,
        instance: placement.Instance,
        error: errors.HoneyportError,
    ) -> None:
        """Log a failed attempt; avoid the instance if it is at fault."""
        self._log_failed_attempt(
            exchange,
            error,
            backend=instance.id,
            address=instance.address,
            left_out=self._balancer.count_excluded(
                exchange.service,
                exchange.tried,
                exchange.match.regions,
                exchange.stream_version,
            ),
        )
        self._notify_end_detector(exchange, error)
        # Misdirected: another instance has this address and the list is
        # outdated. Offered again and again, requests would use up the budget.
        not_connected = isinstance(error, (errors.NotSent, errors.Misdirected))
        if not_connected or isinstance(error, errors.BackendLost):
            # A connection that cannot be made may be this gateway's fault.
            self._balancer.record_failure(
                instance,
                error.code,
                connected=not not_connected,
                confirmed=not isinstance(error, errors.NotSent),
            )

    def _log_failed_attempt(
        self,
        exchange: exchanges.Exchange,
        error: errors.HoneyportError,
        **fields: typing.Any,
    ) -> None:
        logs.emit(
            events.ATTEMPT_FAILED,
            request=exchange.request.request_id,
            code=error.code,
            detail=error.detail,
            offers=exchange.offers,
            fingerprint=exchange.fingerprint,
            **fields,
        )
        self._metrics.count('attempts_failed', code=error.code)

    def _notify_end_detector(
        self, exchange: exchanges.Exchange, error: errors.HoneyportError
    ) -> None:
        """Report a failed attempt to the end detector."""
        if exchange.choice is None:
            return
        instance = exchange.choice.instance
        if isinstance(error, (errors.BackendSilent, errors.DeadlinePassed)):
            self._end_detector.record_timeout(instance, exchange.traits)
        elif isinstance(error, (errors.BackendLost, errors.RequestWithdrawn)):
            # A request that was withdrawn may have run until then.
            self._end_detector.record_broken(instance, exchange.traits)
        elif isinstance(error, errors.ConnectionRefused):
            self._end_detector.record_refused(instance)
        elif isinstance(error, errors.Misdirected):
            self._end_detector.record_gone(instance.id, witness.ADDRESS_REUSED)

    def _may_retry(
        self, exchange: exchanges.Exchange, error: errors.HoneyportError
    ) -> bool:
        """Whether another instance may be tried after an error."""
        if isinstance(error, errors.InstanceRests):
            return True
        if exchange.offers >= _MAX_OFFERS:
            return False
        if exchange.via and isinstance(error, detours.REFUSALS):
            return len(exchange.failed_gateways) < detours.MAX_GATEWAYS
        if isinstance(error, errors.NotSent):
            return True
        if isinstance(error, errors.NotExecuted):
            # The other gateway has made the offers that are allowed.
            return not exchange.via and self._try_spend(exchange)
        retryable = (
            errors.AnswerCut,
            errors.AttemptFailed,
            errors.BackendLost,
            errors.ForeignAnswer,
            errors.PeerLost,
        )
        if not isinstance(error, retryable) or not exchange.may_repeat:
            return False
        if exchange.origin:
            return False  # the caller's gateway decides
        return self._try_spend(exchange)

    def _try_spend(self, exchange: exchanges.Exchange) -> bool:
        """Take one retry from the budget; return whether there was one."""
        now = asyncio.get_running_loop().time()
        is_allowed = self._budgets.try_spend(exchange.service, now)
        if not is_allowed:
            logs.emit(
                events.ALLOWANCE_SPENT,
                request=exchange.request.request_id,
                service=exchange.service,
                offers=exchange.offers,
                gateways=len(self._state.serving_routers),
            )
            self._metrics.count('allowance_spent', service=exchange.service)
        return is_allowed

    async def _write_response(
        self, exchange: exchanges.Exchange, response: attempt.Response
    ) -> None:
        if not response.is_relayed:
            await exchange.reply.send_response(response.head, response.body)
            return
        partial = exchange.splitter.partial()
        if partial:
            await exchange.reply.write(partial)
        await exchange.reply.end()


def _error_for_all_attempts(
    exchange: exchanges.Exchange, error: errors.HoneyportError
) -> errors.HoneyportError:
    """Return an error that holds for all attempts, not only the last.

    Without it, a refusal of the last attempt would say "not run" though an
    earlier attempt may have run. A gateway that forwards the request for
    another one reports its own attempt.
    """
    if exchange.origin:
        return error
    if error.ran is False and exchange.may_have_run:
        return errors.BackendLost(
            f'an earlier attempt may have run; last attempt: {error.detail}'
        )
    return error
