"""Processor time and memory of a process, from proc(5)."""

import os
import pathlib

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Field positions from 0: utime and stime of stat, resident of statm.
_UTIME = 13
_STIME = 14
_RESIDENT = 1


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    skipped = 2  # pid and command name
    user, system = fields[_UTIME - skipped], fields[_STIME - skipped]
    return (int(user) + int(system)) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[_RESIDENT]) * _PAGE_BYTES / 1e6
