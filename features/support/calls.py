"""Requests of test callers, sent without the client library's retries."""

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
    """A response as a caller received it, complete or not.

    :ivar is_interrupted: whether an error ended the response
    :ivar first_byte_s: time to the first byte of the body
    :ivar duration_s: time until the response ended
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    is_interrupted: bool = False
    first_byte_s: float = 0.0
    duration_s: float = 0.0

    @property
    def error(self) -> dict[str, typing.Any]:
        """The fleet's error in the body, or an empty mapping."""
        try:
            return json.loads(self.body)['error']
        except (ValueError, KeyError, TypeError):
            return {}

    @property
    def is_complete(self) -> bool:
        """Whether a stream ends with its end markers and has their length."""
        answer, marker, length = self.body.rpartition(b': whole bytes=')
        return (
            not self.is_interrupted
            and bool(marker)
            and answer.endswith(b'data: [DONE]\n\n')
            and int(length) == len(answer)
        )

    @property
    def written_digest(self) -> str:
        """Digest of a stream without its end marker, as engines log it."""
        answer, _, _ = self.body.rpartition(b': whole bytes=')
        return hashlib.sha256(answer).hexdigest()


async def send(address: str, request: http.Request) -> Reply:
    """Send a request; return the response, complete or not."""
    reply = Reply()
    pool = http.Pool(address)
    started_at = time.monotonic()
    try:
        async for part in pool.fetch(request):
            if isinstance(part, http.ResponseHead):
                reply.status = part.status
                reply.headers = dict(part.headers.get_all())
            else:
                reply.first_byte_s = (
                    reply.first_byte_s or time.monotonic() - started_at
                )
                reply.body += part
    except errors.HoneyportError:
        reply.is_interrupted = True
    finally:
        pool.close()
    reply.duration_s = time.monotonic() - started_at
    return reply


def chat_request(
    chat: str,
    *,
    account: str = 'district-1',
    tokens: int = 8,
    stream: bool = True,
    service: str = 'draft-llm',
    **headers: str,
) -> http.Request:
    """Return a request for a chat turn.

    :param headers: further headers, with ``_`` in place of ``-``
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
            ('Honeyport-Chat', chat),
            *(
                (name.replace('_', '-'), value)
                for name, value in headers.items()
            ),
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
    """Return a call to the plain service; with a key it runs at most once."""
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
    """Return a GET request without headers."""
    return http.Request(method='GET', path=path)


def new_key() -> str:
    """Return a new idempotency key."""
    return claims.new_key(time.time(), secrets.randbits)


async def gather(
    *sends: typing.Awaitable[Reply],
) -> list[Reply]:
    """Await several replies concurrently."""
    return list(await asyncio.gather(*sends))
