"""Callers that resolve gateways, keep connections and check responses."""

import asyncio
import contextlib
import itertools
import json
import re

import attrs

from features.support import platform
from honeyport.settings import roles
from soak import backend
from soak import records as soak_records
from soak import site as soak_site

_RESOLUTION_PORT = 3  # index among the ports of a node
_DEADLINES_MS = (1500, 3000)
_REQUEST_PAUSE_S = (0.02, 0.15)  # (minimum, maximum)
# Beyond the deadline; covers the longest suspension of a process.
_RESPONSE_GRACE_S = 6.0
_RECONNECT_SHARE = 0.2  # of the requests
# Requests with which a caller takes up one stream.
_MAX_TAKE_UPS = 3
_MAX_PAUSE_S = 0.5  # between them
# Number, request id and software version of an event.
_EVENT = re.compile(rb'id: (?P<id>\d+)\ndata: (\S+) (?P=id) (\S+)\n\n')
_VERSION_KEY_SHARE = 0.2  # of the requests, with the newest version's key


@attrs.frozen
class Response:
    """A response, of which the body may be incomplete."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Caller:
    """A client that sends one request at a time."""

    _request_numbers = itertools.count(1)

    def __init__(self, site: soak_site.Site) -> None:
        self._site = site
        self._address = ''
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        rng = self._site.rng
        try:
            while True:
                await asyncio.sleep(rng.uniform(*_REQUEST_PAUSE_S))
                if self._streams and rng.random() < _RECONNECT_SHARE:
                    self._disconnect()
                if self._streams is None and not await self._connect():
                    continue
                await self._request()
        finally:
            self._disconnect()

    async def _connect(self) -> bool:
        """Resolve a gateway address through a random node and connect."""
        node = self._site.rng.choice(self._site.nodes)
        status, body = await self._site.request(
            node,
            _RESOLUTION_PORT,
            '/api/resolution?name=x&region=r&zone=thu-duc',
        )
        if status != 200:
            return False
        self._address = self._site.rng.choice(json.loads(body)['addresses'])
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
        kind = self._site.rng.choice(soak_site.KINDS)
        key = self._choose_key()
        request_id, response = await self._send(kind, key, {})
        if kind == 'chat' and response.status == 200:
            await self._take_up(request_id, key, response)

    async def _take_up(
        self, first_id: str, key: str, response: Response
    ) -> None:
        """Take up a broken stream at other gateways, until it is whole."""
        versions: set[str] = set()
        last_event = 0
        loop = asyncio.get_running_loop()
        for _ in range(_MAX_TAKE_UPS):
            for number, _, version in _EVENT.findall(response.body):
                versions.add(version.decode())
                last_event = int(number)
            if response.complete or not last_event:
                return
            if not await self._connect():
                continue
            sent_at = loop.time()
            # The platform and the faults change it while the request runs.
            has_instances = self._has_instances(versions)
            headers = {'Resumes': first_id, 'Last-Event-Id': str(last_event)}
            node = self._connected_node().name
            _, response = await self._send('chat', key, headers)
            self._site.records.streams.append(
                soak_records.StreamResult(
                    first_id,
                    node,
                    sent_at,
                    frozenset(versions)
                    | {
                        version.decode()
                        for _, _, version in _EVENT.findall(response.body)
                    },
                    response.status == 200
                    and (response.complete or b'id:' in response.body),
                    has_instances and self._has_instances(versions),
                )
            )
            pause_s = float(response.headers.get('Retry-After', 0))
            await asyncio.sleep(min(pause_s, _MAX_PAUSE_S))

    def _has_instances(self, versions: set[str]) -> bool:
        return all(
            self._site.count_running(version) > 1 for version in versions
        )

    async def _send(
        self, kind: str, key: str, headers: dict[str, str]
    ) -> tuple[str, Response]:
        """Send a request; return its id and the response."""
        deadline_ms = self._site.rng.choice(_DEADLINES_MS)
        request_id = f'{kind}-{next(self._request_numbers)}-{deadline_ms}'
        self._site.records.sent_request_ids.add(request_id)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = Response(0, {}, b'', False)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
        ):
            async with asyncio.timeout(deadline_ms / 1000 + _RESPONSE_GRACE_S):
                response = await self._exchange(
                    kind, request_id, deadline_ms, key, headers
                )
        result = soak_records.RequestResult(
            request_id,
            kind,
            key,
            self._connected_node().name,
            sent_at,
            loop.time() - sent_at,
            response.status,
            response.complete,
            _find_problem(
                kind,
                request_id,
                response,
                int(headers.get('Last-Event-Id', 0)),
            ),
        )
        self._site.records.results.append(result)
        server_closes = (
            response.headers.get('Connection', '').lower() == 'close'
        )
        if not response.complete or server_closes:
            self._disconnect()
        return request_id, response

    def _choose_key(self) -> str:
        accepted = self._site.records.accepted
        if accepted and self._site.rng.random() < _VERSION_KEY_SHARE:
            return f'key-{accepted[-1].version}'
        return soak_site.MAIN_KEY

    def _connected_node(self) -> platform.Node:
        host = self._address.rpartition(':')[0]
        return next(node for node in self._site.nodes if node.ip == host)

    async def _exchange(
        self,
        kind: str,
        request_id: str,
        deadline_ms: int,
        key: str,
        headers: dict[str, str],
    ) -> Response:
        assert self._streams is not None
        reader, writer = self._streams
        prefix = self._site.rng.randrange(8)
        method, body = ('GET', b'') if kind == 'app' else ('POST', b'body')
        lines = ''.join(
            f'{name}: {text}\r\n' for name, text in headers.items()
        )
        writer.write(
            (
                f'{method} /{kind}/x HTTP/1.1\r\n'
                f'Host: {soak_site.HOST}\r\n'
                f'Authorization: Bearer {key}\r\n'
                f'Attempt-Id: {request_id}\r\n'
                f'Deadline-Ms: {deadline_ms}\r\n'
                f'Prompt-Prefix: a1:500,b{prefix}:300,c{prefix}:20\r\n'
                f'{lines}'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        return await read_response(reader)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response until its end, or the end of the connection."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    status_line, *header_lines = head.strip().split('\r\n')
    headers = dict(header_line.split(': ', 1) for header_line in header_lines)
    status = int(status_line.split()[1])
    if 'Content-Length' in headers:
        body = await reader.readexactly(int(headers['Content-Length']))
        return Response(status, headers, body, True)
    body = b''
    try:
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, OSError):
        return Response(status, headers, body, False)
    return Response(status, headers, body, True)


def _find_problem(
    kind: str, request_id: str, response: Response, last_event: int
) -> str:
    """Return the defect of a response, or ``''``.

    :param last_event: number of the last event that the caller had before
    """
    if not response.status:
        return ''
    signature = response.headers.get('Response-Signature', '')
    instance, _, signed = signature.partition('.')
    if signature and signed != request_id:
        return f'the response belongs to {signed}'
    if not signature:
        return (
            'a 200 response without a signature'
            if response.status == 200
            else ''
        )
    if response.status == 200 and kind in ('chat', 'talk'):
        return _find_stream_problem(request_id, response, last_event)
    if response.body != backend.body_of(request_id, instance):
        return 'the body differs from the expected body'
    return ''


def _find_stream_problem(
    request_id: str, response: Response, last_event: int
) -> str:
    events = _EVENT.findall(response.body)
    numbers = [int(number) for number, _, _ in events]
    expected = range(last_event + 1, backend.EVENTS + 1)
    if numbers != list(expected)[: len(numbers)]:
        return 'events are missing or repeated'
    if any(owner != request_id.encode() for _, owner, _ in events):
        return 'events belong to another request'
    if _EVENT.sub(b'', response.body):
        return 'the stream has an incomplete event'
    if len({version for _, _, version in events}) > 1:
        return 'the stream has events of several software versions'
    if response.complete and numbers != list(expected):
        return soak_records.ENDED_EARLY
    return ''
