"""Plain services: a call is passed on as it came."""

import collections.abc

from honeyport.backend import http
from honeyport.backend import registry
from honeyport import errors
from honeyport import exchange

_PROBE_S = 1.0
_HOP_HEADERS = frozenset(
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
    """A client of one replica of a plain service."""

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._pool = http.Pool(address)

    async def answer(self, call: exchange.Call) -> exchange.Answer:
        request = http.Request(
            method=call.method,
            path=call.path,
            headers=(*call.headers, *identify(call)),
            body=call.body,
            fresh=not call.repeatable,
        )
        parts = self._pool.fetch(request)
        async for frame in frames(self._name, parts):
            yield frame

    async def cancel(self, request_id: str) -> None:
        """Plain services cannot cancel."""

    async def probe(self) -> registry.Load:
        request = http.Request(method='GET', path='/healthz')
        await http.read(self._pool, request, _PROBE_S)
        return registry.Load()

    def close(self) -> None:
        self._pool.close()


def identify(call: exchange.Call) -> list[tuple[str, str]]:
    """Return the headers that tell a backend server which call this is."""
    headers = [
        ('X-Request-Id', call.request_id),
        ('Honeyport-Attempt', str(call.attempt)),
    ]
    if call.key:
        headers.append(('Idempotency-Key', call.key))
    if call.traceparent:
        headers.append(('traceparent', call.traceparent))
    return headers


async def frames(
    name: str,
    parts: collections.abc.AsyncGenerator[http.Part, None],
) -> exchange.Answer:
    """Turn the parts of a response into numbered frames."""
    number = length = 0
    headers_sent = False
    try:
        async for part in parts:
            if isinstance(part, http.Start):
                headers_sent = True
                yield _head(name, part)
                continue
            number += 1
            length += len(part)
            yield exchange.Data(number, part)
    except errors.BackendLost as error:
        if headers_sent:
            raise errors.AnswerCut(error.detail) from None
        raise
    finally:
        await parts.aclose()
    yield exchange.End(number, length)


def _head(name: str, start: http.Start) -> exchange.Head:
    headers = tuple(
        (key, value)
        for key, value in start.headers.get_all()
        if key.lower() not in _HOP_HEADERS
    )
    return exchange.Head(start.status, headers, name)
