"""File system interface of a replica's storage.

Tests replace it by a simulated disk that loses unsynced data or is full.
"""

import fcntl
import os
import pathlib
import typing


class Handle(typing.Protocol):
    """A file that is open for appending."""

    def write(self, data: bytes) -> None:
        """Write all bytes.

        :raises OSError: if not all bytes were written
        """

    def sync(self) -> None:
        """Sync the written data, so that it survives a power loss."""

    def close(self) -> None:
        """Close the file without syncing it."""


class Files(typing.Protocol):
    """The file system operations of a storage. Every method blocks."""

    def make_folder(self, path: pathlib.Path) -> None:
        """Create a folder and its parents if they are missing."""

    def lock(self, path: pathlib.Path) -> typing.Callable[[], None]:
        """Lock a file for this process; return a function that unlocks it.

        :raises OSError: if another process has locked it
        """

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return the contents of a file, or ``None`` if it is missing."""

    def open(self, path: pathlib.Path, *, fresh: bool) -> Handle:
        """Open a file for appending, truncated to 0 bytes if ``fresh``."""

    def truncate(self, path: pathlib.Path, length: int) -> None:
        """Truncate a file to a length in bytes, without syncing it."""

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file over another, without syncing the folder."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Sync a folder, so that its file names survive a power loss."""


class _OpenFile:
    """An unbuffered file, so that no data is written after a failure."""

    def __init__(self, path: pathlib.Path, *, fresh: bool) -> None:
        flags = os.O_WRONLY | os.O_CREAT
        flags |= os.O_TRUNC if fresh else os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class RealFiles:
    """The file system of the operating system."""

    def make_folder(self, path: pathlib.Path) -> None:
        path.mkdir(parents=True, exist_ok=True)

    def lock(self, path: pathlib.Path) -> typing.Callable[[], None]:
        lock_file = open(path, 'w', encoding='utf-8')
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock_file.close()
            raise
        return lock_file.close

    def read(self, path: pathlib.Path) -> bytes | None:
        return path.read_bytes() if path.exists() else None

    def open(self, path: pathlib.Path, *, fresh: bool) -> Handle:
        return _OpenFile(path, fresh=fresh)

    def truncate(self, path: pathlib.Path, length: int) -> None:
        os.truncate(path, length)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        os.replace(old, new)

    def sync_folder(self, path: pathlib.Path) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
