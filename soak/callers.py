"""Callers: they ask for addresses, keep connections and check answers."""

import asyncio
import contextlib
import itertools
import json

import attrs

from features.support import platform
from honeyport.settings import roles
from soak import backend
from soak import records as soak_records
from soak import site as soak_site

_DIRECTORY = 3  # which of a node's ports answers look-ups
_DEADLINES_MS = (1500, 3000)
_PAUSE_S = (0.02, 0.15)
_GIVE_UP_S = 6.0  # after the deadline; a process may be frozen for so long
_NEW_CONNECTION = 0.2  # share of the requests that take one
_GUEST = 0.2  # share of the requests with the newest version's own key


@attrs.frozen
class _Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Caller:
    """One client; it sends a request at a time."""

    _numbers = itertools.count(1)

    def __init__(self, site: soak_site.Site) -> None:
        self._site = site
        self._address = ''
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        chance = self._site.chance
        try:
            while True:
                await asyncio.sleep(chance.uniform(*_PAUSE_S))
                if self._streams and chance.random() < _NEW_CONNECTION:
                    self._disconnect()
                if self._streams is None and not await self._connect():
                    continue
                await self._request()
        finally:
            self._disconnect()

    async def _connect(self) -> bool:
        """Ask a node which address to use, and connect there."""
        node = self._site.chance.choice(self._site.nodes)
        status, body = await self._site.request(
            node, _DIRECTORY, '/api/resolution?name=x&region=r&zone=thu-duc'
        )
        if status != 200:
            return False
        self._address = self._site.chance.choice(json.loads(body)['addresses'])
        try:
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(
                    *roles.split_address(self._address)
                )
        except (OSError, TimeoutError):
            return False
        return True

    def _disconnect(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None

    async def _request(self) -> None:
        chance = self._site.chance
        kind = chance.choice(soak_site.KINDS)
        deadline_ms = chance.choice(_DEADLINES_MS)
        request_id = f'{kind}-{next(self._numbers)}-{deadline_ms}'
        key = self._key()
        self._site.found.asked.add(request_id)
        loop = asyncio.get_running_loop()
        sent = loop.time()
        answer = _Answer(0, {}, b'', False)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
        ):
            async with asyncio.timeout(deadline_ms / 1000 + _GIVE_UP_S):
                answer = await self._exchange(
                    kind, request_id, deadline_ms, key
                )
        ended = soak_records.Ended(
            request_id,
            kind,
            key,
            self._node().name,
            sent,
            loop.time() - sent,
            answer.status,
            _problem(kind, request_id, answer),
        )
        self._site.found.ended.append(ended)
        closing = answer.headers.get('Connection', '').lower() == 'close'
        if not answer.whole or closing:
            self._disconnect()

    def _key(self) -> str:
        accepted = self._site.found.accepted
        if accepted and self._site.chance.random() < _GUEST:
            return f'key-{accepted[-1].version}'
        return soak_site.MAIN_KEY

    def _node(self) -> platform.Node:
        host = self._address.rpartition(':')[0]
        return next(one for one in self._site.nodes if one.ip == host)

    async def _exchange(
        self, kind: str, request_id: str, deadline_ms: int, key: str
    ) -> _Answer:
        assert self._streams is not None
        reader, writer = self._streams
        subject = self._site.chance.randrange(8)
        method, body = ('GET', b'') if kind == 'app' else ('POST', b'body')
        writer.write(
            (
                f'{method} /{kind}/x HTTP/1.1\r\n'
                f'Host: {soak_site.HOST}\r\n'
                f'Authorization: Bearer {key}\r\n'
                f'Attempt-Id: {request_id}\r\n'
                f'Deadline-Ms: {deadline_ms}\r\n'
                f'Prompt-Prefix: a1:500,b{subject}:300,c{subject}:20\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        return await _read(reader)


async def _read(reader: asyncio.StreamReader) -> _Answer:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    line, *rest = head.strip().split('\r\n')
    headers = dict(one.split(': ', 1) for one in rest)
    status = int(line.split()[1])
    if 'Content-Length' in headers:
        body = await reader.readexactly(int(headers['Content-Length']))
        return _Answer(status, headers, body, True)
    body = b''
    try:
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, OSError):
        return _Answer(status, headers, body, False)
    return _Answer(status, headers, body, True)


def _problem(kind: str, request_id: str, answer: _Answer) -> str:
    """Return what is wrong with an answer, or ``''``."""
    if not answer.status:
        return ''
    signature = answer.headers.get('Response-Signature', '')
    instance, _, signed = signature.partition('.')
    if signature and signed != request_id:
        return f'the answer to {signed} came'
    if not signature:
        return 'a success without a digest' if answer.status == 200 else ''
    if answer.status == 200 and kind in ('chat', 'talk'):
        return _stream_problem(request_id, answer)
    if answer.body != backend.body_of(request_id, instance):
        return 'the body is not the whole body'
    return ''


def _stream_problem(request_id: str, answer: _Answer) -> str:
    numbers = range(1, backend.EVENTS + 1)
    wanted = b''.join(
        backend.event_of(request_id, number) for number in numbers
    )
    if answer.whole and answer.body != wanted:
        return 'a stream that looks complete is not'
    if not wanted.startswith(answer.body):
        return 'events are missing, or come twice'
    return ''
