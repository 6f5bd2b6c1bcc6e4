"""Request forwarding: routing, choice of an instance, attempts, response.

A request that is not idempotent is sent to another instance only if it was not
sent to the previous one, or if that one reports that it did not run it. While
this gateway is cut off from a service, other gateways forward its requests.
"""

import asyncio
import collections.abc
import functools

from tornado import iostream

from honeyport import errors
from honeyport.gateway import crash_guard
from honeyport.gateway import detours
from honeyport.gateway import exchange_factory
from honeyport.gateway import exchanges
from honeyport.gateway import forwarded
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import instance_attempts
from honeyport.gateway import lease_gate
from honeyport.gateway import next_attempts
from honeyport.gateway import request_log
from honeyport.gateway import responses
from honeyport.policy import obstacles
from honeyport.policy import repeats
from honeyport.telemetry import events

# Retry-After for refusals without a specific time, in seconds.
_RETRY_AFTER_S = 0.3
# Errors after which a request may be repeated if its route allows that.
_RETRYABLE = (
    errors.AnswerCut,
    errors.AttemptFailed,
    errors.BackendLost,
    errors.ForeignAnswer,
    errors.PeerLost,
)

# Returns the exchange of a request, or raises the reason to refuse it.
Admit = collections.abc.Callable[
    [], collections.abc.Awaitable[exchanges.Exchange]
]


