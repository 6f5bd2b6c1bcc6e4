"""Model engines: streamed answers that can be resumed and cancelled.

An engine numbers the events of a stream and ends it with ``[DONE]``. A
stream that was cut is asked for again, after the last event that came.
"""

import json
import urllib.parse

import attrs

from honeyport.backend import http
from honeyport.backend import plain
from honeyport.backend import registry
from honeyport import errors
from honeyport import exchange
from honeyport.policy import retry_after

_PROBE_S = 1.0
_CANCEL_S = 2.0
_PREFIX_S = 10.0
_LAST_EVENT = b'data: [DONE]\n\n'


@attrs.frozen
class CacheEvents:
    """What an engine says of its cache.

    :param last_number: number of the last event
    :param evicted_chats: chats whose prefixes were dropped
    """

    last_number: int
    evicted_chats: tuple[str, ...]


@registry.register('engine')
class EngineClient:
    """A client of one engine."""

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._pool = http.Pool(address)

    async def answer(self, call: exchange.Call) -> exchange.Answer:
        parts = self._pool.fetch(_request(call))
        tail = b''
        streamed = False
        async for frame in plain.frames(self._name, parts):
            if isinstance(frame, exchange.Head):
                self._refuse(frame)
                streamed = frame.is_event_stream
            elif isinstance(frame, exchange.Data) and streamed:
                tail = (tail + frame.payload)[-len(_LAST_EVENT) :]
            elif isinstance(frame, exchange.End) and streamed:
                self._check_end(tail)
            yield frame

    async def cancel(self, request_id: str) -> None:
        request = http.Request(
            method='DELETE', path=f'/v1/streams/{request_id}'
        )
        await http.read(self._pool, request, _CANCEL_S)

    async def cache_events(self, after: int) -> 'CacheEvents':
        """Ask which prefixes were dropped; late, and with gaps.

        :param after: number of the last event that is known
        """
        request = http.Request(
            method='GET', path=f'/cache/events?after={after}'
        )
        _, body = await http.read(self._pool, request, _PROBE_S)
        found = json.loads(body)['events']
        evicted = [one['chat'] for one in found if one['event'] == 'evicted']
        last = max((one['number'] for one in found), default=after)
        return CacheEvents(last, tuple(evicted))

    async def export_prefix(self, chat: str) -> bytes | None:
        """Return a chat's prefix, or ``None`` if it is not there."""
        request = http.Request(method='GET', path=_prefix_path(chat))
        start, body = await http.read(self._pool, request, _PREFIX_S)
        return body if start.status == 200 else None

    async def import_prefix(self, chat: str, data: bytes) -> bool:
        """Store a chat's prefix; return whether the engine took it."""
        request = http.Request(
            method='PUT', path=_prefix_path(chat), body=data
        )
        start, _ = await http.read(self._pool, request, _PREFIX_S)
        return start.status == 200

    async def probe(self) -> registry.Load:
        request = http.Request(method='GET', path='/load')
        start, body = await http.read(self._pool, request, _PROBE_S)
        if start.status != 200:
            raise errors.BackendLost(f'{self._name}: status {start.status}')
        report = json.loads(body)
        return registry.Load(
            report['running'], report['waiting'], report['age_s']
        )

    def close(self) -> None:
        self._pool.close()

    def _refuse(self, head: exchange.Head) -> None:
        """Raise if the engine says that it did not take the request."""
        if retry_after.is_rejection(head.status):
            raise errors.BackendFull(
                f'{self._name} is busy', retry_after=head.retry_after_s
            )
        if head.status == 410:
            raise errors.AnswerCut(f'{self._name} no longer has the stream')

    def _check_end(self, tail: bytes) -> None:
        if tail != _LAST_EVENT:
            raise errors.AnswerCut(f'{self._name} ended without [DONE]')


def _request(call: exchange.Call) -> http.Request:
    headers = [*call.headers, *plain.identify(call)]
    headers.append(('Honeyport-Chat', call.chat))
    headers.append(('Honeyport-Priority', str(call.priority)))
    if call.is_resumption:
        path = f'/v1/streams/{call.request_id}?after={call.resume_after}'
        return http.Request(method='GET', path=path, headers=headers)
    return http.Request(
        method=call.method,
        path=call.path,
        headers=headers,
        body=call.body,
        fresh=not call.repeatable,
    )


def _prefix_path(chat: str) -> str:
    return f'/kv/{urllib.parse.quote(chat, safe="")}'
