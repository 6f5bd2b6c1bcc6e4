"""HTTP server for the connections of callers."""

import asyncio
import contextlib
import fcntl
import http
import json
import socket
import struct
import termios
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from honeyport.bundle import model
from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import forward
from honeyport.gateway import headers as gateway_headers
from honeyport.ingress import body_buffer
from honeyport.ingress import held_bytes
from honeyport.ingress import intake
from honeyport.ingress import servers
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Deadline for callers that name none.
_DEFAULT_DEADLINE_S = 600.0
# Retry-After of a gateway that shuts down; the others are ready.
_DRAINING_RETRY_AFTER_S = 0.1
# Larger bodies are written apart from the head; together, they are copied.
_MAX_COPIED_BYTES = 64 * 1024
# Values of SO_LINGER: closing resets the connection, or ends it regularly.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_ON_CLOSE = struct.pack('ii', 0, 0)
_C_INT = struct.Struct('i')
_CHUNKS_VERSION = 'HTTP/1.1'


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts connections and hands each request to the forwarder.

    :param forwarder: serves the requests
    :param names: header names
    :param account: counts the bytes that are held
    :param max_connections: number of connections that may be open
    """

    def __init__(
        self,
        forwarder: forward.Forwarder,
        names: gateway_headers.HeaderNames,
        account: held_bytes.HeldBytes,
        max_connections: int,
        counters: metrics.Metrics,
    ) -> None:
        self._forwarder = forwarder
        self._names = names
        self._held_bytes = account
        self._limits = model.RequestLimits()
        self._server = servers.Server(
            typing.cast(typing.Any, self),
            max_connections=max_connections,
            header_timeout_s=self._limits.header_ms / 1000,
            counters=counters,
            max_body_size=intake.MAX_PARSED_BYTES,
        )
        self._closing = False
        self._refusing = False
        self.set_limits(self._limits)
        counters.gauge('caller_connections', lambda: self._server.connections)
        counters.gauge('caller_connections_max', lambda: max_connections)

    @property
    def names(self) -> gateway_headers.HeaderNames:
        """Names of the headers that the gateway reads or sets."""
        return self._names

    @property
    def forwarder(self) -> forward.Forwarder:
        """Forwarder that serves the requests."""
        return self._forwarder

    @property
    def held_bytes(self) -> held_bytes.HeldBytes:
        """Counts the bytes that are held."""
        return self._held_bytes

    @property
    def limits(self) -> model.RequestLimits:
        """The limits on requests."""
        return self._limits

    @property
    def closing(self) -> bool:
        """Whether responses carry ``Connection: close``."""
        return self._closing

    @property
    def refusing(self) -> bool:
        """Whether new requests are refused with an error."""
        return self._refusing

    def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server.listen(port, host)

    def add_listener(self, listener: socket.socket) -> None:
        """Accept connections from a listening socket."""
        self._server.add_socket(listener)

    def set_limits(self, limits: model.RequestLimits) -> None:
        """Set the limits on request sizes and idle time."""
        self._limits = limits
        parameters = self._server.conn_params
        parameters.max_header_size = limits.header_bytes
        # It begins before the head does, while the connection is idle.
        parameters.header_timeout = (
            max(limits.header_ms, limits.idle_ms) / 1000
        )
        self._server.set_header_timeout(limits.header_ms / 1000)

    def start_closing(self) -> None:
        """Ask callers to reconnect elsewhere, and continue to serve."""
        self._closing = True

    def start_refusing(self) -> None:
        """Refuse new requests from now on."""
        self._refusing = True

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        connection = typing.cast(http1connection.HTTP1Connection, request_conn)
        connection.stream.set_nodelay(True)
        return _ExchangeHandler(self, connection)


class _ExchangeHandler(httputil.HTTPMessageDelegate):
    """Handles one request; its task runs until the response is written."""

    def __init__(
        self,
        caller_server: CallerServer,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self._caller_server = caller_server
        self._connection = connection
        self._stream = connection.stream
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body = body_buffer.BodyBuffer()
        self._task: asyncio.Task[None] | None = None
        self._is_started = False
        self._intake = intake.Intake(
            caller_server.held_bytes,
            connection,
            self._write_refusal,
            self._check_allowed,
        )
        self._holding = self._intake.holding

    @property
    def is_started(self) -> bool:
        """Whether the head of a response has been written."""
        return self._is_started

    @property
    def holding(self) -> held_bytes.Holding:
        """The bytes that are held for the request."""
        return self._holding

    @property
    def request_id(self) -> str:
        """Id that the caller gave the request, or ``''``."""
        return self._headers.get(self._caller_server.names.request_id, '')

    @property
    def sent_bytes(self) -> int:
        """Bytes that the caller has taken on this connection."""
        # Tornado has no public access to it.
        written = self._stream._total_write_done_index
        return written - _unacknowledged_bytes(self._stream.socket)

    def cut_off(self) -> None:
        """Close the connection of a caller that reads nothing."""
        self._set_linger(_RESET_ON_CLOSE)
        self._stream.close()

    # -- httputil.HTTPMessageDelegate ------------------------------------

    def headers_received(
        self, start_line: typing.Any, headers: httputil.HTTPHeaders
    ) -> None:
        self._start_line = start_line
        self._headers = headers
        names = self._caller_server.names
        self._intake.start(
            headers,
            self.request_id,
            self._caller_server.limits.body_bytes,
            min(
                gateway_headers.read_timeout_s(
                    headers, names, _DEFAULT_DEADLINE_S
                ),
                _DEFAULT_DEADLINE_S,
            ),
        )

    def data_received(self, chunk: bytes) -> None:
        if self._intake.receive(len(chunk)):
            self._body.append(chunk)
        else:
            self._body.clear()

    def _check_allowed(self) -> float:
        """Check that the configuration allows the request, before its body.

        :returns: the longest time that it may take, in seconds
        :raises errors.HoneyportError: if it does not
        """
        assert self._start_line is not None
        if self._caller_server.refusing:
            raise errors.Draining(retry_after=_DRAINING_RETRY_AFTER_S)
        return self._caller_server.forwarder.find_timeout_s(
            *gateway_headers.read_destination(self._start_line, self._headers)
        )

    def finish(self) -> None:
        if not self._intake.finish():
            return  # its answer is being written
        self._connection.set_close_callback(self._on_closed)
        self._task = asyncio.create_task(self._handle_request())

    def on_connection_close(self) -> None:
        self._on_closed()
        if self._task is None:
            self._intake.close()

    def _on_closed(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _handle_request(self) -> None:
        try:
            await self._forward_request()
        except iostream.StreamClosedError:
            pass  # the caller disconnected; the forwarder has logged it
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            self._stream.close()
        finally:
            self._holding.release()

    async def _forward_request(self) -> None:
        assert self._start_line is not None
        body = self._body.take()
        try:
            if self._caller_server.refusing:
                raise errors.Draining(retry_after=_DRAINING_RETRY_AFTER_S)
            request = gateway_headers.decode(
                self._start_line,
                self._headers,
                body,
                self._caller_server.names,
                _DEFAULT_DEADLINE_S,
            )
        except errors.HoneyportError as error:
            await self.refuse(error)
            return
        await self._caller_server.forwarder.serve(request, self)

    # -- exchanges.Reply -------------------------------------------------

    async def begin(self, head: attempt.Head) -> None:
        headers = self._forwarded_headers(head)
        if self._ends_with_connection:
            # Only a reset tells a broken stream from a whole one, also if
            # this process is killed.
            self._set_linger(_RESET_ON_CLOSE)
            self._headers.pop('Connection', None)  # it cannot be kept
        await self._write_head(head.status, head.reason, headers)

    async def write(self, chunk: bytes) -> None:
        written = self._connection.write(chunk)
        if written.done():
            await written
            return
        self._holding.update(held_bytes.UNSENT, len(chunk))
        with self._watch():
            await written
        self._holding.update(held_bytes.UNSENT, 0)

    async def end(self) -> None:
        if self._ends_with_connection:
            self._set_linger(_END_ON_CLOSE)
            self._stream.close()
            return
        self._connection.finish()

    async def send_response(self, head: attempt.Head, body: bytes) -> None:
        headers = self._forwarded_headers(head)
        if head.status not in (204, 304):
            headers['Content-Length'] = str(len(body))
        with self._watch():
            if len(body) <= _MAX_COPIED_BYTES:
                await self._write_head(head.status, head.reason, headers, body)
            else:
                await self._write_head(head.status, head.reason, headers)
                await self._connection.write(body)
        self._connection.finish()

    async def refuse(self, error: errors.HoneyportError) -> None:
        if self._is_started:
            self._stream.close()
            return
        await self._write_refusal(error)
        self._connection.finish()

    async def _write_refusal(self, error: errors.HoneyportError) -> None:
        self._body.clear()
        body = json.dumps({'error': error.to_dict()}).encode()
        headers = httputil.HTTPHeaders({'Content-Type': 'application/json'})
        headers['Content-Length'] = str(len(body))
        request_id = self._headers.get(self._caller_server.names.request_id)
        if request_id:
            headers[self._caller_server.names.request_id] = request_id
        if isinstance(error, errors.NotReady) or self._intake.is_refused:
            # Further requests of this caller should go to another gateway.
            # A connection with an unread body cannot be kept.
            headers['Connection'] = 'close'
        if error.retry_after is not None:
            headers['Retry-After'] = f'{error.retry_after:.2f}'
        reason = http.HTTPStatus(error.status).phrase
        await self._write_head(error.status, reason, headers, body)

    def _watch(self) -> contextlib.AbstractContextManager[None]:
        """Watch whether the caller reads."""
        return self._caller_server.held_bytes.watch(self, self._holding)

    @property
    def _ends_with_connection(self) -> bool:
        """Whether a stream to this caller has no chunks."""
        return (
            self._start_line is not None
            and self._start_line.version != _CHUNKS_VERSION
        )

    def _set_linger(self, value: bytes) -> None:
        if not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, value
            )

    def _forwarded_headers(self, head: attempt.Head) -> httputil.HTTPHeaders:
        return gateway_headers.forwarded_response_headers(
            head.headers, self._caller_server.names
        )

    async def _write_head(
        self,
        status: int,
        reason: str,
        headers: httputil.HTTPHeaders,
        body: bytes | None = None,
    ) -> None:
        self._is_started = True
        if self._caller_server.closing:
            headers['Connection'] = 'close'
        start_line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        await self._connection.write_headers(start_line, headers, body or None)


def _unacknowledged_bytes(sock: socket.socket | None) -> int:
    """Return how many bytes the kernel holds for a peer, if it tells."""
    if sock is None:
        return 0
    try:
        data = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_C_INT.size))
    except OSError:
        return 0  # progress is seen as the kernel takes further bytes
    return int(_C_INT.unpack(data)[0])
