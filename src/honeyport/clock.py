"""The clock of this process for leases, deadlines and timeouts.

``CLOCK_MONOTONIC`` stops while the machine is suspended, so a lease could
still seem valid after the resume. ``CLOCK_BOOTTIME`` includes suspensions and
is never set, unlike the time of day.
"""

import asyncio
import time


def now() -> float:
    """Return the seconds since boot, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose time includes suspensions of the machine.

    Timers that expired during a suspension fire when the machine resumes;
    sockets are read first.
    """

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        return now()


def new_loop() -> Loop:
    """Return a new event loop; a factory for ``asyncio.Runner``."""
    return Loop()
