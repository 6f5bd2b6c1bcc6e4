"""Cancellation of a coroutine in the moment in which its wait ends."""

import asyncio

_UNTIL_WAITING_S = 0.05
_END_TIMEOUT_S = 0.2


async def find_ignored(make, end_wait, last):
    """Return after how many steps of the loop a cancellation is ignored.

    :param make: returns a coroutine that begins with a wait
    :param end_wait: ends the wait
    :param last: the cancellation follows 0 to this many steps later
    """
    return [
        steps
        for steps in range(last + 1)
        if not await _is_cancelled(make(), end_wait, steps)
    ]


async def _is_cancelled(coroutine, end_wait, steps):
    """Return whether a cancellation ends a task that is not over yet."""
    task = asyncio.create_task(coroutine)
    await asyncio.sleep(_UNTIL_WAITING_S)
    end_wait()
    for _ in range(steps):
        await asyncio.sleep(0)
    if task.done():
        return True  # nothing is left to cancel
    task.cancel()
    await asyncio.wait([task], timeout=_END_TIMEOUT_S)
    is_cancelled = task.cancelled()
    task.cancel()
    return is_cancelled
