"""The HTTP API for the platform, its callers and its operators.

Each handler is registered with :func:`endpoint`.
"""

import asyncio
import collections.abc
import contextlib
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

from honeyport.control import leader_wait
from honeyport import errors
from honeyport.gateway import daemon as gateway_daemon
from honeyport.ingress import guard
from honeyport.ingress import held_bytes
from honeyport import machine
from honeyport.platform import boot
from honeyport.platform import configuration
from honeyport.platform import operator_log
from honeyport.platform import request_reader
from honeyport.policy import connection_room
from honeyport.policy import held_bytes as held_bytes_policy
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

if typing.TYPE_CHECKING:  # imported only where there is a replica
    from honeyport.platform import replica

# The body of a request, unless its endpoint takes larger ones.
_MAX_BODY_BYTES = 64 * 1024
_MAX_CONFIGURATION_BYTES = 32 * 1024 * 1024
_MAX_HEADER_BYTES = 16 * 1024
_HEADER_TIMEOUT_S = 10.0
# A large configuration over a slow link.
_BODY_TIMEOUT_S = 120.0
_IDLE_TIMEOUT_S = 120.0
# The paths of operators' requests: only the leader serves them.
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
    """The response to a request.

    :ivar code: the code of the error that it reports, or ``''``
    """

    status: int = 200
    body: bytes = b''
    headers: dict[str, str] = attrs.field(factory=dict)
    code: str = ''


# Takes the components, the request, and the path's parameters as keywords.
Handler = collections.abc.Callable[..., collections.abc.Awaitable[Response]]
_ENDPOINTS: dict[re.Pattern[str], dict[str, Handler]] = {}
# Method and path of the endpoints that take large bodies, and their maximum.
_LARGE_BODIES: dict[tuple[str, str], int] = {}
# A parameter in the path of an endpoint.
_PARAMETER = re.compile(r'{(\w+)}')
_DIGITS = re.compile(r'[0-9]{1,18}')


def endpoint(
    method: str, path: str, max_body_bytes: int = _MAX_BODY_BYTES
) -> collections.abc.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of an endpoint.

    :param path: its path; a segment ``{name}`` is passed as that keyword
    :param max_body_bytes: maximum length of a request's body; other than the
        default only if the path has no parameters
    """
    pattern = re.compile(_PARAMETER.sub(r'(?P<\1>[^/]+)', path))
    if max_body_bytes != _MAX_BODY_BYTES:
        _LARGE_BODIES[method, path] = max_body_bytes

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


@endpoint('POST', '/api/configuration/replace', _MAX_CONFIGURATION_BYTES)
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

    :raises errors.NotLeader: without a replica
    """
    if components.operator_services is None:
        raise errors.NotLeader()
    return components.operator_services


def serve(
    components: Components,
    resources: machine.Resources,
    tree: supervisor.Supervisor,
) -> list[httpserver.HTTPServer]:
    """Start an HTTP server on each address; return the servers.

    :param tree: runs the account of the bodies that they receive
    """
    settings = components.settings
    addresses = {
        settings.readiness_address,
        settings.directory_address,
        settings.operator_address,
        settings.metrics_address,
    }
    readers = request_reader.RequestReaders(
        lambda request: _Exchange(components, request)
    )
    account = held_bytes.HeldBytes(
        held_bytes_policy.max_held_bytes(resources.memory_bytes),
        components.counters,
        name='operator_held_bytes',
    )
    tree.start_task('operator-held-bytes', account.run)
    servers: list[httpserver.HTTPServer] = []
    for address in sorted(addresses):
        host, port = roles.split_address(address)
        server = guard.create_server(
            readers,
            account,
            max_bytes=_max_body_bytes,
            body_timeout_s=_BODY_TIMEOUT_S,
            header_timeout_s=_HEADER_TIMEOUT_S,
            idle_timeout_s=_IDLE_TIMEOUT_S,
            max_header_bytes=_MAX_HEADER_BYTES,
            parser_max_bytes=_MAX_CONFIGURATION_BYTES,
            max_connections=connection_room.max_for_page(
                resources.file_descriptors
            ),
            counters=components.counters,
        )
        server.listen(port, host)
        servers.append(server)
    return servers


def _max_body_bytes(start_line: httputil.RequestStartLine) -> int:
    """Return how many bytes the body of a request may have."""
    path = start_line.path.partition('?')[0]
    return _LARGE_BODIES.get((start_line.method, path), _MAX_BODY_BYTES)


class _Exchange:
    """One request and its response."""

    def __init__(
        self, components: Components, request: httputil.HTTPServerRequest
    ) -> None:
        self._components = components
        self._request = request
        self._log: operator_log.RequestLog | None = None
        if _is_operators(request):
            self._log = operator_log.RequestLog(request)
        self._has_responded = False

    async def on_headers(self) -> None:
        """Send the response now if it does not depend on the body."""
        response = await respond_early(self._components, self._request)
        if response is None:
            return
        self._has_responded = True
        if self._log is not None:
            self._log.record_early_answer(_to_answer(response))
        _write(self._request, response)

    def on_data(self, chunk: bytes) -> bool:
        """Record a part of the body; return whether to keep it."""
        if self._log is not None:
            self._log.record_data(chunk)
        return not self._has_responded

    def on_request(self) -> None:
        """Start to handle the complete request."""
        if self._log is not None:
            self._log.record_received()
        if self._has_responded:
            # Not earlier: the part of the body that is not read would reset
            # the connection, and the response could be lost.
            _connection(self._request).finish()
            return
        task = asyncio.create_task(self._handle())
        _TASKS.add(task)
        task.add_done_callback(_TASKS.discard)

    def on_incomplete(self, received_bytes: int) -> None:
        """Record that the request was not received completely."""
        if self._log is not None:
            self._log.record_incomplete(received_bytes)

    async def _handle(self) -> None:
        response = await respond(self._components, self._request)
        if self._log is not None:
            self._log.record_answer(
                _to_answer(response), disconnected=_is_closed(self._request)
            )
        _write(self._request, response)
        _connection(self._request).finish()


