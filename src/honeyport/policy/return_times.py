"""When refused callers should come back.

Answers refusals that come at the same moment: if their callers return
together, most of them are refused again, and then for good. Each return is
planned for the time when room is forecast, one after the other as slots get
free for them. A caller that returns at its time is owed its place.
"""

import collections
import math

import attrs

# Callers honour a time to come back up to this share of the time that they
# have left.
_HONOURED_SHARE = 1.0 / 3.0
# The shortest time to come back, in seconds. Less than the way to the caller
# and back is no information.
_MIN_BACK_S = 0.02
# How much before its time a return counts, in seconds: clocks differ and
# callers round.
_EARLY_S = 0.005
# How long after its time a return is owed its place, in seconds. Covers a new
# connection and a caller's own jitter.
_WINDOW_S = 0.3
# Bound of the returns that are remembered.
_MAX_RETURNS = 10_000


@attrs.frozen
class Return:
    """A return that was planned.

    :ivar due_at: when the caller should be back
    :ivar objective_at: when the objective of its first request passes
    """

    due_at: float
    objective_at: float


class ReturnTimes:
    """The planned returns of one service."""

    def __init__(self) -> None:
        # By fingerprint, the oldest first.
        self._returns: collections.OrderedDict[bytes, Return] = (
            collections.OrderedDict()
        )
        self._last_due_at = -math.inf

    def __len__(self) -> int:
        return len(self._returns)

    def plan(
        self,
        fingerprint: bytes,
        *,
        room_s: float,
        interval_s: float,
        held_s: float,
        objective_at: float,
        deadline_at: float,
        now: float,
    ) -> float | None:
        """Plan a return; return the time until then, in seconds.

        A caller that repeats its request before its time is told the same
        time again.

        :param room_s: time until there likely is room for it
        :param interval_s: time between two returns that can be served
        :param held_s: how long the request will hold its slot
        :returns: ``None`` if the caller would not wait so long
        """
        self._forget(now)
        known = self._returns.get(fingerprint)
        if known is not None and known.due_at > now + _EARLY_S:
            return known.due_at - now
        due_at = max(
            now + max(_MIN_BACK_S, room_s), self._last_due_at + interval_s
        )
        left_s = deadline_at - now
        back_s = due_at - now
        honoured = back_s <= left_s * _HONOURED_SHARE
        if not honoured or back_s + held_s > left_s:
            return None
        self._last_due_at = due_at
        if fingerprint:
            self._returns[fingerprint] = Return(due_at, objective_at)
            if len(self._returns) > _MAX_RETURNS:
                self._returns.popitem(last=False)
        return back_s

    def claim(self, fingerprint: bytes, now: float) -> Return | None:
        """Return the planned return of a request if this is its time.

        It is claimed only once. One that is before its time is owed nothing,
        and its plan stays.
        """
        self._forget(now)
        known = self._returns.get(fingerprint)
        if known is None or now < known.due_at - _EARLY_S:
            return None
        return self._returns.pop(fingerprint)

    def _forget(self, now: float) -> None:
        """Drop the returns whose time is over."""
        while self._returns:
            oldest = next(iter(self._returns.values()))
            if now <= oldest.due_at + _WINDOW_S:
                return
            self._returns.popitem(last=False)
