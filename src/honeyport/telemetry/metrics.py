"""Counters, gauges and latency histograms of one process.

Latencies are kept in HDR histograms, and shown as summaries with the
quantiles that the promises speak of.
"""

import collections
import collections.abc
import typing

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus_core

QUANTILES = (50.0, 95.0, 99.0)
_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """What one process counts; exported in the Prometheus text format."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = (
            collections.defaultdict(float)
        )
        self._gauges: dict[
            tuple[str, Labels], collections.abc.Callable[[], float]
        ] = {}
        self._timers: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counters[name, tuple(sorted(labels.items()))] += amount

    def counter(self, name: str, **labels: str) -> float:
        """Return what a counter has reached."""
        return self._counters[name, tuple(sorted(labels.items()))]

    def gauge(
        self,
        name: str,
        read: collections.abc.Callable[[], float],
        **labels: str,
    ) -> None:
        """Register a function that is read at each export."""
        self._gauges[name, tuple(sorted(labels.items()))] = read

    def observe(self, name: str, seconds: float) -> None:
        """Record one duration."""
        timer = self._timers.get(name)
        if timer is None:
            timer = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            self._timers[name] = timer
        timer.record_value(max(_LOWEST_US, int(seconds * 1e6)))

    def quantile(self, name: str, percent: float) -> float:
        """Return a quantile in seconds, or 0 if nothing was recorded."""
        timer = self._timers.get(name)
        if timer is None:
            return 0.0
        return timer.get_value_at_percentile(percent) / 1e6

    def collect(self) -> typing.Iterator[prometheus_core.Metric]:
        """Yield metric families, as ``prometheus_client`` asks."""
        yield from _families(
            prometheus_core.CounterMetricFamily, self._counters.items()
        )
        gauges = [(key, read()) for key, read in self._gauges.items()]
        yield from _families(prometheus_core.GaugeMetricFamily, gauges)
        for name, timer in self._timers.items():
            yield self._summary(name, timer)

    def export(self) -> bytes:
        """Return everything in the Prometheus text format."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(typing.cast(typing.Any, self))
        return prometheus_client.generate_latest(registry)

    def _summary(
        self, name: str, timer: histogram.HdrHistogram
    ) -> prometheus_core.Metric:
        family = prometheus_core.Metric(f'honeyport_{name}', name, 'summary')
        for percent in QUANTILES:
            family.add_sample(
                f'honeyport_{name}',
                {'quantile': str(percent / 100)},
                self.quantile(name, percent),
            )
        count = timer.get_total_count()
        family.add_sample(f'honeyport_{name}_count', {}, count)
        return family


def _families(
    kind: typing.Any, samples: typing.Iterable[typing.Any]
) -> typing.Iterator[prometheus_core.Metric]:
    families: dict[str, typing.Any] = {}
    for (name, labels), value in samples:
        family = families.get(name)
        if family is None:
            names = [key for key, _ in labels]
            family = kind(f'honeyport_{name}', name, labels=names)
            families[name] = family
        family.add_metric([value for _, value in labels], value)
    yield from families.values()
