"""How many connections of clients are open, and which one makes room.

File descriptors are shared with connections to instances, other gateways and
the platform, and with files.
"""

import collections.abc
import enum

import attrs

# Shares of the file descriptors of the process. A request in progress takes
# one for its caller, and may take one for an instance.
_CALLERS_SHARE = 1 / 2
_PAGE_SHARE = 1 / 16
# Share of the memory for connections of callers, and the bytes that one of
# them takes whose request has a large head.
_MEMORY_SHARE = 1 / 8
_CONNECTION_BYTES = 24 * 1024
_MIN_CONNECTIONS = 8
# Time without progress after which a connection may be closed. The first
# request on a new connection arrives within it.
_STALL_S = 1.0
# Connections that are closed at once, so that not every new one requires a
# search.
_BATCH = 8


class Phase(enum.IntEnum):
    """What happens on a connection; a lower one is closed first."""

    IDLE = 0  # no request, or an incomplete head
    RECEIVING = 1  # a body
    SERVING = 2


@attrs.define(eq=False)
class Connection:
    """A connection of a client.

    :ivar key: identifies it
    :ivar progressed_at: loop time at which its phase began, or more of a body
        arrived
    :ivar head_since: loop time at which an incomplete head was first seen;
        ``None`` if there is none
    """

    key: collections.abc.Hashable
    progressed_at: float
    phase: Phase = Phase.IDLE
    head_since: float | None = None

    def enter(self, phase: Phase, now: float) -> None:
        """Record that a phase begins."""
        self.phase = phase
        self.progressed_at = now
        self.head_since = None


def max_for_callers(descriptors: int, memory_bytes: float) -> int:
    """Return the number of connections for callers.

    :param descriptors: file descriptors of the process
    :param memory_bytes: memory of the machine
    """
    by_memory = memory_bytes * _MEMORY_SHARE / _CONNECTION_BYTES
    return max(
        _MIN_CONNECTIONS, int(min(descriptors * _CALLERS_SHARE, by_memory))
    )


def max_for_page(descriptors: int) -> int:
    """Return the number of connections for one address beside callers'."""
    return max(_MIN_CONNECTIONS, int(descriptors * _PAGE_SHARE))


def select_closed(
    connections: collections.abc.Iterable[Connection], now: float
) -> list[Connection]:
    """Return the connections to close, so that a new one has room.

    A connection whose request is served is never closed.
    """
    stalled = [
        connection
        for connection in connections
        if connection.phase is not Phase.SERVING
        and now - connection.progressed_at >= _STALL_S
    ]
    stalled.sort(key=lambda each: (each.phase, each.progressed_at))
    return stalled[:_BATCH]
