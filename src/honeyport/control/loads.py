"""What runs on all routers together, and the messages that tell them.

The sums are the same for all routers, so each message is made once; a router
takes its own part off. Of the backend servers only those are named whose sum
changed since the message that a router got last.
"""

import collections

import attrs

from honeyport.wire import honeyport_pb2 as pb

# Sums that a message can start from; at a tick of 50 ms they go back 1.6 s,
# more than six periods of reports.
_KEPT = 32


@attrs.frozen(kw_only=True)
class Sum:
    """The reports of all routers, added up.

    :ivar totals: what runs or waits, by service
    :ivar running: what runs, by backend server
    :ivar settled: the highest view that every router with a lease has
    :ivar settled_version: the lowest version in force on one of them
    :ivar down: backend servers that do not answer
    :ivar leaving: backend servers that are leaving
    """

    totals: dict[str, int]
    running: dict[str, int]
    settled: int
    settled_version: int
    down: tuple[str, ...]
    leaving: tuple[str, ...]


class Loads:
    """The latest sum, and what leads to it from those before."""

    def __init__(self) -> None:
        self._number = 0
        self._latest: Sum | None = None
        self._past: collections.OrderedDict[int, dict[str, int]] = (
            collections.OrderedDict()
        )
        self._messages: dict[int, pb.Loads] = {}

    @property
    def number(self) -> int:
        """Counts the sums that differ from the one before."""
        return self._number

    def take(self, found: Sum) -> None:
        """Take a new sum, if it differs."""
        if found == self._latest:
            return
        self._latest = found
        self._number += 1
        self._past[self._number] = found.running
        if len(self._past) > _KEPT:
            self._past.popitem(last=False)
        self._messages.clear()

    def message(self, base: int) -> pb.Loads:
        """Return what brings a router to the latest sum.

        :param base: the number of the sum that it has; 0 for none
        """
        if base not in self._past:
            base = 0
        if base not in self._messages:
            self._messages[base] = self._make(base)
        return self._messages[base]

    def _make(self, base: int) -> pb.Loads:
        assert self._latest is not None
        latest = self._latest
        message = pb.Loads(
            number=self._number,
            base=base,
            settled=latest.settled,
            settled_version=latest.settled_version,
            down=latest.down,
            leaving=latest.leaving,
        )
        for service, running in sorted(latest.totals.items()):
            message.totals.add(service=service, running=running)
        before = self._past[base] if base else {}
        for backend in sorted(before.keys() | latest.running.keys()):
            running = latest.running.get(backend, 0)
            if running != before.get(backend, 0):
                message.residuals.add(backend=backend, running=running)
        return message
