"""Run a program as on a machine that a test can suspend.

The test stops the process by a signal and writes the total duration into a
file. The monotonic clock does not count this time; ``CLOCK_BOOTTIME`` and the
time of day do.
"""

import mmap
import os
import runpy
import struct
import sys
import time

PATH_VARIABLE = 'HONEYPORT_TEST_SUSPENDED'  # holds the path of the file
DURATION_S = struct.Struct('<d')


def main() -> None:
    """Run the program in the first argument."""
    with open(os.environ[PATH_VARIABLE], 'rb') as file:
        mapping = mmap.mmap(
            file.fileno(), DURATION_S.size, prot=mmap.PROT_READ
        )
    system_monotonic = time.monotonic

    def monotonic() -> float:
        [suspended_s] = DURATION_S.unpack_from(mapping)
        return system_monotonic() - suspended_s

    time.monotonic = monotonic
    # This folder contains a module with the name of a standard one.
    sys.path.pop(0)
    runpy.run_path(sys.argv[1], run_name='__main__')


if __name__ == '__main__':
    main()
