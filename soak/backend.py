"""Instances of backend servers whose moods change."""

import asyncio
import contextlib
import random

from features.support import relay
from honeyport import local
from honeyport.settings import roles
from soak import records as soak_records

EVENTS = 8
ENDING = b'what no instance survives'
_EVENT_PAUSE_S = 0.03
_WORK_S = 0.03
_SLOW = 10.0  # how much longer a slow instance takes
_LEAVING = 'Server-Leaving: 1\r\n'
# From an answer until what an instance asks for in it has to hold.
_ON_THE_WIRE_S = 0.5
_DRAIN_S = 3.0
MOODS = ('errors', 'shed', 'mute', 'cut', 'reset', 'slow', 'extra')


def body_of(request_id: str, instance: str) -> bytes:
    """Return the answer to a request."""
    return f'{request_id} by {instance};'.encode() * 20


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of a stream; the last one says so."""
    data = 'end' if number == EVENTS else f'{request_id} {number}'
    return f'id: {number}\ndata: {data}\n\n'.encode()


class Instance:
    """One instance, reached through a relay that can be disturbed.

    :param found: where its runs are recorded
    """

    def __init__(
        self,
        name: str,
        service: str,
        found: soak_records.Records,
        chance: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.state = 'ready'
        self.mood = ''
        self.rest_s = 0.0  # asked for with each request turned away
        self.leaves = False  # says so in all answers
        self.ended = False
        self._found = found
        self._random = chance
        self._own_address = local.free_address()
        self.relay = relay.Relay(self._own_address)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def to_entry(self) -> dict[str, object]:
        """Return its entry in the platform's list."""
        return {
            'id': self.name,
            'service': self.service,
            'address': self.relay.address,
            'zone': 'thu-duc',
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'cold_remaining_ms': 0,
        }

    async def start(self) -> None:
        """Take connections."""
        host, port = roles.split_address(self._own_address)
        self._server = await asyncio.start_server(self._serve, host, port)
        await self.relay.start()

    async def stop(self) -> None:
        """End it, connections included."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self.relay.stop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError,
            asyncio.CancelledError,  # the soak ends
            asyncio.IncompleteReadError,
            RuntimeError,
        ):
            while await self._answer_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection goes on."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        line, *rest = head.strip().split('\r\n')
        headers = dict(one.split(': ', 1) for one in rest)
        length = int(headers.get('Content-Length', 0))
        body = await reader.readexactly(length)
        request_id = headers['Attempt-Id']
        if headers.get('Expected-Instance', self.name) != self.name:
            writer.write(self._plain(request_id, '421 Misdirected', False))
            return True
        now = asyncio.get_running_loop().time()
        self._found.arrivals.append(
            soak_records.Run(request_id, self.name, now)
        )
        if self.leaves:
            self._wish(request_id, _DRAIN_S, float('inf'))
        if self.rest_s:
            self._wish(request_id, _ON_THE_WIRE_S, self.rest_s)
        if self.mood == 'shed' or self.rest_s:
            writer.write(self._plain(request_id, '503 Full', False))
            return True
        self._found.runs[request_id].append(
            soak_records.Run(request_id, self.name, now)
        )
        if body == ENDING:
            self._end()
            return False
        return await self._run(line, headers, reader, writer)

    def _wish(self, request_id: str, since_s: float, until_s: float) -> None:
        at = asyncio.get_running_loop().time()
        self._found.wishes.append(
            soak_records.Wish(request_id, self.name, at, since_s, until_s)
        )

    def _end(self) -> None:
        """End as a process does; what stands before it goes on."""
        self._found.ends.append(asyncio.get_running_loop().time())
        self.ended = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _run(
        self,
        line: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = headers['Attempt-Id']
        slow = _SLOW if self.mood == 'slow' else 1.0
        await asyncio.sleep(_WORK_S * slow)
        if self.mood == 'mute':
            await reader.read(1)
            return False
        if self.mood == 'reset':
            writer.transport.abort()
            return False
        if self.mood == 'errors':
            writer.write(self._plain(request_id, '500 Error', True))
            return True
        if '/chat/' in line or '/talk/' in line:
            first = int(headers.get('Last-Event-Id', 0)) + 1
            return await self._stream(request_id, first, slow, writer)
        answer = self._plain(request_id, '200 OK', True)
        if self.mood == 'cut':
            writer.write(answer[:-7])
            return False
        if self.mood == 'extra':
            answer += self._plain('of-another-0', '200 OK', True)
        writer.write(answer)
        return True

    async def _stream(
        self,
        request_id: str,
        first: int,
        slow: float,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Attempt-Id: {request_id}\r\n'
                f'Response-Signature: {self.name}.{request_id}\r\n'
                f'{_LEAVING if self.leaves else ""}'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        cut_at = self._random.randint(1, EVENTS) if self.mood == 'cut' else 0
        for number in range(first, EVENTS + 1):
            event = event_of(request_id, number)
            if number == cut_at:
                writer.write(f'{len(event):x}\r\n'.encode() + event[:5])
                return False
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(_EVENT_PAUSE_S * slow)
        writer.write(b'0\r\n\r\n')
        return True

    def _plain(self, request_id: str, status: str, ran: bool) -> bytes:
        body = body_of(request_id, self.name) if ran else b''
        lines = [
            f'HTTP/1.1 {status}',
            f'Attempt-Id: {request_id}',
            f'Content-Length: {len(body)}',
        ]
        if ran:
            lines.append(f'Response-Signature: {self.name}.{request_id}')
        else:
            lines.append('Not-Executed: 1')
        if self.rest_s and not ran:
            lines.append(f'Retry-After: {self.rest_s:g}')
        if self.leaves:
            lines.append(_LEAVING.strip())
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
