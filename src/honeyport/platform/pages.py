"""The calls that the platform, its callers and its operators make.

Each call is a function under :func:`page`; it translates and asks the
product.
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
from tornado import httpserver
from tornado import httputil

from honeyport import errors
from honeyport.gateway import daemon as gateway_daemon
from honeyport.platform import boot
from honeyport.platform import configuration
from honeyport.settings import roles
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

if typing.TYPE_CHECKING:  # imported where there is a replica alone
    from honeyport.platform import replica

_LARGEST_BYTES = 32 * 1024 * 1024
# When an operator may ask again while no leader is known, in seconds.
_ELECTION_S = 0.5


@attrs.frozen(kw_only=True)
class Parts:
    """What the calls work with; no desks on instances without a disk."""

    settings: boot.Boot
    gateway: gateway_daemon.Gateway
    counters: metrics.Metrics
    desks: 'replica.Desks | None' = None


@attrs.frozen(kw_only=True)
class Reply:
    """What a call is answered with."""

    status: int = 200
    body: bytes = b''
    headers: dict[str, str] = attrs.field(factory=dict)


# Takes the parts, the request, and what its path names as keywords.
Call = collections.abc.Callable[..., collections.abc.Awaitable[Reply]]
_PAGES: dict[re.Pattern[str], dict[str, Call]] = {}
# In the path of a page: a part of the path that differs from call to call.
_NAMED = re.compile(r'{(\w+)}')


def page(method: str, path: str) -> collections.abc.Callable[[Call], Call]:
    """Enter a function that answers a call.

    :param path: a part ``{name}`` of it is passed on as that keyword
    """
    pattern = re.compile(_NAMED.sub(r'(?P<\1>[^/]+)', path))

    def decorate(call: Call) -> Call:
        _PAGES.setdefault(pattern, {})[method] = call
        return call

    return decorate


@page('GET', '/api/readiness')
async def _ready(parts: Parts, request: httputil.HTTPServerRequest) -> Reply:
    reason = parts.gateway.not_ready_reason
    return Reply(status=503 if reason else 200, body=reason.encode())


@page('GET', '/metrics')
async def _metrics(parts: Parts, request: httputil.HTTPServerRequest) -> Reply:
    return Reply(body=parts.counters.export())


@page('GET', '/api/resolution')
async def _resolve(parts: Parts, request: httputil.HTTPServerRequest) -> Reply:
    domain = request.arguments.get('zone', [b''])[-1].decode('utf-8')
    found = parts.gateway.addresses(domain)
    if not found:
        raise errors.NotReady('no gateway is known', retry_after=1.0)
    ttl_s = min(parts.gateway.list_lifetime_s, parts.settings.ttl_s)
    return _json({'addresses': found, 'ttl_s': ttl_s})


@page('POST', '/api/configuration/replace')
async def _replace(parts: Parts, request: httputil.HTTPServerRequest) -> Reply:
    try:
        bundle = configuration.decode(
            request.body, parts.settings.revocation_s
        )
    except errors.BundleInvalid as error:
        logs.emit(events.REPLACEMENT_REFUSED, detail=error.detail)
        raise
    await _desks(parts).configurations.replace(bundle, request.body)
    return _json({'version': bundle.version})


@page('GET', '/api/configuration/read')
async def _read(parts: Parts, request: httputil.HTTPServerRequest) -> Reply:
    document = _desks(parts).configurations.read()
    return Reply(body=document, headers={'Content-Type': 'application/json'})


@page('POST', '/api/evacuations/{domain}/begin')
async def _evacuate(
    parts: Parts, request: httputil.HTTPServerRequest, domain: str
) -> Reply:
    return await _order_evacuation(parts, domain, ends=False)


@page('POST', '/api/evacuations/{domain}/finish')
async def _take_back(
    parts: Parts, request: httputil.HTTPServerRequest, domain: str
) -> Reply:
    return await _order_evacuation(parts, domain, ends=True)


async def _order_evacuation(parts: Parts, domain: str, *, ends: bool) -> Reply:
    """Begin or end an evacuation.

    :raises errors.UnknownDomain: if the settings name no such domain
    """
    if domain not in parts.settings.regions:
        raise errors.UnknownDomain(f'no failure domain {domain!r}')
    desk = _desks(parts).evacuations
    await desk.order(domain, ends=ends)
    return _json({'evacuated': sorted(desk.evacuated)})


def _desks(parts: Parts) -> 'replica.Desks':
    """Return where operators ask the replica beside us.

    :raises errors.NotLeader: if there is none; what asks is sent on
    """
    if parts.desks is None:
        raise errors.NotLeader(leader=parts.gateway.leader)
    return parts.desks


def serve(parts: Parts) -> list[httpserver.HTTPServer]:
    """Answer calls on all the addresses that the platform names."""
    settings = parts.settings
    wanted = {
        settings.readiness,
        settings.directory,
        settings.operators,
        settings.metrics,
    }
    servers = []
    for address in sorted(wanted):
        host, port = roles.split(address)
        server = httpserver.HTTPServer(
            lambda request: _start(parts, request),
            max_body_size=_LARGEST_BYTES,
            max_buffer_size=_LARGEST_BYTES,
        )
        server.listen(port, host)
        servers.append(server)
    return servers


def _start(parts: Parts, request: httputil.HTTPServerRequest) -> None:
    task = asyncio.create_task(_answer(parts, request))
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)


async def _answer(parts: Parts, request: httputil.HTTPServerRequest) -> None:
    try:
        reply = await _reply(parts, request)
    except errors.HoneyportError as error:
        reply = _failure(error)
    except Exception as error:
        logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
        reply = _failure(errors.HoneyportError())
    _write(request, reply)


async def _reply(parts: Parts, request: httputil.HTTPServerRequest) -> Reply:
    """Answer a call, or send whoever makes it to the leading replica."""
    call = _find(request)
    try:
        return await call(parts, request)
    except errors.NotLeader as error:
        return _redirect(parts, request, error.leader or parts.gateway.leader)


def _find(request: httputil.HTTPServerRequest) -> Call:
    """Return the function that answers a call, with what its path names.

    :raises errors.UnknownRoute: if there is none
    :raises errors.WrongMethod: if there is one for other methods alone
    """
    for pattern, calls in _PAGES.items():
        match = pattern.fullmatch(request.path)
        if match is None:
            continue
        call = calls.get(request.method or '')
        if call is None:
            raise errors.WrongMethod(
                f'{request.path} takes {", ".join(calls)}'
            )
        named = {
            name: urllib.parse.unquote(text)
            for name, text in match.groupdict().items()
        }
        return functools.partial(call, **named)
    raise errors.UnknownRoute(f'no call {request.path}')


def _write(request: httputil.HTTPServerRequest, reply: Reply) -> None:
    connection = typing.cast(httputil.HTTPConnection, request.connection)
    headers = httputil.HTTPHeaders(reply.headers)
    headers['Content-Length'] = str(len(reply.body))
    line = httputil.ResponseStartLine(
        'HTTP/1.1', reply.status, http.HTTPStatus(reply.status).phrase
    )
    future = connection.write_headers(line, headers, reply.body or None)
    future.add_done_callback(_forget)
    connection.finish()


def _forget(future: 'asyncio.Future[None]') -> None:
    """Take the result of a write: who asked may have left."""
    if not future.cancelled():
        future.exception()


def _json(tree: typing.Any, status: int = 200) -> Reply:
    return Reply(
        status=status,
        body=json.dumps(tree).encode(),
        headers={'Content-Type': 'application/json'},
    )


def _failure(error: errors.HoneyportError) -> Reply:
    """Return the answer to a call that failed, with when to ask again."""
    reply = _json({'error': error.to_dict()}, error.status)
    if error.retry_after is not None:
        reply.headers['Retry-After'] = f'{error.retry_after:g}'
    return reply


def _redirect(
    parts: Parts, request: httputil.HTTPServerRequest, leader: str
) -> Reply:
    """Send an operator to the leading replica.

    :param leader: its address, or ``''``
    :raises errors.ControlUnavailable: if none is known
    """
    if not leader or leader == parts.settings.internal:
        raise errors.ControlUnavailable(
            'no leader is known', retry_after=_ELECTION_S
        )
    host = leader.rpartition(':')[0]
    port = parts.settings.operators.rpartition(':')[2]
    location = f'http://{host}:{port}{request.path}'
    logs.emit(events.OPERATOR_REDIRECTED, leader=leader, path=request.path)
    return Reply(status=307, headers={'Location': location})


_TASKS: set[asyncio.Task[None]] = set()