def _to_answer(response: Response) -> operator_log.Answer:
    return operator_log.Answer(
        status=response.status,
        code=response.code,
        location=response.headers.get('Location', ''),
    )


def _is_operators(request: httputil.HTTPServerRequest) -> bool:
    return request.path.startswith(_OPERATOR_PATHS)


def _is_closed(request: httputil.HTTPServerRequest) -> bool:
    """Whether the client has closed the connection."""
    connection = _connection(request)
    return connection.stream is None or connection.stream.closed()


def _connection(
    request: httputil.HTTPServerRequest,
) -> http1connection.HTTP1Connection:
    return typing.cast(http1connection.HTTP1Connection, request.connection)


async def respond_early(
    components: Components, request: httputil.HTTPServerRequest
) -> Response | None:
    """Return the response to a request whose body does not matter, if any.

    Where another instance leads, or none, operators do not have to send the
    body of their request first.

    :param request: the request, without its body
    """
    if not _is_operators(request) or not _has_valid_length(request):
        return None
    # An unknown path is answered after the body.
    with contextlib.suppress(errors.UnknownRoute, errors.WrongMethod):
        _find_handler(request)
        try:
            leader = await _start_wait(components).leader()
        except errors.ControlUnavailable as error:
            return _error_response(error)
        if leader != components.settings.internal_address:
            return _redirect(components, request, leader)
    return None


def _has_valid_length(request: httputil.HTTPServerRequest) -> bool:
    """Whether the body is read without an error or an interim response."""
    if 'Transfer-Encoding' in request.headers or 'Expect' in request.headers:
        return False
    length = request.headers.get('Content-Length', '0')
    return (
        _DIGITS.fullmatch(length) is not None
        and int(length) <= _MAX_CONFIGURATION_BYTES
    )


async def respond(
    components: Components, request: httputil.HTTPServerRequest
) -> Response:
    """Return the response to a request, or a redirect to the leader."""
    try:
        handler = _find_handler(request)
        return await _call(components, request, handler)
    except errors.HoneyportError as error:
        return _error_response(error)
    except Exception as error:
        logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
        return _error_response(errors.HoneyportError())


async def _call(
    components: Components,
    request: httputil.HTTPServerRequest,
    handler: Handler,
) -> Response:
    """Return a handler's response, or a redirect to the leader.

    :raises errors.ControlUnavailable: if no leader becomes known in time
    """
    if not _is_operators(request):
        return await handler(components, request)
    wait = _start_wait(components)
    while True:
        # Before the handler, which decodes the request.
        leader = await wait.leader()
        if leader != components.settings.internal_address:
            return _redirect(components, request, leader)
        # Leadership may end before the request is appended to the log.
        with contextlib.suppress(errors.NotLeader):
            return await handler(components, request)


def _start_wait(components: Components) -> leader_wait.LeaderWait:
    return leader_wait.LeaderWait(
        lambda: _find_leader(components), _leader_silence_s(components)
    )


def _find_leader(components: Components) -> str:
    """Return the internal address of the leader, or ``''``."""
    own_address = components.settings.internal_address
    services = components.operator_services
    if services is not None and services.leads:
        return own_address
    leader = services.leader if services is not None else ''
    leader = leader or components.gateway.leader
    # A replica that lost its lease may still name itself.
    return '' if leader == own_address else leader


def _leader_silence_s(components: Components) -> float:
    """Return the seconds since this instance had contact to a leader."""
    silence_s = components.gateway.leader_silence_s
    if components.operator_services is not None:
        silence_s = min(
            silence_s, components.operator_services.leader_silence_s
        )
    return silence_s


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


def _write(request: httputil.HTTPServerRequest, response: Response) -> None:
    connection = _connection(request)
    headers = httputil.HTTPHeaders(response.headers)
    headers['Content-Length'] = str(len(response.body))
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1', response.status, http.HTTPStatus(response.status).phrase
    )
    future = connection.write_headers(
        start_line, headers, response.body or None
    )
    future.add_done_callback(_ignore_error)


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
    return attrs.evolve(response, code=error.code)


def _redirect(
    components: Components, request: httputil.HTTPServerRequest, leader: str
) -> Response:
    """Return a redirect to the leading replica.

    :param leader: its internal address
    """
    host = leader.rpartition(':')[0]
    port = components.settings.operator_address.rpartition(':')[2]
    location = f'http://{host}:{port}{request.path}'
    return Response(status=307, headers={'Location': location})


_TASKS: set[asyncio.Task[None]] = set()
