"""The way of a request: route, instance, attempts, final answer.

A request that is not idempotent is sent once. Only where it is proved
that no instance got it, or where the instance says that it did not run
it, may another instance get it.
"""

import asyncio
import collections
import collections.abc
import typing

import attrs
from tornado import httputil

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import balancer
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import pool
from honeyport.gateway import routes
from honeyport.gateway import silence
from honeyport.gateway import sse
from honeyport.router import fleetstate
from honeyport.router import retries
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Instances that one request is offered to, refusals included.
_MOST_OFFERS = 3
# Of the requests: under the ratio that platforms allow (0.2), since every
# gateway keeps its own budget.
_RETRY_SHARE = 0.1
_LOWEST_PRIORITY = 9
# For a refusal whose cause names no time, in seconds.
_COME_BACK_S = 0.3
_MISDIRECTED = 421
# What callers take as "not run, and never will be".
_PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
_FIRST_FAILURE = 500


class Reply(typing.Protocol):
    """The caller's side of an exchange."""

    @property
    def started(self) -> bool:
        """Whether the head of an answer was written."""

    async def begin(self, head: attempt.Head) -> None:
        """Write the head of a stream."""

    async def write(self, chunk: bytes) -> None:
        """Write a part of a stream."""

    async def end(self) -> None:
        """End a stream as complete."""

    async def answer(self, head: attempt.Head, body: bytes) -> None:
        """Write a whole answer."""

    async def refuse(self, error: errors.HoneyportError) -> None:
        """Write our own failure; cut the answer if it has begun."""


