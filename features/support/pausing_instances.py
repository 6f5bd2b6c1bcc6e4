"""Instances of a service that can be made silent, on the level of bytes."""

import asyncio
import collections
import typing

from features.support import links
from features.support import platform as platforms
from honeyport import local
from honeyport.settings import roles

ANSWER = b'the whole answer'
EVENTS = 25
EVENT_PERIOD_S = 0.1
_RUN_S = 0.2  # duration of a request that is no stream
_SLOTS = 64
_ZONE = 'thu-duc'
SERVICE = 'app'
STREAM_PREFIX = '/app/stream/'


def event_of(number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: token {number}\n\n'.encode()


class PausingInstances:
    """Instances of the service ``app``.

    A path below ``/app/stream/`` is answered by events, any other one by a
    short answer. An instance that is silent reads and writes nothing and
    keeps its connections.

    :ivar names: the ids of the instances
    :ivar arrived_at: the times at which requests arrived, by their id
    """

    def __init__(self, platform: platforms.Platform, count: int) -> None:
        self._platform = platform
        self.names = [f'i-{number}' for number in range(1, count + 1)]
        self._addresses = {name: local.free_address() for name in self.names}
        self._is_sending = {name: asyncio.Event() for name in self.names}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self.arrived_at: dict[str, list[float]] = collections.defaultdict(list)

    async def start(self) -> None:
        """Start all instances, and publish the list."""
        # Before the gateways read it for the first time.
        self._platform.list_entries[:] = [
            {
                'id': name,
                'service': SERVICE,
                'address': address,
                'zone': _ZONE,
                'version': 'v1',
                'slots': _SLOTS,
                'state': 'ready',
                'cold_remaining_ms': 0,
            }
            for name, address in self._addresses.items()
        ]
        self.resume(self.names)
        for name, address in self._addresses.items():
            host, port = roles.split_address(address)
            server = await asyncio.start_server(
                lambda reader, writer, name=name: self._serve(
                    name, reader, writer
                ),
                host,
                port,
            )
            self._servers.append(server)

    def silence(self, names: list[str]) -> None:
        """Make instances silent."""
        for name in names:
            self._is_sending[name].clear()

    def resume(self, names: list[str]) -> None:
        """Let instances go on."""
        for name in names:
            self._is_sending[name].set()

    async def stop(self) -> None:
        """Stop all instances and close their connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                arrival = await links.read_request(name, reader)
                await self._is_sending[name].wait()
                request_id = arrival.headers['Attempt-Id']
                self.arrived_at[request_id].append(
                    asyncio.get_running_loop().time()
                )
                if arrival.path.startswith(STREAM_PREFIX):
                    await self._write_stream(arrival, writer)
                else:
                    await self._write_answer(arrival, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _write_answer(
        self, arrival: links.Arrival, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(_RUN_S)
        head = links.response_head(arrival, f'Content-Length: {len(ANSWER)}')
        await self._write(arrival, writer, head + ANSWER)

    async def _write_stream(
        self, arrival: links.Arrival, writer: asyncio.StreamWriter
    ) -> None:
        head = links.response_head(
            arrival,
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
        await self._write(arrival, writer, head)
        first = int(arrival.headers.get('Last-Event-Id', 0)) + 1
        for number in range(first, EVENTS + 1):
            event = event_of(number)
            chunk = f'{len(event):x}\r\n'.encode() + event + b'\r\n'
            await self._write(arrival, writer, chunk)
            await asyncio.sleep(EVENT_PERIOD_S)
        await self._write(arrival, writer, b'0\r\n\r\n')

    async def _write(
        self,
        arrival: links.Arrival,
        writer: asyncio.StreamWriter,
        data: bytes,
    ) -> None:
        await self._is_sending[arrival.instance].wait()
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(data)
        await writer.drain()
