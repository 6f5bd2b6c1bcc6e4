"""Callers that do not behave: they send too much, or do not go on.

Each kind of misbehaviour is registered with :func:`misbehaviour`.
"""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import typing

import attrs

MB = 1_000_000
_PIECE_BYTES = 64 * 1024
_SMALL_PIECE_BYTES = 1024
# What is left out of a body that stops short.
_MISSING_BYTES = 7
# A body that nobody may send, and what is sent of it.
_FORBIDDEN_BYTES = 1_000 * MB
_FORBIDDEN_SENT_BYTES = 16 * MB
_TINY_CHUNKS = 100_000
_HEAD_BYTES = 15_000
_STALLED_CHUNK_BYTES = 60_000
_WRITE_TIMEOUT_S = 10.0
# A caller that does not get on for this time has sent what it can.
_SETTLE_S = 1.5


@attrs.frozen(kw_only=True)
class Target:
    """Where a crowd sends to, and what.

    :ivar path: path of the requests
    :ivar body_bytes: length of a legal body
    :ivar headers: of each request; ``{id}`` stands for its id
    """

    host: str
    port: int
    path: str
    body_bytes: int
    headers: collections.abc.Mapping[str, str]

    def head(self, request_id: str, *framing: str) -> bytes:
        """Return a request's head, with headers that frame the body."""
        lines = [
            f'POST {self.path} HTTP/1.1',
            *(
                f'{name}: {value.format(id=request_id)}'
                for name, value in self.headers.items()
            ),
            *framing,
            '',
            '',
        ]
        return '\r\n'.join(lines).encode()


# Yields the bytes that one caller sends.
Script = collections.abc.Callable[
    [Target, str], collections.abc.Iterator[bytes]
]
_SCRIPTS: dict[str, Script] = {}


def misbehaviour(
    name: str,
) -> collections.abc.Callable[[Script], Script]:
    """Register the decorated function as what a kind of caller sends."""

    def decorate(script: Script) -> Script:
        _SCRIPTS[name] = script
        return script

    return decorate


def _pieces(
    length: int, piece: int = _PIECE_BYTES
) -> collections.abc.Iterator[bytes]:
    while length > 0:
        yield b'x' * min(piece, length)
        length -= piece


def _announced(target: Target, request_id: str) -> bytes:
    return target.head(request_id, f'Content-Length: {target.body_bytes}')


def _chunked(target: Target, request_id: str) -> bytes:
    return target.head(request_id, 'Transfer-Encoding: chunked')


@misbehaviour('bodies that stop short')
def _stop_short(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield _announced(target, request_id)
    yield from _pieces(target.body_bytes - _MISSING_BYTES)


@misbehaviour('bodies in small pieces that stop short')
def _small_pieces(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield _announced(target, request_id)
    yield from _pieces(target.body_bytes - _MISSING_BYTES, _SMALL_PIECE_BYTES)


@misbehaviour('large chunks that stop short')
def _large_chunks(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield _chunked(target, request_id)
    for piece in _pieces(target.body_bytes - _PIECE_BYTES):
        yield b'%x\r\n%b\r\n' % (len(piece), piece)
    yield b'%x\r\n' % _PIECE_BYTES


@misbehaviour('chunks of one byte that stop short')
def _tiny_chunks(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield _chunked(target, request_id)
    at_once = 1000
    for _ in range(_TINY_CHUNKS // at_once):
        yield b'1\r\nx\r\n' * at_once


@misbehaviour('whole bodies at once')
def _whole(target: Target, request_id: str) -> collections.abc.Iterator[bytes]:
    yield _announced(target, request_id)
    yield b'x' * target.body_bytes


@misbehaviour('whole bodies and second ones that stop short')
def _second(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield from _whole(target, request_id)
    yield from _stop_short(target, f'{request_id}-second')


@misbehaviour('announced bodies far over the limit')
def _forbidden(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield target.head(request_id, f'Content-Length: {_FORBIDDEN_BYTES}')
    yield from _pieces(_FORBIDDEN_SENT_BYTES)


@misbehaviour('chunked bodies far over the limit')
def _endless_chunks(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield _chunked(target, request_id)
    for piece in _pieces(_FORBIDDEN_SENT_BYTES):
        yield b'%x\r\n%b\r\n' % (len(piece), piece)


@misbehaviour('heads that stop short')
def _heads(target: Target, request_id: str) -> collections.abc.Iterator[bytes]:
    yield target.head(request_id)[: -len(b'\r\n')]
    yield b'Filler: ' + b'x' * _HEAD_BYTES


@misbehaviour('small bodies that stop short')
def _small_bodies(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield _chunked(target, request_id)
    yield b'%x\r\n' % _STALLED_CHUNK_BYTES
    yield b'x' * (_STALLED_CHUNK_BYTES - _MISSING_BYTES)


@misbehaviour('nothing')
def _nothing(
    target: Target, request_id: str
) -> collections.abc.Iterator[bytes]:
    yield from ()


class Crowd:
    """Callers that misbehave in one way, each on its own connection.

    :ivar refused_ids: ids of the requests that were answered as not run
    """

    def __init__(self, kind: str, target: Target, count: int) -> None:
        self._script = _SCRIPTS[kind]
        self._target = target
        self._count = count
        self._tasks: list[asyncio.Task[None]] = []
        self._sent = 0
        self._last_sent_at = 0.0
        self.refused_ids: set[str] = set()

    async def come(self) -> None:
        """Connect, and wait until the callers have sent what they can."""
        loop = asyncio.get_running_loop()
        self._last_sent_at = loop.time()
        self._tasks = [
            asyncio.create_task(self._send(f'crowd-{number}'))
            for number in range(self._count)
        ]
        while (
            self._sent < self._count
            and loop.time() - self._last_sent_at < _SETTLE_S
        ):
            await asyncio.sleep(0.05)
        await asyncio.sleep(_SETTLE_S)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self, request_id: str) -> None:
        """Send what the script says, and keep the connection open."""
        try:
            reader, writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            self._sent += 1
            return
        reading = asyncio.create_task(self._read(reader, request_id))
        try:
            with contextlib.suppress(OSError, TimeoutError):
                for piece in self._script(self._target, request_id):
                    writer.write(piece)
                    async with asyncio.timeout(_WRITE_TIMEOUT_S):
                        await writer.drain()
                    self._last_sent_at = asyncio.get_running_loop().time()
            self._sent += 1
            await asyncio.Event().wait()
        finally:
            reading.cancel()
            writer.transport.abort()

    async def _read(
        self, reader: asyncio.StreamReader, request_id: str
    ) -> None:
        """Record whether the first answer says that nothing ran."""
        with contextlib.suppress(OSError):
            status_line = await reader.readline()
            if status_line.split(b' ')[1:2] in ([b'429'], [b'503'], [b'408']):
                self.refused_ids.add(request_id)
            while await reader.read(_PIECE_BYTES):
                pass


def read_memory_mb(pid: int) -> float:
    """Return the largest memory that a process has had, in megabytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) * 1024 / MB
    raise AssertionError(f'process {pid} has ended')


def count_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))


async def answer_status(
    host: str,
    port: int,
    request: bytes,
    timeout_s: float,
) -> int:
    """Send a request on a new connection; return the status, or 0."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(request)
                line = await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0
    fields: list[typing.Any] = line.split()
    return int(fields[1]) if len(fields) > 1 else 0
