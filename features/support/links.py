"""Instances of a service, and each gateway's own links to them."""

import asyncio
import collections
import contextlib
import json
import os
import socket
import time
import typing

import attrs

from features.support import platform as platforms
from features.support import relay
from honeyport import local
from honeyport.settings import roles

ANSWER = b'done'
EVENTS = 6
_RUN_S = 0.02  # duration of each request
_EVENT_PERIOD_S = 0.2
_ZONE = 'thu-duc'
_BACKLOG_FILLERS = 4


@attrs.define
class Arrival:
    """A request that arrived at an instance.

    :ivar disconnected_at: when its connection was closed before its answer
        was complete, on the monotonic clock; ``None`` if it was not
    """

    instance: str
    path: str
    headers: dict[str, str]
    disconnected_at: float | None = None


class Blackhole:
    """An address that drops all attempts to connect."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind((local.HOST, 0))
        self._listener.listen(0)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        # The kernel drops attempts while the queue of connections is full.
        self._fillers = [socket.socket() for _ in range(_BACKLOG_FILLERS)]
        for filler in self._fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, port))

    def close(self) -> None:
        """Free the address."""
        for filler in (*self._fillers, self._listener):
            filler.close()


class Link:
    """The link of one gateway to one instance.

    :ivar state: ``open``; ``silent`` if nothing passes; ``reset`` if
        connections are closed and new ones refused; ``refusing`` if only new
        ones are refused
    """

    def __init__(self, target: str, blackhole: Blackhole) -> None:
        self.state = 'open'
        self._relay = relay.Relay(target)
        self._blackhole = blackhole

    @property
    def address(self) -> str:
        """The address that the gateway connects to at present."""
        if self.state == 'silent':
            return self._blackhole.address
        return self._relay.address

    async def start(self) -> None:
        """Accept connections."""
        await self._relay.start()

    async def set_state(self, state: str) -> None:
        """Change the state of the link."""
        if state == 'silent':
            self._relay.cut()
        elif state == 'open':
            self._relay.heal()
            if self.state in ('reset', 'refusing'):
                await self._relay.start()
        else:
            self._relay.stop_listening()
        if state == 'reset':
            self._relay.close_connections()
        self.state = state

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._relay.stop()


class LinkedInstances:
    """Instances of the service ``app``, with links of each gateway to them.

    A path below ``/app/stream/`` is answered by events, any other one at
    once, and one that ends in ``/slow`` never.

    :ivar arrivals: the requests that arrived at the instances
    :ivar connections: the connections that were accepted, by instance
    """

    def __init__(self, platform: platforms.Platform, count: int) -> None:
        self._platform = platform
        self._blackhole = Blackhole()
        self._addresses = {
            f'i-{number}': local.free_address()
            for number in range(1, count + 1)
        }
        self._links: dict[str, dict[str, Link]] = {
            node.name: {
                address: Link(address, self._blackhole)
                for address in self._addresses.values()
            }
            for node in platform.nodes
        }
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self.versions = dict.fromkeys(self._addresses, 'v1')
        self.arrivals: list[Arrival] = []
        self.connections: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Start all instances and links, and publish the list."""
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
        for node in self._platform.nodes:
            for link in self._links[node.name].values():
                await link.start()
            self._write_redirects(node)
        self.publish()

    def publish(self) -> None:
        """Publish the list; an instance has a new id with a new version."""
        self._platform.list_entries[:] = [
            {
                'id': f'{name}-{self.versions[name]}',
                'service': 'app',
                'address': address,
                'zone': _ZONE,
                'version': self.versions[name],
                'slots': 8,
                'state': 'ready',
                'cold_remaining_ms': 0,
            }
            for name, address in self._addresses.items()
        ]

    async def set_links(self, node: platforms.Node, state: str) -> None:
        """Change the state of all links of a gateway."""
        for link in self._links[node.name].values():
            await link.set_state(state)
        self._write_redirects(node)

    def find_arrivals(self, request_id: str) -> list[Arrival]:
        """Return the arrivals of a request."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.headers['Attempt-Id'] == request_id
        ]

    async def stop(self) -> None:
        """Stop everything."""
        for links in self._links.values():
            for link in links.values():
                await link.stop()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        self._blackhole.close()

    def _write_redirects(self, node: platforms.Node) -> None:
        redirects = {
            address: link.address
            for address, link in self._links[node.name].items()
        }
        temporary = node.redirects_file.with_suffix('.new')
        temporary.write_text(json.dumps(redirects), encoding='utf-8')
        os.replace(temporary, node.redirects_file)

    async def _serve(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections[name] += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                arrival = await read_request(name, reader)
                self.arrivals.append(arrival)
                await self._answer(arrival, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if arrival.path.endswith('/slow'):
            await reader.read(1)
            arrival.disconnected_at = time.monotonic()
            raise ConnectionResetError
        if arrival.path.startswith('/app/stream/'):
            version = self.versions[arrival.instance]
            await _write_stream(arrival, version, writer)
            return
        await asyncio.sleep(_RUN_S)
        head = response_head(arrival, f'Content-Length: {len(ANSWER)}')
        writer.write(head + ANSWER)
        await writer.drain()


async def read_request(name: str, reader: asyncio.StreamReader) -> Arrival:
    """Read a request that arrived at an instance."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    request_line, *header_lines = head.strip().split('\r\n')
    headers = dict(line.split(': ', 1) for line in header_lines)
    await reader.readexactly(int(headers.get('Content-Length', 0)))
    return Arrival(name, request_line.split()[1], headers)


async def _write_stream(
    arrival: Arrival, version: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        response_head(
            arrival,
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
    )
    first = int(arrival.headers.get('Last-Event-Id', 0)) + 1
    for number in range(first, EVENTS + 1):
        text = f'id: {number}\ndata: token {number} of {version}\n\n'
        event = text.encode()
        writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        await writer.drain()
        if writer.transport.is_closing():
            arrival.disconnected_at = time.monotonic()
            raise ConnectionResetError
        await asyncio.sleep(_EVENT_PERIOD_S)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


def response_head(
    arrival: Arrival, *lines: str, status: str = '200 OK'
) -> bytes:
    """Return the head of an instance's response."""
    all_lines = (
        f'HTTP/1.1 {status}',
        f'Attempt-Id: {arrival.headers["Attempt-Id"]}',
        'Response-Signature: d1',
        *lines,
    )
    return '\r\n'.join(all_lines).encode() + b'\r\n\r\n'
