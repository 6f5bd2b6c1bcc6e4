"""A raw HTTP caller of a gateway."""

import asyncio
import collections.abc

import attrs

from features.support import instances

HOST = 'yard.example'
KEY = 'key-of-district'
_NAMES = instances.NAMES
_NO_HEADERS: dict[str, str] = {}
_WITHOUT_BODY = (204, 304)


@attrs.define
class Response:
    """The response of a gateway.

    :ivar is_complete: whether the whole body arrived
    :ivar reason: text after the status
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    reason: str = ''


def request(
    key: str = KEY,
    path: str = '/r/x',
    host: str = HOST,
    request_id: str = 'q-1',
    deadline_ms: int = 5000,
    headers: collections.abc.Mapping[str, str] = _NO_HEADERS,
) -> bytes:
    """Return a request as bytes.

    :param headers: additional headers
    """
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    return (
        f'POST {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'{_NAMES.request_id}: {request_id}\r\n'
        f'{_NAMES.deadline_ms}: {deadline_ms}\r\n'
        f'{_NAMES.account}: forged\r\n'
        f'{lines}'
        'Content-Length: 4\r\n\r\nbody'
    ).encode()


async def read(reader: asyncio.StreamReader) -> Response:
    """Read a response until its body is complete or the connection breaks."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    status_line, *header_lines = head.removesuffix('\r\n\r\n').split('\r\n')
    headers = dict(line.split(': ', 1) for line in header_lines)
    response = Response(int(status_line.split()[1]), headers, b'', True)
    response.reason = status_line.split(' ', 2)[2]
    if response.status in _WITHOUT_BODY:
        return response
    try:
        if 'Content-Length' in headers:
            length = int(headers['Content-Length'])
            response.body = await reader.readexactly(length)
            return response
        while size := int(await reader.readuntil(b'\r\n'), 16):
            response.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        response.is_complete = False
    return response
