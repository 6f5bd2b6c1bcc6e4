"""Bounds the bodies that an HTTP application receives."""

import collections.abc
import http
import json
import typing

from tornado import http1connection
from tornado import httputil

from honeyport import errors
from honeyport.ingress import held_bytes
from honeyport.ingress import intake
from honeyport.ingress import servers
from honeyport.telemetry import metrics

# Returns how many bytes the body of a request may have.
MaxBytes = collections.abc.Callable[[httputil.RequestStartLine], int]


def create_server(
    application: httputil.HTTPServerConnectionDelegate,
    account: held_bytes.HeldBytes,
    *,
    max_bytes: MaxBytes,
    body_timeout_s: float,
    header_timeout_s: float,
    idle_timeout_s: float,
    max_header_bytes: int,
    parser_max_bytes: int,
    max_connections: int,
    counters: metrics.Metrics,
) -> servers.Server:
    """Return a server that passes requests to an application.

    :param account: counts the bodies until they are answered
    :param max_bytes: called with the start line of each request
    :param body_timeout_s: time that a body may take
    :param header_timeout_s: time that a head may take
    :param idle_timeout_s: time without a request after which a connection
        is closed
    :param parser_max_bytes: of any body; the parser answers a longer one with
        400 and closes the connection
    """
    return servers.Server(
        _GuardedConnections(application, account, max_bytes, body_timeout_s),
        max_connections=max_connections,
        header_timeout_s=header_timeout_s,
        counters=counters,
        idle_connection_timeout=idle_timeout_s,
        max_header_size=max_header_bytes,
        max_body_size=parser_max_bytes,
    )


class _GuardedConnections(httputil.HTTPServerConnectionDelegate):
    """Puts an intake before each request of an application."""

    def __init__(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        account: held_bytes.HeldBytes,
        max_bytes: MaxBytes,
        body_timeout_s: float,
    ) -> None:
        self._application = application
        self._account = account
        self._max_bytes = max_bytes
        self._body_timeout_s = body_timeout_s
        self._messages: dict[object, _GuardedMessage] = {}

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        self._release(server_conn)
        message = _GuardedMessage(
            self._application.start_request(server_conn, request_conn),
            typing.cast(http1connection.HTTP1Connection, request_conn),
            self._account,
            self._max_bytes,
            self._body_timeout_s,
        )
        self._messages[server_conn] = message
        return message

    def on_close(self, server_conn: object) -> None:
        self._release(server_conn)
        self._application.on_close(server_conn)

    def _release(self, server_conn: object) -> None:
        """Release what the last request of a connection held."""
        message = self._messages.pop(server_conn, None)
        if message is not None:
            message.release()


class _GuardedMessage(httputil.HTTPMessageDelegate):
    """Passes one request on, unless it is refused."""

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        connection: http1connection.HTTP1Connection,
        account: held_bytes.HeldBytes,
        max_bytes: MaxBytes,
        body_timeout_s: float,
    ) -> None:
        self._delegate = delegate
        self._connection = connection
        self._max_bytes = max_bytes
        self._body_timeout_s = body_timeout_s
        self._is_passed_on = False
        self._intake = intake.Intake(account, connection, self._refuse)

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> collections.abc.Awaitable[None] | None:
        start_line = typing.cast(httputil.RequestStartLine, start_line)
        self._intake.start(
            headers, '', self._max_bytes(start_line), self._body_timeout_s
        )
        if self._intake.is_refused:
            return None
        self._is_passed_on = True
        return self._delegate.headers_received(start_line, headers)

    def data_received(
        self, chunk: bytes
    ) -> collections.abc.Awaitable[None] | None:
        if self._intake.receive(len(chunk)):
            return self._delegate.data_received(chunk)
        return None

    def finish(self) -> None:
        if self._intake.finish():
            self._is_passed_on = False  # the connection is the delegate's
            self._delegate.finish()

    def on_connection_close(self) -> None:
        self._intake.close()
        self._give_up()

    def release(self) -> None:
        """Release what is held for the request."""
        self._intake.close()

    def _give_up(self) -> None:
        if self._is_passed_on:
            self._is_passed_on = False
            self._delegate.on_connection_close()

    async def _refuse(self, error: errors.HoneyportError) -> None:
        self._give_up()
        # Tornado has no public access to it.
        if self._connection._response_start_line is not None:
            return  # it was answered before its body
        body = json.dumps({'error': error.to_dict()}).encode()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
        )
        if error.retry_after is not None:
            headers['Retry-After'] = f'{error.retry_after:.2f}'
        reason = http.HTTPStatus(error.status).phrase
        await self._connection.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', error.status, reason),
            headers,
            body,
        )
