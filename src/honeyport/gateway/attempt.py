"""One attempt: a request sent on one connection to one instance."""

import asyncio
import collections.abc
import typing

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from honeyport.backend import connection_errors
from honeyport import errors
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import pool
from honeyport.ingress import held_bytes

_MAX_HEADER_BYTES = 64 * 1024
_MAX_STREAM_BYTES = 64 * 1024 * 1024
# Of a response that is not an event stream.
_MAX_BODY_BYTES = 8 * 1024 * 1024
# A stream whose caller does not read holds some copies of a chunk.
_CHUNK_BYTES = pool.CHUNK_BYTES
# Larger bodies are written apart from the head; together, they are copied.
_MAX_COPIED_BYTES = 64 * 1024
_EVENT_STREAM = 'text/event-stream'
# Answers to other requests that are discarded before the expected one.
_MAX_FOREIGN_RESPONSES = 2
# Descriptions of connection errors; the first matching class is used.
_CAUSE_TEXTS: dict[type[BaseException], str] = {
    ConnectionResetError: 'reset by the instance',
    TimeoutError: 'not acknowledged by the instance',
    iostream.UnsatisfiableReadError: 'a head without end',
    iostream.StreamClosedError: 'closed by the instance',
    httputil.HTTPInputError: 'not HTTP',
}
_CONNECTION_ERRORS = (
    iostream.StreamClosedError,
    httputil.HTTPInputError,
    OSError,
)


