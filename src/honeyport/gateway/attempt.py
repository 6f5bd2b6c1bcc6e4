"""One request on one connection to one instance."""

import asyncio
import collections.abc
import typing

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from honeyport.backend import refusals
from honeyport import errors
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import pool

_HEADER_BYTES = 64 * 1024
_ANSWER_BYTES = 64 * 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_EVENT_STREAM = 'text/event-stream'
# Answers to other requests that are read and thrown away before ours.
_MOST_FOREIGN = 2
# How a connection broke, in words; the first that fits.
_CAUSES: dict[type[BaseException], str] = {
    ConnectionResetError: 'reset by the instance',
    TimeoutError: 'not acknowledged by the instance',
    iostream.StreamClosedError: 'closed by the instance',
    httputil.HTTPInputError: 'not HTTP',
}
_BROKEN = (iostream.StreamClosedError, httputil.HTTPInputError, OSError)


@attrs.frozen
class Head:
    """The start of an answer."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders

    @property
    def is_success(self) -> bool:
        """Whether the instance says that it did what was asked."""
        return 200 <= self.status < 300

    @property
    def is_stream(self) -> bool:
        """Whether its body is a series of events."""
        kind = self.headers.get('Content-Type', '')
        return kind.startswith(_EVENT_STREAM)


@attrs.define
class Answer:
    """A whole answer; ``body`` is empty if it was relayed as it came."""

    head: Head
    body: bytes
    relayed: bool


class Relay(typing.Protocol):
    """Takes the events of a stream as they arrive."""

    async def begin(self, head: Head) -> None:
        """Take the head of a stream."""

    async def events(self, chunk: bytes) -> None:
        """Take bytes of its body."""

    def hear(self) -> None:
        """Note that something came."""


# Takes the head of each answer on a connection, whatever it answers.
Heed = collections.abc.Callable[[Head], None]


class _Reader(httputil.HTTPMessageDelegate):
    """Takes one answer from tornado's parser."""

    def __init__(
        self,
        request_id: str,
        names: gateway_headers.HeaderNames,
        relay: Relay,
        heed: Heed,
    ) -> None:
        self._request_id = request_id
        self._names = names
        self._relay = relay
        self._heed = heed
        self.head: Head | None = None
        self.foreign = False
        self.relayed = False
        self.complete = False
        self.body = bytearray()

    def headers_received(
        self,
        start_line: typing.Any,
        headers: httputil.HTTPHeaders,
    ) -> collections.abc.Awaitable[None] | None:
        self._relay.hear()
        if start_line.code < 200:
            return None  # tornado calls again with the real answer
        head = Head(start_line.code, start_line.reason, headers)
        self._heed(head)
        answered = headers.get(self._names.request_id, self._request_id)
        self.foreign = answered != self._request_id
        if self.foreign:
            return None
        self.head = head
        signed = self._names.digest in headers
        if self.head.is_success and self.head.is_stream and signed:
            self.relayed = True
            return self._relay.begin(self.head)
        return None

    def data_received(
        self, chunk: bytes
    ) -> collections.abc.Awaitable[None] | None:
        self._relay.hear()
        if self.foreign:
            return None
        if self.relayed:
            return self._relay.events(chunk)
        self.body += chunk
        return None

    def finish(self) -> None:
        self.complete = True


class Attempt:
    """Sends a request once, and reads its answer."""

    def __init__(
        self,
        connection: pool.Connection,
        names: gateway_headers.HeaderNames,
        relay: Relay,
        heed: Heed,
    ) -> None:
        self._connection = connection
        self._names = names
        self._relay = relay
        self._heed = heed

    async def run(
        self,
        request: gateway_headers.Request,
        headers: httputil.HTTPHeaders,
    ) -> Answer:
        """Return the whole answer; the connection may be used again then.

        :raises errors.BackendLost: if the instance broke off
        :raises errors.ForeignAnswer: if what came is no answer to this
        """
        try:
            for number in range(_MOST_FOREIGN + 1):
                reader = _Reader(
                    request.request_id, self._names, self._relay, self._heed
                )
                http = self._parser()
                if number == 0:
                    _write(http, request, headers)
                http.finish()
                await http.read_response(reader)
                if not reader.foreign:
                    return self._whole(reader)
        except _BROKEN as error:
            raise errors.BackendLost(_cause(error)) from None
        raise errors.ForeignAnswer('only answers to other requests came')

    def _parser(self) -> http1connection.HTTP1Connection:
        """Return what writes one request, or reads one answer."""
        return http1connection.HTTP1Connection(
            self._connection.stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                max_header_size=_HEADER_BYTES,
                max_body_size=_ANSWER_BYTES,
                chunk_size=_CHUNK_BYTES,
            ),
        )

    def _whole(self, reader: _Reader) -> Answer:
        """Return the answer if it is whole.

        An answer without a length ends with its connection; tornado reads
        it to the end, also where the end was a reset.
        """
        head = reader.head
        if head is None or not reader.complete:
            raise errors.BackendLost('no whole answer came')
        if self._connection.stream.error is not None:
            raise errors.BackendLost(_cause(self._connection.stream.error))
        if head.is_success and self._names.digest not in head.headers:
            raise errors.ForeignAnswer('a success without its digest')
        return Answer(head, bytes(reader.body), reader.relayed)


def _cause(error: BaseException) -> str:
    """Return in one line how a connection broke."""
    cause = refusals.cause(error)
    for kind, text in _CAUSES.items():
        if isinstance(cause, kind):
            return f'{text}: {cause!r}'
    return repr(cause)


def keep_alive_s(head: Head) -> float | None:
    """Return the timeout that an answer names for idle connections.

    :returns: seconds, 0 if the connection is to be closed, or ``None``
    """
    listed = head.headers.get('Connection', '').lower().split(',')
    if any(one.strip() == 'close' for one in listed):
        return 0.0
    for item in head.headers.get('Keep-Alive', '').split(','):
        name, _, value = item.partition('=')
        if name.strip().lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None


def _write(
    http: http1connection.HTTP1Connection,
    request: gateway_headers.Request,
    headers: httputil.HTTPHeaders,
) -> None:
    line = httputil.RequestStartLine(
        request.method, request.target, 'HTTP/1.1'
    )
    written = http.write_headers(line, headers, request.body or None)
    written.add_done_callback(_forget)


def _forget(future: 'asyncio.Future[None]') -> None:
    """Take the result of a write: what matters is whether an answer came."""
    if not future.cancelled():
        future.exception()
