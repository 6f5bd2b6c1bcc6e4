"""Which request bodies have to make room while they are received.

A client that announces a body and stops takes the room of others for as long
as its connection is open.
"""

import collections.abc

import attrs

# Bytes that count as progress. Single bytes now and then do not.
_STEP_BYTES = 16 * 1024
# Time without progress after which a body may have to make room. A lost
# packet is sent again within it.
_STALL_S = 1.0


@attrs.define(eq=False)
class Body:
    """A request body that is received.

    :ivar key: identifies it
    :ivar announced: its length in bytes; 0 if it is not known
    :ivar deadline: loop time after which its request cannot be served
    :ivar progressed_at: loop time of its last progress
    :ivar received: bytes
    """

    key: collections.abc.Hashable
    announced: int
    started_at: float
    deadline: float
    progressed_at: float = attrs.field(init=False)
    received: int = attrs.field(init=False, default=0)
    _counted: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.progressed_at = self.started_at

    @property
    def held(self) -> int:
        """Bytes that it takes: all that it has announced."""
        return max(self.announced, self.received)

    def record(self, received: int, now: float) -> None:
        """Record how many bytes have been received in all."""
        self.received = received
        if received - self._counted >= _STEP_BYTES:
            self._counted = received
            self.progressed_at = now


def is_behind(body: Body, now: float) -> bool:
    """Whether a body stands still, or cannot be whole by its deadline."""
    if now - body.progressed_at >= _STALL_S:
        return True
    age_s = now - body.started_at
    if age_s < _STALL_S or not body.announced:
        return False
    remaining = body.announced - body.received
    return remaining * age_s > body.received * (body.deadline - now)


def select_evicted(
    bodies: collections.abc.Iterable[Body], needed: int, now: float
) -> list[Body]:
    """Return the bodies to give up, so that others have room.

    Those that have made no progress for the longest time go first. None goes
    if that is not enough.

    :param needed: bytes
    """
    behind = [body for body in bodies if is_behind(body, now)]
    selected = []
    for body in sorted(behind, key=lambda each: each.progressed_at):
        if needed <= 0:
            break
        selected.append(body)
        needed -= body.held
    return selected if needed <= 0 else []


def select_late(
    bodies: collections.abc.Iterable[Body], now: float
) -> list[Body]:
    """Return the bodies whose deadline has passed."""
    return [body for body in bodies if now >= body.deadline]
