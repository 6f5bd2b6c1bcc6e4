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
# How long a refusal is remembered, in seconds, also for callers that have
# more time left.
_REMEMBER_S = 5.0
# Bound of the refusals that are remembered.
_MAX_REFUSED = 10_000


@attrs.frozen
class Return:
    """A refused request that may come back.

    :ivar due_at: when it should be back, or ``None`` if that was not planned
    :ivar objective_at: when the objective of the first request passes
    :ivar forget_at: when it is forgotten
    """

    due_at: float | None
    objective_at: float
    forget_at: float

    def is_due(self, now: float) -> bool:
        """Whether it is owed its place now."""
        if self.due_at is None:
            return False
        return self.due_at - _EARLY_S <= now <= self.due_at + _WINDOW_S

    def is_planned(self, now: float) -> bool:
        """Whether its time is still to come."""
        return self.due_at is not None and now < self.due_at - _EARLY_S


class ReturnTimes:
    """The refused requests of one service, known by their fingerprints."""

    def __init__(self) -> None:
        # In the order of the refusals.
        self._refused: collections.OrderedDict[bytes, Return] = (
            collections.OrderedDict()
        )
        # When planned returns are due, by fingerprint, the earliest first.
        self._due_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._last_due_at = -math.inf

    def expected(self, now: float) -> int:
        """Return how many planned returns are still to come."""
        while self._due_at:
            if now <= next(iter(self._due_at.values())) + _WINDOW_S:
                break
            self._due_at.popitem(last=False)
        return len(self._due_at)

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
        """Record a refusal; return the time until the caller's return.

        A caller that repeats its request before its time is told the same
        time again.

        :param room_s: time until there likely is room for it
        :param interval_s: time between two returns that can be served
        :param held_s: how long the request will hold its slot
        :returns: in seconds; ``None`` if the caller would not wait so long
        """
        known = self._refused.get(fingerprint)
        if known is not None and known.is_planned(now):
            return known.due_at - now
        due_at = max(
            now + max(_MIN_BACK_S, room_s), self._last_due_at + interval_s
        )
        left_s = deadline_at - now
        longest_s = min(
            left_s * _HONOURED_SHARE,
            left_s - held_s,
            _REMEMBER_S - _WINDOW_S,
        )
        if due_at - now > longest_s:
            self._remember(fingerprint, None, objective_at, deadline_at, now)
            return None
        self._last_due_at = due_at
        self._remember(fingerprint, due_at, objective_at, deadline_at, now)
        return due_at - now

    def claim(self, fingerprint: bytes, now: float) -> Return | None:
        """Return what is known of a request that was refused before.

        It is claimed only once, but what was planned stays until its time.
        """
        self._forget(now)
        known = self._refused.get(fingerprint)
        if known is not None and not known.is_planned(now):
            del self._refused[fingerprint]
            self._due_at.pop(fingerprint, None)
        return known

    def _remember(
        self,
        fingerprint: bytes,
        due_at: float | None,
        objective_at: float,
        deadline_at: float,
        now: float,
    ) -> None:
        if not fingerprint:
            return
        forget_at = min(deadline_at, now + _REMEMBER_S)
        self._refused[fingerprint] = Return(due_at, objective_at, forget_at)
        self._refused.move_to_end(fingerprint)
        if due_at is not None:
            self._due_at[fingerprint] = due_at
            self._due_at.move_to_end(fingerprint)
        if len(self._refused) > _MAX_REFUSED:
            dropped, _ = self._refused.popitem(last=False)
            self._due_at.pop(dropped, None)

    def _forget(self, now: float) -> None:
        """Drop the oldest refusals whose callers gave up."""
        while self._refused:
            oldest = next(iter(self._refused.values()))
            if now <= oldest.forget_at:
                return
            self._refused.popitem(last=False)