@attrs.define
class _Exchange:
    """What is known of a request while it is served."""

    request: gateway_headers.Request
    reply: Reply
    match: routes.Match
    service: str
    until: float
    version: int
    splitter: sse.Splitter = attrs.field(factory=sse.Splitter)
    tried: set[str] = attrs.field(factory=set)
    offers: int = 0
    runs: int = 0
    choice: balancer.Choice | None = None
    watch: silence.Watch | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an instance that got it has not said it did not run."""
        return self.runs > 0

    async def begin(self, head: attempt.Head) -> None:
        """Pass on the head of a stream; a resumed one has its first."""
        if not self.reply.started:
            await self.reply.begin(head)

    async def events(self, chunk: bytes) -> None:
        """Pass on whole events."""
        whole = self.splitter.feed(chunk)
        if whole:
            await self.reply.write(whole)

    def hear(self) -> None:
        """Note that the instance said something."""
        if self.watch is not None:
            self.watch.hear()


class Forwarder:
    """Serves the requests of this gateway.

    :param state: what this instance knows of the fleet
    """

    def __init__(
        self,
        state: fleetstate.FleetState,
        names: gateway_headers.HeaderNames,
        choice: balancer.Balancer,
        connections: pool.Pool,
        counters: metrics.Metrics,
    ) -> None:
        self._state = state
        self._names = names
        self._balancer = choice
        self._pool = connections
        self._metrics = counters
        self._table: routes.Table | None = None
        self._budgets: dict[str, retries.Budget] = collections.defaultdict(
            lambda: retries.Budget(_RETRY_SHARE)
        )
        self._running = 0

    @property
    def running(self) -> int:
        """Requests in flight."""
        return self._running

    async def serve(
        self, request: gateway_headers.Request, reply: Reply
    ) -> None:
        """Give a request its final answer, and log what decided it."""
        self._running += 1
        exchange: _Exchange | None = None
        try:
            exchange = self._admit(request, reply)
            await self._run(exchange)
            self._note(events.REQUEST_SERVED, request, exchange)
        except errors.HoneyportError as error:
            refused = error.ran is False
            event = (
                events.REQUEST_REFUSED if refused else events.REQUEST_BROKEN
            )
            self._note(event, request, exchange, error)
            await reply.refuse(error)
        except asyncio.CancelledError:
            self._note(events.REQUEST_ABANDONED, request, exchange)
            raise
        finally:
            self._running -= 1

    def table(self) -> routes.Table:
        """Return the routes in force here.

        :raises errors.NotReady: without a configuration or a lease
        """
        self._state.check_lease()
        bundle = self._state.bundle
        if self._table is None or self._table.version != bundle.version:
            self._table = routes.Table(bundle)
        return self._table

    def _admit(
        self, request: gateway_headers.Request, reply: Reply
    ) -> _Exchange:
        table = self.table()
        match = table.find(request.host, request.path, request.api_key)
        timeout_s = match.route.timeout_ms / 1000
        service = routes.pick_service(match.route)
        self._budgets[service].earn()
        return _Exchange(
            request,
            reply,
            match,
            service,
            min(request.deadline, request.received + timeout_s),
            table.version,
        )

    async def _run(self, exchange: _Exchange) -> None:
        """Try until there is a final answer, or the time is over."""
        try:
            async with asyncio.timeout_at(exchange.until):
                await self._try_instances(exchange)
        except TimeoutError:
            if exchange.may_have_run:
                raise errors.DeadlinePassed() from None
            raise errors.Overloaded(retry_after=_COME_BACK_S) from None

    async def _try_instances(self, exchange: _Exchange) -> None:
        while True:
            try:
                await self._offer(exchange)
                return
            except errors.HoneyportError as error:
                if not self._may_go_on(exchange, error):
                    raise _true_of_all(exchange, error) from None
                exchange.splitter.restart()

    async def _offer(self, exchange: _Exchange) -> None:
        """Offer the request to one instance; return once it is answered.

        :raises errors.HoneyportError: if that instance did not answer it
        """
        # Again before every send: routes and keys may be gone by now.
        request = exchange.request
        table = self.table()
        table.find(request.host, request.path, request.api_key)
        exchange.choice = self._choose(exchange)
        instance = exchange.choice.instance
        with self._balancer.hold(instance):
            try:
                answer = await self._send(exchange, instance)
            except errors.HoneyportError as error:
                self._judge(exchange, instance, error)
                raise
        self._balancer.succeeded(instance, self._parts(exchange))
        await self._finish(exchange, answer)

    def _choose(self, exchange: _Exchange) -> balancer.Choice:
        return self._balancer.choose(
            exchange.service, self._parts(exchange), exchange.tried
        )

    def _parts(self, exchange: _Exchange) -> tuple[gateway_headers.Part, ...]:
        """Return the parts of a prompt, if instances cache them."""
        cached = exchange.match.route.prefix_cached
        return exchange.request.parts if cached else ()

    async def _send(
        self, exchange: _Exchange, instance: balancer.Instance
    ) -> attempt.Answer:
        exchange.tried.add(instance.id)
        exchange.offers += 1
        connection = await self._pool.take(instance)
        kept = False
        try:
            # Connecting took time: the lease may have ended meanwhile.
            self._state.check_lease()
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
        self, exchange: _Exchange, connection: pool.Connection
    ) -> attempt.Answer:
        """Return the answer of an instance that does not fall silent.

        :raises errors.BackendSilent: if it does, and another instance may
            get the request
        """
        limits = None
        if self._may_repeat(exchange):
            limits = silence.patience(exchange.match.route)
        headers = self._headers(exchange, connection.instance)
        sent = attempt.Attempt(connection, self._names, exchange)
        try:
            async with silence.Watch(limits) as exchange.watch:
                return await sent.run(exchange.request, headers)
        except TimeoutError:
            raise errors.BackendSilent('nothing came in time') from None

    def _headers(
        self, exchange: _Exchange, instance: balancer.Instance
    ) -> httputil.HTTPHeaders:
        names = self._names
        request = exchange.request
        headers = request.headers.copy()
        left_s = exchange.until - asyncio.get_running_loop().time()
        headers[names.deadline_ms] = str(max(1, int(left_s * 1000)))
        headers[names.expected_instance] = instance.id
        if exchange.match.account:
            headers[names.account] = exchange.match.account
        priority = max(0, min(exchange.match.priority, _LOWEST_PRIORITY))
        headers[names.priority] = str(priority)
        if exchange.choice is not None and exchange.choice.source is not None:
            headers[names.copy_from] = exchange.choice.source.address
        if exchange.splitter.last_id:
            headers[names.last_event] = exchange.splitter.last_id
        if request.body or request.method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(request.body))
        return headers

    def _checked(
        self, exchange: _Exchange, answer: attempt.Answer
    ) -> attempt.Answer:
        """Return an answer that may be passed on.

        :raises errors.NotExecuted: if the instance did not run it
        :raises errors.AttemptFailed: if it ran and failed, and another
            instance may be tried
        """
        head = answer.head
        if self._names.not_run in head.headers or head.status == _MISDIRECTED:
            exchange.runs -= 1
            raise errors.NotExecuted(
                f'status {head.status}', retry_after=_COME_BACK_S
            )
        promises = head.status in _PROMISES_NOT_RUN
        if head.status < _FIRST_FAILURE and not promises:
            return answer
        # Passed on, a promise would say that the request did not run.
        started = exchange.reply.started
        if promises or started or self._may_repeat(exchange):
            raise errors.AttemptFailed(f'status {head.status}')
        return answer

    def _judge(
        self,
        exchange: _Exchange,
        instance: balancer.Instance,
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
        )
        self._metrics.count('attempts_failed', code=error.code)
        if isinstance(error, (errors.NotSent, errors.BackendLost)):
            self._balancer.failed(instance, error.code)

    def _may_repeat(self, exchange: _Exchange) -> bool:
        """Whether the request may run on one more instance."""
        route = exchange.match.route
        return route.repeatable and exchange.runs < route.attempts

    def _may_go_on(
        self, exchange: _Exchange, error: errors.HoneyportError
    ) -> bool:
        """Whether another instance may get the request after an error."""
        if exchange.offers >= _MOST_OFFERS:
            return False
        if isinstance(error, errors.NotSent):
            return True
        budget = self._budgets[exchange.service]
        if isinstance(error, errors.NotExecuted):
            return budget.spend()
        failed = (
            errors.AttemptFailed,
            errors.BackendLost,
            errors.ForeignAnswer,
        )
        if not isinstance(error, failed) or not self._may_repeat(exchange):
            return False
        return budget.spend()

    async def _finish(
        self, exchange: _Exchange, answer: attempt.Answer
    ) -> None:
        if not answer.relayed:
            await exchange.reply.answer(answer.head, answer.body)
            return
        rest = exchange.splitter.rest()
        if rest:
            await exchange.reply.write(rest)
        await exchange.reply.end()

    def _note(
        self,
        event: events.Event,
        request: gateway_headers.Request,
        exchange: _Exchange | None,
        error: errors.HoneyportError | None = None,
    ) -> None:
        """Write the one line of a request, and count it."""
        took_s = asyncio.get_running_loop().time() - request.received
        self._metrics.count('requests', outcome=event.name)
        self._metrics.observe('request_seconds', took_s)
        fields: dict[str, typing.Any] = {
            'request': request.request_id,
            'took_ms': round(took_s * 1000, 1),
            'lease_left_s': round(self._state.lease_left, 2),
        }
        if exchange is not None:
            fields |= {
                'route': exchange.match.name,
                'account': exchange.match.account,
                'config_version': exchange.version,
                'instances_version': self._state.instances.number,
                'service': exchange.service,
                'offers': exchange.offers,
            }
            if exchange.choice is not None:
                fields |= exchange.choice.to_fields()
        if error is not None:
            fields |= {'code': error.code, 'detail': error.detail}
        logs.emit(event, **fields)


def _true_of_all(
    exchange: _Exchange, error: errors.HoneyportError
) -> errors.HoneyportError:
    """Return an error that is true of all offers, not of the last alone."""
    if error.ran is False and exchange.may_have_run:
        return errors.BackendLost(
            f'an earlier attempt may have run; the last one: {error.detail}'
        )
    return error
