"""A caller of a gateway: requests as bytes, answers read to their end."""

import asyncio

import attrs

from features.support import instances

HOST = 'yard.example'
KEY = 'key-of-district'
_NAMES = instances.NAMES


@attrs.define
class Response:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def request(
    key: str = KEY,
    path: str = '/r/x',
    host: str = HOST,
    name: str = 'q-1',
    limit_ms: int = 5000,
) -> bytes:
    """Return the bytes of a caller's request."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'{_NAMES.request_id}: {name}\r\n'
        f'{_NAMES.deadline_ms}: {limit_ms}\r\n'
        f'{_NAMES.account}: forged\r\n'
        'Content-Length: 4\r\n\r\nbody'
    ).encode()


async def read(reader: asyncio.StreamReader) -> Response:
    """Return what a caller gets."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    line, *rest = head.strip().split('\r\n')
    headers = dict(one.split(': ', 1) for one in rest)
    got = Response(int(line.split()[1]), headers, b'', True)
    try:
        if 'Content-Length' in headers:
            length = int(headers['Content-Length'])
            got.body = await reader.readexactly(length)
            return got
        while size := int(await reader.readuntil(b'\r\n'), 16):
            got.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        got.whole = False
    return got
