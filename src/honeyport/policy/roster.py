"""Which routers a leader knows of, and when it calls those that are missing.

The load this answers: all processes start again at the same moment, and what
their settings name are instances that know nothing either. Only the control
replicas have disks, so they remember where the routers listen, and the leader
calls them.
"""

import collections.abc

import attrs

# Between two calls to a router that does not answer, in seconds: first a
# little longer than a router needs to come by itself, then twice as long each
# time. One that restarts is back within the first minute as a rule, and is
# called at least every 4 s until then; later every 30 s, so that a lost
# region's routers cost a leader little.
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 4.0
_SOON_S = 60.0
_LATER_PAUSE_S = 30.0
# A router that has been missing for so long is forgotten, in seconds: regions
# lose each other for an hour now and then. At 1,700 instances replaced a day
# some 70 are called in vain.
_FORGOTTEN_S = 3600.0

Addresses = collections.abc.Mapping[str, str]
Names = collections.abc.Container[str]


@attrs.define
class _Missing:
    """A router without a stream."""

    since: float
    due: float
    pause_s: float = _FIRST_PAUSE_S

    def postpone(self, now: float) -> None:
        """Set the time of the call after this one."""
        self.pause_s = min(2 * self.pause_s, _LONGEST_PAUSE_S)
        if now - self.since > _SOON_S:
            self.pause_s = _LATER_PAUSE_S
        self.due = now + self.pause_s


class ReconnectSchedule:
    """The routers of one leadership, by name and address."""

    def __init__(self) -> None:
        self._missing: dict[str, _Missing] = {}

    def expired(self, known: Addresses, now: float) -> list[str]:
        """Return the names of those that have been missing for too long."""
        return [
            name
            for name, missing in self._missing.items()
            if name in known and now - missing.since > _FORGOTTEN_S
        ]

    def due(
        self, known: Addresses, attached: Names, now: float, most: int
    ) -> list[str]:
        """Return the names of those to call now.

        :param known: the routers that are remembered
        :param attached: those that have a stream
        :param most: how many there are at the most; the others are due later
        """
        for name in list(self._missing):
            if name in attached or name not in known:
                del self._missing[name]
        found = []
        for name in known:
            if name in attached:
                continue
            missing = self._missing.setdefault(
                name, _Missing(now, now + _FIRST_PAUSE_S)
            )
            if missing.due <= now:
                found.append((missing.due, name))
        # Who waits longest goes first: hundreds cannot be called at once.
        called = [name for _, name in sorted(found)[:most]]
        for name in called:
            self._missing[name].postpone(now)
        return called
