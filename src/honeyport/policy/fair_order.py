"""The order of the requests that wait for the slots of one service.

Answers three loads: urgent requests beside others, an account that sends many
times its usual, and a route whose requests are passed over again and again.

A request's turn is the time when it asked, plus its lag. The lag grows with
its priority number and with the debt of its account. Since the turn of a
waiting request is fixed and time goes on, each gets to the head.
"""

import math

import attrs

from honeyport.policy import rates

# The largest priority number; larger or unusable ones count like it.
_MAX_PRIORITY = 9
# How much later the turn is for each priority number, in seconds. An urgent
# request overtakes those that asked up to so much earlier.
_LAG_PER_PRIORITY_S = 0.02
# How long an account counts after its last request, in seconds. Bursts and
# pauses of single callers are shorter.
_ACCOUNT_ACTIVE_S = 2.0
# The longest debt of an account, in seconds. What it took in a calm period
# must not exclude it long after.
_MAX_DEBT_S = 2.0
# Time constant of the shares of routes that got slots, in seconds.
_ROUTE_WINDOW_S = 2.0
# A route with a smaller share than this of the mean share goes first. No route
# may fall under half of it, and the rest is for the time this takes to act.
_PROTECTED_SHARE = 0.75
# Requests within the window until a share counts.
_ENOUGH_REQUESTS = 5.0
# Weight of each new lag in the mean lag.
_LAG_WEIGHT = 0.05
# Bound of the accounts and routes that are remembered.
_MAX_FLOWS = 10_000


@attrs.define
class _Account:
    """When an account asked last, and until when its debt lasts."""

    asked_at: float
    debt_until: float


class FairOrder:
    """Lags of requests, by account, route and priority."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._asked: dict[str, rates.DecayingRate] = {}
        self._granted: dict[str, rates.DecayingRate] = {}
        self._all_asked = rates.DecayingRate(_ROUTE_WINDOW_S)
        self._all_granted = rates.DecayingRate(_ROUTE_WINDOW_S)
        self._mean_lag_s = 0.0
        self._pruned_at = -math.inf

    @property
    def mean_lag_s(self) -> float:
        """Mean lag of the requests that were admitted recently."""
        return self._mean_lag_s

    def record_ask(self, account: str, route: str, now: float) -> None:
        """Record that a request asks for a slot."""
        self._prune(now)
        self._all_asked.record(now)
        _rate(self._asked, route).record(now)
        if account:
            known = self._accounts.get(account)
            if known is None:
                self._accounts[account] = _Account(now, now)
            else:
                known.asked_at = now

    def is_protected(self, route: str, now: float) -> bool:
        """Whether a route got too small a share of its requests served."""
        asked = _rate(self._asked, route).per_second(now)
        if asked * _ROUTE_WINDOW_S < _ENOUGH_REQUESTS:
            return False
        granted = _rate(self._granted, route).per_second(now)
        all_asked = self._all_asked.per_second(now)
        all_granted = self._all_granted.per_second(now)
        return granted / asked < _PROTECTED_SHARE * all_granted / all_asked

    def lag_s(
        self, account: str, route: str, priority: int, now: float
    ) -> float:
        """Return how much later than asked a request's turn is.

        :returns: in seconds, at least 0
        """
        urgency_s = 0.0
        if not self.is_protected(route, now):
            urgency_s = _LAG_PER_PRIORITY_S * _usable_priority(priority)
        return urgency_s + self._debt_s(account, now)

    def charge(
        self, account: str, lag_s: float, turn_s: float, now: float
    ) -> None:
        """Charge an account for a request that was admitted.

        :param lag_s: the request's lag
        :param turn_s: the mean time between two slots that get free
        """
        self._mean_lag_s += _LAG_WEIGHT * (lag_s - self._mean_lag_s)
        known = self._accounts.get(account)
        if known is None or not math.isfinite(turn_s):
            return
        start = max(now, known.debt_until)
        known.debt_until = min(
            start + turn_s * len(self._accounts), now + _MAX_DEBT_S
        )

    def record_grant(self, route: str, now: float) -> None:
        """Record that a request of a route got a slot."""
        self._all_granted.record(now)
        _rate(self._granted, route).record(now)

    def _debt_s(self, account: str, now: float) -> float:
        known = self._accounts.get(account)
        return 0.0 if known is None else max(0.0, known.debt_until - now)

    def _prune(self, now: float) -> None:
        """Drop inactive accounts, and all shares if there are too many."""
        crowded = len(self._accounts) >= _MAX_FLOWS
        if now < self._pruned_at + _ACCOUNT_ACTIVE_S and not crowded:
            return
        self._pruned_at = now
        oldest = now - _ACCOUNT_ACTIVE_S
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.asked_at >= oldest
        }
        if len(self._accounts) >= _MAX_FLOWS:
            self._accounts.clear()
        if len(self._asked) >= _MAX_FLOWS:
            self._asked.clear()
            self._granted.clear()


def _rate(
    known: dict[str, rates.DecayingRate], route: str
) -> rates.DecayingRate:
    rate = known.get(route)
    if rate is None:
        rate = known[route] = rates.DecayingRate(_ROUTE_WINDOW_S)
    return rate


def _usable_priority(priority: int) -> int:
    """Return a priority within the bounds; the last for an unusable one."""
    if not isinstance(priority, int) or priority < 0:
        return _MAX_PRIORITY
    return min(priority, _MAX_PRIORITY)
