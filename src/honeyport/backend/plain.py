"""Client of plain HTTP services, which forwards calls unchanged."""

import collections.abc

from honeyport.backend import http
from honeyport.backend import registry
from honeyport import errors
from honeyport import exchange
from honeyport import sse

_PROBE_TIMEOUT_S = 1.0
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'upgrade',
    )
)


@registry.register('service')
class PlainClient:
    """Client of one replica of a plain service."""

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._pool = http.Pool(address)

    async def answer(self, call: exchange.Call) -> exchange.Answer:
        if call.is_resumption and call.attempt > 1:
            # The service would begin its stream again.
            raise errors.AnswerCut(f'{self._name} cannot resume a stream')
        request = http.Request(
            method=call.method,
            path=call.path,
            headers=(*call.headers, *identity_headers(call)),
            body=call.body,
            new_connection=not call.repeatable,
        )
        parts = self._pool.fetch(request)
        is_event_stream = False
        splitter = sse.EventSplitter()
        async for frame in to_frames(self._name, parts):
            if isinstance(frame, exchange.Head):
                is_event_stream = frame.is_event_stream
            elif isinstance(frame, exchange.Data) and is_event_stream:
                splitter.feed(frame.payload)
            elif isinstance(frame, exchange.End) and is_event_stream:
                self._check_end(splitter, is_resumed=call.is_resumption)
            yield frame

    async def cancel(self, request_id: str) -> None:
        """Do nothing: plain services have no cancellation."""

    async def probe(self) -> registry.Load:
        request = http.Request(method='GET', path='/healthz')
        await http.read(self._pool, request, _PROBE_TIMEOUT_S)
        return registry.Load()

    def close(self) -> None:
        self._pool.close()

    def _check_end(
        self, splitter: sse.EventSplitter, *, is_resumed: bool
    ) -> None:
        reason = splitter.describe_cut(is_resumed=is_resumed)
        if reason:
            raise errors.AnswerCut(f'{self._name}: {reason}')


def identity_headers(call: exchange.Call) -> list[tuple[str, str]]:
    """Return the headers that identify a call to a backend server."""
    headers = [
        ('X-Request-Id', call.request_id),
        ('Honeyport-Attempt', str(call.attempt)),
    ]
    if call.key:
        headers.append(('Idempotency-Key', call.key))
    if call.traceparent:
        headers.append(('traceparent', call.traceparent))
    return headers


async def to_frames(
    name: str,
    parts: collections.abc.AsyncGenerator[http.Part, None],
) -> exchange.Answer:
    """Convert the parts of a response to numbered frames.

    :raises errors.AnswerCut: if the connection closes after the headers
    :raises errors.BackendLost: if it closes before them
    """
    number = total_bytes = 0
    headers_sent = False
    try:
        async for part in parts:
            if isinstance(part, http.ResponseHead):
                headers_sent = True
                yield _to_head(name, part)
                continue
            number += 1
            total_bytes += len(part)
            yield exchange.Data(number, part)
    except errors.BackendLost as error:
        if headers_sent:
            raise errors.AnswerCut(error.detail) from None
        raise
    finally:
        await parts.aclose()
    yield exchange.End(number, total_bytes)


def _to_head(name: str, response_head: http.ResponseHead) -> exchange.Head:
    headers = tuple(
        (key, value)
        for key, value in response_head.headers.get_all()
        if key.lower() not in _HOP_BY_HOP_HEADERS
    )
    return exchange.Head(response_head.status, headers, name)
