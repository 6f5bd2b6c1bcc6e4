"""The HTTP API for the platform, its callers and its operators.

Each handler is registered with :func:`endpoint`.
"""

import asyncio
import collections.abc
import functools
import http
import json
import re
import typing
import urllib.parse

import attrs
from tornado import http1connection
from tornado import httpserver
from tornado import httputil

from honeyport import errors
from honeyport.gateway import daemon as gateway_daemon
from honeyport.platform import boot
from honeyport.platform import configuration
from honeyport.platform import operator_log
from honeyport.settings import roles
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

if typing.TYPE_CHECKING:  # imported only where there is a replica
    from honeyport.platform import replica

_MAX_BODY_BYTES = 32 * 1024 * 1024
_RETRY_AFTER_S = 0.5  # requested of operators while no leader is known
# The paths of operators' requests, which are logged.
_OPERATOR_PATHS = ('/api/configuration/', '/api/evacuations/')


@attrs.frozen(kw_only=True)
class Components:
    """The components that handlers use.

    :ivar operator_services: ``None`` without a control replica in this process
    """

    settings: boot.Settings
    gateway: gateway_daemon.Gateway
    counters: metrics.Metrics
    operator_services: 'replica.OperatorServices | None' = None


@attrs.frozen(kw_only=True)
class Response:
    """The response to a request."""

    status: int = 200
    body: bytes = b''
    headers: dict[str, str] = attrs.field(factory=dict)


# Takes the components, the request, and the path's parameters as keywords.
Handler = collections.abc.Callable[..., collections.abc.Awaitable[Response]]
_ENDPOINTS: dict[re.Pattern[str], dict[str, Handler]] = {}
# A parameter in the path of an endpoint.
_PARAMETER = re.compile(r'{(\w+)}')


