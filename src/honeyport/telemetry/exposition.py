"""Metrics in the Prometheus text format."""

import typing

import prometheus_client
from prometheus_client import core as prometheus_core

from honeyport.telemetry import metrics


class _Collector:
    """A collector for ``prometheus_client``'s registry.

    :param source: the metrics of the process
    """

    def __init__(self, source: metrics.Metrics) -> None:
        self._metrics = source

    def collect(self) -> typing.Iterator[prometheus_core.Metric]:
        """Yield the metric families; called by the registry."""
        source = self._metrics
        yield from _families(
            prometheus_core.CounterMetricFamily, source.counters.items()
        )
        yield from _families(
            prometheus_core.GaugeMetricFamily, source.gauges().items()
        )
        for name in source.histograms:
            yield self._summary(name)

    def _summary(self, name: str) -> prometheus_core.Metric:
        family = prometheus_core.Metric(f'honeyport_{name}', name, 'summary')
        for percent in metrics.QUANTILES:
            family.add_sample(
                f'honeyport_{name}',
                {'quantile': str(percent / 100)},
                self._metrics.quantile(name, percent),
            )
        count = self._metrics.histograms[name].get_total_count()
        family.add_sample(f'honeyport_{name}_count', {}, count)
        return family


def render(source: metrics.Metrics) -> bytes:
    """Return all metrics of a process in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(typing.cast(typing.Any, _Collector(source)))
    return prometheus_client.generate_latest(registry)


def _families(
    family_class: typing.Any, samples: typing.Iterable[typing.Any]
) -> typing.Iterator[prometheus_core.Metric]:
    families: dict[str, typing.Any] = {}
    for (name, labels), value in samples:
        family = families.get(name)
        if family is None:
            names = [key for key, _ in labels]
            family = family_class(f'honeyport_{name}', name, labels=names)
            families[name] = family
        family.add_metric([value for _, value in labels], value)
    yield from families.values()
