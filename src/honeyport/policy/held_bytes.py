"""Bounds of the bytes that a gateway holds for callers and instances.

Answers the load of callers that read slowly, of instances that read slowly
and of bursts of large requests: a gateway that runs out of memory breaks all
of its requests at once.
"""

import collections.abc
import math

import attrs

from honeyport.policy import rates

# Requests with larger bodies are the first to be refused: one of them takes
# the room of many others.
_LARGE_BODY_BYTES = 64 * 1024
# Share of the maximum from which large bodies are refused. The rest is left to
# small requests, and to the answers to requests under way.
_LARGE_BODY_SHARE = 0.5
# Share of the maximum from which whole answers are passed on while they
# arrive, and callers that read nothing are cut off sooner.
_PRESSURE_SHARE = 0.75
# Time without progress after which a caller is cut off. A phone that changes
# networks goes on within it.
_STALL_S = 30.0
# The same under pressure. Several retransmissions of a lost packet fit.
_STALL_UNDER_PRESSURE_S = 5.0
# Share of the machine's memory that should be held at most, and its minimum.
# The process itself takes most of the rest.
_MEMORY_SHARE = 1 / 8
_MIN_BYTES = 8_000_000
# Time constant of the rate of releases, in seconds.
_RATE_WINDOW_S = 1.0
# The shortest time to come back, in seconds.
_MIN_BACK_S = 0.05


@attrs.frozen
class Stalled:
    """A caller that has unread bytes.

    :ivar key: identifies it
    :ivar progress_at: when it last took any bytes, in seconds
    :ivar held: bytes that are held for its request
    """

    key: collections.abc.Hashable
    progress_at: float
    held: int


def create_release_rate() -> rates.DecayingRate:
    """Return a new rate at which held bytes become free."""
    return rates.DecayingRate(_RATE_WINDOW_S)


def max_held_bytes(memory_bytes: float) -> float:
    """Return how many bytes a machine should hold at most."""
    return max(_MIN_BYTES, memory_bytes * _MEMORY_SHARE)


@attrs.frozen
class Limits:
    """Decides who is refused or cut off as memory gets short.

    :ivar max_bytes: that should be held at most; ``inf`` for no limit, in
        which case no caller is cut off either
    """

    max_bytes: float

    def admits(self, held: int, body_bytes: int) -> bool:
        """Whether a request may be read whose body was not read yet.

        While nothing is held, any request may: one that is larger than the
        maximum is served alone.
        """
        if not held:
            return True
        return held + body_bytes <= self._limit_for(body_bytes)

    def excess(self, held: int, body_bytes: int) -> int:
        """Return how many bytes too many would be held with a body.

        At most all that are held, as one body alone is always admitted.
        """
        allowed = max(0.0, self._limit_for(body_bytes) - body_bytes)
        return math.ceil(max(0.0, held - allowed))

    def back_s(self, held: int, rate: float) -> float:
        """Return when a refused caller should come back, in seconds.

        :param rate: at which held bytes become free, in bytes per second
        """
        if rate <= 0:
            return _STALL_UNDER_PRESSURE_S
        # When room for this body is free, new requests compete for it; by the
        # time that all that is held has been released, the load has changed.
        return min(max(held / rate, _MIN_BACK_S), _STALL_UNDER_PRESSURE_S)

    def is_under_pressure(self, held: int) -> bool:
        """Whether memory is short."""
        return held > self.max_bytes * _PRESSURE_SHARE

    def passes_on_unfinished(self, held: int, answer_bytes: int) -> bool:
        """Whether an answer is passed on before it is complete.

        That bounds what is held for it, but it can no longer be taken from
        another instance if this one fails.
        """
        return answer_bytes > _LARGE_BODY_BYTES and self.is_under_pressure(
            held
        )

    def select_stalled(
        self,
        waiting: collections.abc.Iterable[Stalled],
        held: int,
        now: float,
    ) -> list[Stalled]:
        """Return the callers to cut off, the longest stalled first.

        A caller that takes any bytes is kept, however slow it is.
        """
        if math.isinf(self.max_bytes):
            return []
        selected = []
        for caller in sorted(waiting, key=lambda each: each.progress_at):
            stalled_s = now - caller.progress_at
            is_expected = (
                stalled_s < _STALL_UNDER_PRESSURE_S
                or not self.is_under_pressure(held)
            )
            if is_expected and stalled_s < _STALL_S:
                break
            selected.append(caller)
            held -= caller.held
        return selected

    def _limit_for(self, body_bytes: int) -> float:
        is_large = body_bytes > _LARGE_BODY_BYTES
        return self.max_bytes * (_LARGE_BODY_SHARE if is_large else 1.0)
