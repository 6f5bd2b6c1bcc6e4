"""What callers send in the tests, without the client library's repairs."""

import asyncio
import hashlib
import json
import secrets
import time
import typing

import attrs

from honeyport.backend import http
from honeyport.control import claims
from honeyport import errors

QUESTION = [{'role': 'user', 'content': 'The swing has a cracked bolt.'}]


@attrs.define
class Reply:
    """What a caller got."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    is_interrupted: bool = False
    first_byte_s: float = 0.0
    duration_s: float = 0.0

    @property
    def error(self) -> dict[str, typing.Any]:
        """The typed error, or an empty mapping."""
        try:
            return json.loads(self.body)['error']
        except (ValueError, KeyError, TypeError):
            return {}

    @property
    def is_complete(self) -> bool:
        """Whether a stream says that it is whole, and is."""
        before, found, length = self.body.rpartition(b': whole bytes=')
        return (
            not self.is_interrupted
            and bool(found)
            and before.endswith(b'data: [DONE]\n\n')
            and int(length) == len(before)
        )

    @property
    def written_digest(self) -> str:
        """The digest of what the engine wrote, as the caller got it."""
        before, _, _ = self.body.rpartition(b': whole bytes=')
        return hashlib.sha256(before).hexdigest()


async def send(address: str, request: http.Request) -> Reply:
    """Send a request; return what came, whole or not."""
    reply = Reply()
    pool = http.Pool(address)
    started = time.monotonic()
    try:
        async for part in pool.fetch(request):
            if isinstance(part, http.ResponseHead):
                reply.status = part.status
                reply.headers = dict(part.headers.get_all())
            else:
                reply.first_byte_s = (
                    reply.first_byte_s or time.monotonic() - started
                )
                reply.body += part
    except errors.HoneyportError:
        reply.is_interrupted = True
    finally:
        pool.close()
    reply.duration_s = time.monotonic() - started
    return reply


def chat_request(
    name: str,
    *,
    account: str = 'district-1',
    tokens: int = 8,
    stream: bool = True,
    service: str = 'draft-llm',
    **headers: str,
) -> http.Request:
    """Return a turn of a chat.

    :param headers: further headers, ``_`` standing for ``-``
    """
    body = {
        'model': service,
        'messages': QUESTION,
        'stream': stream,
        'max_tokens': tokens,
    }
    return http.Request(
        method='POST',
        path='/v1/chat/completions',
        headers=[
            ('Honeyport-Account', account),
            ('Honeyport-Chat', name),
            *((key.replace('_', '-'), v) for key, v in headers.items()),
        ],
        body=json.dumps(body).encode(),
    )


def filing_request(
    key: str = '',
    *,
    body: bytes = b'{"yard": 17}',
    query: str = '',
    account: str = 'district-1',
    deadline_s: float = 10.0,
) -> http.Request:
    """Return a filing; with a key it must not run twice."""
    headers = [
        ('Honeyport-Account', account),
        ('Honeyport-Deadline', str(deadline_s)),
    ]
    if key:
        headers.append(('Idempotency-Key', key))
    return http.Request(
        method='POST',
        path=f'/services/field-app/reports{query}',
        headers=headers,
        body=body,
    )


def get_request(path: str) -> http.Request:
    """Return a plain GET."""
    return http.Request(method='GET', path=path)


def new_key() -> str:
    """Return a fresh idempotency key."""
    return claims.new_key(time.time(), secrets.randbits)


async def gather(
    *sends: typing.Awaitable[Reply],
) -> list[Reply]:
    """Send several at once."""
    return list(await asyncio.gather(*sends))
