"""The lists of instances of one term, and the messages that carry them."""

import collections.abc

import attrs

from honeyport.control import deltas
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import listing

# Lists that are kept as the base of a change; routers with an older one get
# the whole list. Lists change at most once a reading (0.9 s), so a router may
# be 14 s behind.
_MAX_KEPT_LISTS = 16


@attrs.frozen
class _List:
    """A list of instances, and the software versions on record."""

    number: int
    instances: list[pb.Instance]
    versions: list[pb.ServiceVersions]


class InstanceLists:
    """The latest lists, kept in the leader's memory.

    A new list is published at the next tick, so that all messages of a tick
    refer to instances by their indexes in the same list.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Remove all lists, at the end of a term."""
        self._history: deltas.History[pb.Instance, pb.InstanceList] = (
            deltas.History(_MAX_KEPT_LISTS, self._make_message)
        )
        self._latest: list[pb.Instance] = []
        self._unpublished: _List | None = None
        self._versions: list[pb.ServiceVersions] = []
        self._digests = b''
        # Changes to a list of another leader, by its number and digests.
        self._changes_by_digests: dict[tuple[int, bytes], pb.InstanceList] = {}
        self._indexes: dict[str, int] = {}
        self._domains: dict[str, str] = {}

    @property
    def number(self) -> int:
        """The number of the latest list; 0 before the first one."""
        return self._history.number

    @property
    def latest(self) -> list[pb.Instance]:
        """The latest list, read-only."""
        return self._latest

    @property
    def indexes(self) -> dict[str, int]:
        """The index of each instance in the latest list."""
        return self._indexes

    @property
    def domains(self) -> dict[str, str]:
        """The failure domain of each instance in the latest list."""
        return self._domains

    def replace(
        self,
        number: int,
        latest: list[pb.Instance],
        versions: collections.abc.Sequence[pb.ServiceVersions] = (),
    ) -> None:
        """Set the list to publish at the next tick.

        :param number: above the numbers of all lists before
        :param latest: sorted by identifier
        :param versions: the software versions on record
        """
        self._unpublished = _List(number, latest, list(versions))

    def publish(self) -> None:
        """Make the list of the last :meth:`replace` the latest one.

        Unchanged instances are shared with the lists before, to save memory.
        """
        if self._unpublished is None:
            return
        number, latest = self._unpublished.number, self._unpublished.instances
        self._versions = self._unpublished.versions
        self._unpublished = None
        previous = self._history.latest
        self._latest = [
            old if (old := previous.get(instance.id)) == instance else instance
            for instance in latest
        ]
        by_id = {instance.id: instance for instance in self._latest}
        self._history.append(number, by_id)
        self._digests = b''
        self._changes_by_digests.clear()
        self._domains = {
            instance.id: instance.domain for instance in self._latest
        }
        self._indexes = {
            instance.id: index for index, instance in enumerate(self._latest)
        }

    def message(self, number: int, digests: bytes) -> pb.InstanceList:
        """Return the message that updates a router to the latest list.

        :param number: of the list that the router has; 0 if it has none
        :param digests: of that list, in case another leader sent it
        """
        if self._history.has(number) or not (number and digests):
            return self._history.message(number)
        key = (number, digests)
        if key not in self._changes_by_digests:
            change = self._pack_difference(digests)
            self._changes_by_digests[key] = self._list_from(number, change)
        return self._changes_by_digests[key]

    def _make_message(
        self, change: deltas.Change[pb.Instance]
    ) -> pb.InstanceList:
        packed_change = listing.pack(change.put.values(), change.removed)
        return self._list_from(change.base, packed_change)

    def _list_from(self, base: int, change: bytes) -> pb.InstanceList:
        return pb.InstanceList(
            number=self.number,
            base=base,
            change=change,
            versions=self._versions,
        )

    def _pack_difference(self, digests: bytes) -> bytes:
        """Return the parts that differ from a router's, and cold instances.

        :param digests: of the router's list
        """
        if not self._digests:
            self._digests = listing.digests(self._latest)
        parts = set(listing.differing_parts(self._digests, digests))
        instances = [
            instance
            for instance in self._latest
            if instance.cold_ms or listing.part(instance.id) in parts
        ]
        return listing.pack(instances, parts=sorted(parts))
