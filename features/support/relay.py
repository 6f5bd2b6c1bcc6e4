"""A TCP relay on loopback that simulates network partitions."""

import asyncio
import contextlib

from honeyport import local
from honeyport.settings import roles


class Relay:
    """Forwards connections to a target.

    While it is cut, it keeps connections open and forwards nothing, like a
    network that drops packets.

    :ivar address: where it listens
    :ivar delay_s: delay of each chunk, in seconds
    """

    def __init__(self, target: str) -> None:
        self.address = local.free_address()
        self.delay_s = 0.0
        self._target = target
        self._to_target_open = asyncio.Event()
        self._from_target_open = asyncio.Event()
        self.heal()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def cut(self, *, to_target: bool = True, from_target: bool = True) -> None:
        """Stop forwarding in one direction or both."""
        if to_target:
            self._to_target_open.clear()
        if from_target:
            self._from_target_open.clear()

    def heal(self) -> None:
        """Resume forwarding, including the data received meanwhile."""
        self._to_target_open.set()
        self._from_target_open.set()

    def stop_listening(self) -> None:
        """Refuse new connections, and go on with those that are open."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> int:
        """Close all connections; return their number."""
        count = len(self._tasks)
        for task in list(self._tasks):
            task.cancel()
        return count

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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
            await self._to_target_open.wait()
            target = await asyncio.open_connection(
                *roles.split_address(self._target)
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target[1], self._to_target_open)
                )
                group.create_task(
                    self._forward(target[0], writer, self._from_target_open)
                )
        except* OSError:
            pass
        except* asyncio.CancelledError:
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _forward(
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
