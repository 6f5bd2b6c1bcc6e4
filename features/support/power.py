"""A simulated disk that loses unsynced data when it loses power.

It replaces the operating system's file system below the storage code. After a
loss of power each write since the last sync of its file is kept, lost or torn,
and each name since the last sync of its folder is kept or lost. A full disk
refuses every write.
"""

import errno
import pathlib
import random
import typing

import attrs


@attrs.define
class _File:
    """The contents of a file, and what survives a loss of power.

    :ivar synced: the contents at the last sync
    :ivar current: the contents that a process reads
    :ivar pending: the writes since the last sync: the length before, and the
        bytes
    """

    synced: bytes = b''
    current: bytearray = attrs.field(factory=bytearray)
    pending: list[tuple[int, bytes]] = attrs.field(factory=list)

    def sync(self) -> None:
        self.synced = bytes(self.current)
        self.pending.clear()

    def lose_power(self, rng: random.Random) -> None:
        """Keep the unsynced writes up to a random one, which may be torn."""
        kept = bytearray(self.synced)
        for start, data in self.pending:
            if rng.random() < 1 / 3:
                break
            torn = rng.random() < 1 / 2
            part = data[: rng.randrange(len(data) + 1)] if torn else data
            kept[start:] = part
            if torn:
                break
        self.current = kept
        self.sync()


class _Handle:
    """A file that is open for appending."""

    def __init__(self, disk: 'Disk', file: _File) -> None:
        self._disk = disk
        self._file = file

    def write(self, data: bytes) -> None:
        if self._disk.full:
            half = data[: len(data) // 2]
            self._file.pending.append((len(self._file.current), half))
            self._file.current += half
            raise OSError(errno.ENOSPC, 'the disk is full')
        self._file.pending.append((len(self._file.current), data))
        self._file.current += data

    def sync(self) -> None:
        if not self._disk.ignores_syncs:
            self._file.sync()

    def close(self) -> None:
        pass


class Disk:
    """The files of one replica.

    :param rng: selects what survives a loss of power
    :ivar full: whether writes fail
    :ivar ignores_syncs: whether a sync does nothing, to prove that the tests
        detect lost data
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: dict[pathlib.Path, _File] = {}
        self._synced_names: dict[pathlib.Path, _File] = {}
        self.full = False
        self.ignores_syncs = False

    # -- file system operations ------------------------------------------

    def make_folder(self, path: pathlib.Path) -> None:
        pass

    def lock(self, path: pathlib.Path) -> typing.Callable[[], None]:
        return lambda: None

    def read(self, path: pathlib.Path) -> bytes | None:
        file = self._names.get(path)
        return bytes(file.current) if file else None

    def open(self, path: pathlib.Path, *, fresh: bool) -> _Handle:
        if path not in self._names:
            if self.full:
                raise OSError(errno.ENOSPC, 'the disk is full')
            self._names[path] = _File()
        if fresh:
            self._names[path] = _File()
        return _Handle(self, self._names[path])

    def truncate(self, path: pathlib.Path, length: int) -> None:
        file = self._names[path]
        file.pending.append((length, b''))
        del file.current[length:]

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        self._names[new] = self._names.pop(old)

    def sync_folder(self, path: pathlib.Path) -> None:
        if not self.ignores_syncs:
            self._synced_names = dict(self._names)

    # -- faults ----------------------------------------------------------

    def lose_power(self) -> None:
        """Lose a random part of the unsynced writes and names."""
        names = {}
        for path in {**self._synced_names, **self._names}:
            synced = self._synced_names.get(path)
            unsynced = self._names.get(path)
            kept = unsynced if self._rng.random() < 1 / 2 else synced
            if kept is not None:
                names[path] = kept
        # A renamed file may have kept both of its names.
        for file in {
            id(kept_file): kept_file for kept_file in names.values()
        }.values():
            file.lose_power(self._rng)
        self._names = names
        self._synced_names = dict(names)
