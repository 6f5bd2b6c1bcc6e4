"""The HTTP endpoints ``/metrics`` and ``/healthz`` of a process."""

import typing

from tornado import httpserver
from tornado import web

from honeyport.settings import roles
from honeyport.telemetry import metrics

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
    return application.listen(port, host)
