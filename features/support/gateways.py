"""Simulation of gateways with delayed load counts of each other.

Each gateway reports its load periodically and gets the sum of all reports,
as the leader last computed it. Requests arrive at random gateways; a full
instance rejects a request, which is then offered to another instance. The
simulation runs on a virtual clock from a seed.
"""

import collections
import heapq
import itertools
import random
import statistics
import typing

import attrs

from honeyport.policy import stale

_REPORT_PERIOD_S = 0.25
_SUM_PERIOD_S = 0.05
_MAX_OFFERS = 3
# Standard deviation of the log-normal request durations.
_DURATION_SIGMA = 0.5


@attrs.frozen(kw_only=True)
class Workload:
    """Arrivals, their durations and the capacity of the fleet."""

    gateways: int
    instances: int
    slots: int
    requests_per_s: float
    duration_s: float
    length_s: float = 20.0


class Simulation:
    """One simulation of a workload.

    :param choose: picks one of several instance ids by their counts
    """

    def __init__(
        self,
        workload: Workload,
        seed: int,
        choose: typing.Callable[
            [list[str], stale.LoadCounts], str
        ] = stale.choose,
    ) -> None:
        self._workload = workload
        self._choose = choose
        self._random = random.Random(seed)
        random.seed(seed)  # the policy uses the global generator
        self._instance_ids = [
            f'i-{number}' for number in range(workload.instances)
        ]
        gateways = range(workload.gateways)
        self._running: collections.Counter[str] = collections.Counter()
        self._running_by_gateway = [
            collections.Counter[str]() for _ in gateways
        ]
        self._reported = [collections.Counter[str]() for _ in gateways]
        self._total = collections.Counter[str]()
        self._counted_reports = list(self._reported)
        self._remote_running = [collections.Counter[str]() for _ in gateways]
        self._updated_at = [0.0 for _ in gateways]
        self._durations = [stale.DurationMeans() for _ in gateways]
        self._event_queue: list[tuple[float, int, typing.Any]] = []
        self._sequence = itertools.count()
        self._offers = 0
        self._refused_offers = 0

    def refused_share(self) -> float:
        """Run the simulation; return the share of rejected offers."""
        for gateway in range(self._workload.gateways):
            first = self._random.random() * _REPORT_PERIOD_S
            self._schedule(
                first, lambda now, index=gateway: self._report(index, now)
            )
        self._schedule(0.0, self._add_up_reports)
        self._schedule(0.0, self._handle_arrival)
        while self._event_queue[0][0] < self._workload.length_s:
            now, _, callback = heapq.heappop(self._event_queue)
            callback(now)
        return self._refused_offers / self._offers

    def _schedule(self, at: float, callback: typing.Any) -> None:
        heapq.heappush(self._event_queue, (at, next(self._sequence), callback))

    def _report(self, gateway: int, now: float) -> None:
        self._reported[gateway] = self._running_by_gateway[gateway].copy()
        counted = self._counted_reports[gateway]
        self._remote_running[gateway] = self._total - counted
        self._updated_at[gateway] = now
        self._schedule(
            now + _REPORT_PERIOD_S, lambda at: self._report(gateway, at)
        )

    def _add_up_reports(self, now: float) -> None:
        self._counted_reports = list(self._reported)
        self._total = collections.Counter()
        for reported in self._counted_reports:
            self._total.update(reported)
        self._schedule(now + _SUM_PERIOD_S, self._add_up_reports)

    def _handle_arrival(self, now: float) -> None:
        gap = self._random.expovariate(self._workload.requests_per_s)
        self._schedule(now + gap, self._handle_arrival)
        gateway = self._random.randrange(self._workload.gateways)
        untried = list(self._instance_ids)
        for _ in range(_MAX_OFFERS):
            instance_id = self._choose(untried, self._counts(gateway, now))
            self._offers += 1
            if self._running[instance_id] < self._workload.slots:
                self._start_request(gateway, instance_id, now)
                return
            self._refused_offers += 1
            untried.remove(instance_id)

    def _start_request(
        self, gateway: int, instance_id: str, now: float
    ) -> None:
        factor = self._random.lognormvariate(
            -(_DURATION_SIGMA**2) / 2, _DURATION_SIGMA
        )
        duration_s = self._workload.duration_s * factor
        self._running[instance_id] += 1
        self._running_by_gateway[gateway][instance_id] += 1

        def end(at: float) -> None:
            self._running[instance_id] -= 1
            self._running_by_gateway[gateway][instance_id] -= 1
            self._durations[gateway].add('s', duration_s)

        self._schedule(now + duration_s, end)

    def _counts(self, gateway: int, now: float) -> stale.LoadCounts:
        return stale.LoadCounts(
            own=lambda name: self._running_by_gateway[gateway][name],
            others=lambda name: self._remote_running[gateway][name],
            # Reports are half a period old on average when they are summed.
            age_s=now
            - self._updated_at[gateway]
            + (_REPORT_PERIOD_S + _SUM_PERIOD_S) / 2,
            mean_duration_s=self._durations[gateway].mean_s('s'),
        )


def least_loaded(instance_ids: list[str], counts: stale.LoadCounts) -> str:
    """Choose the least loaded instance, as if the counts were current."""

    def sort_key(instance_id: str) -> tuple[float, float]:
        return counts.total(instance_id), random.random()

    return min(instance_ids, key=sort_key)


def mean_refused_share(
    workload: Workload, choose: typing.Any = stale.choose
) -> float:
    """Return the mean share of rejected offers over three seeds."""
    return statistics.fmean(
        Simulation(workload, seed, choose).refused_share()
        for seed in (1, 2, 3)
    )
