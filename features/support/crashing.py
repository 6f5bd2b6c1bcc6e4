"""Instances that crash when they run certain requests.

These have a certain body, or a certain part in their prompts.
"""

import asyncio
import contextlib
import itertools

import attrs

from features.support import platform as platforms
from honeyport import local
from honeyport.settings import roles

FATAL_BODY = b'what no instance survives'
FATAL_PART = 'fa7a1000'
# A request with such a body waits at its instance before it runs.
WAITING_BODY = b'waits'
_WAIT_S = 1.0
_RUN_S = 0.02  # duration of each request, and until a crash
_RESTART_S = 1.5  # after a crash; the instance stays in the list meanwhile
_ZONE = 'thu-duc'


@attrs.define
class Counts:
    """Counts of the requests that reached the instances.

    :ivar crashing_ids: ids of the crashing requests, in the order of arrival
    :ivar arrived_at: when these arrived, in loop time
    :ivar crashed_at: the time of each crash, likewise
    :ivar completed_others: number of other requests that completed
    """

    crashing_ids: list[str] = attrs.field(factory=list)
    arrived_at: list[float] = attrs.field(factory=list)
    crashed_at: list[float] = attrs.field(factory=list)
    completed_others: int = 0

    @property
    def crashes(self) -> int:
        """Number of crashes."""
        return len(self.crashed_at)


class Instances:
    """Several instances of the service ``app`` on a platform.

    :param keep_names: whether an instance keeps its name after a crash
    :param keep_connections: whether a crash leaves connections open
    :ivar is_fixed: whether the crashing request runs like any other
    """

    def __init__(
        self,
        platform: platforms.Platform,
        count: int,
        *,
        keep_names: bool = False,
        keep_connections: bool = False,
    ) -> None:
        self.counts = Counts()
        self._platform = platform
        self._numbers = itertools.count(1)
        self._keep_names = keep_names
        self._keep_connections = keep_connections
        self.is_fixed = False
        self._instances = [_Instance(self) for _ in range(count)]

    @property
    def keep_connections(self) -> bool:
        """Whether a crash leaves connections open."""
        return self._keep_connections

    async def start(self) -> None:
        """Start all instances and publish the list."""
        for instance in self._instances:
            instance.name = self.next_name()
            await instance.start()
        self.publish()

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self._instances:
            await instance.stop()

    def next_name(self, previous_name: str = '') -> str:
        """Return the name of an instance that starts.

        :param previous_name: its name before a crash
        """
        if previous_name and self._keep_names:
            return previous_name
        return f'i-{next(self._numbers)}'

    def publish(self) -> None:
        """Write all instances into the platform's list."""
        self._platform.list_entries[:] = [
            instance.to_entry() for instance in self._instances
        ]


class _Instance:
    def __init__(self, group: Instances) -> None:
        self.name = ''
        self._group = group
        self._listed_name = ''
        self._address = local.free_address()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_after_crash: list[asyncio.StreamWriter] = []

    def to_entry(self) -> dict[str, object]:
        """Return its entry in the platform's list."""
        return {
            'id': self.name,
            'service': 'app',
            'address': self._address,
            'zone': _ZONE,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
        }

    async def start(self) -> None:
        host, port = roles.split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._close()
        for writer in self._open_after_crash:
            writer.transport.abort()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            if self._group.keep_connections:
                self._open_after_crash.append(writer)
            else:
                writer.transport.abort()
        self._writers.clear()

    async def _crash_and_restart(self) -> None:
        """Close like a crashed process, and start again after a delay."""
        now = asyncio.get_running_loop().time()
        self._group.counts.crashed_at.append(now)
        self._close()
        await asyncio.sleep(_RESTART_S)
        self.name = self._group.next_name(self.name)
        await self.start()
        self._group.publish()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        name = self.name
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._handle_request(name, reader, writer):
                pass
        if writer in self._writers:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; return whether the connection stays open."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        headers = dict(
            line.split(': ', 1) for line in head.strip().split('\r\n')[1:]
        )
        length = int(headers.get('Content-Length', 0))
        body = await reader.readexactly(length)
        request_id = headers['Attempt-Id']
        if headers['Expected-Instance'] != name:
            writer.write(
                _encode_response(request_id, '421 Misdirected Request', b'')
            )
            return True
        prompt = headers.get('Prompt-Prefix', '')
        if body.startswith(WAITING_BODY) and await _is_dropped(reader):
            return False
        crashes = not self._group.is_fixed and (
            body == FATAL_BODY or FATAL_PART in _shared_parts(prompt)
        )
        if crashes:
            counts = self._group.counts
            counts.crashing_ids.append(request_id)
            counts.arrived_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(_RUN_S)
        if crashes:
            if writer in self._writers:  # no other request has crashed it yet
                task = asyncio.create_task(self._crash_and_restart())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            return False
        self._group.counts.completed_others += 1
        writer.write(_encode_response(request_id, '200 OK', b'done'))
        return True


async def _is_dropped(reader: asyncio.StreamReader) -> bool:
    """Wait before a request runs; return whether its connection closed."""
    try:
        async with asyncio.timeout(_WAIT_S):
            await reader.read(1)
    except TimeoutError:
        return False
    return True


def _shared_parts(prompt: str) -> list[str]:
    """Return the ids of the parts that requests share, all but the last."""
    return [part.partition(':')[0] for part in prompt.split(',')[:-1]]


def _encode_response(request_id: str, status: str, body: bytes) -> bytes:
    lines = [
        f'HTTP/1.1 {status}',
        f'Attempt-Id: {request_id}',
        'Response-Signature: d1',
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
