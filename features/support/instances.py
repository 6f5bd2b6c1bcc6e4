"""Scripted instances of a service, on the level of bytes."""

import asyncio
import collections
import collections.abc
import contextlib
import time

import attrs

from features.support import cut_heads
from honeyport.gateway import headers as gateway_headers
from honeyport import local
from honeyport.settings import roles

NAMES = gateway_headers.HeaderNames()
BODY = b'the whole answer'
LARGE_BODY = b'a large answer ' * 262_144
EVENTS = 6
_LONG_EVENTS = (b'data: ' + b'x' * 2000 + b'\n\n') * 3000
# Time for the events to be relayed.
_CUT_AFTER_S = 0.02
# Time until a late answer.
LATE_S = 0.1
# Silence of an instance that goes on; longer than the idle timeouts of a
# gateway in tests.
PAUSE_S = 0.7
# Step of an instance that answers and begins another answer, up to a byte.
_STALE_PREFIX = 'answer, and bytes of another: '
# Time between the events of a slow stream; shorter than these timeouts.
_SLOW_EVENT_S = 0.1


@attrs.define
class Arrival:
    """A request that arrived at an instance.

    :ivar connection: number of the connection at the instance
    :ivar disconnected: set when the gateway closed the connection
    :ivar arrived_at: time of arrival on the monotonic clock, in seconds
    :ivar answered_at: time of the answer on the same clock; 0 until then
    :ivar endless_bytes: written of an endless response
    :ivar step: script step that the instance runs for it
    :ivar version: software version of the instance
    """

    instance: str
    request_line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)
    arrived_at: float = attrs.field(factory=time.monotonic)
    answered_at: float = 0.0
    endless_bytes: int = 0
    step: str = ''
    version: str = ''


class Script:
    """Steps for the requests of all instances, in order of arrival.

    The last step is repeated.

    :ivar step_by_instance: fixed step of an instance, by name
    """

    def __init__(self, steps: list[str]) -> None:
        self._steps = collections.deque(steps)
        self.arrivals: list[Arrival] = []
        self.step_by_instance: dict[str, str] = {}

    def replace(self, steps: list[str]) -> None:
        """Set the steps for the next requests."""
        self._steps = collections.deque(steps)

    def next(self, instance: str) -> str:
        """Return the step for a request that arrived at an instance."""
        if instance in self.step_by_instance:
            return self.step_by_instance[instance]
        if len(self._steps) > 1:
            return self._steps.popleft()
        return self._steps[0]


