"""Preparation of attempts, also while another one is silent.

All that an attempt needs is held before a silent one is given up: a retry of
the budget, a permit, a slot, and a connection to an instance that is not
silent itself. Until then the silent one may still go on.
"""

import asyncio

from honeyport import errors
from honeyport.gateway import balancer
from honeyport.gateway import connectivity
from honeyport.gateway import crash_guard
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
    :param guard: holds back requests that may crash their instance
    """

    def __init__(
        self,
        attempts: instance_attempts.InstanceAttempts,
        budgets: repeats.RetryBudgets,
        monitor: connectivity.ConnectivityMonitor,
        peer_detours: detours.Detours,
        load_balancer: balancer.Balancer,
        tracker: activity.ActivityTracker,
        guard: crash_guard.CrashGuard,
        log: request_log.RequestLog,
    ) -> None:
        self._attempts = attempts
        self._budgets = budgets
        self._connectivity = monitor
        self._detours = peer_detours
        self._balancer = load_balancer
        self._activity = tracker
        self._crash_guard = guard
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
        if not self._is_usable(exchange):
            await self.release(exchange)
        reserved, exchange.next_attempt = exchange.next_attempt, None
        if reserved is None:
            return await self.prepare(exchange)
        exchange.offers += 1
        return reserved

    def _is_usable(self, exchange: exchanges.Exchange) -> bool:
        """Whether the reserved attempt, if any, can still be made.

        An event may have arrived since it was reserved, or the instance may
        have closed its connection.
        """
        if exchange.next_attempt is None:
            return True
        instance = exchange.next_attempt.choice.instance
        is_of_version = exchange.stream_version in (None, instance.version)
        is_open = not exchange.next_attempt.connection.stream.closed()
        return is_of_version and is_open

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
        is_elsewhere = await self._is_elsewhere(exchange)
        situation = self._observe(exchange, state, is_elsewhere)
        if situation.is_instance_at_fault:
            self._attempts.record_silence(exchange)
        obstacle, detail = silence.find_obstacle(situation), ''
        if obstacle is None:
            try:
                obstacle = await self._reserve(exchange, state)
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

    async def _is_elsewhere(self, exchange: exchanges.Exchange) -> bool:
        """Whether a gateway that is known to run makes the attempt."""
        if not exchange.via:
            return False
        is_answering = await self._detours.is_answering(exchange)
        if not is_answering:
            exchange.failed_gateways.add(exchange.via)
        return is_answering

    def _find_mute(self, exchange: exchanges.Exchange) -> frozenset[str]:
        """Return the other instances of the service that are silent, too."""
        now = asyncio.get_running_loop().time()
        mute = self._activity.mute(exchange.service, now)
        return mute - {exchange.current_instance_id}

    def _find_heard(
        self, exchange: exchanges.Exchange, state: silence_watch.Silence
    ) -> frozenset[str]:
        """Return the other instances of the service that are sending."""
        now = asyncio.get_running_loop().time()
        heard = self._activity.heard(
            exchange.service, now, silence.recent_s(state.limit_s)
        )
        return heard - {exchange.current_instance_id}

    def _observe(
        self,
        exchange: exchanges.Exchange,
        state: silence_watch.Silence,
        is_elsewhere: bool,
    ) -> silence.Situation:
        """Return what is known while an attempt is silent."""
        now = asyncio.get_running_loop().time()
        listed = self._balancer.listed(exchange.service)
        return silence.Situation(
            may_repeat=exchange.may_repeat,
            is_suspect=exchange.has_permit
            or self._crash_guard.needs_permit(exchange),
            is_elsewhere=is_elsewhere,
            offers_left=MAX_OFFERS - exchange.offers,
            retries_left=self._budgets.remaining(exchange.service, now),
            remaining_s=exchange.deadline - now,
            objective_s=exchange.match.route.objective_ms / 1000,
            others=max(0, len(listed) - 1),
            mute=len(self._find_mute(exchange)),
            heard=len(self._find_heard(exchange, state)),
            was_shared=now - state.shared_at < state.limit_s,
        )

    def _find_excluded(
        self, exchange: exchanges.Exchange, state: silence_watch.Silence
    ) -> frozenset[str]:
        """Return the instances that are not chosen for the next attempt."""
        listed = self._balancer.listed(exchange.service)
        excluded: frozenset[str] = frozenset()
        for excluded in silence.iter_excluded(
            {instance.id for instance in listed},
            self._find_mute(exchange),
            self._find_heard(exchange, state),
            self._balancer.find_full(exchange.service),
        ):
            if self._attempts.count_available(exchange, excluded):
                break
        return excluded

    async def _reserve(
        self, exchange: exchanges.Exchange, state: silence_watch.Silence
    ) -> obstacles.Obstacle | None:
        """Get all that the next attempt needs; the retry is spent last.

        :returns: what has come in between, if anything
        :raises errors.HoneyportError: if it cannot be made
        """
        attempt = await self.prepare(
            exchange, self._find_excluded(exchange, state)
        )
        if attempt is None:
            self._detours.check_available(exchange)
        obstacle = silence.find_obstacle(
            self._observe(exchange, state, is_elsewhere=False)
        )
        now = asyncio.get_running_loop().time()
        if obstacle is None and not self._budgets.try_spend(
            exchange.service, now
        ):
            obstacle = obstacles.Obstacle.NO_BUDGET_LEFT
        if obstacle is not None:
            if attempt is not None:
                await self._attempts.drop(exchange, attempt)
            return obstacle
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
