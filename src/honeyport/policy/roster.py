"""Schedule the leader's connection attempts to disconnected routers.

After a restart of all processes, the settings of a router may name no control
replica. So the replicas store the addresses of the routers, and the leader
connects to those that have no stream to it.
"""

import collections.abc

import attrs

# Pauses between attempts to connect to a router, which double up to the
# maximum. The late pause applies to routers that have been disconnected for
# longer than a restart may take.
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
_RESTART_MAX_S = 60.0
_LATE_PAUSE_S = 30.0
# Routers that are disconnected for longer are removed from the stored ones.
_EXPIRE_DISCONNECTED_S = 3600.0

Addresses = collections.abc.Mapping[str, str]
Names = collections.abc.Container[str]


@attrs.define
class _DisconnectedRouter:
    """A router without a stream.

    :ivar since: loop time from which it has been disconnected
    :ivar due_at: loop time of the next attempt
    :ivar pause_s: the latest pause, in seconds
    """

    since: float
    due_at: float
    pause_s: float = _FIRST_PAUSE_S

    def schedule_next(self, now: float) -> None:
        """Schedule the next attempt after an attempt at this time."""
        self.pause_s = min(2 * self.pause_s, _MAX_PAUSE_S)
        if now - self.since > _RESTART_MAX_S:
            self.pause_s = _LATE_PAUSE_S
        self.due_at = now + self.pause_s


class ReconnectSchedule:
    """The routers without a stream, and the next attempts to reach them."""

    def __init__(self) -> None:
        self._disconnected: dict[str, _DisconnectedRouter] = {}

    def expired(self, known: Addresses, now: float) -> list[str]:
        """Return the names of routers to remove from the stored ones.

        :param known: the stored routers, by name
        :param now: as loop time, in seconds
        """
        return [
            name
            for name, disconnected in self._disconnected.items()
            if name in known
            and now - disconnected.since > _EXPIRE_DISCONNECTED_S
        ]

    def due(
        self, known: Addresses, connected: Names, now: float, limit: int
    ) -> list[str]:
        """Return the names of the routers to connect to now.

        :param known: the stored routers, by name
        :param connected: those that have a stream
        :param now: as loop time, in seconds
        :param limit: the maximum number of attempts; others are due later
        """
        for name in list(self._disconnected):
            if name in connected or name not in known:
                del self._disconnected[name]
        due = []
        for name in known:
            if name in connected:
                continue
            disconnected = self._disconnected.setdefault(
                name, _DisconnectedRouter(now, now + _FIRST_PAUSE_S)
            )
            if disconnected.due_at <= now:
                due.append((disconnected.due_at, name))
        selected = [name for _, name in sorted(due)[:limit]]
        for name in selected:
            self._disconnected[name].schedule_next(now)
        return selected
