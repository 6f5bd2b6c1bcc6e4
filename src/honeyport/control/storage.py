"""Persistent storage of a replica: its identity, vote, log and snapshot.

One data folder holds three files: ``identity`` identifies the disk,
``snapshot`` holds the state up to an index, and ``log`` the records after
it. A record is a header of three 32-bit numbers, little-endian: length,
checksum of the length, checksum of the payload; then the payload: one
byte for the kind, and a message.

An incomplete last record, as after a crash, was never synced and is
removed. Any other damage is an error, since synced records may have been
acknowledged.

After a failed write, as on a full disk, the log is truncated to its length
at the last sync before the next write.
"""

import json
import pathlib
import struct
import typing
import uuid
import zlib

import attrs

from honeyport.control import files as control_files
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_HEADER = struct.Struct('<III')
_LENGTH = struct.Struct('<I')
_VOTE_TERM = struct.Struct('<Q')
_KIND_VOTE = b'v'
_KIND_ENTRY = b'e'


@attrs.frozen
class Vote:
    """The highest term seen, and the candidate voted for in it.

    :ivar candidate: ``''`` if the replica has not voted in the term
    """

    term: int = 0
    candidate: str = ''


@attrs.frozen
class Identity:
    """Identity of a disk, and its part in the bootstrap of the group.

    :ivar disk: random identifier, created with the data folder
    :ivar founded: whether it took part in the bootstrap
    :ivar founders: initial members, name to address; empty before the
        bootstrap, and on disks of versions that did not record them
    """

    disk: str
    founded: bool
    founders: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class Contents:
    """Contents of a data folder.

    :ivar entries: log entries after the snapshot
    """

    vote: Vote = attrs.field(factory=Vote)
    snapshot: pb.State | None = None
    entries: list[pb.Entry] = attrs.field(factory=list)


