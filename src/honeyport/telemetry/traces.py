"""Tracing with a span for each hop of a request.

The OpenTelemetry SDK uses several megabytes of memory, so it is imported
only if an exporter is configured.
"""

import contextlib
import typing

_PARENT = 'traceparent'


class Tracer:
    """A tracer that records nothing and passes the parent on."""

    @contextlib.contextmanager
    def span(
        self, name: str, parent: str = '', **attributes: str
    ) -> typing.Iterator[str]:
        """Open a span.

        :param name: the hop, such as ``entry`` or ``steward``
        :param parent: a W3C ``traceparent`` value, or ``''``
        :returns: the ``traceparent`` value for the next hop
        """
        yield parent


class OpenTelemetryTracer(Tracer):
    """A tracer that exports spans with the OpenTelemetry SDK.

    :param service: name of the process in the spans
    :param exporter: an OpenTelemetry span exporter
    """

    def __init__(self, service: str, exporter: typing.Any) -> None:
        from opentelemetry.sdk import resources
        from opentelemetry.sdk import trace
        from opentelemetry.sdk.trace import export
        from opentelemetry.trace.propagation import tracecontext

        resource = resources.Resource.create({'service.name': service})
        provider = trace.TracerProvider(resource=resource)
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self._provider = provider
        self._tracer = provider.get_tracer('honeyport')
        self._propagator = tracecontext.TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(
        self, name: str, parent: str = '', **attributes: str
    ) -> typing.Iterator[str]:
        context = self._propagator.extract({_PARENT: parent})
        with self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ):
            carrier: dict[str, str] = {}
            self._propagator.inject(carrier)
            yield carrier.get(_PARENT, parent)


def create(exporter: str, service: str) -> Tracer:
    """Return the tracer of a process.

    :param exporter: ``none`` or ``console``
    :param service: name of the process in the spans
    """
    if exporter == 'none':
        return Tracer()
    from opentelemetry.sdk.trace import export

    return OpenTelemetryTracer(service, export.ConsoleSpanExporter())