@attrs.frozen
class Head:
    """Status line and headers of a response."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_stream(self) -> bool:
        """Whether the body is a server-sent event stream."""
        content_type = self.headers.get('Content-Type', '')
        return content_type.startswith(_EVENT_STREAM)

    @property
    def framing(self) -> str:
        """What marks the end of the body.

        :returns: ``'chunked'``, ``'length'`` or ``'close'``, for the end of
            the connection (RFC 9112, section 6.3)
        """
        if 'Transfer-Encoding' in self.headers:
            return 'chunked'
        return 'length' if 'Content-Length' in self.headers else 'close'


@attrs.define
class Response:
    """A complete response of an instance.

    :ivar body: empty if it was relayed while it arrived
    """

    head: Head
    body: bytes
    is_relayed: bool


class Relay(typing.Protocol):
    """Receives an event stream while it arrives."""

    async def begin(self, head: Head) -> None:
        """Handle the head of a stream."""

    async def write_events(self, chunk: bytes) -> None:
        """Handle bytes of the body."""

    def check_end(self) -> None:
        """Check that the stream may end here.

        :raises errors.BackendLost: if it is not whole
        """

    def on_activity(self) -> None:
        """Handle the arrival of any bytes."""

    def on_collected(self, size: int) -> bool:
        """Handle bytes of a whole response that is collected.

        :param size: bytes of its body that have arrived
        :returns: whether it is to be passed on before it is complete
        """

    async def write_unfinished(self, head: Head, body: bytes) -> None:
        """Pass on the start of a response that is not collected further."""

    async def write_body(self, chunk: bytes) -> None:
        """Pass on further bytes of it."""

    def on_reading(self, cut_off: held_bytes.CutOff | None) -> None:
        """Handle that the reading of a response begins or ends.

        :param cut_off: closes its connection for a reason; ``None`` at its end
        """


# Called with the head of each response on a connection, including responses to
# other requests.
HeadCallback = collections.abc.Callable[[Head], None]


class _Reader(httputil.HTTPMessageDelegate):
    """Collects one response from tornado's parser."""

    def __init__(
        self,
        request_id: str,
        header_names: gateway_headers.HeaderNames,
        relay: Relay,
        on_head: HeadCallback,
    ) -> None:
        self._request_id = request_id
        self._header_names = header_names
        self._relay = relay
        self._on_head = on_head
        self.head: Head | None = None
        self.is_for_other_request = False
        self.is_relayed = False
        self.is_complete = False
        self.relay_error: BaseException | None = None
        self.excess: errors.ResponseTooLarge | None = None
        self.body = bytearray()
        self.received_bytes = 0
        self._is_discarded = False
        self._is_unfinished = False
        self._may_pass_on = False

    def headers_received(
        self,
        start_line: typing.Any,
        headers: httputil.HTTPHeaders,
    ) -> collections.abc.Awaitable[None] | None:
        self._relay.on_activity()
        if start_line.code < 200:
            return None  # tornado calls again with the final response
        head = Head(start_line.code, start_line.reason or '', headers)
        self._on_head(head)
        response_request_id = headers.get(
            self._header_names.request_id, self._request_id
        )
        self.is_for_other_request = response_request_id != self._request_id
        if self.is_for_other_request:
            self._is_discarded = True
            return None
        self.head = head
        has_digest = bool(headers.get(self._header_names.digest))
        if not (self.head.is_success and has_digest):
            # A success without a digest is not passed on.
            self._is_discarded = self.head.is_success
            return None
        if self.head.is_stream:
            self.is_relayed = True
            return self._record_error(self._relay.begin(self.head))
        self._may_pass_on = self._header_names.not_run not in headers
        return None

    def data_received(
        self, chunk: bytes
    ) -> collections.abc.Awaitable[None] | None:
        self._relay.on_activity()
        self.received_bytes += len(chunk)
        if self.received_bytes > self._max_bytes:
            self.cut_off(f'over {self._max_bytes} bytes in a body')
        if self.excess is not None:
            raise httputil.HTTPInputError(self.excess.detail)
        if self._is_discarded:
            return None
        if self.is_event_stream:
            return self._record_error(self._relay.write_events(chunk))
        if self._is_unfinished:
            return self._record_error(self._relay.write_body(chunk))
        self.body += chunk
        passes_on = self._relay.on_collected(len(self.body))
        if self.excess is not None:
            raise httputil.HTTPInputError(self.excess.detail)
        if passes_on and self._may_pass_on and self.head is not None:
            self.is_relayed = self._is_unfinished = True
            body, self.body = bytes(self.body), bytearray()
            return self._record_error(
                self._relay.write_unfinished(self.head, body)
            )
        return None

    def finish(self) -> None:
        self.is_complete = True

    def cut_off(self, reason: str) -> None:
        """Take no more bytes of the response."""
        self.excess = errors.ResponseTooLarge(reason)
        self.body.clear()

    @property
    def is_event_stream(self) -> bool:
        """Whether it was relayed as an event stream."""
        return self.is_relayed and not self._is_unfinished

    @property
    def _max_bytes(self) -> int:
        return _MAX_STREAM_BYTES if self.is_event_stream else _MAX_BODY_BYTES

    async def _record_error(
        self, relayed: collections.abc.Awaitable[None]
    ) -> None:
        """Wait for the relay; keep its error, which the parser replaces."""
        try:
            await relayed
        except BaseException as error:
            self.relay_error = error
            raise


