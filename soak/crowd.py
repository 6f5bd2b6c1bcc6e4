"""Callers that do not wait for each other: a crowd, and slow readers."""

import asyncio
import collections.abc
import contextlib
import itertools
import pathlib
import random
import socket

from features.support import platform
from honeyport.settings import roles
from soak import backend
from soak import callers
from soak import records as soak_records
from soak import site as soak_site

# Requests of the crowd, as a multiple of what the instances can run.
_LOADS = (0.5, 1.0, 1.5)
_LOAD_AFTER_RECOVERY = 0.5
_CALM_S = 1.0  # from the lower load until the service must have recovered
_LOAD_PERIOD_S = 2.0
_DEADLINE_MS = 1500
_GRACE_S = 6.0
_READER_INTERVAL_S = 0.2
_READER_PAUSE_S = (0.5, 2.5)  # (minimum, maximum)
_READER_DEADLINE_MS = 5000
_KERNEL_BYTES = 65_536  # a larger buffer would take much of an answer
_MEMORY_INTERVAL_S = 0.5
_KB_PER_MB = 1024


class Crowd:
    """Sends requests at a rate, whether or not they are answered."""

    _numbers = itertools.count(1)

    def __init__(self, site: soak_site.Site, rng: random.Random) -> None:
        self._site = site
        self._random = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run_requests(self) -> None:
        """Send more or fewer requests than the small service can run."""
        loop = asyncio.get_running_loop()
        load = _LOAD_AFTER_RECOVERY
        next_load_at = loop.time()
        while True:
            calm_at = self._site.records.recovery_deadline - _CALM_S
            if 0.0 < calm_at <= loop.time():
                load = _LOAD_AFTER_RECOVERY
            elif loop.time() >= next_load_at:
                load = self._random.choice(_LOADS)
                next_load_at = loop.time() + _LOAD_PERIOD_S
            rate = load * soak_site.SMALL_SLOTS / backend.SMALL_SERVICE_TIME_S
            await asyncio.sleep(self._random.expovariate(rate))
            self._start(self._send('desk', _DEADLINE_MS))

    async def run_readers(self) -> None:
        """Ask for large answers, and read them late or not at all."""
        while True:
            await asyncio.sleep(_READER_INTERVAL_S)
            pause_s = self._random.uniform(*_READER_PAUSE_S)
            self._start(self._send('report', _READER_DEADLINE_MS, pause_s))

    async def watch_memory(self) -> None:
        """Record the memory of the processes."""
        while True:
            await asyncio.sleep(_MEMORY_INTERVAL_S)
            for node in self._site.nodes:
                if node.process is not None and node.process.poll() is None:
                    self._site.records.record_memory(
                        node.name, _memory_mb(node.process.pid)
                    )

    async def stop(self) -> None:
        """End all requests."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(
        self, activity: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(activity)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, kind: str, deadline_ms: int, pause_s: float = 0.0
    ) -> None:
        """Send a request on a connection of its own.

        :param pause_s: time before the answer is read, in seconds
        """
        node = self._random.choice(self._site.nodes)
        request_id = f'{kind}-{next(self._numbers)}-{deadline_ms}'
        self._site.records.sent_request_ids.add(request_id)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = callers.Response(0, {}, b'', False)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
        ):
            async with asyncio.timeout(deadline_ms / 1000 + _GRACE_S):
                response = await self._exchange(
                    node, kind, request_id, deadline_ms, pause_s
                )
        self._site.records.results.append(
            soak_records.RequestResult(
                request_id,
                kind,
                soak_site.MAIN_KEY,
                node.name,
                sent_at,
                loop.time() - sent_at,
                response.status,
                response.complete,
                _find_problem(kind, request_id, response),
            )
        )

    async def _exchange(
        self,
        node: platform.Node,
        kind: str,
        request_id: str,
        deadline_ms: int,
        pause_s: float,
    ) -> callers.Response:
        sock = socket.socket()
        sock.setblocking(False)
        if pause_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BYTES)
        address = roles.split_address(f'{node.ip}:{self._site.ports[0]}')
        await asyncio.get_running_loop().sock_connect(sock, address)
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            if pause_s:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(
                (
                    f'POST /{kind}/x HTTP/1.1\r\n'
                    f'Host: {soak_site.HOST}\r\n'
                    f'Authorization: Bearer {soak_site.MAIN_KEY}\r\n'
                    f'Attempt-Id: {request_id}\r\n'
                    f'Deadline-Ms: {deadline_ms}\r\n'
                    'Content-Length: 4\r\n\r\nbody'
                ).encode()
            )
            if pause_s:
                await asyncio.sleep(pause_s)
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            return await callers.read_response(reader)
        finally:
            writer.transport.abort()


def _find_problem(
    kind: str, request_id: str, response: callers.Response
) -> str:
    """Return the defect of a response, or ``''``."""
    if response.status != 200 or not response.complete:
        return ''
    instance = response.headers.get('Response-Signature', '').partition('.')[0]
    if kind == 'report':
        expected = backend.large_body_of(request_id, instance)
    else:
        expected = backend.body_of(request_id, instance)
    return '' if response.body == expected else 'the body differs'


def _memory_mb(pid: int) -> float:
    """Return the memory of a process, or 0 if it has ended."""
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text('utf-8')
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0
