"""Total loads of all routers, and the messages that carry them.

The totals are the same for all routers, so each message is built once; a
router subtracts its own part. A message has only the backend servers whose
totals changed since the last message to the router.
"""

import attrs

from honeyport.control import deltas
from honeyport.control import instance_lists
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import instance_load

# Totals that are kept as the base of a change; routers with older ones get
# all loads. At a tick of 50 ms they cover three report periods.
_MAX_KEPT_TOTALS = 16


@attrs.frozen(kw_only=True)
class LoadTotals:
    """The reports of all routers, added up.

    :ivar totals: the number of running and waiting requests, by service
    :ivar codes: running requests and reachability by backend server, encoded
        by :mod:`honeyport.wire.instance_load`
    :ivar settled: the highest view that every router with a lease has
    :ivar settled_version: the lowest version in force on one of them
    :ivar down: backend servers that do not answer
    :ivar leaving: backend servers that are leaving
    :ivar brittle: tolerated rejections within one second, by brittle service
    """

    totals: dict[str, int]
    codes: dict[str, int]
    settled: int
    settled_version: int
    down: tuple[str, ...]
    leaving: tuple[str, ...]
    brittle: dict[str, int]


class Loads:
    """The latest totals, and changes to them from earlier ones.

    :param lists: the lists of instances that the routers have
    """

    def __init__(self, lists: instance_lists.InstanceLists) -> None:
        self._lists = lists
        self._list_number = 0
        self._latest: LoadTotals | None = None
        self._history: deltas.History[int, pb.Loads] = deltas.History(
            _MAX_KEPT_TOTALS, self._make_message
        )

    @property
    def number(self) -> int:
        """The number of the latest totals; 0 before the first ones."""
        return self._history.number

    def update(self, totals: LoadTotals) -> None:
        """Set new totals, if they differ from the latest ones.

        With a new list of instances the indexes change, so that the next
        message has all instances.
        """
        if self._lists.number != self._list_number:
            self._list_number = self._lists.number
            self._history.clear()
        elif totals == self._latest:
            return
        self._latest = totals
        self._history.append(self._history.number + 1, totals.codes)

    def message(self, base: int) -> pb.Loads:
        """Return the message that updates a router to the latest totals.

        :param base: the number of the totals that it has; 0 for none
        """
        return self._history.message(base)

    def _make_message(self, change: deltas.Change[int]) -> pb.Loads:
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
        for service, rejections in sorted(latest.brittle.items()):
            message.brittle.add(service=service, rejections=rejections)
        self._add_instance_loads(
            message, {**dict.fromkeys(change.removed, 0), **change.put}
        )
        return message

    def _add_instance_loads(
        self, message: pb.Loads, codes: dict[str, int]
    ) -> None:
        """Add the loads of instances, by index or else by name.

        Indexes ascend and are encoded as differences.
        """
        indexes = self._lists.indexes
        previous_index = -1
        listed = [name for name in codes if name in indexes]
        for name in sorted(listed, key=indexes.__getitem__):
            message.steps.append(indexes[name] - previous_index)
            message.codes.append(codes[name])
            previous_index = indexes[name]
        for name in sorted(codes.keys() - indexes.keys()):
            load = instance_load.decode(codes[name])
            message.residuals.add(backend=name, running=load.running)
