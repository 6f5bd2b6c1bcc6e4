"""Coalescing: what piles up while a message is on its way goes together."""

import asyncio
import typing

T = typing.TypeVar('T')


class Outbox(typing.Generic[T]):
    """A queue that is emptied as a whole.

    :param pause_s: wait this long for more before each message
    """

    def __init__(self, pause_s: float = 0.0) -> None:
        self._items: list[T] = []
        self._ready = asyncio.Event()
        self._closed = False
        self._pause_s = pause_s

    @property
    def closed(self) -> bool:
        """Whether nothing more is taken."""
        return self._closed

    def put(self, item: T) -> None:
        """Add an item; dropped without a word once closed."""
        if not self._closed:
            self._items.append(item)
            self._ready.set()

    def wake(self) -> None:
        """Have the receiver look, though nothing was added."""
        self._ready.set()

    async def wait(self) -> bool:
        """Wait for items or a call; false once closed and drained."""
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
        """Let the receiver finish with what is there."""
        self._closed = True
        self._ready.set()

    async def take(self) -> list[T]:
        """Wait for items and return all; empty once closed and drained."""
        await self._ready.wait()
        if self._pause_s and not self._closed:
            await asyncio.sleep(self._pause_s)
        return self.drain()
