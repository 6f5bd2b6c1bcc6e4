"""A weighted fair queue of requests, one flow for each client account.

Start-time fair queuing (Goyal, Vin and Cheng, 1996): a request's start tag is
the later of its account's last finish tag and the virtual time, which is the
start tag of the last request served. Its finish tag is the start tag plus the
inverse of the account's share. The lowest start tag is served first.
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
    sequence: int
    account: str = attrs.field(order=False)
    grant: asyncio.Future[bool] = attrs.field(order=False)


class FairQueue:
    """The requests that wait for a slot of one backend server.

    :param on_unused_slot: called when a slot was granted to a request that
        had been cancelled meanwhile
    """

    def __init__(
        self, on_unused_slot: collections.abc.Callable[[], None]
    ) -> None:
        self._on_unused_slot = on_unused_slot
        self._heap: list[_Waiter] = []
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._waiting_count = 0

    def __len__(self) -> int:
        return self._waiting_count

    def count_ahead(self, account: str) -> int:
        """Return how many requests are served before a new one.

        :param account: the client account of the new request
        """
        tag = self._start_tag(account)
        return sum(
            1
            for waiter in self._heap
            if waiter.tag <= tag and not waiter.grant.done()
        )

    async def wait(self, account: str, share: float, timeout_s: float) -> bool:
        """Queue a request and wait for a slot.

        :param share: the account's weight
        :returns: whether a slot was granted; if not, the owner of the backend
            server may have changed
        :raises errors.Overloaded: if the request was not served in time
        """
        grant = asyncio.get_running_loop().create_future()
        tag = self._start_tag(account)
        self._finish_tags[account] = tag + 1.0 / share
        heapq.heappush(
            self._heap, _Waiter(tag, next(self._sequence), account, grant)
        )
        self._waiting_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await grant
        except TimeoutError:
            raise errors.Overloaded(retry_after=timeout_s) from None
        finally:
            self._clean_up(grant)

    def resolve_next(self, *, granted: bool) -> bool:
        """End the wait of the next request; return whether there was one.

        :param granted: what the request's :meth:`wait` returns
        """
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.grant.done():
                continue
            self._virtual_time = waiter.tag
            self._waiting_count -= 1
            waiter.grant.set_result(granted)
            self._reset_if_empty()
            return True
        return False

    def _clean_up(self, grant: asyncio.Future[bool]) -> None:
        """Remove a cancelled request, or hand its unused slot back."""
        if grant.cancelled() or not grant.done():
            grant.cancel()
            self._waiting_count -= 1
        elif grant.result() and asyncio.current_task().cancelling():
            self._on_unused_slot()

    def _start_tag(self, account: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(account, 0.0))

    def _reset_if_empty(self) -> None:
        """Reset the virtual time and all tags once no request waits."""
        if self._waiting_count == 0:
            self._finish_tags.clear()
            self._virtual_time = 0.0