class Instance:
    """An instance on a loopback address.

    :ivar version: software version, which its events name
    """

    def __init__(self, name: str, script: Script, version: str = 'v1') -> None:
        self.name = name
        self.version = version
        self.address = local.free_address()
        self._script = script
        self._connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen for connections."""
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    def refuse_connections(self) -> None:
        """Accept no new connections."""
        assert self._server is not None
        self._server.close()

    def crash(self) -> None:
        """Crash: stop listening and reset all connections."""
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
                    self.crash()
                    return
                if not await _run_step(step, arrival, reader, writer):
                    break
        writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, connection: int
    ) -> Arrival:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        request_line, *header_lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in header_lines)
        length = int(headers.get('Content-Length', 0))
        body = await reader.readexactly(length)
        return Arrival(
            self.name,
            request_line,
            headers,
            body,
            connection,
            version=self.version,
        )


async def _run_step(
    step: str,
    arrival: Arrival,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a step; return whether the connection stays open."""
    if step == 'close':
        return False
    if step == 'reset':
        writer.transport.abort()
        return False
    if step.startswith(cut_heads.STEP):
        request_id = arrival.headers[NAMES.request_id]
        await cut_heads.run_step(step, request_id, writer)
        return False
    if step in ('silent', 'stream and wait'):
        if step == 'stream and wait':
            writer.write(
                _stream_head(arrival) + _chunk(_event(1, arrival.version))
            )
        await reader.read(1)
        arrival.disconnected.set()
        return False
    if step == 'stream cut unless resumed':
        is_resumed = NAMES.last_event in arrival.headers
        step = 'stream' if is_resumed else 'stream cut later'
    if step == 'stream cut later':
        events = b''.join(_events(arrival)[:2])
        writer.write(_stream_head(arrival) + _chunk(events))
        await asyncio.sleep(_CUT_AFTER_S)
        return False
    if step in _PAUSING_STEPS:
        first, rest = _PAUSING_STEPS[step](arrival)
        writer.write(first)
        if await _is_closed_within(reader, PAUSE_S):
            arrival.disconnected.set()
            return False
        writer.write(rest)
        await writer.drain()
        arrival.answered_at = time.monotonic()
        return True
    if step == 'stream slowly after a pause':
        if await _is_closed_within(reader, PAUSE_S):
            return False
        step = 'stream slowly'
    if step == 'stream slowly':
        writer.write(_stream_head(arrival))
        for event in _events(arrival):
            writer.write(_chunk(event))
            await asyncio.sleep(_SLOW_EVENT_S)
        writer.write(b'0\r\n\r\n')
        return True
    if step.startswith('answer after ') and step.endswith(' ms'):
        delay_ms = int(step.removeprefix('answer after ').removesuffix(' ms'))
        if await _is_closed_within(reader, delay_ms / 1000):
            arrival.disconnected.set()
            return False
        writer.write(_answer(arrival))
        return True
    if step.startswith('stream slowly after '):
        delay_ms = int(step.removeprefix('stream slowly after ').split()[0])
        first, *later = _events(arrival)
        writer.write(_stream_head(arrival) + _chunk(first))
        if await _is_closed_within(reader, delay_ms / 1000):
            arrival.disconnected.set()
            return False
        for event in later:
            writer.write(_chunk(event))
            await asyncio.sleep(_SLOW_EVENT_S)
        writer.write(b'0\r\n\r\n')
        return True
    if step == 'stream reset after a pause':
        first, _ = _paused_stream(arrival)
        writer.write(first)
        if not await _is_closed_within(reader, PAUSE_S):
            writer.transport.abort()
        return False
    if step == 'start of a large answer':
        head = _answer(arrival, body=LARGE_BODY)
        writer.write(head[: len(head) - len(LARGE_BODY) + 100])
        await reader.read(1)
        arrival.disconnected.set()
        return False
    if step.startswith('endless '):
        await _write_endless(step.removeprefix('endless '), arrival, writer)
        return False
    if step == 'answer late':
        await asyncio.sleep(LATE_S)
        step = 'answer'
    writer.write(_answer_bytes(step, arrival))
    await writer.drain()
    arrival.answered_at = time.monotonic()
    return step not in _CLOSING_STEPS and not step.startswith('unframed ')


async def _is_closed_within(
    reader: asyncio.StreamReader, limit_s: float
) -> bool:
    """Whether the gateway closes the connection within a time."""
    try:
        async with asyncio.timeout(limit_s):
            return not await reader.read(1)
    except TimeoutError:
        return False


async def _write_endless(
    kind: str, arrival: Arrival, writer: asyncio.StreamWriter
) -> None:
    """Write a response without end until the connection is closed."""
    head, block = _ENDLESS[kind](arrival)
    writer.write(head)
    try:
        while True:
            writer.write(block)
            await writer.drain()
            arrival.endless_bytes += len(block)
            await asyncio.sleep(0)
    except OSError:
        arrival.disconnected.set()


def _answer_bytes(step: str, arrival: Arrival) -> bytes:
    """Return the bytes that an instance writes for a step.

    ``rest for N`` rejects with a Retry-After of N seconds; ``leaves, STEP``
    runs a step with the leaving header, ``brittle N, STEP`` with N as the
    brittle header.
    """
    signal, _, inner_step = step.partition(', ')
    name, _, value = signal.partition(' ')
    if step.startswith(_STALE_PREFIX):
        size = int(step.removeprefix(_STALE_PREFIX))
        return _answer(arrival) + _answer(arrival, body=b'')[:size]
    if inner_step and name in _SIGNAL_HEADERS:
        header = f'\r\n{_SIGNAL_HEADERS[name]}: {value or 1}\r\n'.encode()
        return _answer_bytes(inner_step, arrival).replace(b'\r\n', header, 1)
    name, _, retry_after = step.partition(' for ')
    if name in _REJECTIONS:
        return _answer(
            arrival,
            _REJECTIONS[name],
            **{NAMES.not_run: '1', 'Retry_After': retry_after},
        )
    if name.partition(' ')[0] in _FRAMINGS and ' stream ' in step:
        return _framed_stream(step, arrival)
    return _ANSWERS[step](arrival)


