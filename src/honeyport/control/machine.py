"""The replicated state: what committed log entries add up to."""

import collections.abc
import typing

import attrs

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import packed
from honeyport.control import claims
from honeyport.policy import places
from honeyport.wire import honeyport_pb2 as pb

_HISTORY = 1000

Result = typing.Any


@attrs.frozen
class Accepted:
    """A version of the bundle that was committed."""

    version: int = 0
    digest: str = ''
    contents: bundle_entries.EntrySet = attrs.field(
        factory=lambda: bundle_entries.EntrySet({})
    )
    signatures: dict[str, str] = attrs.field(factory=dict)
    document: bytes = b''

    @property
    def entries(self) -> bundle_entries.Entries:
        """The entries of the version."""
        return self.contents.entries


class Machine:
    """Applies entries in the order of the log."""

    def __init__(self) -> None:
        self._accepted = Accepted()
        self._history: dict[int, str] = {}
        self._claims = claims.Claims()
        self._places: dict[str, places.Holding] = {}
        self._routers: dict[str, str] = {}
        self._suspects: dict[str, tuple[str, ...]] = {}
        self._evacuated: frozenset[str] = frozenset()

    @property
    def accepted(self) -> Accepted:
        """The accepted bundle; version 0 before the first."""
        return self._accepted

    @property
    def history(self) -> dict[int, str]:
        """The digests of recent versions."""
        return dict(self._history)

    @property
    def claims(self) -> claims.Claims:
        """The claims."""
        return self._claims

    @property
    def places(self) -> places.Holdings:
        """Which instance keeps which prefixes, the latest given last."""
        return self._places

    @property
    def routers(self) -> dict[str, str]:
        """Where the routers listen for other processes, by name."""
        return dict(self._routers)

    @property
    def suspects(self) -> dict[str, tuple[str, ...]]:
        """The instances that ended under a request, by its fingerprint."""
        return dict(self._suspects)

    @property
    def evacuated(self) -> frozenset[str]:
        """The failure domains whose instances get nothing new."""
        return self._evacuated

    def apply(self, entry: pb.Entry) -> Result:
        """Apply an entry; return what its proposer wants to know."""
        kind = entry.WhichOneof('command')
        if kind == 'bundle':
            return self._accept(entry.bundle)
        if kind == 'replace':
            return self._replace(entry.replace)
        if kind == 'claims':
            return self._claims.apply(entry.claims)
        if kind == 'places':
            return self._change_places(entry.places)
        if kind == 'routers':
            return self._change_routers(entry.routers)
        if kind == 'suspects':
            return self._change_suspects(entry.suspects)
        if kind == 'evacuations':
            return self._change_evacuated(entry.evacuations)
        return None

    def save(self) -> pb.State:
        """Return a snapshot of the state."""
        accepted = self._accepted
        state = pb.State(
            version=accepted.version,
            digest=accepted.digest,
            entries=accepted.entries,
            signatures=accepted.signatures,
            document=accepted.document,
            routers=self._routers,
            evacuated=sorted(self._evacuated),
        )
        for version, digest in self._history.items():
            state.receipts.add(version=version, digest=digest)
        state.places.extend(_holdings(self._places))
        state.suspects.extend(suspect_records(self._suspects))
        self._claims.save(state)
        return state

    def restore(self, state: pb.State) -> None:
        """Take the state of a snapshot."""
        self._accepted = Accepted(
            state.version,
            state.digest,
            bundle_entries.EntrySet(dict(state.entries)),
            dict(state.signatures),
            state.document,
        )
        self._history = {
            receipt.version: receipt.digest for receipt in state.receipts
        }
        self._places = _by_place(state.places)
        self._routers = dict(state.routers)
        self._suspects = _by_request(state.suspects)
        self._evacuated = frozenset(state.evacuated)
        self._claims.restore(state)

    def _accept(self, command: pb.AcceptBundle) -> bool:
        """Accept a version if it follows the accepted one."""
        if command.version != self._accepted.version + 1:
            return self._history.get(command.version) == command.digest
        delta = bundle_entries.Delta(
            command.base,
            command.version,
            dict(command.put),
            tuple(command.removed),
        )
        self._accepted = Accepted(
            command.version,
            command.digest,
            self._accepted.contents.apply(delta),
            dict(command.signatures),
        )
        self._remember(command.version, command.digest)
        return True

    def _replace(self, command: pb.ReplaceBundle) -> bool:
        """Take a whole configuration if its version is the highest.

        A lower or equal version changes nothing: what was first committed
        under a version stays. That is no failure for whoever sent it.
        """
        if command.version <= self._accepted.version:
            return False
        held = self._accepted
        entries = packed.unpack_snapshot(command.entries)
        # What did not change is shared with the versions before: a leader
        # keeps some, and a large bundle is a megabyte each.
        contents = held.contents.apply(
            bundle_entries.diff(
                held.version, held.entries, command.version, entries
            )
        )
        digest = contents.digest(command.version)
        self._accepted = Accepted(
            command.version, digest, contents, {}, command.document
        )
        self._remember(command.version, digest)
        return True

    def _change_places(self, command: pb.PlaceChange) -> None:
        for place in (*command.removed, *(one.place for one in command.put)):
            self._places.pop(place, None)
        self._places |= _by_place(command.put)

    def _change_routers(self, command: pb.RouterChange) -> None:
        for name in command.removed:
            self._routers.pop(name, None)
        self._routers.update(command.put)

    def _change_suspects(self, command: pb.SuspectChange) -> None:
        for request in command.removed:
            self._suspects.pop(request.hex(), None)
        self._suspects |= _by_request(command.put)

    def _change_evacuated(self, command: pb.EvacuationChange) -> None:
        left = self._evacuated - frozenset(command.ended)
        self._evacuated = left | frozenset(command.begun)

    def _remember(self, version: int, digest: str) -> None:
        self._history[version] = digest
        while len(self._history) > _HISTORY:
            del self._history[next(iter(self._history))]


def place_change(change: places.Change) -> pb.PlaceChange:
    """Return the command that changes places."""
    return pb.PlaceChange(put=_holdings(change.put), removed=change.removed)


def _holdings(found: places.Holdings) -> list[pb.Holding]:
    return [
        pb.Holding(
            place=place,
            service=one.service,
            holder=one.holder,
            former=one.former,
        )
        for place, one in found.items()
    ]


def _by_place(
    found: collections.abc.Iterable[pb.Holding],
) -> dict[str, places.Holding]:
    return {
        one.place: places.Holding(one.service, one.holder, one.former)
        for one in found
    }


def suspect_records(
    found: collections.abc.Mapping[str, tuple[str, ...]],
) -> list[pb.SuspectRecord]:
    """Return the messages for instances that ended under requests."""
    return [
        pb.SuspectRecord(request=bytes.fromhex(request), instances=instances)
        for request, instances in found.items()
    ]


def _by_request(
    found: collections.abc.Iterable[pb.SuspectRecord],
) -> dict[str, tuple[str, ...]]:
    return {one.request.hex(): tuple(one.instances) for one in found}
