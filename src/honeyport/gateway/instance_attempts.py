"""Attempts of a request on instances: choice, connection, outcome."""

import asyncio
import collections.abc
import contextlib
import functools

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import balancer
from honeyport.gateway import crash_guard
from honeyport.gateway import exchange_factory
from honeyport.gateway import exchanges
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import instance_signals
from honeyport.gateway import lease_gate
from honeyport.gateway import pool
from honeyport.gateway import prepared
from honeyport.gateway import request_log
from honeyport.gateway import responses
from honeyport.gateway import slot_queues
from honeyport.gateway import withdrawals
from honeyport.policy import activity
from honeyport.policy import placement
from honeyport.policy import silence

_UNAVAILABLE_STATUS = 503


class InstanceAttempts:
    """Sends requests to instances of their service.

    :param gate: admits requests while the lease is valid
    :param names: header names
    :param signals: backoffs and departures that instances announced
    :param factory: checks that the configuration still admits a request
    :param guard: holds back requests that may crash their instance
    :param withdrawn: withdraws requests that are barred meanwhile
    :param queues: gets slots of services that have a shared queue
    :param tracker: records when instances send
    """

    def __init__(
        self,
        gate: lease_gate.LeaseGate,
        names: gateway_headers.HeaderNames,
        load_balancer: balancer.Balancer,
        signals: instance_signals.InstanceSignals,
        connection_pool: pool.Pool,
        factory: exchange_factory.ExchangeFactory,
        guard: crash_guard.CrashGuard,
        withdrawn: withdrawals.Withdrawals,
        log: request_log.RequestLog,
        queues: slot_queues.SlotQueues,
        tracker: activity.ActivityTracker,
    ) -> None:
        self._gate = gate
        self._names = names
        self._balancer = load_balancer
        self._signals = signals
        self._pool = connection_pool
        self._exchanges = factory
        self._crash_guard = guard
        self._withdrawals = withdrawn
        self._request_log = log
        self._queues = queues
        self._activity = tracker

    def choose(
        self,
        exchange: exchanges.Exchange,
        only: str | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> placement.Choice:
        """Choose an instance.

        :param only: id of the only instance to choose; ``None`` for any
        :param excluded: ids of instances that are not chosen
        :raises errors.NoInstance: if no instance can take it now
        """
        return self._balancer.choose(
            exchange.service,
            exchange.parts,
            exchange.tried | excluded,
            exchange.match.regions,
            exchange.stream_version,
            only,
        )

    def _find_allowed(
        self,
        exchange: exchanges.Exchange,
        choice: placement.Choice | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> frozenset[str]:
        """Return the ids of the instances that it may be sent to now.

        :raises errors.NoInstance: if there is none
        """
        available = self._balancer.available_ids(
            exchange.service,
            exchange.tried | excluded,
            exchange.match.regions,
            exchange.stream_version,
        )
        return available & {choice.instance.id} if choice else available

    def count_available(
        self,
        exchange: exchanges.Exchange,
        excluded: frozenset[str] = frozenset(),
    ) -> int:
        """Return the number of instances that it may be sent to now.

        :param excluded: ids of instances that are not counted
        """
        try:
            return len(self._find_allowed(exchange, excluded=excluded))
        except errors.NoInstance:
            return 0

    async def prepare(
        self,
        exchange: exchanges.Exchange,
        choice: placement.Choice | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> prepared.PreparedAttempt:
        """Get all that an attempt needs: permit, slot, connection.

        An earlier attempt may still be under way.

        :param choice: ``None`` to choose an instance
        :param excluded: ids of instances that are not chosen
        :raises errors.HoneyportError: if it cannot be sent
        """
        async with contextlib.AsyncExitStack() as stack:
            has_permit = await stack.enter_async_context(
                self._crash_guard.hold_permit(exchange)
            )
            self._exchanges.check_admitted(exchange)
            queued_s = exchange.queued_s
            granted = await stack.enter_async_context(
                self._queues.hold(
                    exchange,
                    lambda: self._find_allowed(exchange, choice, excluded),
                )
            )
            if granted is not None or exchange.queued_s > queued_s:
                # Routes and keys may have been removed while it waited.
                self._exchanges.check_admitted(exchange)
                only = granted or (choice.instance.id if choice else None)
                choice = self.choose(exchange, only, excluded)
            choice = choice or self.choose(exchange, excluded=excluded)
            stack.enter_context(
                self._balancer.count_in_flight(choice.instance)
            )
            connection = await self._connect(exchange, choice, has_permit)
            return prepared.PreparedAttempt(
                choice, connection, has_permit, stack.pop_all()
            )

    async def _connect(
        self,
        exchange: exchanges.Exchange,
        choice: placement.Choice,
        has_permit: bool,
    ) -> pool.Connection:
        """Connect to an instance that may get the request.

        :raises errors.HoneyportError: if it may not, or if connecting fails
        """
        instance = choice.instance
        if not exchange.is_under_way:
            exchange.choice = choice
            exchange.offers += 1
        exchange.tried.add(instance.id)
        started_at = asyncio.get_running_loop().time()
        connection: pool.Connection | None = None
        try:
            connection = await self._pool.acquire(instance)
            exchange.connect_s += (
                asyncio.get_running_loop().time() - started_at
            )
            # Checked again after connecting: the lease may have expired, the
            # instance may have requested a backoff, or the request may have
            # been barred meanwhile.
            self._gate.check_lease()
            self._signals.check_not_in_backoff(instance)
            if not has_permit:
                self._crash_guard.check_not_barred(exchange)
        except errors.HoneyportError as error:
            if connection is not None:
                connection.close()
            self._handle_failure(exchange, instance, error)
            self._forget_untaken(exchange, instance)
            raise
        except asyncio.CancelledError:
            self._forget_untaken(exchange, instance)
            raise
        return connection

    def _forget_untaken(
        self, exchange: exchanges.Exchange, instance: placement.Instance
    ) -> None:
        """Allow an instance again that a search did not reach."""
        if exchange.is_under_way:
            exchange.tried.discard(instance.id)

    async def drop(
        self, exchange: exchanges.Exchange, unsent: prepared.PreparedAttempt
    ) -> None:
        """Release an attempt that was prepared and is not made."""
        exchange.tried.discard(unsent.choice.instance.id)
        self._pool.put_back(unsent.connection)
        await unsent.release()

    async def run(
        self, exchange: exchanges.Exchange, ready: prepared.PreparedAttempt
    ) -> None:
        """Send the request to one instance and pass on its response.

        :raises errors.HoneyportError: if that instance did not answer it
        """
        async with ready.resources:
            response = await self._run_once(exchange, ready)
        await responses.write(exchange, response)

    async def _run_once(
        self, exchange: exchanges.Exchange, ready: prepared.PreparedAttempt
    ) -> attempt.Response:
        """Send the request to one instance and return its response."""
        exchange.choice = ready.choice
        exchange.is_silence_recorded = False
        exchange.has_permit = ready.has_permit
        instance = ready.choice.instance
        exchange.attempt_version = instance.version
        try:
            response = await self._send(exchange, ready.connection)
        except errors.HoneyportError as error:
            self._handle_failure(exchange, instance, error)
            raise
        self._balancer.record_success(instance, exchange.parts)
        if response.head.is_success:
            self._crash_guard.record_success(exchange)
        return response

    async def _send(
        self, exchange: exchanges.Exchange, connection: pool.Connection
    ) -> attempt.Response:
        """Send the request and check its response."""
        exchange.failed_response = None
        exchange.possible_runs += 1
        exchange.arrived.append(connection.instance.id)
        is_released = False
        try:
            with self._record_activity(exchange, connection.instance):
                response = await self._attempt(exchange, connection)
            keep_alive_s = attempt.keep_alive_s(response.head)
            if keep_alive_s != 0:
                self._pool.release(connection, keep_alive_s)
                is_released = True
        finally:
            if not is_released:
                connection.close()
        return responses.check(exchange, response, self._names)

    @contextlib.contextmanager
    def _record_activity(
        self, exchange: exchanges.Exchange, instance: placement.Instance
    ) -> collections.abc.Iterator[None]:
        """Record when bytes of an attempt arrive."""
        timeouts = silence.timeouts(exchange.match.route)
        recorded = self._activity.record_sent(
            instance.service,
            instance.id,
            asyncio.get_running_loop().time(),
            silence.recent_s(timeouts.first_byte_s),
        )
        exchange.on_bytes = functools.partial(
            self._activity.record_bytes,
            recorded,
            silence.recent_s(timeouts.gap_s),
        )
        try:
            yield
        finally:
            self._activity.record_ended(recorded)

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
            lambda head: self._observe(
                exchange, connection.instance, head, sent_at
            ),
        )
        return await responses.watch_silence(
            exchange,
            lambda: self._withdrawals.run(
                exchange, lambda: single_attempt.run(exchange.request, headers)
            ),
        )

    def record_silence(self, exchange: exchanges.Exchange) -> None:
        """Avoid the instance of an attempt that is silent, though it goes on.

        Nothing is known about an instance that another gateway chose.
        """
        if exchange.via or exchange.is_silence_recorded:
            return
        assert exchange.choice is not None
        exchange.is_silence_recorded = True
        self._balancer.record_failure(
            exchange.choice.instance, errors.BackendSilent.code
        )

    def _observe(
        self,
        exchange: exchanges.Exchange,
        instance: placement.Instance,
        head: attempt.Head,
        sent_at: float,
    ) -> None:
        """Process the head of a response on a connection."""
        self._signals.observe(instance, head, sent_at)
        exchange.reported_load = head.headers.get(self._names.load, '')
        load = gateway_headers.parse_load(exchange.reported_load)
        self._queues.record_load(load)
        self._balancer.record_answer(
            instance,
            load,
            is_rejected=head.status == _UNAVAILABLE_STATUS
            and self._names.not_run in head.headers,
        )

    def _handle_failure(
        self,
        exchange: exchanges.Exchange,
        instance: placement.Instance,
        error: errors.HoneyportError,
    ) -> None:
        """Log a failed attempt; avoid the instance if it is at fault."""
        self._request_log.record_failed_attempt(
            exchange,
            error,
            backend=instance.id,
            address=instance.address,
            available=self.count_available(exchange),
            left_out=self._balancer.count_excluded(
                exchange.service,
                exchange.tried,
                exchange.match.regions,
                exchange.stream_version,
            ),
        )
        self._crash_guard.record_failure(exchange, instance, error)
        if exchange.is_silence_recorded and isinstance(
            error, errors.BackendSilent
        ):
            return
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