class Forwarder:
    """Forwards requests of callers to instances.

    :param gate: admits requests while the lease is valid
    :param factory: creates the exchanges of admitted requests
    :param attempts: sends requests to instances
    :param budgets: retry budgets by service
    :param guard: holds back requests that may crash their instance
    :param preparation: prepares the attempts
    :param peer_detours: sends requests through other gateways
    """

    def __init__(
        self,
        gate: lease_gate.LeaseGate,
        names: gateway_headers.HeaderNames,
        factory: exchange_factory.ExchangeFactory,
        attempts: instance_attempts.InstanceAttempts,
        budgets: repeats.RetryBudgets,
        guard: crash_guard.CrashGuard,
        preparation: next_attempts.NextAttempts,
        peer_detours: detours.Detours,
        log: request_log.RequestLog,
    ) -> None:
        self._gate = gate
        self._names = names
        self._exchanges = factory
        self._attempts = attempts
        self._budgets = budgets
        self._crash_guard = guard
        self._next_attempts = preparation
        self._detours = peer_detours
        self._request_log = log
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    def find_timeout_s(self, host: str, path: str, api_key: str) -> float:
        """Return the timeout of a request's route, in seconds.

        :returns: ``inf`` as long as there is no configuration
        :raises errors.UnknownRoute: if no route matches
        :raises errors.UnknownKey: if no client account holds the API key
        """
        return self._exchanges.find_timeout_s(host, path, api_key)

    async def serve(
        self, request: gateway_headers.Request, reply: exchanges.Reply
    ) -> None:
        """Answer a request of a caller, and log its outcome."""

        async def admit() -> exchanges.Exchange:
            waited_s = await self._gate.wait_until_open(request.deadline)
            exchange = await self._exchanges.create(request, reply)
            exchange.waited_s = waited_s
            return exchange

        await self._serve(request, reply, admit, origin='')

    async def serve_forwarded(
        self, request: gateway_headers.Request, reply: forwarded.PeerReply
    ) -> None:
        """Answer a request for another gateway, and log its outcome."""

        async def admit() -> exchanges.Exchange:
            reply.exchange = self._exchanges.create_forwarded(request, reply)
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
            exchange.seek = functools.partial(
                self._next_attempts.seek, exchange
            )
            await self._run(exchange)
            log(events.REQUEST_SERVED, request, exchange)
        except errors.HoneyportError as error:
            is_refused = error.ran is False
            event = (
                events.REQUEST_REFUSED if is_refused else events.REQUEST_BROKEN
            )
            log(event, request, exchange, error)
            await reply.refuse(error)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            log(events.REQUEST_ABANDONED, request, exchange)
            raise
        finally:
            self._running -= 1
            if exchange is not None:
                await self._next_attempts.release(exchange)

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
                if exchange.choice is not None:
                    self._crash_guard.record_failure(
                        exchange, exchange.choice.instance, error
                    )
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
                if not responses.may_pass_on_failure(exchange):
                    raise responses.error_for_all_attempts(
                        exchange, error
                    ) from None
                await responses.write(exchange, exchange.failed_response)
                return

    async def _try_once(self, exchange: exchanges.Exchange) -> None:
        """Send the request to an instance, or through another gateway.

        :raises errors.HoneyportError: if it was not answered
        """
        exchange.via = ''
        attempt = await self._next_attempts.take(exchange)
        if attempt is None:
            await self._try_other_gateway(exchange)
        else:
            await self._attempts.run(exchange, attempt)

    async def _try_other_gateway(self, exchange: exchanges.Exchange) -> None:
        """Send the request through another gateway; pass on its response.

        :raises errors.HoneyportError: if it was not answered
        """
        self._exchanges.check_admitted(exchange)
        self._crash_guard.check_not_barred(exchange)
        exchange.choice = None
        try:
            self._detours.check_available(exchange)
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
        exchange.via_address = member.peer_address
        exchange.on_bytes = lambda at: None  # not from an instance
        exchange.failed_response = None
        exchange.possible_runs += 1
        try:
            response = await responses.watch_silence(
                exchange, lambda: self._detours.send(exchange, member)
            )
            response = responses.check(exchange, response, self._names)
        except errors.HoneyportError as error:
            if error.ran is False:
                exchange.possible_runs -= 1
            if isinstance(error, (*detours.FAILURES, errors.BackendSilent)):
                exchange.failed_gateways.add(member.router)
                exchange.refusal = error
            else:
                exchange.offers += 1
            self._request_log.record_failed_attempt(
                exchange, error, via=member.router
            )
            raise
        exchange.offers += 1
        await responses.write(exchange, response)

    def _may_retry(
        self, exchange: exchanges.Exchange, error: errors.HoneyportError
    ) -> bool:
        """Whether another instance may be tried after an error.

        If not, the reason is kept for the log line of the request.
        """
        obstacle = self._find_retry_obstacle(exchange, error)
        exchange.no_retry = obstacle or ''
        return obstacle is None

    def _find_retry_obstacle(
        self, exchange: exchanges.Exchange, error: errors.HoneyportError
    ) -> obstacles.Obstacle | None:
        """Return why no attempt may follow an error, if any.

        A retry is taken from the budget if one may follow.
        """
        if isinstance(error, errors.InstanceRests):
            return None
        if (
            exchange.is_retry_spent
            and isinstance(error, _RETRYABLE)
            and not exchange.is_passed_on
        ):
            return None  # it was reserved while the attempt was silent
        if exchange.offers >= next_attempts.MAX_OFFERS:
            return obstacles.Obstacle.NO_OFFERS_LEFT
        if exchange.via and isinstance(error, detours.REFUSALS):
            if len(exchange.failed_gateways) < detours.MAX_GATEWAYS:
                return None
            return obstacles.Obstacle.NO_GATEWAYS_LEFT
        if isinstance(error, errors.NotSent):
            return None
        if isinstance(error, errors.NotExecuted):
            if exchange.via:
                # The other gateway has made the offers that are allowed.
                return obstacles.Obstacle.NO_OFFERS_LEFT
            return self._spend_retry(exchange)
        if not isinstance(error, _RETRYABLE):
            return obstacles.Obstacle.NOT_RETRYABLE
        if not exchange.may_repeat:
            return obstacles.Obstacle.NOT_REPEATABLE
        if exchange.origin:
            return obstacles.Obstacle.CALLERS_GATEWAY_DECIDES
        return self._spend_retry(exchange)

    def _spend_retry(
        self, exchange: exchanges.Exchange
    ) -> obstacles.Obstacle | None:
        """Take one retry from the budget; return why there was none."""
        now = asyncio.get_running_loop().time()
        if self._budgets.try_spend(exchange.service, now):
            return None
        self._request_log.record_budget_spent(exchange)
        return obstacles.Obstacle.NO_BUDGET_LEFT
