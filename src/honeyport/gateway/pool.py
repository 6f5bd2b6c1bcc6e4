"""Connections to instances, kept for a while between two requests."""

import asyncio
import collections
import collections.abc
import socket

import attrs
from tornado import iostream
from tornado import tcpclient

from honeyport.backend import refusals
from honeyport.policy import placement

# Longer than a round trip between failure domains and a SYN in a busy queue,
# in seconds.
_CONNECT_S = 0.3
# Without an acknowledgement for so long, what was sent is lost: three times
# TCP's first retransmission (0.2 s), and the fourth's wait.
_UNACKNOWLEDGED_MS = 1000
# Keep-alive probes of a connection on which nothing moves, in whole seconds,
# the least that TCP takes.
_PROBE_S = 1
_MOST_PROBES = 2
# How long a connection is kept whose peer names no timeout, in seconds.
_KEPT_S = 2.0
_KEPT_SHARE = 0.5  # of the timeout that the peer names
_MOST_KEPT = 4  # of one instance: connections are counted by all callers
_BUFFER_BYTES = 1024 * 1024
# When an instance may take connections again that took none, in seconds: the
# first pause in which it is left alone.
_COME_BACK_S = 0.5


@attrs.define
class Connection:
    """One connection to one instance, for one request at a time."""

    instance: placement.Instance
    stream: iostream.IOStream
    reused: bool = False
    expires: float = 0.0

    def close(self) -> None:
        """Close it; an instance stops what it does for it."""
        self.stream.close()


class Pool:
    """The idle connections of this gateway."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque[Connection]] = {}
        self._client = tcpclient.TCPClient()

    async def take(self, instance: placement.Instance) -> Connection:
        """Return a connection that looks alive.

        :raises errors.NotSent: if there is none and none can be made
        """
        idle = self._idle.get(instance.id)
        while idle:
            connection = idle.pop()
            if _is_quiet(connection):
                connection.reused = True
                return connection
            connection.close()
        return await self._connect(instance)

    def give(self, connection: Connection, keep_alive_s: float | None) -> None:
        """Keep a connection whose answer was read to its end.

        :param keep_alive_s: the timeout that the peer named, if any
        """
        idle = self._idle.setdefault(
            connection.instance.id, collections.deque()
        )
        if connection.stream.closed() or len(idle) >= _MOST_KEPT:
            connection.close()
            return
        kept_s = _KEPT_S
        if keep_alive_s is not None:
            kept_s = min(kept_s, keep_alive_s * _KEPT_SHARE)
        connection.expires = asyncio.get_running_loop().time() + kept_s
        idle.append(connection)

    def retain(self, usable: collections.abc.Container[str]) -> None:
        """Close the idle connections to all other instances."""
        for name in [name for name in self._idle if name not in usable]:
            for connection in self._idle.pop(name):
                connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain(())

    async def probe(self, instance: placement.Instance) -> None:
        """Connect to an instance; the connection is kept for a request.

        :raises errors.NotSent: if that fails
        """
        self.give(await self._connect(instance), None)

    async def _connect(self, instance: placement.Instance) -> Connection:
        host, _, port = instance.address.rpartition(':')
        try:
            stream = await self._client.connect(
                host,
                int(port),
                af=socket.AF_INET,
                max_buffer_size=_BUFFER_BYTES,
                timeout=_CONNECT_S,
            )
        except (OSError, TimeoutError) as error:
            cause = refusals.cause(error)
            raise refusals.kind(cause)(
                f'{instance.address}: {cause!r}', retry_after=_COME_BACK_S
            ) from None
        stream.set_nodelay(True)
        _watch(stream.socket)
        return Connection(instance, stream)


def _watch(connected: socket.socket) -> None:
    """Have the kernel notice a peer that is gone without a word."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MOST_PROBES),
    )
    for level, option, value in options:
        connected.setsockopt(level, option, value)


def _is_quiet(connection: Connection) -> bool:
    """Whether an idle connection is open and nothing arrived on it.

    Bytes that nobody asked for belong to no request of ours.
    """
    stream = connection.stream
    expired = connection.expires < asyncio.get_running_loop().time()
    if expired or stream.closed():
        return False
    # Tornado reads ahead and offers no other look at what it holds.
    if stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
