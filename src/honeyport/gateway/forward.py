"""The way of a request: route, instance, attempts, final answer.

A request that is not idempotent is sent once. Only where it is proved
that no instance got it, or where the instance says that it did not run
it, may another instance get it.
"""

import asyncio
import collections.abc
import contextlib

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import balancer
from honeyport.gateway import exchanges
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import instance_signals
from honeyport.gateway import lease_gate
from honeyport.gateway import pool
from honeyport.gateway import request_log
from honeyport.gateway import routes
from honeyport.gateway import silence_timeout
from honeyport.policy import fingerprints
from honeyport.policy import placement
from honeyport.policy import repeats
from honeyport.policy import silence
from honeyport.policy import suspicion
from honeyport.router import end_detector
from honeyport.router import fleetstate
from honeyport.router import suspects
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Instances that one request is offered to, refusals included.
_MOST_OFFERS = 3
# For a refusal whose cause names no time, in seconds.
_COME_BACK_S = 0.3
_MISDIRECTED = 421
# What callers take as "not run, and never will be".
_PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
_FIRST_FAILURE = 500


class Forwarder:
    """Serves the requests of this gateway.

    :param state: what this instance knows of the fleet
    :param entrance: says whether it may serve now
    """

    def __init__(
        self,
        state: fleetstate.FleetState,
        entrance: lease_gate.Gate,
        names: gateway_headers.HeaderNames,
        choice: balancer.Balancer,
        asked: instance_signals.InstanceSignals,
        connections: pool.Pool,
        budgets: repeats.RetryBudgets,
        ends: end_detector.EndDetector,
        held: suspects.SuspectTracker,
        counters: metrics.Metrics,
    ) -> None:
        self._state = state
        self._gate = entrance
        self._names = names
        self._balancer = choice
        self._wishes = asked
        self._pool = connections
        self._metrics = counters
        self._table: routes.Table | None = None
        self._budgets = budgets
        self._witness = ends
        self._suspects = held
        self._ledger = request_log.Ledger(state, counters)
        self._running = 0

    @property
    def running(self) -> int:
        """Requests in flight."""
        return self._running

    async def serve(
        self, request: gateway_headers.Request, reply: exchanges.Reply
    ) -> None:
        """Give a request its final answer, and log what decided it."""
        self._running += 1
        exchange: exchanges.Exchange | None = None
        try:
            waited_s = await self._gate.enter(request.deadline)
            exchange = self._admit(request, reply)
            exchange.waited_s = waited_s
            await self._run(exchange)
            self._ledger.note(events.REQUEST_SERVED, request, exchange)
        except errors.HoneyportError as error:
            refused = error.ran is False
            event = (
                events.REQUEST_REFUSED if refused else events.REQUEST_BROKEN
            )
            self._ledger.note(event, request, exchange, error)
            await reply.refuse(error)
        except asyncio.CancelledError:
            self._ledger.note(events.REQUEST_ABANDONED, request, exchange)
            raise
        finally:
            self._running -= 1

    def table(self) -> routes.Table:
        """Return the routes in force here.

        :raises errors.NotReady: without a configuration or a lease
        """
        self._gate.check()
        bundle = self._state.bundle
        if self._table is None or self._table.version != bundle.version:
            self._table = routes.Table(bundle)
        return self._table

    def _admit(
        self, request: gateway_headers.Request, reply: exchanges.Reply
    ) -> exchanges.Exchange:
        table = self.table()
        match = table.find(request.host, request.path, request.api_key)
        timeout_s = match.route.timeout_ms / 1000
        service = routes.pick_service(match.route)
        self._budgets.record_request(service, request.received)
        return exchanges.Exchange(
            request,
            reply,
            match,
            service,
            min(request.deadline, request.received + timeout_s),
            table.version,
            fingerprints.of(
                match.account, request.host, request.target, request.body
            ),
        )

    async def _run(self, exchange: exchanges.Exchange) -> None:
        """Try until there is a final answer, or the time is over."""
        try:
            async with asyncio.timeout_at(exchange.until):
                await self._try_instances(exchange)
        except TimeoutError:
            if exchange.may_have_run:
                error = errors.DeadlinePassed()
                self._testify(exchange, error)
                raise error from None
            raise errors.Overloaded(retry_after=_COME_BACK_S) from None

    async def _try_instances(self, exchange: exchanges.Exchange) -> None:
        while True:
            try:
                async with self._let_in(exchange):
                    await self._offer(exchange)
                return
            except errors.HoneyportError as error:
                if self._may_go_on(exchange, error):
                    exchange.splitter.restart()
                    continue
                if exchange.failure is None:
                    raise _true_of_all(exchange, error) from None
                await self._finish(exchange, exchange.failure)
                return

    @contextlib.asynccontextmanager
    async def _let_in(
        self, exchange: exchanges.Exchange
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a request back if it may end the instance that runs it.

        :raises errors.HoneyportError: if it may not be sent now
        """
        # Unsettled, a copy would go to the next instance while nobody knows
        # whether this request ended the last one.
        if exchange.runs >= suspicion.PERMIT_MIN_ENDS:
            await self._witness.wait_probed(exchange.instance_id)
        async with self._suspects.admit(
            exchange.fingerprint,
            lambda call: self._witness.call_when_probed(
                exchange.instance_id, call
            ),
        ):
            yield

    async def _offer(self, exchange: exchanges.Exchange) -> None:
        """Offer the request to one instance; return once it is answered.

        :raises errors.HoneyportError: if that instance did not answer it
        """
        # Again before every send: routes and keys may be gone by now.
        request = exchange.request
        table = self.table()
        table.find(request.host, request.path, request.api_key)
        exchange.choice = self._balancer.choose(
            exchange.service,
            exchange.parts,
            exchange.tried,
            exchange.match.regions,
        )
        instance = exchange.choice.instance
        with self._balancer.track(instance):
            try:
                answer = await self._send(exchange, instance)
            except errors.HoneyportError as error:
                self._judge(exchange, instance, error)
                raise
        self._balancer.record_success(instance, exchange.parts)
        if answer.head.is_success:
            self._suspects.record_success(exchange.fingerprint)
        await self._finish(exchange, answer)

    async def _send(
        self, exchange: exchanges.Exchange, instance: placement.Instance
    ) -> attempt.Answer:
        exchange.tried.add(instance.id)
        exchange.offers += 1
        began = asyncio.get_running_loop().time()
        connection = await self._pool.take(instance)
        exchange.connect_s += asyncio.get_running_loop().time() - began
        kept = False
        try:
            # Connecting took time: the lease may have ended meanwhile, or the
            # instance may have asked another request for rest.
            self._gate.check()
            self._wishes.check_not_resting(instance)
            exchange.failure = None
            exchange.runs += 1
            answer = await self._attempt(exchange, connection)
            keep_s = attempt.keep_alive_s(answer.head)
            if keep_s != 0:
                self._pool.give(connection, keep_s)
                kept = True
        finally:
            if not kept:
                connection.close()
        return self._checked(exchange, answer)

    async def _attempt(
        self, exchange: exchanges.Exchange, connection: pool.Connection
    ) -> attempt.Answer:
        """Return the answer of an instance that does not fall silent.

        :raises errors.BackendSilent: if it does, and another instance may
            get the request
        """
        limits = None
        if exchange.may_repeat:
            limits = silence.patience(exchange.match.route)
        headers = exchange.headers(self._names, connection.instance)
        began = asyncio.get_running_loop().time()
        sent = attempt.Attempt(
            connection,
            self._names,
            exchange,
            lambda head: self._wishes.observe(
                connection.instance, head, began
            ),
        )
        try:
            async with silence_timeout.Watch(limits) as exchange.silence:
                return await sent.run(exchange.request, headers)
        except TimeoutError:
            raise errors.BackendSilent(f'it said nothing: {limits}') from None

    def _checked(
        self, exchange: exchanges.Exchange, answer: attempt.Answer
    ) -> attempt.Answer:
        """Return an answer that may be passed on.

        :raises errors.NotExecuted: if the instance did not run it
        :raises errors.AttemptFailed: if it ran and failed, and another
            instance may be tried
        """
        head = answer.head
        if head.status == _MISDIRECTED:
            exchange.runs -= 1
            raise errors.Misdirected(retry_after=_COME_BACK_S)
        if self._names.not_run in head.headers:
            exchange.runs -= 1
            raise errors.NotExecuted(
                f'status {head.status}', retry_after=_COME_BACK_S
            )
        promises = head.status in _PROMISES_NOT_RUN
        if head.status < _FIRST_FAILURE and not promises:
            return answer
        # Passed on, a promise would say that the request did not run.
        started = exchange.reply.started
        if not promises and not started:
            exchange.failure = answer
            if not exchange.may_repeat:
                return answer
        raise errors.AttemptFailed(f'status {head.status}')

    def _judge(
        self,
        exchange: exchanges.Exchange,
        instance: placement.Instance,
        error: errors.HoneyportError,
    ) -> None:
        """Log a failed offer; leave the instance alone if it is at fault."""
        logs.emit(
            events.ATTEMPT_FAILED,
            request=exchange.request.request_id,
            backend=instance.id,
            address=instance.address,
            code=error.code,
            detail=error.detail,
            offers=exchange.offers,
            fingerprint=exchange.fingerprint,
            left_out=self._balancer.count_excluded(
                exchange.service, exchange.tried, exchange.match.regions
            ),
        )
        self._metrics.count('attempts_failed', code=error.code)
        self._testify(exchange, error)
        # Another instance has its address: it is gone, and only the list is
        # late to say so. Offered to it again and again, requests would use up
        # the allowance of offers.
        is_gone = isinstance(error, (errors.NotSent, errors.Misdirected))
        if is_gone or isinstance(error, errors.BackendLost):
            self._balancer.record_failure(
                instance, error.code, was_reached=not is_gone
            )

    def _testify(
        self, exchange: exchanges.Exchange, error: errors.HoneyportError
    ) -> None:
        """Tell the witness what a failed offer says of its instance."""
        if exchange.choice is None:
            return
        instance = exchange.choice.instance
        if isinstance(error, (errors.BackendSilent, errors.DeadlinePassed)):
            self._witness.record_timeout(instance, exchange.fingerprint)
        elif isinstance(error, errors.BackendLost):
            self._witness.record_broken(instance, exchange.fingerprint)
        elif isinstance(error, errors.ConnectionRefused):
            self._witness.record_gone(
                instance.id, end_detector.CONNECTION_REFUSED
            )
        elif isinstance(error, errors.Misdirected):
            self._witness.record_gone(instance.id, end_detector.ADDRESS_REUSED)

    def _may_go_on(
        self, exchange: exchanges.Exchange, error: errors.HoneyportError
    ) -> bool:
        """Whether another instance may get the request after an error."""
        if isinstance(error, errors.InstanceRests):
            return True
        if exchange.offers >= _MOST_OFFERS:
            return False
        if isinstance(error, errors.NotSent):
            return True
        if isinstance(error, errors.NotExecuted):
            return self._spend(exchange)
        failed = (
            errors.AttemptFailed,
            errors.BackendLost,
            errors.ForeignAnswer,
        )
        if not isinstance(error, failed) or not exchange.may_repeat:
            return False
        return self._spend(exchange)

    def _spend(self, exchange: exchanges.Exchange) -> bool:
        """Take one more offer out of the allowance, if there is one."""
        now = asyncio.get_running_loop().time()
        allowed = self._budgets.try_spend(exchange.service, now)
        if not allowed:
            logs.emit(
                events.ALLOWANCE_SPENT,
                request=exchange.request.request_id,
                service=exchange.service,
                offers=exchange.offers,
                gateways=len(self._state.serving_routers),
            )
            self._metrics.count('allowance_spent', service=exchange.service)
        return allowed

    async def _finish(
        self, exchange: exchanges.Exchange, answer: attempt.Answer
    ) -> None:
        if not answer.relayed:
            await exchange.reply.answer(answer.head, answer.body)
            return
        rest = exchange.splitter.rest()
        if rest:
            await exchange.reply.write(rest)
        await exchange.reply.end()


def _true_of_all(
    exchange: exchanges.Exchange, error: errors.HoneyportError
) -> errors.HoneyportError:
    """Return an error that is true of all offers, not of the last alone."""
    if error.ran is False and exchange.may_have_run:
        return errors.BackendLost(
            f'an earlier attempt may have run; the last one: {error.detail}'
        )
    return error
