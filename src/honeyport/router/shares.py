"""A fair queue: client accounts get room by their shares.

Start-time fair queuing (Goyal, Vin and Cheng, 1996): a request's start tag
is its account's last finish tag or the tag of the request that went last,
whichever is later; its finish tag is that plus the inverse of the share.
The lowest start tag goes first. An account that surges waits behind its
own requests, and one that asks rarely goes next.
"""

import asyncio
import collections.abc
import heapq
import itertools

import attrs

from honeyport import errors


@attrs.define(order=True)
class _Waiter:
    tag: float
    order: int
    account: str = attrs.field(order=False)
    turn: asyncio.Future[bool] = attrs.field(order=False)


class FairQueue:
    """Requests waiting for one backend server.

    :param unused: called when room was given to a request that had just
        been cancelled
    """

    def __init__(self, unused: collections.abc.Callable[[], None]) -> None:
        self._unused = unused
        self._heap: list[_Waiter] = []
        self._tags: dict[str, float] = {}
        self._clock = 0.0
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def count_ahead(self, account: str) -> int:
        """Return how many waiting requests would go before a new one."""
        tag = self._start_tag(account)
        return sum(
            1
            for waiter in self._heap
            if waiter.tag <= tag and not waiter.turn.done()
        )

    async def wait(self, account: str, share: float, timeout: float) -> bool:
        """Wait for a turn.

        :returns: whether room was given; if not, look again who is in
            charge of the backend server
        :raises errors.Overloaded: if no turn came in time
        """
        turn = asyncio.get_running_loop().create_future()
        tag = self._start_tag(account)
        self._tags[account] = tag + 1.0 / share
        heapq.heappush(
            self._heap, _Waiter(tag, next(self._order), account, turn)
        )
        self._length += 1
        try:
            async with asyncio.timeout(timeout):
                return await turn
        except TimeoutError:
            raise errors.Overloaded(retry_after=timeout) from None
        finally:
            self._settle(turn)

    def grant_next(self, *, granted: bool) -> bool:
        """Give the next request its turn; return whether there was one.

        :param room: what the request's :meth:`wait` returns
        """
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.turn.done():
                continue
            self._clock = waiter.tag
            self._length -= 1
            waiter.turn.set_result(granted)
            self._trim()
            return True
        return False

    def _settle(self, turn: asyncio.Future[bool]) -> None:
        """Clean up behind a request that is no longer waiting."""
        if turn.cancelled() or not turn.done():
            turn.cancel()
            self._length -= 1
        elif turn.result() and asyncio.current_task().cancelling():
            self._unused()

    def _start_tag(self, account: str) -> float:
        return max(self._clock, self._tags.get(account, 0.0))

    def _trim(self) -> None:
        """Forget the tags of accounts that have nothing left to wait for."""
        if self._length == 0:
            self._tags.clear()
            self._clock = 0.0
