"""A loopback relay that can be cut: a partition in front of an address."""

import asyncio
import contextlib

from honeyport import local
from honeyport.settings import roles


class Relay:
    """Passes connections on until it is cut.

    A cut relay keeps its connections open and passes nothing on, as a
    network does that drops packets.

    :ivar delay_s: how long each piece is held up
    """

    def __init__(self, target: str) -> None:
        self.address = local.free_address()
        self.delay_s = 0.0
        self._target = target
        self._there = asyncio.Event()
        self._back = asyncio.Event()
        self.heal()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def cut(self, *, to_target: bool = True, from_target: bool = True) -> None:
        """Pass nothing on from now on, in one direction or both."""
        if to_target:
            self._there.clear()
        if from_target:
            self._back.clear()

    def heal(self) -> None:
        """Pass on again what comes, and what had come."""
        self._there.set()
        self._back.set()

    def close_connections(self) -> int:
        """Close all connections; return how many there were."""
        count = len(self._tasks)
        for task in list(self._tasks):
            task.cancel()
        return count

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._there.wait()
            far = await asyncio.open_connection(
                *roles.split_address(self._target)
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, far[1], self._there))
                group.create_task(self._pass(far[0], writer, self._back))
        except* OSError:
            pass
        except* asyncio.CancelledError:
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay_s)
                await is_open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
