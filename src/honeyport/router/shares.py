"""A fair queue: client accounts get room by their shares.

Self-clocked fair queuing (Golestani, 1994): a request's finish tag is its
account's last tag or the current one, whichever is later, plus the
inverse of the share. The lowest tag goes first, so an account that surges
waits behind its own requests, and takes only what others leave.
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

    def ahead(self, account: str, share: float) -> int:
        """Return how many waiting requests would go before a new one."""
        tag = self._next_tag(account, share)
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
        tag = self._next_tag(account, share)
        self._tags[account] = tag
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

    def pop(self, *, room: bool) -> bool:
        """Give the next request its turn; return whether there was one.

        :param room: what the request's :meth:`wait` returns
        """
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.turn.done():
                continue
            self._clock = waiter.tag
            self._length -= 1
            waiter.turn.set_result(room)
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

    def _next_tag(self, account: str, share: float) -> float:
        start = max(self._clock, self._tags.get(account, 0.0))
        return start + 1.0 / share

    def _trim(self) -> None:
        """Forget the tags of accounts that have nothing left to wait for."""
        if self._length == 0:
            self._tags.clear()
            self._clock = 0.0
