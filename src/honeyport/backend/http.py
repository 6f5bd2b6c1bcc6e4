"""HTTP to backend servers: kept connections, no resending.

``tornado``'s own clients either open a connection for each request or,
through libcurl, send a request again when a kept connection closes. Here
a connection is kept, and a failure on it is reported, never repaired.
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
from honeyport import errors
from honeyport.settings import roles

_BUFFERED = 256 * 1024  # bytes read ahead of a slow caller
_READ_AHEAD = 16 * 1024  # bytes read while nobody asks
_LARGEST_BODY = 64 * 1024 * 1024
_KEPT = 16
_CONNECT_S = 2.0


@attrs.frozen
class Start:
    """The start of a response."""

    status: int
    headers: httputil.HTTPHeaders


Part = Start | bytes


class _Stream(iostream.IOStream):
    """A stream that stays registered for reading between two reads.

    The base class takes itself off the loop's selector after each read
    and puts itself on again for the next one: two system calls for each
    chunk of a streamed answer.
    """

    def reading(self) -> bool:
        return super().reading() or self._read_buffer_size < _READ_AHEAD


class Response(httputil.HTTPMessageDelegate):
    """Collects a response; pauses reading while too much lies here."""

    def __init__(self) -> None:
        self._parts: collections.deque[Part] = collections.deque()
        self._arrived = asyncio.Event()
        self._taken = asyncio.Event()
        self._buffered = 0
        self.whole = False
        self.ended = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code != 100:
            self._add(Start(start_line.code, headers))

    def data_received(
        self, chunk: bytes
    ) -> collections.abc.Awaitable[None] | None:
        self._buffered += len(chunk)
        self._add(chunk)
        if self._buffered <= _BUFFERED:
            return None
        return self._drained()

    def finish(self) -> None:
        self.whole = True
        self.end()

    def on_connection_close(self) -> None:
        self.end()

    def end(self) -> None:
        """Note that nothing more comes."""
        self.ended = True
        self._arrived.set()

    async def take(self) -> Part | None:
        """Return the next part, joining what has piled up; or ``None``."""
        while not self._parts:
            if self.ended:
                return None
            self._arrived.clear()
            await self._arrived.wait()
        if isinstance(self._parts[0], Start):
            return self._parts.popleft()
        joined = b''.join(typing.cast(collections.deque[bytes], self._parts))
        self._parts.clear()
        self._buffered = 0
        self._taken.set()
        return joined

    async def _drained(self) -> None:
        while self._buffered > _BUFFERED:
            self._taken.clear()
            await self._taken.wait()

    def _add(self, part: Part) -> None:
        self._parts.append(part)
        self._arrived.set()


@attrs.frozen(kw_only=True)
class Request:
    """One request to a backend server."""

    method: str
    path: str
    headers: collections.abc.Iterable[tuple[str, str]] = ()
    body: bytes = b''
    fresh: bool = False  # on a connection of its own


class Pool:
    """The connections to one backend server."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._host, self._port = roles.split_address(address)
        self._idle: list[iostream.IOStream] = []
        ip = ipaddress.ip_address(self._host)
        self._family = socket.AF_INET6 if ip.version == 6 else socket.AF_INET

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    async def fetch(
        self, request: Request
    ) -> collections.abc.AsyncGenerator[Part, None]:
        """Send a request; yield its ``Start``, then the body's bytes.

        :raises errors.NotSent: if no connection could be made
        :raises errors.BackendLost: if it ended before the response did;
            the backend server may have got the request
        """
        stream = await self._connect(request.fresh)
        response = Response()
        reader = asyncio.create_task(self._exchange(stream, request, response))
        try:
            while (part := await response.take()) is not None:
                yield part
            if not response.whole:
                raise errors.BackendLost(
                    f'{self._address} closed the connection'
                )
        finally:
            if response.whole and not request.fresh:
                await reader
                self._keep(stream)
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
                max_body_size=_LARGEST_BODY
            ),
        )
        headers = httputil.HTTPHeaders()
        headers['Host'] = self._address
        for name, value in request.headers:
            headers[name] = value
        if request.body or request.method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(request.body))
        line = httputil.RequestStartLine(request.method, request.path, '')
        try:
            connection.write_headers(line, headers, request.body or None)
            connection.finish()
            await connection.read_response(response)
        except (OSError, httputil.HTTPInputError):
            stream.close()
        finally:
            response.end()

    async def _connect(self, fresh: bool) -> iostream.IOStream:
        while self._idle and not fresh:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        stream = _Stream(socket.socket(self._family))
        try:
            async with asyncio.timeout(_CONNECT_S):
                await stream.connect((self._host, self._port))
        except (OSError, TimeoutError) as error:
            stream.close()
            cause = connection_errors.root_cause(error)
            raise connection_errors.error_class(cause)(
                f'{self._address} cannot be reached: {cause}'
            ) from None
        stream.set_nodelay(True)
        return stream

    def _keep(self, stream: iostream.IOStream) -> None:
        if stream.closed() or len(self._idle) >= _KEPT:
            stream.close()
        else:
            self._idle.append(stream)


async def read(
    pool: Pool, request: Request, timeout_s: float
) -> tuple[Start, bytes]:
    """Return a whole response.

    :raises errors.BackendLost: if it is not whole in time
    """
    parts: list[Part] = []
    try:
        async with asyncio.timeout(timeout_s):
            async for part in pool.fetch(request):
                parts.append(part)
    except TimeoutError:
        raise errors.BackendLost('no answer in time') from None
    start = typing.cast(Start, parts[0])
    return start, b''.join(typing.cast(list[bytes], parts[1:]))
