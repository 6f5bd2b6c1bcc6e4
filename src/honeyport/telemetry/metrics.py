"""Counters, gauges and latency histograms of one process.

Latencies are recorded in HDR histograms and exported as summaries.
"""

import collections
import collections.abc

from hdrh import histogram

QUANTILES = (50.0, 95.0, 99.0)  # percent
# Range and precision of the histograms.
_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The metrics of a process, exported in the Prometheus text format."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = (
            collections.defaultdict(float)
        )
        self._gauges: dict[
            tuple[str, Labels], collections.abc.Callable[[], float]
        ] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter by an amount."""
        self._counters[name, tuple(sorted(labels.items()))] += amount

    def counter(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self._counters[name, tuple(sorted(labels.items()))]

    def gauge(
        self,
        name: str,
        read: collections.abc.Callable[[], float],
        **labels: str,
    ) -> None:
        """Register a gauge.

        :param read: returns the current value; called at each export
        """
        self._gauges[name, tuple(sorted(labels.items()))] = read

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration, in seconds."""
        recorded = self._histograms.get(name)
        if recorded is None:
            recorded = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[name] = recorded
        recorded.record_value(max(_LOWEST_US, int(seconds * 1e6)))

    def quantile(self, name: str, percent: float) -> float:
        """Return a quantile in seconds, or 0 if nothing was recorded.

        :param percent: the quantile in percent, such as 99.0
        """
        recorded = self._histograms.get(name)
        if recorded is None:
            return 0.0
        return recorded.get_value_at_percentile(percent) / 1e6

    @property
    def counters(self) -> dict[tuple[str, Labels], float]:
        """All counters by name and labels."""
        return self._counters

    @property
    def histograms(self) -> dict[str, histogram.HdrHistogram]:
        """All histograms by name."""
        return self._histograms

    def gauges(self) -> dict[tuple[str, Labels], float]:
        """Return the current values of all gauges by name and labels."""
        return {key: read() for key, read in self._gauges.items()}

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported here to save the library's memory until metrics are read.
        from honeyport.telemetry import exposition

        return exposition.render(self)
