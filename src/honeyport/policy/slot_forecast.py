"""How long a request will wait for a slot, and how long it will hold it.

Answers a load at which waiting is useful to some callers and harmful to
others: a request that waits past its objective takes a slot from one that
would still be in time. Who is told early can go elsewhere or come back.

Forecasts err. The time that requests really waited is compared with what they
were told, and later forecasts are corrected by the ratio.
"""

import math

from honeyport.policy import rates

# Length of the window of arrivals and ends, in seconds. Long enough to hold
# some dozens of short requests, short enough to follow a burst.
_WINDOW_S = 0.5
# Weight of each new duration of a route.
_HELD_WEIGHT = 0.05
# Weight of each new time between two slots that got free.
_SLOT_WEIGHT = 0.01
# How many durations of a route, or times between slots, are needed until they
# alone count.
_ENOUGH_VALUES = 20
# Weight of each new wait in the correction.
_WAIT_WEIGHT = 0.005
# The correction is bounded: an outage must not make the service look useless
# or endless once it is over.
_MIN_CORRECTION = 0.5
_MAX_CORRECTION = 2.0
# Waits below this are not distinguished, in seconds.
_RESOLUTION_S = 0.005
# Bounds of the memory of durations. Routes are configured, so that more are
# a sign of bad input.
_MAX_ROUTES = 1000


class ForecastCheck:
    """Compares forecasts of one lane with what then happened.

    :param min_correction: the smallest factor of later forecasts
    """

    def __init__(self, min_correction: float = _MIN_CORRECTION) -> None:
        self._min_correction = min_correction
        self._told_s = _RESOLUTION_S
        self._waited_s = _RESOLUTION_S
        self._error_s = 0.0

    @property
    def correction(self) -> float:
        """The factor by which later forecasts are corrected."""
        ratio = self._waited_s / self._told_s
        return min(_MAX_CORRECTION, max(self._min_correction, ratio))

    @property
    def error_s(self) -> float:
        """Mean absolute error of the recent forecasts, in seconds."""
        return self._error_s

    def record(
        self, plain_s: float, forecast_s: float, waited_s: float
    ) -> None:
        """Compare a forecast with what then happened.

        :param plain_s: the forecast without its correction
        :param forecast_s: the forecast
        :param waited_s: how long the request waited until it got a slot
        """
        if not math.isfinite(plain_s + forecast_s + waited_s):
            return
        told_s = max(_RESOLUTION_S, plain_s)
        waited_s = max(_RESOLUTION_S, waited_s)
        self._told_s += _WAIT_WEIGHT * (told_s - self._told_s)
        self._waited_s += _WAIT_WEIGHT * (waited_s - self._waited_s)
        error_s = abs(waited_s - max(_RESOLUTION_S, forecast_s))
        self._error_s += _WAIT_WEIGHT * (error_s - self._error_s)


class SlotForecast:
    """Forecasts for one service."""

    def __init__(self) -> None:
        self._first_lane = rates.DecayingRate(_WINDOW_S)
        self._held: dict[str, _Mean] = {}
        # Time that a slot is in use for each request, as seen from the times
        # between slots that got free while requests waited.
        self._slot_s = _Mean(_SLOT_WEIGHT)

    def wait_s(
        self, ahead: int, room, overtaken_s: float, max_load: float, now: float
    ) -> float:
        """Return the likely wait for a slot, in seconds; may be ``inf``.

        :param ahead: how many waiting requests get a slot before
        :param room: the slots of the service now
        :type room: :class:`honeyport.policy.wait_queue.Room`
        :param overtaken_s: how long others of the first lane go before
        :param max_load: the largest share of the slots that these can take
        """
        behind = ahead + 1 - max(0, room.slots - room.taken)
        if behind <= 0:
            return 0.0
        if room.slots <= 0:
            return math.inf
        turn_s = self._turn_s(room)
        queued_s = behind * turn_s
        load = min(max_load, self._first_lane.per_second(now) * turn_s)
        if load < 1.0 and queued_s / (1.0 - load) <= overtaken_s:
            return queued_s / (1.0 - load)
        return queued_s + load * overtaken_s if load else queued_s

    def interval_s(self, room, max_load: float, now: float) -> float:
        """Return the time between two slots that the first lane leaves.

        :returns: in seconds, may be ``inf``
        """
        if room.slots <= 0:
            return math.inf
        turn_s = self._turn_s(room)
        load = min(max_load, self._first_lane.per_second(now) * turn_s)
        return turn_s / (1.0 - load) if load < 1.0 else math.inf

    def held_s(self, route: str, room) -> float:
        """Return how long a request of a route likely holds a slot.

        :returns: in seconds
        """
        mean = self._held.get(route)
        usual_s = _usable(room.mean_held_s)
        return usual_s if mean is None else mean.blend(usual_s)

    def spread_s(self, route: str) -> float:
        """Return the mean deviation of the durations of a route.

        :returns: in seconds
        """
        mean = self._held.get(route)
        return 0.0 if mean is None else mean.deviation

    def record_first_lane(self, now: float) -> None:
        """Record a request that was added to the first lane."""
        self._first_lane.record(now)

    def record_turn(self, elapsed_s: float, slots: int) -> None:
        """Record the time between two slots that requests waited for.

        :param slots: of the service at that time
        """
        self._slot_s.record(max(0.0, elapsed_s) * slots)

    def record_held(self, route: str, held_s: float) -> None:
        """Record how long a request held its slot."""
        if not (math.isfinite(held_s) and held_s >= 0.0):
            return
        mean = self._held.get(route)
        if mean is None:
            if len(self._held) >= _MAX_ROUTES:
                self._held.clear()
            mean = self._held[route] = _Mean(_HELD_WEIGHT)
        mean.record(held_s)

    def doubt_held(self, route: str) -> None:
        """Trust the durations of a route less.

        Its requests are refused for them, so that no new one corrects them.
        """
        mean = self._held.get(route)
        if mean is not None:
            mean.count = max(0, min(mean.count, _ENOUGH_VALUES) - 1)

    def _turn_s(self, room) -> float:
        """Return the mean time between two slots that get free."""
        told_s = _usable(room.mean_held_s)
        factor = self._slot_s.blend(told_s) / told_s
        bounded = min(_MAX_CORRECTION, max(_MIN_CORRECTION, factor))
        return bounded * told_s / room.slots


class _Mean:
    """A moving mean of durations and of their deviations, in seconds."""

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self.value = 0.0
        self.deviation = 0.0
        self.count = 0

    def blend(self, usual: float) -> float:
        """Return the mean, or a value before it if there are few values."""
        known = min(1.0, self.count / _ENOUGH_VALUES)
        return known * self.value + (1.0 - known) * _usable(usual)

    def record(self, value: float) -> None:
        self.count += 1
        weight = max(self._weight, 1.0 / self.count)
        deviation = abs(value - self.value) if self.count > 1 else 0.0
        self.deviation += weight * (deviation - self.deviation)
        self.value += weight * (value - self.value)


def _usable(seconds: float) -> float:
    """Return a duration, or the shortest one if it is not usable."""
    if not math.isfinite(seconds) or seconds < _RESOLUTION_S:
        return _RESOLUTION_S
    return seconds
