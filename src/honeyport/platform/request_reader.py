"""Reads HTTP requests, some of which are answered before their body."""

import collections.abc
import typing

from tornado import httputil

from honeyport.ingress import body_buffer


class Exchange(typing.Protocol):
    """Handles one request."""

    async def on_headers(self) -> None:
        """Handle the headers; the body is not read until this returns."""

    def on_data(self, chunk: bytes) -> bool:
        """Handle a part of the body; return whether to keep it."""

    def on_request(self) -> None:
        """Handle the complete request."""

    def on_incomplete(self, received_bytes: int) -> None:
        """Handle the end of the connection before that of the body.

        :param received_bytes: length of the received part of the body
        """


# Creates the handling of a request whose body is not read yet.
Start = collections.abc.Callable[[httputil.HTTPServerRequest], Exchange]


class RequestReaders(httputil.HTTPServerConnectionDelegate):
    """Creates a reader for each request of a server's connections."""

    def __init__(self, start: Start) -> None:
        self._start = start

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        return _RequestReader(request_conn, self._start)


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request."""

    def __init__(
        self, connection: httputil.HTTPConnection, start: Start
    ) -> None:
        self._connection = connection
        self._start = start
        self._request: httputil.HTTPServerRequest | None = None
        self._exchange: Exchange | None = None
        self._body = body_buffer.BodyBuffer()
        self._received_bytes = 0

    async def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._request = httputil.HTTPServerRequest(
            connection=self._connection,
            start_line=typing.cast(httputil.RequestStartLine, start_line),
            headers=headers,
        )
        self._exchange = self._start(self._request)
        await self._exchange.on_headers()

    def data_received(self, chunk: bytes) -> None:
        self._received_bytes += len(chunk)
        if self._exchange is not None and self._exchange.on_data(chunk):
            self._body.append(chunk)

    def finish(self) -> None:
        if self._request is not None and self._exchange is not None:
            self._request.body = self._body.take()
            self._exchange.on_request()

    def on_connection_close(self) -> None:
        self._body.clear()
        if self._exchange is not None:
            self._exchange.on_incomplete(self._received_bytes)