def _answer(
    arrival: Arrival,
    status: str = '200 OK',
    body: bytes = BODY,
    **extra_headers: str,
) -> bytes:
    headers = {
        NAMES.request_id: arrival.headers[NAMES.request_id],
        NAMES.digest: 'd1',
        'Content-Length': str(len(body)),
    }
    headers |= {
        name.replace('_', '-'): text for name, text in extra_headers.items()
    }
    lines = [f'{name}: {text}' for name, text in headers.items() if text]
    head = '\r\n'.join([f'HTTP/1.1 {status}', *lines])
    return head.encode() + b'\r\n\r\n' + body


def _foreign(arrival: Arrival) -> bytes:
    return _answer(arrival, **{NAMES.request_id: 'of-another'})


def _event(number: int, version: str) -> bytes:
    return f'id: {number}\ndata: token {number} of {version}\n\n'.encode()


def _events(arrival: Arrival) -> list[bytes]:
    """Return the events of a stream after the one that the request names."""
    first = int(arrival.headers.get(NAMES.last_event, 0)) + 1
    return [
        _event(number, arrival.version) for number in range(first, EVENTS + 1)
    ]


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
    chunks = b''.join(_chunk(event) for event in _events(arrival))
    return _stream_head(arrival) + chunks + b'0\r\n\r\n'


def _long_stream(arrival: Arrival) -> bytes:
    return _stream_head(arrival) + _chunk(_LONG_EVENTS) + b'0\r\n\r\n'


def _truncated_stream(arrival: Arrival) -> bytes:
    events = _events(arrival)
    complete_events = b''.join(events[:2])
    partial_event = events[2][:9]
    return (
        _stream_head(arrival) + _chunk(complete_events) + _chunk(partial_event)
    )


def _framed_stream(step: str, arrival: Arrival) -> bytes:
    """Return a stream for a step ``FRAMING stream ENDING``.

    The framing itself is complete, also if the stream is not.
    """
    framing, _, ending = step.split(' ', 2)
    body = _ENDINGS[ending](_events(arrival))
    headers = [
        'HTTP/1.1 200 OK',
        f'{NAMES.request_id}: {arrival.headers[NAMES.request_id]}',
        f'{NAMES.digest}: d1',
        'Content-Type: text/event-stream',
    ]
    if framing == 'chunked':
        headers.append('Transfer-Encoding: chunked')
        body = (_chunk(body) if body else b'') + b'0\r\n\r\n'
    elif framing == 'sized':
        headers.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(headers).encode() + b'\r\n\r\n' + body


def _paused_stream(arrival: Arrival) -> tuple[bytes, bytes]:
    """Return the start of a stream, and what follows the pause."""
    first, *later = [_chunk(event) for event in _events(arrival)]
    return _stream_head(arrival) + first, b''.join(later) + b'0\r\n\r\n'


