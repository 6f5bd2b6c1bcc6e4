"""Which instances have asked this gateway for rest, and until when."""

import random

import attrs

# The longest rest that is granted, in seconds: a broken instance that asks
# for days is tried again after it.
MAX_BACKOFF_S = 60.0
# How much later than it may, at most, a gateway comes back: as a share of the
# rest, and in seconds. Many gateways got the same rest at one moment.
_SPREAD_SHARE = 0.2
_SPREAD_S = 1.0
# After its rest an instance gets one request at a time from a gateway, then
# twice as many with each answer, up to so many: all that was kept from it
# would turn it away again.
_FIRST_RUNNING = 1
_FULL_RUNNING = 16


@attrs.frozen
class Backoff:
    """A rest that an instance asked for.

    :ivar asked_s: how long it is to last, in seconds, as the instance says
    :ivar granted_s: how long it lasts
    :ivar is_new: whether the instance did not rest already
    """

    requested_s: float
    granted_s: float
    is_new: bool


@attrs.define
class _Record:
    """What is known of one rest.

    :ivar running: the most requests that may run there at once after it
    """

    began: float
    until: float
    running: int = _FIRST_RUNNING


class Backoffs:
    """The rests that are not over yet, or from which instances come back.

    A rest ends with its time and with nothing else: an answer of a request
    that was sent before says nothing about it, and neither does a shorter
    rest that is asked for later.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __bool__(self) -> bool:
        """Whether any instance rests, or comes back from a rest."""
        return bool(self._records)

    def request(self, instance: str, asked_s: float, now: float) -> Backoff:
        """Note that an instance asks for rest."""
        granted_s = min(asked_s, MAX_BACKOFF_S)
        spread_s = min(granted_s * _SPREAD_SHARE, _SPREAD_S)
        until = now + granted_s + random.uniform(0.0, spread_s)
        record = self._records.get(instance)
        is_new = record is None or record.until <= now
        if record is None or is_new:
            self._records[instance] = _Record(now, until)
        else:
            record.until = max(record.until, until)
        return Backoff(asked_s, granted_s, is_new)

    def record_answer(self, instance: str, now: float) -> None:
        """Note that an instance took a request and answered it."""
        record = self._records.get(instance)
        if record is None or record.until > now:
            return
        record.running *= 2
        if record.running > _FULL_RUNNING:
            del self._records[instance]

    def may_send(self, instance: str, running: int, now: float) -> bool:
        """Whether an instance may get one more request, others being there.

        :param running: the requests of this gateway that run there
        """
        record = self._records.get(instance)
        if record is None:
            return True
        return record.until <= now and running < record.running

    def remaining_s(self, instance: str, now: float) -> float:
        """Return how much longer an instance rests; 0 if it does not."""
        record = self._records.get(instance)
        return 0.0 if record is None else max(0.0, record.until - now)

    def elapsed_s(self, instance: str, at: float) -> float | None:
        """Return for how long an instance had rested at a moment.

        :returns: seconds, or ``None`` if it did not rest then
        """
        record = self._records.get(instance)
        if record is None or not record.began < at < record.until:
            return None
        return at - record.began

    def active(self, now: float) -> list[str]:
        """Return the instances that rest."""
        return [name for name, one in self._records.items() if one.until > now]

    def retain(self, present: set[str]) -> None:
        """Forget the instances that are gone."""
        for name in self._records.keys() - present:
            del self._records[name]
