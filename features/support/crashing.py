"""Instances of a service that a certain request ends each time it runs."""

import asyncio
import contextlib
import itertools

import attrs

from features.support import platform as platforms
from honeyport import local
from honeyport.settings import roles

ENDING = b'what no instance survives'
_RUNS_S = 0.02  # from the start of a run to the end of its instance
# Until an instance is back; the platform's list names it meanwhile.
_BACK_S = 1.5
_ZONE = 'thu-duc'


@attrs.define
class Seen:
    """What reached the instances.

    :ivar ending: ids of the requests that end who runs them, as they arrived
    :ivar others: how many other requests ran to their end
    :ivar ends: how many instances ended
    """

    ending: list[str] = attrs.field(factory=list)
    others: int = 0
    ends: int = 0


class Instances:
    """Some instances of the service ``app`` on a platform.

    :param keep_names: whether an instance is back under the name it had
    :param silent: whether an instance ends without closing its connections
    """

    def __init__(
        self,
        platform: platforms.Platform,
        count: int,
        *,
        keep_names: bool = False,
        silent: bool = False,
    ) -> None:
        self.seen = Seen()
        self._platform = platform
        self._numbers = itertools.count(1)
        self._keep_names = keep_names
        self._silent = silent
        self.mended = False
        self._all = [_Instance(self) for _ in range(count)]

    @property
    def silent(self) -> bool:
        """Whether an instance ends without closing its connections."""
        return self._silent

    async def start(self) -> None:
        """Start all, and list them."""
        for instance in self._all:
            instance.name = self.next_name()
            await instance.start()
        self.tell()

    async def stop(self) -> None:
        """End all."""
        for instance in self._all:
            await instance.stop()

    def next_name(self, former: str = '') -> str:
        """Return the name of an instance that starts."""
        if former and self._keep_names:
            return former
        return f'i-{next(self._numbers)}'

    def tell(self) -> None:
        """Write the platform's list."""
        self._platform.list_entries[:] = [one.to_entry() for one in self._all]


class _Instance:
    def __init__(self, group: Instances) -> None:
        self.name = ''
        self._group = group
        self._listed_name = ''
        self._address = local.free_address()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._dark: list[asyncio.StreamWriter] = []

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
        for writer in self._dark:
            writer.transport.abort()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            if self._group.silent:
                self._dark.append(writer)
            else:
                writer.transport.abort()
        self._writers.clear()

    async def _end_and_return(self) -> None:
        """End as a process does; be back a little later."""
        self._group.seen.ends += 1
        self._close()
        await asyncio.sleep(_BACK_S)
        self.name = self._group.next_name(self.name)
        await self.start()
        self._group.tell()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        name = self.name
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer(name, reader, writer):
                pass
        if writer in self._writers:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run one request; return whether the connection goes on."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        headers = dict(
            one.split(': ', 1) for one in head.strip().split('\r\n')[1:]
        )
        length = int(headers.get('Content-Length', 0))
        body = await reader.readexactly(length)
        request_id = headers['Attempt-Id']
        if headers['Expected-Instance'] != name:
            writer.write(_answer(request_id, '421 Misdirected Request', b''))
            return True
        ends = body == ENDING and not self._group.mended
        if ends:
            self._group.seen.ending.append(request_id)
        await asyncio.sleep(_RUNS_S)
        if ends:
            if writer in self._writers:  # no other run has ended it yet
                task = asyncio.create_task(self._end_and_return())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            return False
        self._group.seen.others += 1
        writer.write(_answer(request_id, '200 OK', b'done'))
        return True


def _answer(request_id: str, status: str, body: bytes) -> bytes:
    lines = [
        f'HTTP/1.1 {status}',
        f'Attempt-Id: {request_id}',
        'Response-Signature: d1',
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
