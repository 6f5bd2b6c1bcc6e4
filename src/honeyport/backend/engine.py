"""Client of model engines, whose streams can be resumed and cancelled.

An engine numbers the events of a stream and ends it with ``[DONE]``. An
interrupted stream is resumed after the last event that was received.
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

_PROBE_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_PREFIX_TIMEOUT_S = 10.0
_DONE_EVENT = b'data: [DONE]\n\n'


@attrs.frozen
class CacheEvents:
    """Changes of an engine's prefix cache.

    :ivar last_number: number of the last event
    :ivar evicted_chats: chats whose prefixes were evicted
    """

    last_number: int
    evicted_chats: tuple[str, ...]


@registry.register('engine')
class EngineClient:
    """Client of one model engine."""

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._pool = http.Pool(address)

    async def answer(self, call: exchange.Call) -> exchange.Answer:
        parts = self._pool.fetch(_to_request(call))
        tail = b''
        is_event_stream = False
        async for frame in plain.to_frames(self._name, parts):
            if isinstance(frame, exchange.Head):
                self._check_accepted(frame)
                is_event_stream = frame.is_event_stream
            elif isinstance(frame, exchange.Data) and is_event_stream:
                tail = (tail + frame.payload)[-len(_DONE_EVENT) :]
            elif isinstance(frame, exchange.End) and is_event_stream:
                self._check_end(tail)
            yield frame

    async def cancel(self, request_id: str) -> None:
        request = http.Request(
            method='DELETE', path=f'/v1/streams/{request_id}'
        )
        await http.read(self._pool, request, _CANCEL_TIMEOUT_S)

    async def cache_events(self, after: int) -> 'CacheEvents':
        """Return cache changes; engines report them late and with gaps.

        :param after: number of the last event already received
        """
        request = http.Request(
            method='GET', path=f'/cache/events?after={after}'
        )
        _, body = await http.read(self._pool, request, _PROBE_TIMEOUT_S)
        events = json.loads(body)['events']
        evicted_chats = [
            event['chat'] for event in events if event['event'] == 'evicted'
        ]
        last_number = max((event['number'] for event in events), default=after)
        return CacheEvents(last_number, tuple(evicted_chats))

    async def export_prefix(self, chat: str) -> bytes | None:
        """Return a chat's prefix, or ``None`` if it is not cached."""
        request = http.Request(method='GET', path=_prefix_path(chat))
        head, body = await http.read(self._pool, request, _PREFIX_TIMEOUT_S)
        return body if head.status == 200 else None

    async def import_prefix(self, chat: str, data: bytes) -> bool:
        """Store a chat's prefix; return whether the engine accepted it."""
        request = http.Request(
            method='PUT', path=_prefix_path(chat), body=data
        )
        head, _ = await http.read(self._pool, request, _PREFIX_TIMEOUT_S)
        return head.status == 200

    async def probe(self) -> registry.Load:
        request = http.Request(method='GET', path='/load')
        head, body = await http.read(self._pool, request, _PROBE_TIMEOUT_S)
        if head.status != 200:
            raise errors.BackendLost(f'{self._name}: status {head.status}')
        report = json.loads(body)
        return registry.Load(
            report['running'], report['waiting'], report['age_s']
        )

    def close(self) -> None:
        self._pool.close()

    def _check_accepted(self, head: exchange.Head) -> None:
        """Raise if the engine rejected the request or lost the stream."""
        if retry_after.is_rejection(head.status):
            raise errors.BackendFull(
                f'{self._name} is busy', retry_after=head.retry_after_s
            )
        if head.status == 410:
            raise errors.AnswerCut(f'{self._name} no longer has the stream')

    def _check_end(self, tail: bytes) -> None:
        if tail != _DONE_EVENT:
            raise errors.AnswerCut(f'{self._name} ended without [DONE]')


def _to_request(call: exchange.Call) -> http.Request:
    headers = [*call.headers, *plain.identity_headers(call)]
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
        new_connection=not call.repeatable,
    )


def _prefix_path(chat: str) -> str:
    return f'/kv/{urllib.parse.quote(chat, safe="")}'
