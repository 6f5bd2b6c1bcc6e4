"""The calls that a replica's storage makes to the file system.

They stand behind a class of their own so that tests can put a disk in
their place that loses what was not synced, or takes no more bytes.
"""

import fcntl
import os
import pathlib
import typing


class Handle(typing.Protocol):
    """A file that is open for writing at its end."""

    def write(self, data: bytes) -> None:
        """Write all bytes.

        :raises OSError: if not all of them were taken
        """

    def sync(self) -> None:
        """Return once what was written survives a loss of power."""

    def close(self) -> None:
        """Close the file; nothing is synced by that."""


class Files(typing.Protocol):
    """What a storage needs of a file system. Every method blocks."""

    def make_folder(self, path: pathlib.Path) -> None:
        """Make a folder and its parents, if they are not there."""

    def lock(self, path: pathlib.Path) -> typing.Callable[[], None]:
        """Lock a file for this process; return what unlocks it.

        :raises OSError: if another process holds it
        """

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return what a file holds, or ``None`` if it is not there."""

    def open(self, path: pathlib.Path, *, fresh: bool) -> Handle:
        """Open a file at its end, or empty if it is to be fresh."""

    def truncate(self, path: pathlib.Path, length: int) -> None:
        """Cut a file; it has to be synced like a write."""

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Give a file another's name; its folder has to be synced."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Return once the names in a folder survive a loss of power."""


class _OpenFile:
    """A file without a buffer of its own: a failed write leaves none."""

    def __init__(self, path: pathlib.Path, *, fresh: bool) -> None:
        flags = os.O_WRONLY | os.O_CREAT
        flags |= os.O_TRUNC if fresh else os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class RealFiles:
    """The file system of the operating system."""

    def make_folder(self, path: pathlib.Path) -> None:
        path.mkdir(parents=True, exist_ok=True)

    def lock(self, path: pathlib.Path) -> typing.Callable[[], None]:
        file = open(path, 'w', encoding='utf-8')
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise
        return file.close

    def read(self, path: pathlib.Path) -> bytes | None:
        return path.read_bytes() if path.exists() else None

    def open(self, path: pathlib.Path, *, fresh: bool) -> Handle:
        return _OpenFile(path, fresh=fresh)

    def truncate(self, path: pathlib.Path, length: int) -> None:
        os.truncate(path, length)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        os.replace(old, new)

    def sync_folder(self, path: pathlib.Path) -> None:
        handle = os.open(path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
