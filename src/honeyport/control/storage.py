"""What a replica keeps on its disk.

One data folder holds three files: ``identity`` says which disk this is,
``snapshot`` holds the state up to an index, and ``log`` the records after
it. A record is a header of three 32-bit numbers, little-endian: length,
checksum of the length, checksum of the payload; then the payload: one
byte for the kind, and a message.

A crash can leave the last record incomplete, since it was never synced;
it is cut. Any other damage is a reason not to start: what was synced may
have been promised to somebody.
"""

import fcntl
import json
import os
import pathlib
import struct
import typing
import uuid
import zlib

import attrs

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
    """Which disk this is, and whether it took part in the founding."""

    disk: str
    founded: bool


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

    def __init__(self, folder: str | pathlib.Path) -> None:
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = open(self._folder / 'lock', 'w', encoding='utf-8')
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise errors.StorageDamaged(
                f'{folder} is in use by another process'
            ) from None
        self._log_path = self._folder / 'log'
        self._log: typing.BinaryIO | None = None
        self._identity = self._load_identity()

    @property
    def identity(self) -> Identity:
        """The identity of this disk."""
        return self._identity

    def found(self) -> None:
        """Note that this disk took part in the founding."""
        self._identity = attrs.evolve(self._identity, founded=True)
        self._write_identity()

    def load(self) -> Contents:
        """Read everything, cut a torn tail, and open the log for writing.

        :raises errors.StorageDamaged: on any other damage
        """
        contents = Contents(snapshot=self._load_snapshot())
        data = b''
        if self._log_path.exists():
            data = self._log_path.read_bytes()
        end = self._replay(data, contents)
        if end < len(data):
            logs.emit(events.TAIL_CUT, at=end, length=len(data), file='log')
            os.truncate(self._log_path, end)
        self._log = open(self._log_path, 'ab')
        self._sync(self._log)
        _sync_folder(self._folder)
        return contents

    def append(
        self, entries: typing.Sequence[pb.Entry], vote: Vote | None = None
    ) -> None:
        """Write a vote and entries; return once they are synced.

        An entry replaces the one with its index and all after it.
        """
        chunks = []
        if vote is not None:
            chunks.append(_pack_vote(vote))
        chunks += [_pack_entry(entry) for entry in entries]
        assert self._log is not None
        self._log.write(b''.join(chunks))
        self._sync(self._log)

    def compact(
        self,
        snapshot: pb.State,
        entries: typing.Sequence[pb.Entry],
        vote: Vote,
    ) -> None:
        """Replace the log by a snapshot and the entries after it."""
        payload = snapshot.SerializeToString()
        checksum = _LENGTH.pack(zlib.crc32(payload))
        self._replace('snapshot', checksum + payload)
        chunks = [_pack_vote(vote)]
        chunks += [_pack_entry(entry) for entry in entries]
        if self._log is not None:
            self._log.close()
        self._replace('log', b''.join(chunks))
        self._log = open(self._log_path, 'ab')

    def close(self) -> None:
        """Close the files and let go of the folder."""
        if self._log is not None:
            self._log.close()
        self._lock.close()

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
        if not path.exists():
            return None
        data = path.read_bytes()
        payload = data[_LENGTH.size :]
        if data[: _LENGTH.size] != _LENGTH.pack(zlib.crc32(payload)):
            raise errors.StorageDamaged(f'{path}: checksum does not match')
        return pb.State.FromString(payload)

    def _load_identity(self) -> Identity:
        path = self._folder / 'identity'
        if path.exists():
            return Identity(**json.loads(path.read_text()))
        if self._log_path.exists():
            raise errors.StorageDamaged(f'{path} is missing beside a log')
        self._identity = Identity(uuid.uuid4().hex, False)
        self._write_identity()
        return self._identity

    def _write_identity(self) -> None:
        text = json.dumps(attrs.asdict(self._identity))
        self._replace('identity', text.encode())

    def _replace(self, name: str, data: bytes) -> None:
        fresh = self._folder / f'{name}.new'
        with open(fresh, 'wb') as file:
            file.write(data)
            self._sync(file)
        os.replace(fresh, self._folder / name)
        _sync_folder(self._folder)

    def _sync(self, file: typing.BinaryIO) -> None:
        file.flush()
        os.fsync(file.fileno())

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


def _sync_folder(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
