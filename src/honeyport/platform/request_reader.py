"""Reads HTTP requests, and reports those that end before their body."""

import collections.abc
import typing

from tornado import httputil

OnRequest = collections.abc.Callable[[httputil.HTTPServerRequest], None]
# Takes the request and the number of bytes of its body that were received.
OnIncomplete = collections.abc.Callable[
    [httputil.HTTPServerRequest, int], None
]


class RequestReaders(httputil.HTTPServerConnectionDelegate):
    """Creates a reader for each request.

    :param on_request: called with each complete request
    :param on_incomplete: called if the connection ends before the body
    """

    def __init__(
        self, on_request: OnRequest, on_incomplete: OnIncomplete
    ) -> None:
        self._on_request = on_request
        self._on_incomplete = on_incomplete

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        return _RequestReader(
            request_conn, self._on_request, self._on_incomplete
        )


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request."""

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        on_request: OnRequest,
        on_incomplete: OnIncomplete,
    ) -> None:
        self._connection = connection
        self._on_request = on_request
        self._on_incomplete = on_incomplete
        self._request: httputil.HTTPServerRequest | None = None
        self._body = bytearray()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._request = httputil.HTTPServerRequest(
            connection=self._connection,
            start_line=typing.cast(httputil.RequestStartLine, start_line),
            headers=headers,
        )

    def data_received(self, chunk: bytes) -> None:
        self._body += chunk

    def finish(self) -> None:
        if self._request is not None:
            self._request.body = bytes(self._body)
            self._on_request(self._request)

    def on_connection_close(self) -> None:
        if self._request is not None:
            self._on_incomplete(self._request, len(self._body))
