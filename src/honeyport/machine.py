"""What the machine grants this process."""

import contextlib
import pathlib
import resource

import attrs

_MEMORY_FILE = pathlib.Path('/proc/meminfo')
_MEMORY_FIELD = 'MemTotal'
_GROUP_LIMIT_FILE = pathlib.Path('/sys/fs/cgroup/memory.max')
_BYTES_PER_KB = 1024
# Where the machine does not tell.
_DEFAULT_MEMORY_BYTES = 1_000_000_000


@attrs.frozen(kw_only=True)
class Resources:
    """What a process may use.

    :ivar memory_bytes: memory of the machine
    :ivar file_descriptors: that the process may have
    """

    memory_bytes: float
    file_descriptors: int


def read_resources() -> Resources:
    """Return what the machine grants this process."""
    return Resources(
        memory_bytes=_read_memory_bytes(),
        file_descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
    )


def _read_memory_bytes() -> int:
    """Return the memory of the machine, or of the group of this process."""
    limits = [_read_total()]
    with contextlib.suppress(OSError, ValueError):
        # "max" stands for no limit.
        limits.append(int(_GROUP_LIMIT_FILE.read_text(encoding='ascii')))
    return min(limits)


def _read_total() -> int:
    try:
        text = _MEMORY_FILE.read_text(encoding='ascii')
    except OSError:
        return _DEFAULT_MEMORY_BYTES
    for line in text.splitlines():
        name, _, value = line.partition(':')
        if name == _MEMORY_FIELD:
            return int(value.split()[0]) * _BYTES_PER_KB
    return _DEFAULT_MEMORY_BYTES
