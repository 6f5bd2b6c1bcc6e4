"""Receives the body of one request, or refuses it."""

import asyncio
import collections.abc
import contextlib
import socket
import typing

from tornado import http1connection
from tornado import iostream

from honeyport import errors
from honeyport.ingress import held_bytes

# A body that was refused is read on for this time, as unread bytes would
# reset the connection before its client has read the answer.
_DISCARD_S = 10.0
_MAX_LENGTH_DIGITS = 18
# The parser's own limit, far above that of an intake: the parser would close
# the connection without an answer in the client's terms.
MAX_PARSED_BYTES = 10**_MAX_LENGTH_DIGITS
# Bodies up to this length are read before their request is looked at.
_SMALL_BYTES = 64 * 1024

# Returns the longest time in seconds that the request may take.
# Raises a HoneyportError if the request would be refused anyway.
Check = collections.abc.Callable[[], float]
# Writes the answer to a refused request.
WriteRefusal = collections.abc.Callable[
    [errors.HoneyportError], collections.abc.Awaitable[None]
]


class Headers(typing.Protocol):
    """The headers of a request."""

    def get(self, name: str, default: str) -> str:
        """Return the value of a header."""

    def __contains__(self, name: object) -> bool:
        """Whether there is a header."""


class Intake:
    """Receives the body of one request.

    :param account: counts the bytes that are held
    :param connection: of the client
    :param write_refusal: writes the answer to the request if it is refused
    :param check: called once, before more than a small body is received;
        ``None`` if any request is received
    :ivar holding: the bytes that are held for the request
    """

    __slots__ = (
        'holding',
        '_account',
        '_connection',
        '_write_refusal',
        '_check',
        '_request_id',
        '_max_bytes',
        '_received',
        '_has_length',
        '_is_receiving',
        '_is_refused',
        '_discarded',
        '_discarding_ends',
        '_task',
    )

    def __init__(
        self,
        account: held_bytes.HeldBytes,
        connection: http1connection.HTTP1Connection,
        write_refusal: WriteRefusal,
        check: Check | None = None,
    ) -> None:
        self.holding = held_bytes.Holding(account)
        self._account = account
        self._connection = connection
        self._write_refusal = write_refusal
        self._check = check
        self._request_id = ''
        self._max_bytes = 0
        self._received = 0
        self._has_length = False
        self._is_receiving = False
        self._is_refused = False
        self._discarded = 0
        # Set once the rest of a refused body is not awaited any more.
        self._discarding_ends: asyncio.Event | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def request_id(self) -> str:
        """Id that the client gave the request, or ``''``."""
        return self._request_id

    @property
    def peer(self) -> str:
        """IP address of the client."""
        return getattr(self._connection.context, 'remote_ip', '')

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused."""
        return self._is_refused

    def start(
        self,
        headers: Headers,
        request_id: str,
        max_bytes: int,
        timeout_s: float,
    ) -> None:
        """Start to receive a body, if there is one.

        :param max_bytes: of a body that is received at all
        :param timeout_s: after which a body that is not whole is refused
        """
        self._request_id = request_id
        self._max_bytes = max_bytes
        length = _content_length(headers)
        self._has_length = 'Content-Length' in headers
        if not length and 'Transfer-Encoding' not in headers:
            return
        self._is_receiving = True
        now = asyncio.get_running_loop().time()
        self._account.start_body(self, length, now, now + timeout_s)
        self._admit(length)

    def receive(self, count: int) -> bool:
        """Receive a part of the body; return whether to keep it.

        :param count: its length in bytes
        """
        if self._is_refused:
            self._discarded += count
            if self._discarded > self._max_bytes:
                self._end_discarding()
            return False
        self._received += count
        self._account.record_body(self, self._received)
        if not self._has_length:
            self._admit(self._received)
        return not self._is_refused

    def finish(self) -> bool:
        """Record that the body is whole; return whether it was kept."""
        self._end()
        self._end_discarding()
        return not self._is_refused

    def close(self) -> None:
        """Record that the connection was closed."""
        self._end()
        self.holding.release()
        if self._task is not None:
            self._task.cancel()

    def refuse(self, error: errors.HoneyportError) -> None:
        """Refuse the request, and discard its body."""
        if self._is_refused:
            return
        self._is_refused = True
        self._end()
        self.holding.release()
        self._discarding_ends = asyncio.Event()
        self._task = asyncio.create_task(
            self._refuse(error, self._discarding_ends)
        )

    def _admit(self, body_bytes: int) -> None:
        """Count a body up to a length, or refuse its request."""
        try:
            if body_bytes > self._max_bytes:
                raise errors.BodyTooLarge(
                    f'a body may have {self._max_bytes} bytes'
                )
            if body_bytes > _SMALL_BYTES and self._check is not None:
                check, self._check = self._check, None
                self._account.limit_body_time(self, check())
            self._account.check_body(body_bytes, self.holding)
        except errors.HoneyportError as error:
            self._account.count_refused(self, error)
            self.refuse(error)
            return
        self.holding.update(held_bytes.REQUEST, body_bytes)

    def _end(self) -> None:
        if self._is_receiving:
            self._is_receiving = False
            self._account.end_body(self)

    def _end_discarding(self) -> None:
        if self._discarding_ends is not None:
            self._discarding_ends.set()

    async def _refuse(
        self, error: errors.HoneyportError, discarding_ends: asyncio.Event
    ) -> None:
        with contextlib.suppress(iostream.StreamClosedError, TimeoutError):
            await self._write_refusal(error)
            self._shut_down_writing()
            async with asyncio.timeout(_DISCARD_S):
                await discarding_ends.wait()
        self._connection.close()

    def _shut_down_writing(self) -> None:
        """Tell the client that no more answers follow on its connection."""
        stream = self._connection.stream
        if not stream.closed():
            with contextlib.suppress(OSError):  # the client has disconnected
                stream.socket.shutdown(socket.SHUT_WR)


def _content_length(headers: Headers) -> int:
    """Return the length of a body that its head names, or 0."""
    # The parser accepts a length that is repeated, and refuses longer ones.
    text = headers.get('Content-Length', '').partition(',')[0].strip()
    is_length = text.isascii() and text.isdigit()
    return int(text) if is_length and len(text) <= _MAX_LENGTH_DIGITS else 0
