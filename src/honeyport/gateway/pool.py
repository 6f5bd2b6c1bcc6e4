"""Pool of idle connections to instances."""

import asyncio
import collections
import collections.abc
import socket

import attrs
from tornado import iostream
from tornado import tcpclient

from honeyport.backend import connection_errors
from honeyport.backend import idle_connections
from honeyport import errors
from honeyport.policy import placement

# Longer than a round trip between failure domains and a SYN in a busy queue.
_CONNECT_TIMEOUT_S = 0.3
# TCP_USER_TIMEOUT: closes a connection whose data is not acknowledged, or on
# which keep-alive probes are not answered. An instance that is silent for less
# may go on; callers leave a stream that is silent for longer.
_TCP_USER_TIMEOUT_MS = 2000
# TCP keep-alive, in whole seconds (the kernel's resolution).
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
# For a peer that names no timeout, in seconds.
_IDLE_TIMEOUT_S = 2.0
_PEER_TIMEOUT_RATIO = 0.5  # share of the timeout that the peer names
# Instances limit the connections of all callers together.
_MAX_IDLE_PER_INSTANCE = 4
_MAX_BUFFER_BYTES = 1024 * 1024
CHUNK_BYTES = 16 * 1024  # that are read at a time
# Retry-After if no connection can be made.
_RETRY_AFTER_S = 0.5


@attrs.define
class Connection:
    """A connection to an instance, for one request at a time.

    :ivar reused: whether it was taken from the pool
    :ivar released_at: loop time at which its last request ended
    :ivar expires_at: loop time after which it is not reused
    :ivar may_be_unread: whether the instance may read nothing for a while
    """

    instance: placement.Instance
    stream: iostream.IOStream
    reused: bool = False
    released_at: float = 0.0
    expires_at: float = 0.0
    may_be_unread: bool = False

    def allow_unread(self) -> None:
        """Keep the connection while the instance does not read.

        ``TCP_USER_TIMEOUT`` also counts while an instance acknowledges probes
        but has no room for more bytes. Keep-alive probes detect one that is
        gone once all bytes are acknowledged.
        """
        self.may_be_unread = True
        _set_user_timeout(self.stream.socket, 0)

    def close(self) -> None:
        """Close the connection, which cancels its request on the instance."""
        self.stream.close()


# Called with the instance after each attempt to connect, and the error if it
# failed.
Observer = collections.abc.Callable[
    [placement.Instance, errors.NotSent | None], None
]


class Pool:
    """Idle connections of a gateway, by instance."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque[Connection]] = {}
        self._client = tcpclient.TCPClient()
        self._observer: Observer = lambda instance, error: None

    def set_observer(self, observer: Observer) -> None:
        """Set the function that is called after each attempt to connect."""
        self._observer = observer

    def has_idle(self, instance: placement.Instance, since: float) -> bool:
        """Whether the next request could reuse a connection.

        :param since: earliest time of the end of its last request, as loop
            time in seconds
        """
        idle = self._idle.get(instance.id)
        while idle and not _is_reusable(idle[-1]):
            idle.pop().close()
        return bool(idle) and idle[-1].released_at >= since

    async def acquire(self, instance: placement.Instance) -> Connection:
        """Return an idle connection, or open one.

        :raises errors.NotSent: if connecting fails
        """
        idle = self._idle.get(instance.id)
        while idle:
            connection = idle.pop()
            if _is_reusable(connection):
                connection.reused = True
                return connection
            connection.close()
        return await self._connect(instance)

    def release(
        self, connection: Connection, keep_alive_s: float | None
    ) -> None:
        """Return a connection whose answer was read completely.

        :param keep_alive_s: idle timeout that the peer named, in seconds
        """
        idle = self._idle.setdefault(
            connection.instance.id, collections.deque()
        )
        if connection.stream.closed() or len(idle) >= _MAX_IDLE_PER_INSTANCE:
            connection.close()
            return
        idle_timeout_s = _IDLE_TIMEOUT_S
        if keep_alive_s is not None:
            idle_timeout_s = min(
                idle_timeout_s, keep_alive_s * _PEER_TIMEOUT_RATIO
            )
        if connection.may_be_unread:
            connection.may_be_unread = False
            _set_user_timeout(connection.stream.socket, _TCP_USER_TIMEOUT_MS)
        connection.released_at = asyncio.get_running_loop().time()
        connection.expires_at = connection.released_at + idle_timeout_s
        idle.append(connection)

    def put_back(self, connection: Connection) -> None:
        """Return a connection that was not used since it was acquired."""
        if not connection.reused or connection.stream.closed():
            self.release(connection, None)
            return
        idle = self._idle.setdefault(
            connection.instance.id, collections.deque()
        )
        idle.append(connection)

    def retain(self, usable: collections.abc.Container[str]) -> None:
        """Close the idle connections to all other instances."""
        for instance_id in [
            instance_id
            for instance_id in self._idle
            if instance_id not in usable
        ]:
            for connection in self._idle.pop(instance_id):
                connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain(())

    async def probe(self, instance: placement.Instance) -> None:
        """Connect to an instance and keep the connection for a request.

        :raises errors.NotSent: if connecting fails
        """
        self.release(await self._connect(instance), None)

    async def _connect(self, instance: placement.Instance) -> Connection:
        try:
            stream = await self._open(instance.address)
        except (OSError, TimeoutError) as error:
            cause = connection_errors.root_cause(error)
            not_sent = connection_errors.error_class(cause)(
                f'{instance.address}: {cause!r}', retry_after=_RETRY_AFTER_S
            )
            self._observer(instance, not_sent)
            raise not_sent from None
        self._observer(instance, None)
        return Connection(instance, stream)

    async def _open(self, address: str) -> iostream.IOStream:
        host, _, port = address.rpartition(':')
        connecting = asyncio.ensure_future(
            self._client.connect(
                host,
                int(port),
                af=socket.AF_INET,
                max_buffer_size=_MAX_BUFFER_BYTES,
                timeout=_CONNECT_TIMEOUT_S,
            )
        )
        try:
            stream = await asyncio.shield(connecting)
        except asyncio.CancelledError:
            connecting.add_done_callback(_close_stream)
            raise
        if stream.closed():  # its socket is gone
            raise ConnectionResetError('closed as soon as it was established')
        stream.set_nodelay(True)
        stream.read_chunk_size = CHUNK_BYTES
        _enable_keep_alive(stream.socket)
        return stream


def _close_stream(connecting: 'asyncio.Future[iostream.IOStream]') -> None:
    """Close a connection that nobody waits for any more."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def _enable_keep_alive(sock: socket.socket) -> None:
    """Make the kernel detect a peer that is gone without closing."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
    _set_user_timeout(sock, _TCP_USER_TIMEOUT_MS)


def _set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _is_reusable(connection: Connection) -> bool:
    """Whether an idle connection may get another request."""
    is_expired = connection.expires_at < asyncio.get_running_loop().time()
    return not is_expired and idle_connections.is_usable(connection.stream)
