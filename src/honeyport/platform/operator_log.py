"""Log lines that follow an operator's request through this process."""

import asyncio
import typing
import zlib

import attrs
from tornado import httputil

from honeyport.telemetry import events
from honeyport.telemetry import log as logs


@attrs.frozen(kw_only=True)
class Answer:
    """The answer to a request.

    :ivar status: its HTTP status
    :ivar code: the code of its error, or ``''``
    :ivar location: the address that it redirects to, or ``''``
    """

    status: int
    code: str
    location: str


class RequestLog:
    """Logs the progress of one request, whose headers were just received."""

    def __init__(self, request: httputil.HTTPServerRequest) -> None:
        self._request = request
        self._checksum = ''
        self._crc = 0
        self._received_bytes = 0
        self._started_at = _now()
        self._early_answer: dict[str, typing.Any] | None = None

    def record_early_answer(self, answer: Answer) -> None:
        """Record an answer that was sent before the body was received.

        It is logged after the body, which identifies the order.
        """
        self._early_answer = self._fields(answer) | {'before_body': True}

    def record_data(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self._crc = zlib.crc32(chunk, self._crc)
        self._received_bytes += len(chunk)

    def record_received(self) -> None:
        """Record that the request was received completely."""
        # The same wherever the order is sent again.
        self._checksum = f'{self._crc:08x}'
        self._started_at = _now()
        logs.emit(
            events.OPERATOR_RECEIVED,
            path=self._request.path,
            order=self._checksum,
            bytes=self._received_bytes,
            body_ms=self._request_ms(),
            peer=self._request.remote_ip,
        )
        self._log_early_answer()

    def record_incomplete(self, received_bytes: int) -> None:
        """Record that the connection ended before the body.

        :param received_bytes: length of the part of the body that was received
        """
        if self._early_answer is not None:
            self._log_early_answer()
            return
        logs.emit(
            events.OPERATOR_INCOMPLETE,
            path=self._request.path,
            bytes=received_bytes,
            expected=self._request.headers.get('Content-Length', ''),
            body_ms=self._request_ms(),
            peer=self._request.remote_ip,
        )

    def record_answer(self, answer: Answer, *, disconnected: bool) -> None:
        """Record the answer to the complete request.

        :param disconnected: whether the operator has closed the connection
        """
        event = _event(answer.location)
        if disconnected:
            event = events.OPERATOR_DISCONNECTED
        logs.emit(event, order=self._checksum, **self._fields(answer))

    def _log_early_answer(self) -> None:
        fields = self._early_answer
        if fields is not None:
            event = _event(fields['location'])
            logs.emit(event, order=self._checksum, **fields)

    def _fields(self, answer: Answer) -> dict[str, typing.Any]:
        took_ms = round((_now() - self._started_at) * 1000, 1)
        return {
            'path': self._request.path,
            **attrs.asdict(answer),
            'took_ms': took_ms,
        }

    def _request_ms(self) -> float:
        """Return the time since the headers were received."""
        return round(self._request.request_time() * 1000, 1)


def _event(location: str) -> events.Event:
    return events.OPERATOR_REDIRECTED if location else events.OPERATOR_ANSWERED


def _now() -> float:
    return asyncio.get_running_loop().time()
