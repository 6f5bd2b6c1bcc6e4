"""The HTTP endpoints ``/metrics`` and ``/healthz`` of a process."""

import typing

from tornado import httpserver
from tornado import web

from honeyport.ingress import guard
from honeyport.ingress import held_bytes
from honeyport import machine
from honeyport.policy import connection_room
from honeyport.settings import roles
from honeyport.telemetry import metrics

# No request has a body here.
_MAX_BODY_BYTES = 16 * 1024
_MAX_HELD_BYTES = 1024 * 1024
_MAX_HEADER_BYTES = 16 * 1024
_REQUEST_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 600.0

Ready = typing.Callable[[], str]


class MetricsHandler(web.RequestHandler):
    """Serves all metrics in the Prometheus text format."""

    def initialize(self, counters: metrics.Metrics) -> None:
        self._counters = counters

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self._counters.export())


class HealthHandler(web.RequestHandler):
    """Answers 200 if the process is ready, else 503 with the reason."""

    def initialize(self, ready: Ready) -> None:
        self._ready = ready

    def get(self) -> None:
        reason = self._ready()
        self.set_status(503 if reason else 200)
        self.write(reason or 'ok')


def routes(counters: metrics.Metrics, ready: Ready) -> list[typing.Any]:
    """Return the routes for a tornado application.

    :param ready: returns why the process is not ready, or ``''`` if it is
    """
    return [
        ('/metrics', MetricsHandler, {'counters': counters}),
        ('/healthz', HealthHandler, {'ready': ready}),
    ]


def serve(
    address: str, counters: metrics.Metrics, ready: Ready
) -> httpserver.HTTPServer:
    """Start an HTTP server with only these endpoints.

    :param address: ``IP:PORT`` to listen on
    """
    host, port = roles.split_address(address)
    application = web.Application(
        routes(counters, ready), log_function=lambda _: None
    )
    server = guard.create_server(
        application,
        held_bytes.HeldBytes(_MAX_HELD_BYTES, counters, name='status_bytes'),
        max_bytes=lambda start_line: _MAX_BODY_BYTES,
        body_timeout_s=_REQUEST_TIMEOUT_S,
        header_timeout_s=_REQUEST_TIMEOUT_S,
        idle_timeout_s=_IDLE_TIMEOUT_S,
        max_header_bytes=_MAX_HEADER_BYTES,
        parser_max_bytes=_MAX_BODY_BYTES,
        max_connections=connection_room.max_for_page(
            machine.read_resources().file_descriptors
        ),
        counters=counters,
    )
    server.listen(port, host)
    return server
