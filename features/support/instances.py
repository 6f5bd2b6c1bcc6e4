"""Instances of a service that do what a script says, byte for byte."""

import asyncio
import collections
import contextlib
import time

import attrs

from honeyport.gateway import headers as gateway_headers
from honeyport import local
from honeyport.settings import roles

NAMES = gateway_headers.HeaderNames()
BODY = b'the whole answer'
EVENTS = 6


@attrs.define
class Arrival:
    """A request as an instance saw it.

    :ivar at: when it came, in seconds of the steady clock
    :ivar answered: when its answer was written; 0 until then
    :ivar step: what the instance does with it
    """

    instance: str
    line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    left: asyncio.Event = attrs.field(factory=asyncio.Event)
    at: float = attrs.field(factory=time.monotonic)
    answered: float = 0.0
    step: str = ''


class Script:
    """What instances do with the requests that arrive, in their order.

    The last step is repeated.

    :ivar always: what single instances do with all that they get, by name
    """

    def __init__(self, steps: list[str]) -> None:
        self._steps = collections.deque(steps)
        self.arrivals: list[Arrival] = []
        self.always: dict[str, str] = {}

    def next(self, instance: str) -> str:
        """Return what an instance does with what it just got."""
        if instance in self.always:
            return self.always[instance]
        if len(self._steps) > 1:
            return self._steps.popleft()
        return self._steps[0]


class Instance:
    """One instance on a loopback address."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.address = local.free_address()
        self._script = script
        self._connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Take connections."""
        host, port = roles.split(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    def end(self) -> None:
        """End as a process does: nothing listens, connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        connection = self._connections
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                arrival = await self._read(reader, connection)
                self._script.arrivals.append(arrival)
                arrival.step = step = self._script.next(self.name)
                if step == 'end':
                    self.end()
                    return
                if not await _play(step, arrival, reader, writer):
                    break
        writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, connection: int
    ) -> Arrival:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        line, *rest = head.strip().split('\r\n')
        headers = dict(one.split(': ', 1) for one in rest)
        length = int(headers.get('Content-Length', 0))
        body = await reader.readexactly(length)
        return Arrival(self.name, line, headers, body, connection)


async def _play(
    step: str,
    arrival: Arrival,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Do one step; return whether the connection goes on."""
    if step == 'close':
        return False
    if step == 'reset':
        writer.transport.abort()
        return False
    if step in ('silent', 'stream and wait'):
        if step == 'stream and wait':
            writer.write(_stream_head(arrival) + _chunk(_event(1)))
        await reader.read(1)
        arrival.left.set()
        return False
    writer.write(_bytes(step, arrival))
    await writer.drain()
    arrival.answered = time.monotonic()
    return step not in ('cut', 'unframed', 'stream cut', 'garbage')


def _bytes(step: str, arrival: Arrival) -> bytes:
    """Return what an instance writes in one step.

    After ``for`` comes how long the instance wants nothing, after
    ``leaves`` what it does while it says that it leaves.
    """
    name, _, told = step.partition(_LEAVES)
    if told:
        leaving = f'\r\n{NAMES.leaving}: 1\r\n'.encode()
        return _bytes(told, arrival).replace(b'\r\n', leaving, 1)
    name, _, rest = step.partition(' for ')
    if name in _TURNED_AWAY:
        return _answer(
            arrival,
            _TURNED_AWAY[name],
            **{NAMES.not_run: '1', 'Retry_After': rest},
        )
    return _BYTES[step](arrival)


def _answer(arrival: Arrival, status: str = '200 OK', **more: str) -> bytes:
    headers = {
        NAMES.request_id: arrival.headers[NAMES.request_id],
        NAMES.digest: 'd1',
        'Content-Length': str(len(BODY)),
    }
    headers |= {name.replace('_', '-'): text for name, text in more.items()}
    lines = [f'{name}: {text}' for name, text in headers.items() if text]
    head = '\r\n'.join([f'HTTP/1.1 {status}', *lines])
    return head.encode() + b'\r\n\r\n' + BODY


def _foreign(arrival: Arrival) -> bytes:
    return _answer(arrival, **{NAMES.request_id: 'of-another'})


def _event(number: int) -> bytes:
    return f'id: {number}\ndata: token {number}\n\n'.encode()


def _chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def _stream_head(arrival: Arrival) -> bytes:
    return (
        'HTTP/1.1 200 OK\r\n'
        f'{NAMES.request_id}: {arrival.headers[NAMES.request_id]}\r\n'
        f'{NAMES.digest}: d1\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def _stream(arrival: Arrival) -> bytes:
    first = int(arrival.headers.get(NAMES.last_event, 0)) + 1
    events = [_event(number) for number in range(first, EVENTS + 1)]
    chunks = b''.join(_chunk(event) for event in events)
    return _stream_head(arrival) + chunks + b'0\r\n\r\n'


def _stream_cut(arrival: Arrival) -> bytes:
    whole = _event(1) + _event(2)
    half = _event(3)[:9]
    return _stream_head(arrival) + _chunk(whole) + _chunk(half)


# Before what an instance does that says in its answer that it leaves.
_LEAVES = 'leaves, '
_TURNED_AWAY = {
    'rest': '503 Service Unavailable',
    'slow down': '429 Too Many Requests',
}
_BYTES = {
    'answer': _answer,
    'fail': lambda one: _answer(one, '500 Internal Server Error'),
    'busy': lambda one: _answer(one, '503 Service Unavailable'),
    'not run': lambda one: _answer(
        one, '503 Service Unavailable', **{NAMES.not_run: '1'}
    ),
    'misdirected': lambda one: _answer(one, '421 Misdirected Request'),
    'unsigned': lambda one: _answer(one, **{NAMES.digest: ''}),
    'cut': lambda one: _answer(one, Content_Length='999'),
    'unframed': lambda one: _answer(one, Content_Length=''),
    'garbage': lambda one: b'\x00\x01 no answer\r\n\r\n',
    'foreign, then answer': lambda one: _foreign(one) + _answer(one),
    'answer, then foreign': lambda one: _answer(one) + _foreign(one),
    'stream': _stream,
    'stream cut': _stream_cut,
}