def endpoint(
    method: str, path: str
) -> collections.abc.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of an endpoint.

    :param path: its path; a segment ``{name}`` is passed as that keyword
    """
    pattern = re.compile(_PARAMETER.sub(r'(?P<\1>[^/]+)', path))

    def decorate(handler: Handler) -> Handler:
        _ENDPOINTS.setdefault(pattern, {})[method] = handler
        return handler

    return decorate


@endpoint('GET', '/api/readiness')
async def _readiness(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    reason = components.gateway.not_ready_reason
    return Response(status=503 if reason else 200, body=reason.encode())


@endpoint('GET', '/metrics')
async def _metrics(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    return Response(body=components.counters.export())


@endpoint('GET', '/api/resolution')
async def _resolution(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    domain = request.arguments.get('zone', [b''])[-1].decode('utf-8')
    addresses = components.gateway.addresses(domain)
    if not addresses:
        raise errors.NotReady('no gateway address is known', retry_after=1.0)
    ttl_s = min(
        components.gateway.list_lifetime_s, components.settings.max_ttl_s
    )
    return _json({'addresses': addresses, 'ttl_s': ttl_s})


@endpoint('POST', '/api/configuration/replace')
async def _replace_configuration(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    try:
        bundle = configuration.decode(
            request.body, components.settings.revocation_s
        )
    except errors.BundleInvalid as error:
        logs.emit(events.REPLACEMENT_REFUSED, detail=error.detail)
        raise
    await _operator_services(components).configurations.replace(
        bundle, request.body
    )
    return _json({'version': bundle.version})


@endpoint('GET', '/api/configuration/read')
async def _read_configuration(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    document = _operator_services(components).configurations.read()
    return Response(
        body=document, headers={'Content-Type': 'application/json'}
    )


@endpoint('POST', '/api/evacuations/{domain}/begin')
async def _begin_evacuation(
    components: Components, request: httputil.HTTPServerRequest, domain: str
) -> Response:
    return await _change_evacuation(components, domain, ends=False)


@endpoint('POST', '/api/evacuations/{domain}/finish')
async def _end_evacuation(
    components: Components, request: httputil.HTTPServerRequest, domain: str
) -> Response:
    return await _change_evacuation(components, domain, ends=True)


async def _change_evacuation(
    components: Components, domain: str, *, ends: bool
) -> Response:
    """Commit that an evacuation begins or ends.

    :raises errors.UnknownDomain: if the settings do not contain the domain
    """
    if domain not in components.settings.regions:
        raise errors.UnknownDomain(f'unknown failure domain {domain!r}')
    evacuations = _operator_services(components).evacuations
    await evacuations.order(domain, ends=ends)
    return _json({'evacuated': sorted(evacuations.evacuated)})


def _operator_services(components: Components) -> 'replica.OperatorServices':
    """Return the operator services of the replica in this process.

    :raises errors.NotLeader: without a replica; the request is redirected
    """
    if components.operator_services is None:
        raise errors.NotLeader(leader=components.gateway.leader)
    return components.operator_services


def serve(components: Components) -> list[httpserver.HTTPServer]:
    """Start an HTTP server on each address; return the servers."""
    settings = components.settings
    addresses = {
        settings.readiness_address,
        settings.directory_address,
        settings.operator_address,
        settings.metrics_address,
    }
    servers = []
    for address in sorted(addresses):
        host, port = roles.split_address(address)
        server = httpserver.HTTPServer(
            lambda request: _start_handling(components, request),
            max_body_size=_MAX_BODY_BYTES,
            max_buffer_size=_MAX_BODY_BYTES,
        )
        server.listen(port, host)
        servers.append(server)
    return servers


def _start_handling(
    components: Components, request: httputil.HTTPServerRequest
) -> None:
    task = asyncio.create_task(_handle(components, request))
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)


async def _handle(
    components: Components, request: httputil.HTTPServerRequest
) -> None:
    is_logged = request.path.startswith(_OPERATOR_PATHS)
    request_log = operator_log.start(request) if is_logged else None
    code = ''
    try:
        response = await _respond(components, request)
    except errors.HoneyportError as error:
        code = error.code
        response = _error_response(error)
    except Exception as error:
        logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
        code = errors.HoneyportError.code
        response = _error_response(errors.HoneyportError())
    if request_log is not None:
        request_log.record_answer(
            response.status,
            code,
            location=response.headers.get('Location', ''),
            disconnected=_is_closed(request),
        )
    _send(request, response)


def _is_closed(request: httputil.HTTPServerRequest) -> bool:
    """Whether the client has closed the connection."""
    connection = typing.cast(
        http1connection.HTTP1Connection, request.connection
    )
    return connection.stream is None or connection.stream.closed()


async def _respond(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    """Return the response to a request, or a redirect to the leader."""
    handler = _find_handler(request)
    try:
        return await handler(components, request)
    except errors.NotLeader as error:
        return _redirect(
            components, request, error.leader or components.gateway.leader
        )


def _find_handler(request: httputil.HTTPServerRequest) -> Handler:
    """Return the handler of a request, with its path parameters bound.

    :raises errors.UnknownRoute: if no endpoint has the path
    :raises errors.WrongMethod: if the endpoint does not take the method
    """
    for pattern, handlers in _ENDPOINTS.items():
        match = pattern.fullmatch(request.path)
        if match is None:
            continue
        handler = handlers.get(request.method or '')
        if handler is None:
            raise errors.WrongMethod(
                f'{request.path} allows only {", ".join(handlers)}'
            )
        path_parameters = {
            name: urllib.parse.unquote(value)
            for name, value in match.groupdict().items()
        }
        return functools.partial(handler, **path_parameters)
    raise errors.UnknownRoute(f'no endpoint {request.path}')


def _send(request: httputil.HTTPServerRequest, response: Response) -> None:
    connection = typing.cast(httputil.HTTPConnection, request.connection)
    headers = httputil.HTTPHeaders(response.headers)
    headers['Content-Length'] = str(len(response.body))
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1', response.status, http.HTTPStatus(response.status).phrase
    )
    future = connection.write_headers(
        start_line, headers, response.body or None
    )
    future.add_done_callback(_ignore_error)
    connection.finish()


def _ignore_error(future: 'asyncio.Future[None]') -> None:
    """Ignore the error of a write; the client may have disconnected."""
    if not future.cancelled():
        future.exception()


def _json(value: typing.Any, status: int = 200) -> Response:
    return Response(
        status=status,
        body=json.dumps(value).encode(),
        headers={'Content-Type': 'application/json'},
    )


def _error_response(error: errors.HoneyportError) -> Response:
    """Return the response for an error, with its ``Retry-After`` if any."""
    response = _json({'error': error.to_dict()}, error.status)
    if error.retry_after is not None:
        response.headers['Retry-After'] = f'{error.retry_after:g}'
    return response


def _redirect(
    components: Components, request: httputil.HTTPServerRequest, leader: str
) -> Response:
    """Return a redirect to the leading replica.

    :param leader: its internal address, or ``''``
    :raises errors.ControlUnavailable: if no other leader is known
    """
    if not leader or leader == components.settings.internal_address:
        raise errors.ControlUnavailable(
            'no leader is known', retry_after=_RETRY_AFTER_S
        )
    host = leader.rpartition(':')[0]
    port = components.settings.operator_address.rpartition(':')[2]
    location = f'http://{host}:{port}{request.path}'
    return Response(status=307, headers={'Location': location})


_TASKS: set[asyncio.Task[None]] = set()
