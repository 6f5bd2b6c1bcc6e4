"""Which instances have asked this gateway for rest, and until when."""

import attrs

# The longest rest that is granted, in seconds: a broken instance that asks
# for days is tried again after it.
LONGEST_S = 60.0


@attrs.frozen
class Rest:
    """A rest that an instance asked for.

    :ivar asked_s: how long it is to last, in seconds, as the instance says
    :ivar granted_s: how long it lasts
    :ivar is_new: whether the instance did not rest already
    """

    asked_s: float
    granted_s: float
    is_new: bool


@attrs.define
class _Record:
    began: float
    until: float


class Rests:
    """The rests that are not over yet.

    A rest ends with its time and with nothing else: an answer of a request
    that was sent before says nothing about it, and neither does a shorter
    rest that is asked for later.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def ask(self, instance: str, asked_s: float, now: float) -> Rest:
        """Note that an instance asks for rest."""
        granted_s = min(asked_s, LONGEST_S)
        until = now + granted_s
        record = self._records.get(instance)
        is_new = record is None or record.until <= now
        if record is None or is_new:
            self._records[instance] = _Record(now, until)
        else:
            record.until = max(record.until, until)
        return Rest(asked_s, granted_s, is_new)

    def left_s(self, instance: str, now: float) -> float:
        """Return how much longer an instance rests; 0 if it does not."""
        record = self._records.get(instance)
        return 0.0 if record is None else max(0.0, record.until - now)

    def passed_s(self, instance: str, at: float) -> float | None:
        """Return for how long an instance had rested at a moment.

        :returns: seconds, or ``None`` if it did not rest then
        """
        record = self._records.get(instance)
        if record is None or not record.began < at < record.until:
            return None
        return at - record.began

    def count(self, now: float) -> int:
        """Return how many instances rest."""
        return sum(one.until > now for one in self._records.values())

    def forget_others(self, present: set[str]) -> None:
        """Forget the instances that are gone."""
        for name in self._records.keys() - present:
            del self._records[name]
