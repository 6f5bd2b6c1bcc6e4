"""Queue that coalesces items into one message while another is sent."""

import asyncio
import typing

T = typing.TypeVar('T')


class Outbox(typing.Generic[T]):
    """A queue whose items are taken all at once.

    :param pause_s: delay before each batch, to collect more items
    """

    def __init__(self, pause_s: float = 0.0) -> None:
        self._items: list[T] = []
        self._ready = asyncio.Event()
        self._closed = False
        self._pause_s = pause_s

    @property
    def closed(self) -> bool:
        """Whether the queue accepts no more items."""
        return self._closed

    def put(self, item: T) -> None:
        """Add an item; once closed, discard it silently."""
        if not self._closed:
            self._items.append(item)
            self._ready.set()

    def wake(self) -> None:
        """Wake the receiver although no item was added."""
        self._ready.set()

    async def wait(self) -> bool:
        """Wait for items or a wake-up.

        :returns: whether to go on: false once closed and drained
        """
        await self._ready.wait()
        return bool(self._items) or not self._closed

    def drain(self) -> list[T]:
        """Return all items without waiting."""
        items = self._items
        self._items = []
        if not self._closed:
            self._ready.clear()
        return items

    def close(self) -> None:
        """Accept no more items; those in the queue can still be taken."""
        self._closed = True
        self._ready.set()

    async def take(self) -> list[T]:
        """Wait for items and return all; empty once closed and drained."""
        await self._ready.wait()
        if self._pause_s and not self._closed:
            await asyncio.sleep(self._pause_s)
        return self.drain()
