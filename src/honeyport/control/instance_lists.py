"""The lists of instances of one leadership, and how routers get them."""

from honeyport.control import deltas
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import listing

# Lists that a message can start from. Platforms change their list at most at
# each reading (0.9 s): a router may lag 14 s and still get what changed alone.
_KEPT = 16


class InstanceLists:
    """The latest lists; soft state of the leader.

    A list that was read is published at the next tick: what goes out between
    two ticks names instances by their indexes in one and the same list.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget all lists: this replica leads no longer."""
        self._history: deltas.History[pb.Instance, pb.InstanceList] = (
            deltas.History(_KEPT, self._make)
        )
        self._latest: list[pb.Instance] = []
        self._taken: tuple[int, list[pb.Instance]] | None = None
        self._digests = b''
        # To what another leader sent: by its number and its digests.
        self._from_others: dict[tuple[int, bytes], pb.InstanceList] = {}
        self._indexes: dict[str, int] = {}
        self._domains: dict[str, str] = {}

    @property
    def number(self) -> int:
        """The number of the latest list; 0 before the first one."""
        return self._history.number

    @property
    def latest(self) -> list[pb.Instance]:
        """The latest list; not to be changed."""
        return self._latest

    @property
    def indexes(self) -> dict[str, int]:
        """The index of each instance in the latest list."""
        return self._indexes

    @property
    def domains(self) -> dict[str, str]:
        """The failure domain of each instance in the latest list."""
        return self._domains

    def replace(self, number: int, latest: list[pb.Instance]) -> None:
        """Take a new list, by identifier; its number is above all others."""
        self._taken = (number, latest)

    def publish(self) -> None:
        """Make the list that was taken last the latest one.

        What did not change is shared with the lists before: 3,000 messages
        are a megabyte.
        """
        if self._taken is None:
            return
        number, latest = self._taken
        self._taken = None
        before = self._history.latest
        self._latest = [
            known if (known := before.get(one.id)) == one else one
            for one in latest
        ]
        by_id = {one.id: one for one in self._latest}
        self._history.append(number, by_id)
        self._digests = b''
        self._from_others.clear()
        self._domains = {one.id: one.domain for one in self._latest}
        self._indexes = {
            one.id: index for index, one in enumerate(self._latest)
        }

    def message(self, number: int, digests: bytes) -> pb.InstanceList:
        """Return what brings a router to the latest list.

        :param number: of the list that the router has; 0 if it has none
        :param digests: of that list, where another leader may have sent it
        """
        if self._history.has(number) or not (number and digests):
            return self._history.message(number)
        key = (number, digests)
        if key not in self._from_others:
            change = self._parts_that_differ(digests)
            self._from_others[key] = self._list_from(number, change)
        return self._from_others[key]

    def _make(self, change: deltas.Change[pb.Instance]) -> pb.InstanceList:
        packed = listing.pack(change.put.values(), change.removed)
        return self._list_from(change.base, packed)

    def _list_from(self, base: int, change: bytes) -> pb.InstanceList:
        return pb.InstanceList(number=self.number, base=base, change=change)

    def _parts_that_differ(self, digests: bytes) -> bytes:
        """Return the parts that a router has not, and what is cold.

        As a rule all routers had the same list from the former leader.
        """
        if not self._digests:
            self._digests = listing.digests(self._latest)
        parts = set(listing.differing(self._digests, digests))
        put = [
            one
            for one in self._latest
            if one.cold_ms or listing.part(one.id) in parts
        ]
        return listing.pack(put, parts=sorted(parts))
