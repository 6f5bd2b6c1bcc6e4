"""HTTP/1.1 client for backend servers, with a pool and without retries.

``tornado``'s own clients either open a connection for each request or,
through libcurl, resend a request when a pooled connection closes. This
client reuses connections and reports every failure to its caller.
"""

import asyncio
import collections
import collections.abc
import ipaddress
import socket
import typing

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from honeyport.backend import connection_errors
from honeyport.backend import idle_connections
from honeyport import errors
from honeyport.settings import roles

_BUFFER_MAX_BYTES = 256 * 1024  # unread body at which reading pauses
_READ_AHEAD_BYTES = 16 * 1024  # read without a pending read call
_BODY_MAX_BYTES = 64 * 1024 * 1024
_IDLE_CONNECTIONS_MAX = 16
_CONNECT_TIMEOUT_S = 2.0
_MIN_FINAL_STATUS = 200  # those below are interim


@attrs.frozen
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: httputil.HTTPHeaders


Part = ResponseHead | bytes


class _Stream(iostream.IOStream):
    """A stream that stays registered for reading between two reads.

    The base class unregisters from the event loop's selector after each
    read and registers again for the next: two system calls for each chunk.
    """

    def reading(self) -> bool:
        return super().reading() or self._read_buffer_size < _READ_AHEAD_BYTES


class Response(httputil.HTTPMessageDelegate):
    """Buffers a response; pauses reading while the buffer is full.

    :param stream: the connection that it is read from
    :ivar complete: whether the whole response arrived
    :ivar closed: whether no more data will arrive
    """

    def __init__(self, stream: iostream.IOStream) -> None:
        self._stream = stream
        self._ends_with_connection = False
        self._parts: collections.deque[Part] = collections.deque()
        self._data_added = asyncio.Event()
        self._buffer_drained = asyncio.Event()
        self._buffered_bytes = 0
        self.complete = False
        self.closed = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code < _MIN_FINAL_STATUS:
            return  # tornado calls again with the final response
        self._ends_with_connection = not (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )
        self._add(ResponseHead(start_line.code, headers))

    def data_received(
        self, chunk: bytes
    ) -> collections.abc.Awaitable[None] | None:
        self._buffered_bytes += len(chunk)
        self._add(chunk)
        if self._buffered_bytes <= _BUFFER_MAX_BYTES:
            return None
        return self._wait_until_drained()

    def finish(self) -> None:
        # Tornado also takes a reset for the end of a body without a length.
        is_reset = self._stream.error is not None
        self.complete = not (self._ends_with_connection and is_reset)
        self.close()

    def on_connection_close(self) -> None:
        self.close()

    def close(self) -> None:
        """Mark the response as closed and wake the reader."""
        self.closed = True
        self._data_added.set()

    async def next_part(self) -> Part | None:
        """Return the next part, or ``None`` at the end.

        All buffered chunks of the body are joined to one part.
        """
        while not self._parts:
            if self.closed:
                return None
            self._data_added.clear()
            await self._data_added.wait()
        if isinstance(self._parts[0], ResponseHead):
            return self._parts.popleft()
        body = b''.join(typing.cast(collections.deque[bytes], self._parts))
        self._parts.clear()
        self._buffered_bytes = 0
        self._buffer_drained.set()
        return body

    async def _wait_until_drained(self) -> None:
        while self._buffered_bytes > _BUFFER_MAX_BYTES:
            self._buffer_drained.clear()
            await self._buffer_drained.wait()

    def _add(self, part: Part) -> None:
        self._parts.append(part)
        self._data_added.set()


@attrs.frozen(kw_only=True)
class Request:
    """An HTTP request to a backend server.

    :ivar new_connection: whether to use a connection that is not pooled
    """

    method: str
    path: str
    headers: collections.abc.Iterable[tuple[str, str]] = ()
    body: bytes = b''
    new_connection: bool = False


class Pool:
    """A pool of connections to one backend server."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._host, self._port = roles.split_address(address)
        self._idle: list[iostream.IOStream] = []
        ip = ipaddress.ip_address(self._host)
        self._family = socket.AF_INET6 if ip.version == 6 else socket.AF_INET

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def fetch(
        self, request: Request
    ) -> collections.abc.AsyncGenerator[Part, None]:
        """Send a request; yield the ``ResponseHead``, then the body's bytes.

        :raises errors.NotSent: if no connection could be made
        :raises errors.BackendLost: if the connection closed before the
            response was complete; the request may have been received
        """
        stream = await self._connect(request.new_connection)
        response = Response(stream)
        reader = asyncio.create_task(self._exchange(stream, request, response))
        try:
            while (part := await response.next_part()) is not None:
                yield part
            if not response.complete:
                raise errors.BackendLost(
                    f'{self._address} closed the connection'
                )
        finally:
            if response.complete and not request.new_connection:
                await reader
                self._release(stream)
            else:
                reader.cancel()
                stream.close()

    async def _exchange(
        self,
        stream: iostream.IOStream,
        request: Request,
        response: Response,
    ) -> None:
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                max_body_size=_BODY_MAX_BYTES
            ),
        )
        headers = httputil.HTTPHeaders()
        headers['Host'] = self._address
        for name, value in request.headers:
            headers[name] = value
        if request.body or request.method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(request.body))
        start_line = httputil.RequestStartLine(
            request.method, request.path, ''
        )
        try:
            connection.write_headers(start_line, headers, request.body or None)
            connection.finish()
            await connection.read_response(response)
        except (OSError, httputil.HTTPInputError):
            stream.close()
        finally:
            response.close()

    async def _connect(self, new_connection: bool) -> iostream.IOStream:
        while self._idle and not new_connection:
            stream = self._idle.pop()
            if idle_connections.is_usable(stream):
                return stream
            stream.close()
        stream = _Stream(socket.socket(self._family))
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await stream.connect((self._host, self._port))
        except (OSError, TimeoutError) as error:
            stream.close()
            cause = connection_errors.root_cause(error)
            raise connection_errors.error_class(cause)(
                f'{self._address} cannot be reached: {cause}'
            ) from None
        stream.set_nodelay(True)
        return stream

    def _release(self, stream: iostream.IOStream) -> None:
        if stream.closed() or len(self._idle) >= _IDLE_CONNECTIONS_MAX:
            stream.close()
        else:
            self._idle.append(stream)


async def read(
    pool: Pool, request: Request, timeout_s: float
) -> tuple[ResponseHead, bytes]:
    """Send a request and return the whole response.

    :raises errors.NotSent: if no connection could be made
    :raises errors.BackendLost: if the response is not complete in time
    """
    parts: list[Part] = []
    try:
        async with asyncio.timeout(timeout_s):
            async for part in pool.fetch(request):
                parts.append(part)
    except TimeoutError:
        raise errors.BackendLost(
            'no complete response within the timeout'
        ) from None
    head = typing.cast(ResponseHead, parts[0])
    return head, b''.join(typing.cast(list[bytes], parts[1:]))
