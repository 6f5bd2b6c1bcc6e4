"""A model of gateways that know late what the others run.

Each tells what it runs once a period and gets the sum of all reports back, as
the leader added them up at its last tick. Requests come at random to any
gateway; an instance that is full turns a request away, and it is offered to
another one. All on a virtual clock, from a seed.
"""

import collections
import heapq
import itertools
import random
import statistics
import typing

import attrs

from honeyport.policy import stale

_PERIOD_S = 0.25
_TICK_S = 0.05
_OFFERS = 3
# Of the duration of requests: their logarithm is normally distributed.
_SPREAD = 0.5


@attrs.frozen(kw_only=True)
class Workload:
    """What comes, and who takes it."""

    gateways: int
    instances: int
    slots: int
    requests_per_s: float
    duration_s: float
    length_s: float = 20.0


class Replay:
    """One replay of a load.

    :param choose: takes the names of instances and what is known of them
    """

    def __init__(
        self,
        load: Workload,
        seed: int,
        choose: typing.Callable[
            [list[str], stale.LoadCounts], str
        ] = stale.choose,
    ) -> None:
        self._load = load
        self._choose = choose
        self._random = random.Random(seed)
        random.seed(seed)  # what the decision draws from
        self._names = [f'i-{number}' for number in range(load.instances)]
        gateways = range(load.gateways)
        self._running: collections.Counter[str] = collections.Counter()
        self._own = [collections.Counter[str]() for _ in gateways]
        self._reported = [collections.Counter[str]() for _ in gateways]
        self._summed = collections.Counter[str]()
        self._in_sum = list(self._reported)
        self._others = [collections.Counter[str]() for _ in gateways]
        self._heard = [0.0 for _ in gateways]
        self._stays = [stale.DurationMeans() for _ in gateways]
        self._events: list[tuple[float, int, typing.Any]] = []
        self._numbers = itertools.count()
        self._offers = 0
        self._refused = 0

    def refused_share(self) -> float:
        """Play it; return the share of offers that were turned away."""
        for gateway in range(self._load.gateways):
            first = self._random.random() * _PERIOD_S
            self._later(first, lambda now, one=gateway: self._report(one, now))
        self._later(0.0, self._tick)
        self._later(0.0, self._arrive)
        while self._events[0][0] < self._load.length_s:
            now, _, happen = heapq.heappop(self._events)
            happen(now)
        return self._refused / self._offers

    def _later(self, at: float, happen: typing.Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), happen))

    def _report(self, gateway: int, now: float) -> None:
        self._reported[gateway] = self._own[gateway].copy()
        own = self._in_sum[gateway]
        self._others[gateway] = self._summed - own
        self._heard[gateway] = now
        self._later(now + _PERIOD_S, lambda at: self._report(gateway, at))

    def _tick(self, now: float) -> None:
        self._in_sum = list(self._reported)
        self._summed = collections.Counter()
        for reported in self._in_sum:
            self._summed.update(reported)
        self._later(now + _TICK_S, self._tick)

    def _arrive(self, now: float) -> None:
        gap = self._random.expovariate(self._load.requests_per_s)
        self._later(now + gap, self._arrive)
        gateway = self._random.randrange(self._load.gateways)
        left = list(self._names)
        for _ in range(_OFFERS):
            name = self._choose(left, self._counts(gateway, now))
            self._offers += 1
            if self._running[name] < self._load.slots:
                self._run(gateway, name, now)
                return
            self._refused += 1
            left.remove(name)

    def _run(self, gateway: int, name: str, now: float) -> None:
        drawn = self._random.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
        stay_s = self._load.duration_s * drawn
        self._running[name] += 1
        self._own[gateway][name] += 1

        def end(at: float) -> None:
            self._running[name] -= 1
            self._own[gateway][name] -= 1
            self._stays[gateway].add('s', stay_s)

        self._later(now + stay_s, end)

    def _counts(self, gateway: int, now: float) -> stale.LoadCounts:
        return stale.LoadCounts(
            own=lambda name: self._own[gateway][name],
            others=lambda name: self._others[gateway][name],
            # Reports were half a period old on average when they were added.
            age_s=now - self._heard[gateway] + (_PERIOD_S + _TICK_S) / 2,
            mean_duration_s=self._stays[gateway].mean_s('s'),
        )


def least_loaded(names: list[str], counts: stale.LoadCounts) -> str:
    """Choose as if what is known of other gateways were true now."""

    def known(name: str) -> tuple[float, float]:
        return counts.total(name), random.random()

    return min(names, key=known)


def mean_refused_share(
    load: Workload, choose: typing.Any = stale.choose
) -> float:
    """Return the mean share of three seeds."""
    return statistics.fmean(
        Replay(load, seed, choose).refused_share() for seed in (1, 2, 3)
    )
