"""Rates of events, as exponentially decaying counts."""

import math


class DecayingRate:
    """How many events there were a second, recent ones first.

    :param window_s: the time constant of the decay, in seconds
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._count = 0.0
        self._updated_at = -math.inf

    def record(self, now: float, count: float = 1.0) -> None:
        """Record events."""
        self._count = self._decayed(now) + count
        self._updated_at = max(self._updated_at, now)

    def per_second(self, now: float) -> float:
        """Return the rate."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._updated_at)
        return self._count * math.exp(-elapsed_s / self._window_s)
