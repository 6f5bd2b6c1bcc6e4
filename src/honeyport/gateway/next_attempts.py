"""Preparation of attempts, also while another one is silent.

All that an attempt needs is held before a silent one is given up: a retry of
the budget, a permit, a slot, and a connection to an instance that is not
silent itself. Until then the silent one may still go on.
"""

import asyncio

from honeyport import errors
from honeyport.gateway import balancer
from honeyport.gateway import connectivity
from honeyport.gateway import detours
from honeyport.gateway import exchanges
from honeyport.gateway import instance_attempts
from honeyport.gateway import prepared
from honeyport.gateway import request_log
from honeyport.gateway import silence_watch
from honeyport.policy import activity
from honeyport.policy import obstacles
from honeyport.policy import placement
from honeyport.policy import repeats
from honeyport.policy import silence

# Attempts for one request, refusals included.
MAX_OFFERS = 3


class NextAttempts:
    """Prepares attempts of requests.

    :param attempts: sends requests to instances
    :param budgets: retry budgets by service
    :param monitor: the services that this gateway is cut off from
    :param peer_detours: sends requests through other gateways
    :param tracker: when instances sent something
    """

    def __init__(
        self,
        attempts: instance_attempts.InstanceAttempts,
        budgets: repeats.RetryBudgets,
        monitor: connectivity.ConnectivityMonitor,
        peer_detours: detours.Detours,
        load_balancer: balancer.Balancer,
        tracker: activity.ActivityTracker,
        log: request_log.RequestLog,
    ) -> None:
        self._attempts = attempts
        self._budgets = budgets
        self._connectivity = monitor
        self._detours = peer_detours
        self._balancer = load_balancer
        self._activity = tracker
        self._request_log = log

    async def prepare(
        self,
        exchange: exchanges.Exchange,
        excluded: frozenset[str] = frozenset(),
    ) -> prepared.PreparedAttempt | None:
        """Prepare an attempt at an instance.

        :param excluded: ids of instances that are not chosen
        :returns: ``None`` if it is to be made through another gateway
        :raises errors.HoneyportError: if it cannot be made
        """
        choice = None
        if not self._connectivity.is_direct(exchange.service):
            choice = self._choose_connected(exchange, excluded)
            if choice is None and self._needs_detour(exchange):
                return None
        return await self._attempts.prepare(exchange, choice, excluded)

    async def take(
        self, exchange: exchanges.Exchange
    ) -> prepared.PreparedAttempt | None:
        """Return the attempt that was reserved, or prepare one.

        :returns: ``None`` if it is to be made through another gateway
        :raises errors.HoneyportError: if it cannot be made
        """
        exchange.is_retry_spent = False
        # An event may have arrived since the attempt was reserved.
        if not self._is_of_version(exchange):
            await self.release(exchange)
        reserved, exchange.next_attempt = exchange.next_attempt, None
        if reserved is None:
            return await self.prepare(exchange)
        exchange.offers += 1
        return reserved

    def _is_of_version(self, exchange: exchanges.Exchange) -> bool:
        """Whether the reserved attempt, if any, may go on with the stream."""
        if exchange.next_attempt is None or exchange.stream_version is None:
            return True
        instance = exchange.next_attempt.choice.instance
        return instance.version == exchange.stream_version

    async def release(self, exchange: exchanges.Exchange) -> None:
        """Release an attempt that was reserved and is not made."""
        reserved, exchange.next_attempt = exchange.next_attempt, None
        if reserved is not None:
            await self._attempts.drop(exchange, reserved)

    async def seek(
        self, exchange: exchanges.Exchange, state: silence_watch.Silence
    ) -> obstacles.Obstacle | None:
        """Reserve the next attempt of a request whose instance is silent.

        :returns: why there is none yet; ``None`` if it is reserved
        """
        situation, excluded = self._observe(exchange, state)
        if situation.is_instance_at_fault:
            self._attempts.record_silence(exchange)
        obstacle, detail = silence.find_obstacle(situation), ''
        if obstacle is None:
            try:
                obstacle = await self._reserve(exchange, excluded)
            except errors.HoneyportError as error:
                obstacle = obstacles.Obstacle.CANNOT_BE_PREPARED
                detail = f'{error.code}: {error.detail}'
        exchange.no_retry = obstacle or ''
        if obstacle not in (None, state.obstacle):
            self._request_log.record_awaited(
                exchange,
                detail=detail,
                mute=situation.mute,
                heard=situation.heard,
                retries_left=situation.retries_left,
                available=self._attempts.count_available(exchange),
            )
        return obstacle

    def _observe(
        self, exchange: exchanges.Exchange, state: silence_watch.Silence
    ) -> tuple[silence.Situation, frozenset[str]]:
        """Return what is known, and the instances not to choose.

        These are silent, too, or full, so that they would reject the request.
        """
        now = asyncio.get_running_loop().time()
        route = exchange.match.route
        instances = self._balancer.expected_reachable(exchange.service)
        others = [
            instance.id
            for instance in instances
            if instance.id != exchange.current_instance_id
        ]
        limit_s = silence.recent_s(state.limit_s)
        mute = self._activity.mute(others, now, limit_s)
        heard = self._activity.heard(others, now, limit_s)
        situation = silence.Situation(
            may_repeat=exchange.may_repeat,
            is_forwarded=bool(exchange.origin),
            offers_left=MAX_OFFERS - exchange.offers,
            retries_left=self._budgets.remaining(exchange.service, now),
            remaining_s=exchange.deadline - now,
            objective_s=route.objective_ms / 1000,
            others=len(others),
            mute=len(mute),
            heard=len(heard),
            was_shared=state.obstacle is obstacles.Obstacle.ALL_SILENT,
        )
        full = {
            instance.id
            for instance in instances
            if self._balancer.is_full(instance)
        }
        return situation, mute | full

    async def _reserve(
        self, exchange: exchanges.Exchange, excluded: frozenset[str]
    ) -> obstacles.Obstacle | None:
        """Get all that the next attempt needs; the retry is spent last.

        :raises errors.HoneyportError: if it cannot be made
        """
        attempt = await self.prepare(exchange, excluded)
        if attempt is None:
            self._detours.choose(exchange)  # raises if there is none
        now = asyncio.get_running_loop().time()
        if not self._budgets.try_spend(exchange.service, now):
            if attempt is not None:
                await self._attempts.drop(exchange, attempt)
            return obstacles.Obstacle.NO_BUDGET_LEFT
        exchange.next_attempt = attempt
        exchange.is_retry_spent = True
        return None

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
        self, exchange: exchanges.Exchange, excluded: frozenset[str]
    ) -> placement.Choice | None:
        """Choose an instance; ``None`` without a connection to it."""
        try:
            choice = self._attempts.choose(exchange, excluded=excluded)
        except errors.NoInstance:
            return None
        has_connection = self._connectivity.has_connection(choice.instance)
        return choice if has_connection else None
