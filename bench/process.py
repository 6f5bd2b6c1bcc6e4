"""What the system accounts to a process."""

import os
import pathlib

_TICK = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')
_USER = 13
_SYSTEM = 14
_RESIDENT = 1


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    shift = 2  # fields before the closing bracket
    user, system = fields[_USER - shift], fields[_SYSTEM - shift]
    return (int(user) + int(system)) / _TICK


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[_RESIDENT]) * _PAGE / 1e6
