"""Runs a program on a machine that a test may suspend.

As on a machine that is suspended, its steady clock stands still meanwhile;
``CLOCK_BOOTTIME`` and the time of day go on. The test stops the process by a
signal and writes into a file for how long that was in all.
"""

import mmap
import os
import runpy
import struct
import sys
import time

VARIABLE = 'HONEYPORT_TEST_SUSPENDED'  # names the file
SECONDS = struct.Struct('<d')


def main() -> None:
    """Run the program that the command line names."""
    with open(os.environ[VARIABLE], 'rb') as file:
        view = mmap.mmap(file.fileno(), SECONDS.size, prot=mmap.PROT_READ)
    steady = time.monotonic

    def monotonic() -> float:
        [suspended_s] = SECONDS.unpack_from(view)
        return steady() - suspended_s

    time.monotonic = monotonic
    # This folder has a module named like one of the standard library.
    sys.path.pop(0)
    runpy.run_path(sys.argv[1], run_name='__main__')


if __name__ == '__main__':
    main()
