"""A disk that keeps only what was synced when its power goes.

It stands below the real storage code, in place of the operating system's
file system: after a loss of power each write since the last sync of its
file is there, missing or torn, and so is each name since the last sync of
its folder. A full disk refuses every write.
"""

import errno
import pathlib
import random
import typing

import attrs


@attrs.define
class _File:
    """Contents as a process sees them, and what is sure to last."""

    lasting: bytes = b''
    current: bytearray = attrs.field(factory=bytearray)
    # What was done since the last sync: the length before, and the bytes.
    pending: list[tuple[int, bytes]] = attrs.field(factory=list)

    def sync(self) -> None:
        self.lasting = bytes(self.current)
        self.pending.clear()

    def lose_power(self, chance: random.Random) -> None:
        """Keep a part of what was not synced, in the order of writing."""
        kept = bytearray(self.lasting)
        for start, data in self.pending:
            if chance.random() < 1 / 3:
                break
            torn = chance.random() < 1 / 2
            part = data[: chance.randrange(len(data) + 1)] if torn else data
            kept[start:] = part
            if torn:
                break
        self.current = kept
        self.sync()


class _Handle:
    """A file that is open for writing at its end."""

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

    :param chance: decides what a loss of power leaves
    :ivar full: whether it takes no more bytes
    :ivar ignores_syncs: whether a sync does nothing, as a proof that the
        tests would notice
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._names: dict[pathlib.Path, _File] = {}
        self._lasting_names: dict[pathlib.Path, _File] = {}
        self.full = False
        self.ignores_syncs = False

    # -- what the storage calls ------------------------------------------

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
            self._lasting_names = dict(self._names)

    # -- what happens to it ----------------------------------------------

    def lose_power(self) -> None:
        """Forget what was not synced, or a part of it."""
        names = {}
        for path in {**self._lasting_names, **self._names}:
            before = self._lasting_names.get(path)
            after = self._names.get(path)
            kept = after if self._chance.random() < 1 / 2 else before
            if kept is not None:
                names[path] = kept
        # A file that was renamed may stand under both of its names.
        for file in {id(one): one for one in names.values()}.values():
            file.lose_power(self._chance)
        self._names = names
        self._lasting_names = dict(names)