# Bytes before and after a pause, by the name of the step.
_PAUSING_STEPS: dict[
    str, collections.abc.Callable[[Arrival], tuple[bytes, bytes]]
] = {
    'stream with a pause': _paused_stream,
    'answer after a pause': lambda arrival: (b'', _answer(arrival)),
    'begin a stream after a pause': lambda arrival: (
        b'',
        _stream_head(arrival) + _chunk(_event(1, arrival.version)),
    ),
}
_CLOSING_STEPS = (
    'cut',
    'large answer cut',
    'unframed',
    'stream cut',
    'garbage',
)
_FRAMINGS = ('unframed', 'chunked', 'sized')
# Endings of a stream, by their name in a step.
_ENDINGS: dict[str, collections.abc.Callable[[list[bytes]], bytes]] = {
    'whole': b''.join,
    'ended in an event': lambda events: b''.join(events[:2]) + events[2][:9],
    'ended in a separator': lambda events: b''.join(events[:3])[:-1],
    'ended in a comment': lambda events: b''.join(events[:3]) + b': keep',
    'ended after its last event': lambda events: b''.join(events) + b'id: ',
    'with a last comment': lambda events: b''.join(events) + b': bye\n',
    'without events': lambda events: b'',
}
# Headers that announce a state of the instance, by the prefix of a step.
_SIGNAL_HEADERS = {'leaves': NAMES.leaving, 'brittle': NAMES.brittle}
_REJECTIONS = {
    'rest': '503 Service Unavailable',
    'slow down': '429 Too Many Requests',
}
_ANSWERS = {
    'answer': _answer,
    'fail': lambda arrival: _answer(arrival, '500 Internal Server Error'),
    'busy': lambda arrival: _answer(arrival, '503 Service Unavailable'),
    'no content': lambda arrival: _answer(
        arrival, '204 No Content', b'', Content_Length=''
    ),
    'answer without a reason': lambda arrival: _answer(arrival, '200 '),
    'not found': lambda arrival: _answer(arrival, '404 Not Found'),
    'not run': lambda arrival: _answer(
        arrival, '503 Service Unavailable', **{NAMES.not_run: '1'}
    ),
    'misdirected': lambda arrival: _answer(arrival, '421 Misdirected Request'),
    'misdirected and not run': lambda arrival: _answer(
        arrival, '421 Misdirected Request', **{NAMES.not_run: '1'}
    ),
    'unsigned': lambda arrival: _answer(arrival, **{NAMES.digest: ''}),
    'cut': lambda arrival: _answer(arrival, Content_Length='999'),
    'unframed': lambda arrival: _answer(arrival, Content_Length=''),
    'garbage': lambda arrival: b'\x00\x01 no answer\r\n\r\n',
    'foreign, then answer': lambda arrival: (
        _foreign(arrival) + _answer(arrival)
    ),
    'answer, then foreign': lambda arrival: (
        _answer(arrival) + _foreign(arrival)
    ),
    'stream': _stream,
    'long stream': _long_stream,
    'large answer': lambda arrival: _answer(arrival, body=LARGE_BODY),
    'large answer cut': lambda arrival: _answer(arrival, body=LARGE_BODY)[:-9],
    'stream cut': _truncated_stream,
}


def _endless_body(
    arrival: Arrival, status: str = '200 OK', **headers: str
) -> tuple[bytes, bytes]:
    answer = _answer(arrival, status, b'', Content_Length='', **headers)
    return answer, b'x' * _BLOCK_BYTES


def _endless_chunks(arrival: Arrival) -> tuple[bytes, bytes]:
    answer = _answer(
        arrival, body=b'', Content_Length='', Transfer_Encoding='chunked'
    )
    return answer, _chunk(b'x' * _BLOCK_BYTES)


# Start and repeated block of a response without end, by its name in a step.
_BLOCK_BYTES = 64 * 1024
_ENDLESS: dict[
    str, collections.abc.Callable[[Arrival], tuple[bytes, bytes]]
] = {
    'head': lambda arrival: (b'HTTP/1.1 200 OK\r\n', b'x: y\r\n' * 8192),
    'interim heads': lambda arrival: (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body': _endless_body,
    'chunks': _endless_chunks,
    'unsigned body': lambda arrival: _endless_body(
        arrival, **{NAMES.digest: ''}
    ),
    'failure': lambda arrival: _endless_body(
        arrival, '500 Internal Server Error'
    ),
    'foreign body': lambda arrival: _endless_body(
        arrival, **{NAMES.request_id: 'of-another'}
    ),
    'event': lambda arrival: (
        _stream_head(arrival) + _chunk(b'data: '),
        _chunk(b'x' * _BLOCK_BYTES),
    ),
}
