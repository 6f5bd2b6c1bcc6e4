"""The replicated state machine, to which committed entries are applied."""

import collections.abc
import typing

import attrs

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import packed
from honeyport.control import claims
from honeyport.policy import places
from honeyport.policy import suspicion
from honeyport.policy import version_records
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import prompt_parts

_HISTORY_VERSIONS = 1000  # versions whose digests are kept

Result = typing.Any


@attrs.frozen
class Accepted:
    """A committed version of the bundle.

    :ivar version: 0 before the first one
    :ivar digest: digest of the entries and the version
    :ivar contents: the entries
    :ivar signatures: signature by signer
    :ivar document: source text of a replaced bundle; empty after a delta
    """

    version: int = 0
    digest: str = ''
    contents: bundle_entries.EntrySet = attrs.field(
        factory=lambda: bundle_entries.EntrySet({})
    )
    signatures: dict[str, str] = attrs.field(factory=dict)
    document: bytes = b''

    @property
    def entries(self) -> bundle_entries.Entries:
        """The entries by key."""
        return self.contents.entries


class Machine:
    """State machine that applies log entries in order."""

    def __init__(self) -> None:
        self._accepted = Accepted()
        self._history: dict[int, str] = {}
        self._claims = claims.Claims()
        self._places: dict[str, places.PlaceAssignment] = {}
        self._routers: dict[str, str] = {}
        self._suspects: dict[str, suspicion.StoredSuspect] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._versions: dict[str, frozenset[str]] = {}

    @property
    def accepted(self) -> Accepted:
        """The latest committed bundle; version 0 before the first."""
        return self._accepted

    @property
    def history(self) -> dict[int, str]:
        """Digests of the recent versions, by version."""
        return dict(self._history)

    @property
    def claims(self) -> claims.Claims:
        """The claims to run non-repeatable requests."""
        return self._claims

    @property
    def places(self) -> places.PlaceAssignments:
        """Holdings by place, the latest assignment last."""
        return self._places

    @property
    def routers(self) -> dict[str, str]:
        """Peer addresses of the routers, by name."""
        return dict(self._routers)

    @property
    def suspects(self) -> dict[str, suspicion.StoredSuspect]:
        """Suspects, by fingerprint or key of a set."""
        return dict(self._suspects)

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose instances get no new requests."""
        return self._evacuated

    @property
    def versions(self) -> version_records.Records:
        """Software versions that may have begun streams, by service."""
        return self._versions

    def apply(self, entry: pb.Entry) -> Result:
        """Apply a committed entry; return the result for its proposer."""
        kind = entry.WhichOneof('command')
        if kind == 'bundle':
            return self._apply_bundle_delta(entry.bundle)
        if kind == 'replace':
            return self._replace_bundle(entry.replace)
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
        if kind == 'versions':
            return self._change_versions(entry.versions)
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
            versions=version_messages(self._versions),
        )
        for version, digest in self._history.items():
            state.receipts.add(version=version, digest=digest)
        state.places.extend(_holding_messages(self._places))
        state.suspects.extend(suspect_records(self._suspects))
        self._claims.save(state)
        return state

    def restore(self, state: pb.State) -> None:
        """Replace the state by that of a snapshot."""
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
        self._places = _holdings_by_place(state.places)
        self._routers = dict(state.routers)
        self._suspects = _suspects_by_request(state.suspects)
        self._evacuated = frozenset(state.evacuated)
        self._versions = _versions_by_service(state.versions)
        self._claims.restore(state)

    def _apply_bundle_delta(self, command: pb.AcceptBundle) -> bool:
        """Apply a delta if its version follows the accepted one.

        :returns: whether the command's version, with its digest, is committed
        """
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
        self._add_to_history(command.version, command.digest)
        return True

    def _replace_bundle(self, command: pb.ReplaceBundle) -> bool:
        """Replace the whole bundle if the version is higher than before.

        :returns: whether it was replaced; a version that is already
            committed is never overwritten
        """
        if command.version <= self._accepted.version:
            return False
        previous = self._accepted
        entries = packed.unpack_snapshot(command.entries)
        # A delta shares unchanged entries with earlier versions in memory: the
        # leader keeps several, and a large one takes a megabyte.
        contents = previous.contents.apply(
            bundle_entries.diff(
                previous.version, previous.entries, command.version, entries
            )
        )
        digest = contents.digest(command.version)
        self._accepted = Accepted(
            command.version, digest, contents, {}, command.document
        )
        self._add_to_history(command.version, digest)
        return True

    def _change_places(self, command: pb.PlaceChange) -> None:
        for place in (
            *command.removed,
            *(holding.place for holding in command.put),
        ):
            self._places.pop(place, None)
        self._places |= _holdings_by_place(command.put)

    def _change_routers(self, command: pb.RouterChange) -> None:
        for name in command.removed:
            self._routers.pop(name, None)
        self._routers.update(command.put)

    def _change_suspects(self, command: pb.SuspectChange) -> None:
        for request in command.removed:
            self._suspects.pop(request.hex(), None)
        self._suspects |= _suspects_by_request(command.put)

    def _change_evacuated(self, command: pb.EvacuationChange) -> None:
        remaining = self._evacuated - frozenset(command.ended)
        self._evacuated = remaining | frozenset(command.begun)

    def _change_versions(self, command: pb.VersionChange) -> None:
        changed = {**self._versions, **_versions_by_service(command.put)}
        self._versions = {
            service: recorded
            for service, recorded in changed.items()
            if recorded
        }

    def _add_to_history(self, version: int, digest: str) -> None:
        self._history[version] = digest
        while len(self._history) > _HISTORY_VERSIONS:
            del self._history[next(iter(self._history))]


def place_change(change: places.Change) -> pb.PlaceChange:
    """Return the log command for a change of places."""
    return pb.PlaceChange(
        put=_holding_messages(change.updated), removed=change.removed
    )


def version_messages(
    records: version_records.Records,
) -> list[pb.ServiceVersions]:
    """Return the protobuf messages for recorded software versions."""
    return [
        pb.ServiceVersions(service=service, versions=sorted(records[service]))
        for service in sorted(records)
    ]


def _versions_by_service(
    messages: collections.abc.Iterable[pb.ServiceVersions],
) -> dict[str, frozenset[str]]:
    return {
        message.service: frozenset(message.versions) for message in messages
    }


def _holding_messages(holdings: places.PlaceAssignments) -> list[pb.Holding]:
    return [
        pb.Holding(
            place=place,
            service=holding.service,
            holder=holding.holder,
            former=holding.previous_holder,
        )
        for place, holding in holdings.items()
    ]


def _holdings_by_place(
    messages: collections.abc.Iterable[pb.Holding],
) -> dict[str, places.PlaceAssignment]:
    return {
        message.place: places.PlaceAssignment(
            message.service, message.holder, message.former
        )
        for message in messages
    }


def suspect_records(
    suspects: collections.abc.Mapping[str, suspicion.StoredSuspect],
) -> list[pb.SuspectRecord]:
    """Return the protobuf messages for suspects.

    :param suspects: by fingerprint, or key of a set, in hexadecimal
    """
    return [
        pb.SuspectRecord(
            request=bytes.fromhex(request),
            instances=suspect.instances,
            set=prompt_parts.to_part_set(suspect.part_set),
            trials=suspect.trials,
        )
        for request, suspect in suspects.items()
    ]


def _suspects_by_request(
    messages: collections.abc.Iterable[pb.SuspectRecord],
) -> dict[str, suspicion.StoredSuspect]:
    return {
        message.request.hex(): suspicion.StoredSuspect(
            tuple(message.instances),
            prompt_parts.part_set_of(message),
            message.trials,
        )
        for message in messages
    }
