"""What a replica keeps on its disk.

One data folder holds three files: ``identity`` says which disk this is,
``snapshot`` holds the state up to an index, and ``log`` the records after
it. A record is a header of three 32-bit numbers, little-endian: length,
checksum of the length, checksum of the payload; then the payload: one
byte for the kind, and a message.

A crash can leave the last record incomplete, since it was never synced;
it is cut. Any other damage is a reason not to start: what was synced may
have been promised to somebody.

A write that fails, as on a full disk, leaves the log as long as it was at
the last sync: what came after is cut before the next write.
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
_VOTE = struct.Struct('<Q')
_KIND_VOTE = b'v'
_KIND_ENTRY = b'e'


@attrs.frozen
class Vote:
    """The term a replica has reached and whom it voted for in it."""

    term: int = 0
    candidate: str = ''


@attrs.frozen
class Identity:
    """Which disk this is, and whether it took part in the founding.

    :ivar founders: the founding members, name to address; empty before the
        founding, and on disks that were founded before this was noted
    """

    disk: str
    founded: bool
    founders: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class Contents:
    """What was found on the disk."""

    vote: Vote = attrs.field(factory=Vote)
    snapshot: pb.State | None = None
    entries: list[pb.Entry] = attrs.field(factory=list)


class Storage:
    """The data folder of one replica. Every method blocks.

    :param folder: the data folder; made if it is not there
    :raises errors.StorageDamaged: if another process holds the folder
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
        self._synced = 0  # length of the log, in bytes
        self._identity = self._load_identity()

    @property
    def identity(self) -> Identity:
        """The identity of this disk."""
        return self._identity

    def found(self, founders: dict[str, str]) -> None:
        """Note that this disk took part in the founding, and who else."""
        founded = attrs.evolve(self._identity, founded=True, founders=founders)
        self._write_identity(founded)
        self._identity = founded

    def load(self) -> Contents:
        """Read everything, cut a torn tail, and open the log for writing.

        :raises errors.StorageDamaged: on any other damage
        """
        contents = Contents(snapshot=self._load_snapshot())
        data = self._files.read(self._log_path) or b''
        end = self._replay(data, contents)
        if end < len(data):
            logs.emit(events.TAIL_CUT, at=end, length=len(data), file='log')
        self._synced = end
        self._log = self._reopen()
        self._log.sync()
        self._files.sync_folder(self._folder)
        return contents

    def append(
        self, entries: typing.Sequence[pb.Entry], vote: Vote | None = None
    ) -> None:
        """Write a vote and entries; return once they are synced.

        An entry replaces the one with its index and all after it.

        :raises errors.StorageFailed: if the disk did not take them; they
            may be on it all the same after a restart
        """
        chunks = []
        if vote is not None:
            chunks.append(_pack_vote(vote))
        chunks += [_pack_entry(entry) for entry in entries]
        data = b''.join(chunks)
        try:
            if self._log is None:
                self._log = self._reopen()
            self._log.write(data)
            self._log.sync()
        except OSError as error:
            self._close_log()
            raise errors.StorageFailed(f'{self._log_path}: {error}') from None
        self._synced += len(data)

    def compact(
        self,
        snapshot: pb.State,
        entries: typing.Sequence[pb.Entry],
        vote: Vote,
    ) -> None:
        """Replace the log by a snapshot and the entries after it.

        :raises errors.StorageFailed: if the disk did not take them; the
            log is as it was
        """
        payload = snapshot.SerializeToString()
        checksum = _LENGTH.pack(zlib.crc32(payload))
        chunks = [_pack_vote(vote)]
        chunks += [_pack_entry(entry) for entry in entries]
        log = b''.join(chunks)
        try:
            self._replace('snapshot', checksum + payload)
            self._replace('log', log)
        except OSError as error:
            raise errors.StorageFailed(f'{self._folder}: {error}') from None
        finally:
            # Also after a failure: the new log may be in its place.
            self._close_log()
            if self._files.read(self._log_path) == log:
                self._synced = len(log)

    def close(self) -> None:
        """Close the files and let go of the folder."""
        self._close_log()
        self._unlock()

    def _reopen(self) -> control_files.Handle:
        """Open the log behind its last synced byte.

        A cut is synced together with the next write.
        """
        data = self._files.read(self._log_path)
        if data is not None and len(data) > self._synced:
            self._files.truncate(self._log_path, self._synced)
        return self._files.open(self._log_path, fresh=False)

    def _close_log(self) -> None:
        log, self._log = self._log, None
        if log is not None:
            log.close()

    def _replay(self, data: bytes, contents: Contents) -> int:
        base = contents.snapshot.index if contents.snapshot else 0
        offset = 0
        while offset < len(data):
            payload = self._record(data, offset)
            if payload is None:
                return offset
            offset += _HEADER.size + len(payload)
            self._take(payload, base, contents)
        return offset

    def _record(self, data: bytes, offset: int) -> bytes | None:
        """Return the payload at an offset, or ``None`` for a torn tail."""
        rest = len(data) - offset
        if not any(data[offset:]):
            return None
        if rest < _HEADER.size:
            return None
        length, length_sum, checksum = _HEADER.unpack_from(data, offset)
        if zlib.crc32(_LENGTH.pack(length)) != length_sum:
            raise self._damage('header', offset)
        start = offset + _HEADER.size
        if rest < _HEADER.size + length:
            return None
        payload = data[start : start + length]
        if zlib.crc32(payload) != checksum:
            raise self._damage('payload', offset)
        return payload

    def _take(self, payload: bytes, base: int, contents: Contents) -> None:
        kind, body = payload[:1], payload[1:]
        if kind == _KIND_VOTE:
            (term,) = _VOTE.unpack_from(body)
            candidate = body[_VOTE.size :].decode()
            contents.vote = Vote(term, candidate)
            return
        entry = pb.Entry.FromString(body)
        if entry.index <= base:
            return
        position = entry.index - base - 1
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
            raise errors.StorageDamaged(f'{path} is missing beside a log')
        fresh = Identity(uuid.uuid4().hex, False)
        self._write_identity(fresh)
        return fresh

    def _decode_identity(self, path: pathlib.Path, data: bytes) -> Identity:
        try:
            return Identity(**json.loads(data))
        except (ValueError, TypeError) as error:
            raise errors.StorageDamaged(f'{path}: {error}') from None

    def _write_identity(self, identity: Identity) -> None:
        text = json.dumps(attrs.asdict(identity))
        try:
            self._replace('identity', text.encode())
        except OSError as error:
            raise errors.StorageFailed(f'{self._folder}: {error}') from None

    def _replace(self, name: str, data: bytes) -> None:
        fresh = self._folder / f'{name}.new'
        file = self._files.open(fresh, fresh=True)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        self._files.rename(fresh, self._folder / name)
        self._files.sync_folder(self._folder)

    def _damage(self, part: str, offset: int) -> errors.StorageDamaged:
        return errors.StorageDamaged(
            f'{self._log_path}: {part} of the record at byte {offset} is '
            'damaged'
        )


def _pack(kind: bytes, body: bytes) -> bytes:
    payload = kind + body
    length = _LENGTH.pack(len(payload))
    header = _HEADER.pack(
        len(payload), zlib.crc32(length), zlib.crc32(payload)
    )
    return header + payload


def _pack_vote(vote: Vote) -> bytes:
    return _pack(_KIND_VOTE, _VOTE.pack(vote.term) + vote.candidate.encode())


def _pack_entry(entry: pb.Entry) -> bytes:
    return _pack(_KIND_ENTRY, entry.SerializeToString())
