"""Log lines that follow an operator's request through this process."""

import asyncio
import zlib

import attrs
from tornado import httputil

from honeyport.telemetry import events
from honeyport.telemetry import log as logs


@attrs.frozen(kw_only=True)
class RequestLog:
    """Logs the progress of one request.

    :ivar path: the request's path
    :ivar checksum: of the body, the same wherever the order is sent again
    :ivar received_at: loop time at which the whole request was there, in
        seconds
    """

    path: str
    checksum: str
    received_at: float

    def record_answer(
        self, status: int, code: str, *, location: str, disconnected: bool
    ) -> None:
        """Record the answer.

        :param status: its HTTP status
        :param code: the code of its error, or ``''``
        :param location: the address that it redirects to, or ``''``
        :param disconnected: whether the operator has closed the connection
        """
        event = events.OPERATOR_ANSWERED
        if disconnected:
            event = events.OPERATOR_DISCONNECTED
        elif location:
            event = events.OPERATOR_REDIRECTED
        logs.emit(
            event,
            path=self.path,
            order=self.checksum,
            status=status,
            code=code,
            location=location,
            took_ms=round((_now() - self.received_at) * 1000, 1),
        )


def start(request: httputil.HTTPServerRequest) -> RequestLog:
    """Record that a request was received completely."""
    log = RequestLog(
        path=request.path,
        checksum=f'{zlib.crc32(request.body):08x}',
        received_at=_now(),
    )
    logs.emit(
        events.OPERATOR_RECEIVED,
        path=log.path,
        order=log.checksum,
        bytes=len(request.body),
        body_ms=round(request.request_time() * 1000, 1),
        peer=request.remote_ip,
    )
    return log


def record_incomplete(
    request: httputil.HTTPServerRequest, received_bytes: int
) -> None:
    """Record that a connection ended before the body of its request.

    :param received_bytes: length of the part of the body that was received
    """
    logs.emit(
        events.OPERATOR_INCOMPLETE,
        path=request.path,
        bytes=received_bytes,
        expected=request.headers.get('Content-Length', ''),
        body_ms=round(request.request_time() * 1000, 1),
        peer=request.remote_ip,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
