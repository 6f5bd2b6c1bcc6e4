"""The clock by which this process measures all that ends with time.

A machine may be suspended and wake. The steady clock does not count that
time, so that a lease would outlive it: a gateway that was suspended for 6 s
ran a request with a key that had been taken away, and a leader answered with
the configuration before the one in force. ``CLOCK_BOOTTIME`` counts it, and
no one sets it, as one sets the time of day.
"""

import asyncio
import time


def now() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Loop(asyncio.SelectorEventLoop):
    """An event loop that counts suspensions.

    Whatever was due meanwhile is due as soon as the machine wakes; what
    arrived on a socket is read first and sees the time as it is.
    """

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        return now()


def new_loop() -> Loop:
    """Return an event loop for a process."""
    return Loop()
