"""An HTTP server with a bounded number of connections."""

import asyncio
import collections.abc
import functools
import typing

from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream

from honeyport.ingress import chunked
from honeyport.policy import connection_room
from honeyport.telemetry import events
from honeyport.telemetry import metrics
from honeyport.telemetry import sampling

# Read from a connection at once; all connections may do so at the same time.
_CHUNK_BYTES = 16 * 1024
# Interval at which incomplete heads are looked for.
_CHECK_INTERVAL_S = 1.0
# Pause after a search that found no connection to close.
_SEARCH_PAUSE_S = 0.1

Records = dict[iostream.IOStream, connection_room.Connection]


class Server(httpserver.HTTPServer):
    """Closes connections that stand still when there are too many.

    Tornado's servers take their arguments in ``initialize``.
    """

    def initialize(  # type: ignore[override]
        self,
        request_callback: httputil.HTTPServerConnectionDelegate,
        *,
        max_connections: int,
        header_timeout_s: float,
        counters: metrics.Metrics,
        **options: typing.Any,
    ) -> None:
        """Initialize the server.

        :param request_callback: gets each request
        :param max_connections: that may be open
        :param header_timeout_s: how long a client may take to send a head
        :param options: of tornado's server
        """
        super().initialize(
            request_callback, chunk_size=_CHUNK_BYTES, **options
        )
        self._max_connections = max_connections
        self._header_timeout_s = header_timeout_s
        self._metrics = counters
        self._sampler = sampling.Sampler()
        self._chunk_reader = chunked.Reader()
        self._records: Records = {}
        self._search_at = float('-inf')
        self._checked_at = 0.0
        self._check_timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._records)

    def set_header_timeout(self, timeout_s: float) -> None:
        """Set how long a client may take to send a head."""
        self._header_timeout_s = timeout_s

    def stop(self) -> None:
        super().stop()
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None

    # -- tornado's server --------------------------------------------------

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        now = asyncio.get_running_loop().time()
        if len(self._records) >= self._max_connections:
            self._make_room(now)
        if len(self._records) >= self._max_connections:
            self._count_closed('too_many', now, 1, _peer_of(stream))
            stream.close()
            return
        self._records[stream] = connection_room.Connection(stream, now)
        if self._check_timer is None:
            self._schedule_check(now)
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        delegate = super().start_request(server_conn, request_conn)
        record = self._records.get(_stream_of(server_conn))
        if record is None:
            return delegate
        now = asyncio.get_running_loop().time()
        record.enter(connection_room.Phase.IDLE, now)
        return _Message(
            delegate,
            record,
            typing.cast(http1connection.HTTP1Connection, request_conn),
            self._chunk_reader,
        )

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self._records.pop(_stream_of(server_conn), None)
        typing.cast(
            httputil.HTTPServerConnectionDelegate, self.request_callback
        ).on_close(server_conn)

    # -- closing connections -----------------------------------------------

    def _make_room(self, now: float) -> None:
        """Close connections that stand still."""
        if now < self._search_at:
            return
        closed = connection_room.select_closed(self._records.values(), now)
        if not closed:
            self._search_at = now + _SEARCH_PAUSE_S
        self._close(closed, 'made_room', now)

    def _schedule_check(self, now: float) -> None:
        self._checked_at = now
        self._check_timer = asyncio.get_running_loop().call_later(
            _CHECK_INTERVAL_S, self._check_heads
        )

    def _check_heads(self) -> None:
        """Close connections whose head takes too long."""
        self._check_timer = None
        now = asyncio.get_running_loop().time()
        # After a time in which this process did not run, heads may have
        # arrived that are not parsed yet.
        is_late = now - self._checked_at > 2 * _CHECK_INTERVAL_S
        late = []
        for stream, record in self._records.items():
            if not _has_incomplete_head(stream, record):
                record.head_since = None
            elif record.head_since is None or is_late:
                record.head_since = now
            elif now - record.head_since > self._header_timeout_s:
                late.append(record)
        self._close(late, 'head_late', now)
        if self._records:
            self._schedule_check(now)

    def _close(
        self,
        closed: collections.abc.Sequence[connection_room.Connection],
        reason: str,
        now: float,
    ) -> None:
        if not closed:
            return
        streams = [
            typing.cast(iostream.IOStream, record.key) for record in closed
        ]
        self._count_closed(reason, now, len(streams), _peer_of(streams[0]))
        for stream in streams:
            del self._records[stream]
            stream.close()

    def _count_closed(
        self, reason: str, now: float, count: int, peer: str
    ) -> None:
        self._metrics.count('connections_closed', count, reason=reason)
        self._sampler.emit(
            events.CONNECTIONS_CLOSED,
            now,
            reason=reason,
            closed=count,
            peer=peer,
            open=len(self._records),
        )


class _Message(httputil.HTTPMessageDelegate):
    """Records what happens on a connection while a request is read."""

    __slots__ = ('_delegate', '_record', '_connection', '_chunk_reader')

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        record: connection_room.Connection,
        connection: http1connection.HTTP1Connection,
        chunk_reader: chunked.Reader,
    ) -> None:
        self._delegate = delegate
        self._record = record
        self._connection = connection
        self._chunk_reader = chunk_reader

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> collections.abc.Awaitable[None] | None:
        self._record.enter(connection_room.Phase.RECEIVING, _now())
        if 'Transfer-Encoding' in headers:
            # Tornado has no public way to replace it.
            self._connection._read_chunked_body = functools.partial(
                self._chunk_reader.read, self._connection
            )
        return self._delegate.headers_received(start_line, headers)

    def data_received(
        self, chunk: bytes
    ) -> collections.abc.Awaitable[None] | None:
        self._record.progressed_at = _now()
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._record.enter(connection_room.Phase.SERVING, _now())
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _stream_of(server_conn: object) -> iostream.IOStream:
    return typing.cast(
        http1connection.HTTP1ServerConnection, server_conn
    ).stream


def _peer_of(stream: iostream.IOStream) -> str:
    """Return the IP address of a client, or ``''`` if it has left."""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ''


def _has_incomplete_head(
    stream: iostream.IOStream, record: connection_room.Connection
) -> bool:
    """Whether a part of a head has arrived, and not all of it."""
    return (
        record.phase is connection_room.Phase.IDLE
        and stream.reading()
        # Tornado has no public access to it.
        and stream._read_buffer_size > 0
    )
