"""What runs on all routers together, and the messages that tell them.

The sums are the same for all routers, so each message is made once; a router
takes its own part off. Of the backend servers only those are named whose sum
changed since the message that a router got last.
"""

import attrs

from honeyport.control import deltas
from honeyport.control import instance_lists
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import instance_load

# Sums that a message can start from; at a tick of 50 ms they go back 0.8 s,
# three periods of reports. Each is 0.2 MB before 3,000 instances.
_KEPT = 16


@attrs.frozen(kw_only=True)
class LoadTotals:
    """The reports of all routers, added up.

    :ivar totals: what runs or waits, by service
    :ivar codes: what runs, and who is out of reach, by backend server: the
        codes of :mod:`honeyport.wire.instance_load`
    :ivar settled: the highest view that every router with a lease has
    :ivar settled_version: the lowest version in force on one of them
    :ivar down: backend servers that do not answer
    :ivar leaving: backend servers that are leaving
    """

    totals: dict[str, int]
    codes: dict[str, int]
    settled: int
    settled_version: int
    down: tuple[str, ...]
    leaving: tuple[str, ...]


class Loads:
    """The latest sum, and what leads to it from those before.

    :param lists: the lists of instances that the routers have
    """

    def __init__(self, lists: instance_lists.InstanceLists) -> None:
        self._lists = lists
        self._list_number = 0
        self._latest: LoadTotals | None = None
        self._history: deltas.History[int, pb.Loads] = deltas.History(
            _KEPT, self._make
        )

    @property
    def number(self) -> int:
        """Counts the sums that differ from the one before."""
        return self._history.number

    def update(self, found: LoadTotals) -> None:
        """Take a new sum, if it differs.

        With a new list of instances the same ones have other indexes, and
        all of them are told.
        """
        if self._lists.number != self._list_number:
            self._list_number = self._lists.number
            self._history.clear()
        elif found == self._latest:
            return
        self._latest = found
        self._history.append(self._history.number + 1, found.codes)

    def message(self, base: int) -> pb.Loads:
        """Return what brings a router to the latest sum.

        :param base: the number of the sum that it has; 0 for none
        """
        return self._history.message(base)

    def _make(self, change: deltas.Change[int]) -> pb.Loads:
        assert self._latest is not None
        latest = self._latest
        message = pb.Loads(
            number=self.number,
            base=change.base,
            settled=latest.settled,
            settled_version=latest.settled_version,
            down=latest.down,
            leaving=latest.leaving,
            instances=self._list_number,
        )
        for service, running in sorted(latest.totals.items()):
            message.totals.add(service=service, running=running)
        self._name(message, {**dict.fromkeys(change.removed, 0), **change.put})
        return message

    def _name(self, message: pb.Loads, codes: dict[str, int]) -> None:
        """Say what runs, by index where the list of instances has one."""
        indexes = self._lists.indexes
        before = -1
        listed = [name for name in codes if name in indexes]
        for name in sorted(listed, key=indexes.__getitem__):
            message.steps.append(indexes[name] - before)
            message.codes.append(codes[name])
            before = indexes[name]
        for name in sorted(codes.keys() - indexes.keys()):
            load = instance_load.decode(codes[name])
            message.residuals.add(backend=name, running=load.running)
