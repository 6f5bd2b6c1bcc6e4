"""Brittle instances of the service ``app`` on loopback."""

import asyncio
import time

from features.support import brittle
from features.support import links
from features.support import platform as platforms
from honeyport import local
from honeyport.settings import roles

_RUN_S = 0.4  # duration of each request
_DOWN_S = 3.0
_ZONE = 'thu-duc'


class BrittleServer:
    """An instance that crashes if it rejects too many requests.

    It queues nothing and rejects what arrives while all slots are in use.

    :param tolerated: rejections within one second that it survives
    """

    def __init__(self, name: str, slots: int, tolerated: int) -> None:
        self.name = name
        self.address = local.free_address()
        self._slots = slots
        self._tolerated = tolerated
        self._running = 0
        self._rejections = brittle.Rejections(tolerated)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._restart: asyncio.Task[None] | None = None
        self.crashes = 0
        self.completed = 0

    async def start(self) -> None:
        """Listen for connections."""
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._restart is not None:
            self._restart.cancel()
        self._close()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _crash(self) -> None:
        self.crashes += 1
        self._rejections.clear()
        self._close()
        self._restart = asyncio.create_task(self._start_later())

    async def _start_later(self) -> None:
        await asyncio.sleep(_DOWN_S)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                arrival = await links.read_request(self.name, reader)
                writer.write(await self._answer(arrival))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _answer(self, arrival: links.Arrival) -> bytes:
        signal = f'Server-Brittle: {self._tolerated}'
        if self._running >= self._slots:
            if not self._rejections.add(time.monotonic()):
                self._crash()
            return links.response_head(
                arrival,
                signal,
                'Not-Executed: 1',
                'Content-Length: 0',
                status='503 Service Unavailable',
            )
        self._running += 1
        try:
            await asyncio.sleep(_RUN_S)
        finally:
            self._running -= 1
        self.completed += 1
        head = links.response_head(
            arrival, signal, f'Content-Length: {len(links.ANSWER)}'
        )
        return head + links.ANSWER


class BrittleService:
    """All instances of the service.

    :param count: number of instances
    """

    def __init__(
        self,
        platform: platforms.Platform,
        count: int,
        slots: int,
        tolerated: int,
    ) -> None:
        self._platform = platform
        self._slots = slots
        self.servers = [
            BrittleServer(f'i-{number}', slots, tolerated)
            for number in range(1, count + 1)
        ]

    @property
    def capacity(self) -> float:
        """Requests per second that all instances can run."""
        return len(self.servers) * self._slots / _RUN_S

    @property
    def crashes(self) -> int:
        """How often instances have crashed."""
        return sum(server.crashes for server in self.servers)

    @property
    def completed(self) -> int:
        """The number of requests that ran to their end."""
        return sum(server.completed for server in self.servers)

    async def start(self) -> None:
        """Start all instances, and publish the list."""
        for server in self.servers:
            await server.start()
        self._platform.list_entries[:] = [
            {
                'id': server.name,
                'service': 'app',
                'address': server.address,
                'zone': _ZONE,
                'version': 'v1',
                'slots': self._slots,
                'state': 'ready',
                'cold_remaining_ms': 0,
            }
            for server in self.servers
        ]

    async def stop(self) -> None:
        """Stop all instances."""
        for server in self.servers:
            server.stop()