class Storage:
    """The data folder of one replica. Every method blocks.

    :param folder: the data folder; created if missing
    :param files: the file system, if not that of the operating system
    :raises errors.StorageDamaged: if another process uses the folder
    """

    def __init__(
        self,
        folder: str | pathlib.Path,
        files: control_files.Files | None = None,
    ) -> None:
        self._folder = pathlib.Path(folder)
        self._files = files or control_files.RealFiles()
        self._files.make_folder(self._folder)
        try:
            self._unlock = self._files.lock(self._folder / 'lock')
        except OSError:
            raise errors.StorageDamaged(
                f'{folder} is in use by another process'
            ) from None
        self._log_path = self._folder / 'log'
        self._log: control_files.Handle | None = None
        self._synced_bytes = 0  # length of the log at its last sync
        self._identity = self._load_identity()

    @property
    def identity(self) -> Identity:
        """Identity of this disk."""
        return self._identity

    def mark_founded(self, founders: dict[str, str]) -> None:
        """Record the bootstrap and the initial members.

        :param founders: initial members, name to address
        :raises errors.StorageFailed: if the write failed
        """
        founded = attrs.evolve(self._identity, founded=True, founders=founders)
        self._write_identity(founded)
        self._identity = founded

    def load(self) -> Contents:
        """Read all contents, remove a torn record, and open the log.

        :raises errors.StorageDamaged: on any other damage
        """
        contents = Contents(snapshot=self._load_snapshot())
        data = self._files.read(self._log_path) or b''
        end = self._load_records(data, contents)
        if end < len(data):
            logs.emit(events.TAIL_CUT, at=end, length=len(data), file='log')
        self._synced_bytes = end
        self._log = self._open_log()
        self._log.sync()
        self._files.sync_folder(self._folder)
        return contents

    def append(
        self, entries: typing.Sequence[pb.Entry], vote: Vote | None = None
    ) -> None:
        """Append a vote and entries to the log, and sync it.

        An entry replaces the one with its index and all later ones.

        :raises errors.StorageFailed: if the write or sync failed; the
            records may nevertheless be present after a restart
        """
        chunks = []
        if vote is not None:
            chunks.append(_pack_vote(vote))
        chunks += [_pack_entry(entry) for entry in entries]
        data = b''.join(chunks)
        try:
            if self._log is None:
                self._log = self._open_log()
            self._log.write(data)
            self._log.sync()
        except OSError as error:
            self._close_log()
            raise errors.StorageFailed(f'{self._log_path}: {error}') from None
        self._synced_bytes += len(data)

    def compact(
        self,
        snapshot: pb.State,
        entries: typing.Sequence[pb.Entry],
        vote: Vote,
    ) -> None:
        """Replace the log by a snapshot and the entries after it.

        :raises errors.StorageFailed: if a write failed; the log still has
            all its entries
        """
        payload = snapshot.SerializeToString()
        checksum = _LENGTH.pack(zlib.crc32(payload))
        chunks = [_pack_vote(vote)]
        chunks += [_pack_entry(entry) for entry in entries]
        log_data = b''.join(chunks)
        try:
            self._replace_file('snapshot', checksum + payload)
            self._replace_file('log', log_data)
        except OSError as error:
            raise errors.StorageFailed(f'{self._folder}: {error}') from None
        finally:
            # A failed call may have replaced the log already.
            self._close_log()
            if self._files.read(self._log_path) == log_data:
                self._synced_bytes = len(log_data)

    def close(self) -> None:
        """Close the log and unlock the folder."""
        self._close_log()
        self._unlock()

    def _open_log(self) -> control_files.Handle:
        """Open the log for appending after its last synced byte.

        The truncation is synced together with the next write.
        """
        data = self._files.read(self._log_path)
        if data is not None and len(data) > self._synced_bytes:
            self._files.truncate(self._log_path, self._synced_bytes)
        return self._files.open(self._log_path, fresh=False)

    def _close_log(self) -> None:
        log, self._log = self._log, None
        if log is not None:
            log.close()

    def _load_records(self, data: bytes, contents: Contents) -> int:
        base_index = contents.snapshot.index if contents.snapshot else 0
        offset = 0
        while offset < len(data):
            payload = self._read_payload(data, offset)
            if payload is None:
                return offset
            offset += _HEADER.size + len(payload)
            self._load_record(payload, base_index, contents)
        return offset

    def _read_payload(self, data: bytes, offset: int) -> bytes | None:
        """Return the payload at an offset, or ``None`` if it is torn.

        :raises errors.StorageDamaged: if a checksum does not match
        """
        available_bytes = len(data) - offset
        if not any(data[offset:]):
            return None
        if available_bytes < _HEADER.size:
            return None
        length, length_sum, checksum = _HEADER.unpack_from(data, offset)
        if zlib.crc32(_LENGTH.pack(length)) != length_sum:
            raise self._damaged_record('header', offset)
        start = offset + _HEADER.size
        if available_bytes < _HEADER.size + length:
            return None
        payload = data[start : start + length]
        if zlib.crc32(payload) != checksum:
            raise self._damaged_record('payload', offset)
        return payload

    def _load_record(
        self, payload: bytes, base_index: int, contents: Contents
    ) -> None:
        kind, body = payload[:1], payload[1:]
        if kind == _KIND_VOTE:
            (term,) = _VOTE_TERM.unpack_from(body)
            candidate = body[_VOTE_TERM.size :].decode()
            contents.vote = Vote(term, candidate)
            return
        entry = pb.Entry.FromString(body)
        if entry.index <= base_index:
            return
        position = entry.index - base_index - 1
        if position > len(contents.entries):
            raise errors.StorageDamaged(
                f'{self._log_path}: entry {entry.index} follows a gap'
            )
        del contents.entries[position:]
        contents.entries.append(entry)

    def _load_snapshot(self) -> pb.State | None:
        path = self._folder / 'snapshot'
        data = self._files.read(path)
        if data is None:
            return None
        payload = data[_LENGTH.size :]
        if data[: _LENGTH.size] != _LENGTH.pack(zlib.crc32(payload)):
            raise errors.StorageDamaged(f'{path}: checksum does not match')
        return pb.State.FromString(payload)

    def _load_identity(self) -> Identity:
        path = self._folder / 'identity'
        data = self._files.read(path)
        if data is not None:
            return self._decode_identity(path, data)
        if self._files.read(self._log_path) is not None:
            raise errors.StorageDamaged(
                f'{path} is missing although there is a log'
            )
        identity = Identity(uuid.uuid4().hex, False)
        self._write_identity(identity)
        return identity

    def _decode_identity(self, path: pathlib.Path, data: bytes) -> Identity:
        try:
            return Identity(**json.loads(data))
        except (ValueError, TypeError) as error:
            raise errors.StorageDamaged(f'{path}: {error}') from None

    def _write_identity(self, identity: Identity) -> None:
        text = json.dumps(attrs.asdict(identity))
        try:
            self._replace_file('identity', text.encode())
        except OSError as error:
            raise errors.StorageFailed(f'{self._folder}: {error}') from None

    def _replace_file(self, name: str, data: bytes) -> None:
        new_path = self._folder / f'{name}.new'
        file = self._files.open(new_path, fresh=True)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        self._files.rename(new_path, self._folder / name)
        self._files.sync_folder(self._folder)

    def _damaged_record(self, part: str, offset: int) -> errors.StorageDamaged:
        return errors.StorageDamaged(
            f'{self._log_path}: checksum mismatch in the {part} '
            f'of the record at byte {offset}'
        )


def _pack(kind: bytes, body: bytes) -> bytes:
    payload = kind + body
    length = _LENGTH.pack(len(payload))
    header = _HEADER.pack(
        len(payload), zlib.crc32(length), zlib.crc32(payload)
    )
    return header + payload


def _pack_vote(vote: Vote) -> bytes:
    return _pack(
        _KIND_VOTE, _VOTE_TERM.pack(vote.term) + vote.candidate.encode()
    )


def _pack_entry(entry: pb.Entry) -> bytes:
    return _pack(_KIND_ENTRY, entry.SerializeToString())
