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


class Rests:
    """The rests that are not over yet.

    A rest ends with its time and with nothing else: an answer of a request
    that was sent before says nothing about it, and neither does a shorter
    rest that is asked for later.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def ask(self, instance: str, asked_s: float, now: float) -> Rest:
        """Note that an instance asks for rest."""
        granted_s = min(asked_s, LONGEST_S)
        until = self._until.get(instance, now)
        self._until[instance] = max(until, now + granted_s)
        return Rest(asked_s, granted_s, is_new=until <= now)

    def left_s(self, instance: str, now: float) -> float:
        """Return how much longer an instance rests; 0 if it does not."""
        return max(0.0, self._until.get(instance, now) - now)

    def count(self, now: float) -> int:
        """Return how many instances rest."""
        return sum(until > now for until in self._until.values())

    def forget_others(self, present: set[str]) -> None:
        """Forget the instances that are gone."""
        for name in self._until.keys() - present:
            del self._until[name]