class Attempt:
    """Sends a request once and reads its response."""

    def __init__(
        self,
        connection: pool.Connection,
        header_names: gateway_headers.HeaderNames,
        relay: Relay,
        on_head: HeadCallback,
    ) -> None:
        self._connection = connection
        self._header_names = header_names
        self._relay = relay
        self._on_head = on_head
        self._reader: _Reader | None = None

    async def run(
        self,
        request: gateway_headers.Request,
        headers: httputil.HTTPHeaders,
    ) -> Response:
        """Return the complete response; the connection is reusable afterwards.

        :raises errors.BackendLost: if the connection broke
        :raises errors.ResponseTooLarge: if it was closed for its size
        :raises errors.ForeignAnswer: if no response to this request came, or
            a success without a digest
        """
        self._relay.on_reading(self._cut_off)
        try:
            for number in range(_MAX_FOREIGN_RESPONSES + 1):
                self._reader = reader = _Reader(
                    request.request_id,
                    self._header_names,
                    self._relay,
                    self._on_head,
                )
                http = self._new_http()
                if number == 0:
                    if len(request.body) > _MAX_COPIED_BYTES:
                        self._connection.allow_unread()
                    _write_request(http, request, headers)
                http.finish()
                await http.read_response(reader)
                if reader.excess is not None:
                    raise reader.excess
                if reader.relay_error is not None:
                    break
                if not reader.is_for_other_request:
                    return self._complete_response(reader)
        except _CONNECTION_ERRORS as error:
            if self._reader is not None and self._reader.excess is not None:
                raise self._reader.excess from None
            raise errors.BackendLost(_describe_cause(error)) from None
        finally:
            self._relay.on_reading(None)
        if reader.relay_error is not None:  # not the instance's fault
            raise reader.relay_error
        raise errors.ForeignAnswer('received only responses to other requests')

    def _cut_off(self, reason: str) -> None:
        """Close the connection, as the response takes too much memory."""
        if self._reader is not None:
            self._reader.cut_off(reason)
        self._connection.close()

    def _new_http(self) -> http1connection.HTTP1Connection:
        """Return an HTTP connection for one message on the stream."""
        return http1connection.HTTP1Connection(
            self._connection.stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                max_header_size=_MAX_HEADER_BYTES,
                max_body_size=_MAX_STREAM_BYTES + _CHUNK_BYTES,
                chunk_size=_CHUNK_BYTES,
            ),
        )

    def _complete_response(self, reader: _Reader) -> Response:
        """Return the response if it is complete.

        A response without a length ends with its connection; tornado treats
        a reset as a regular end, so the stream's error is checked, too. The
        end of an event stream must also be the end of an event.

        :raises errors.BackendLost: if it is incomplete
        :raises errors.ForeignAnswer: if a success has no digest
        """
        head = reader.head
        if head is None or not reader.is_complete:
            raise errors.BackendLost('the response is incomplete')
        if self._connection.stream.error is not None:
            raise errors.BackendLost(
                _describe_cause(self._connection.stream.error)
            )
        if head.is_success and not head.headers.get(self._header_names.digest):
            raise errors.ForeignAnswer('a success response without a digest')
        if reader.is_event_stream:
            if head.framing == 'close' and not reader.received_bytes:
                # One that was cut after its head looks the same as one with
                # nothing left to send.
                raise errors.BackendLost('the stream ended after its head')
            self._relay.check_end()
        return Response(head, bytes(reader.body), reader.is_relayed)


def _describe_cause(error: BaseException) -> str:
    """Describe a connection error in one line."""
    cause = connection_errors.root_cause(error)
    for kind, text in _CAUSE_TEXTS.items():
        if isinstance(cause, kind):
            return f'{text}: {cause!r}'
    return repr(cause)


def keep_alive_s(head: Head) -> float | None:
    """Return the idle timeout that a response names.

    :returns: seconds, 0 for ``Connection: close``, or ``None``
    """
    connection_options = head.headers.get('Connection', '').lower().split(',')
    if any(option.strip() == 'close' for option in connection_options):
        return 0.0
    for item in head.headers.get('Keep-Alive', '').split(','):
        name, _, value = item.partition('=')
        if name.strip().lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None


def _write_request(
    http: http1connection.HTTP1Connection,
    request: gateway_headers.Request,
    headers: httputil.HTTPHeaders,
) -> None:
    start_line = httputil.RequestStartLine(
        request.method, request.target, 'HTTP/1.1'
    )
    body = request.body
    is_small = len(body) <= _MAX_COPIED_BYTES
    written = http.write_headers(
        start_line, headers, body if body and is_small else None
    )
    written.add_done_callback(_ignore_result)
    if not is_small:
        http.write(body).add_done_callback(_ignore_result)


def _ignore_result(future: 'asyncio.Future[None]') -> None:
    """Retrieve a write error; the missing response reports the failure."""
    if not future.cancelled():
        future.exception()
