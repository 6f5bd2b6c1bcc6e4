"""Steps for crowds of callers that do not behave."""

import asyncio
import resource
import signal

import behave

from features.steps import platform_steps
from features.support import crowd
from features.support import platform as platforms
from honeyport.settings import roles

_READY_TIMEOUT_S = 20.0
_ANSWER_TIMEOUT_S = 4.0
_RETRY_PAUSE_S = 0.5
# Requests of one ordinary caller: it comes back after a refusal.
_ATTEMPTS = 6
_POLL_S = 0.1
_ROUTE_TIMEOUT_MS = 60_000
_DEADLINE_MS = 60_000
_EXIT_TIMEOUT_S = 9.0
_METRICS_PORT = 9464
_BODY_BYTES = 4_194_304
_OPERATOR_BODY_BYTES = 10 * crowd.MB
_ROUTER_BODY_BYTES = 15 * crowd.MB
_ROUTER_PATH = '/services/field-app/reports'
_KEYS = {'with a key': platforms.KEY, 'without a key': 'unknown'}
# Address to the index of its port and the path of a legal request.
_PAGES = {
    'readiness': (1, '/api/readiness'),
    'operators': (2, '/api/configuration/replace'),
    'directory': (3, '/api/resolution'),
}


@behave.given(
    'a platform under pressure whose machines have {memory:d} MB and '
    '{descriptors:d} file descriptors'
)
def step_platform_under_pressure(context, memory, descriptors):
    _start_platform(context, memory, descriptors, contracts='pressure')


@behave.given(
    'a platform whose machines have {memory:d} MB and {descriptors:d} file '
    'descriptors'
)
def step_platform(context, memory, descriptors):
    _start_platform(context, memory, descriptors)


def _start_platform(context, memory, descriptors, contracts=''):
    context.platform = platform = platforms.Platform(context.folder)
    platform.contracts = contracts
    platform.memory_mb = memory
    platform.file_descriptors = descriptors
    context.run(platform.start())
    context.to_stop.append(platform.stop)
    [route] = platforms.CONFIGURATION['routes']
    changes = {
        'version': 8,
        'routes': [{**route, 'timeout_ms': _ROUTE_TIMEOUT_MS}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': _BODY_BYTES,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 60000,
        },
    }
    assert context.run(platform.replace_configuration(changes)) == 200
    context.node = platform.node(1)
    context.pid = context.node.process.pid
    context.memory_mb = memory
    context.descriptors = descriptors
    context.ordinary = _gateway_requests(platform, context.node)
    context.run(_answer(context.ordinary))


@behave.given(
    'a fleet whose router has {memory:d} MB for requests that it has not '
    'read, and {descriptors:d} file descriptors'
)
def step_fleet(context, memory, descriptors):
    world = context.world
    world.start_control(1)
    world.start_service('service-1')
    world.start_router('router-1', held_max_mb=memory)
    context.pid = world.processes['router-1'].pid
    resource.prlimit(
        context.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors)
    )
    context.run(world.roll_out())
    context.memory_mb = 160
    context.descriptors = descriptors
    context.ordinary = _router_requests(world)
    context.run(_answer(context.ordinary))


@behave.when(
    '{count:d} callers {key} send {kind} to the gateway of instance 1'
)
def step_crowd_at_gateway(context, count, key, kind):
    target = crowd.Target(
        host=context.node.ip,
        port=context.platform.ports[0],
        path='/app/x',
        body_bytes=_BODY_BYTES,
        headers=_caller_headers(_KEYS[key]),
    )
    _come(context, kind, target, count)


@behave.when(
    '{count:d} callers {key} send {kind} to the gateway of instance 1, '
    '{times:d} times'
)
def step_crowds(context, count, key, kind, times):
    for _ in range(times):
        step_crowd_at_gateway(context, count, key, kind)
        context.run(context.crowd.leave())


@behave.when(
    '{count:d} callers send {kind} to the {page} address of instance 1'
)
def step_crowd_at_page(context, count, kind, page):
    platform = context.platform
    index, path = _PAGES.get(page, (0, '/metrics'))
    target = crowd.Target(
        host=context.node.ip,
        port=platform.ports[index] if index else _METRICS_PORT,
        path=path,
        body_bytes=_OPERATOR_BODY_BYTES,
        headers={'Host': 'any'},
    )
    _come(context, kind, target, count)


@behave.when('{count:d} callers send {kind} to the router')
def step_crowd_at_router(context, count, kind):
    host, port = roles.split_address(context.world.address('router-1'))
    target = crowd.Target(
        host=host,
        port=port,
        path=_ROUTER_PATH,
        body_bytes=_ROUTER_BODY_BYTES,
        headers=_router_headers(),
    )
    _come(context, kind, target, count)


@behave.when('the crowd has left')
def step_leave(context):
    context.run(context.crowd.leave())


@behave.when('instance 1 gets SIGTERM beside the crowd')
def step_terminate(context):
    context.platform.send_signal(context.node, signal.SIGTERM)


@behave.then('ordinary requests are answered beside the crowd')
@behave.then('ordinary requests are answered')
def step_ordinary(context):
    context.run(_answer(context.ordinary))


@behave.then('the process has stayed within its memory and descriptors')
def step_within_limits(context):
    memory_mb = crowd.read_memory_mb(context.pid)
    assert memory_mb < context.memory_mb, f'{memory_mb:.0f} MB'
    descriptors = crowd.count_descriptors(context.pid)
    assert descriptors < context.descriptors, descriptors


@behave.then('no request that was refused has run')
def step_not_run(context):
    ran = set(context.platform.executed_ids) & context.crowd.refused_ids
    assert not ran, ran


@behave.then('the gateway holds nothing any more')
def step_nothing_held(context):
    async def holds_nothing():
        response = await context.platform.fetch(
            f'http://{context.node.ip}:{_METRICS_PORT}/metrics'
        )
        return response is not None and (
            b'\nhoneyport_held_bytes 0.0' in response.body
        )

    context.run(platform_steps.wait_until(holds_nothing, _READY_TIMEOUT_S))


@behave.then('instance 1 ends in time with code 0')
def step_ends(context):
    code = context.node.process.wait(_EXIT_TIMEOUT_S)
    assert code == 0, code


def _come(context, kind, target, count):
    context.crowd = crowd.Crowd(kind, target, count)
    context.to_stop.append(context.crowd.leave)
    context.run(context.crowd.come())


def _caller_headers(key):
    return {
        'Host': 'yard.example',
        'Authorization': f'Bearer {key}',
        'Attempt-Id': '{id}',
        'Deadline-Ms': str(_DEADLINE_MS),
    }


def _router_headers():
    return {
        'Host': 'any',
        'Honeyport-Account': 'district-1',
        'X-Request-Id': '{id}',
    }


def _gateway_requests(platform, node):
    """Return ordinary requests to all addresses of an instance."""
    requests = [
        (node.ip, platform.ports[0], _ordinary(_caller_headers, length))
        for length in (None, 1000, _BODY_BYTES)
    ]
    paths = ['/api/readiness', '/api/configuration/read']
    paths.append('/api/resolution?region=hcm&zone=thu-duc&name=yard.example')
    for index, path in enumerate(paths, 1):
        head = f'GET {path} HTTP/1.1\r\nHost: any\r\n\r\n'
        requests.append((node.ip, platform.ports[index], _fixed(head)))
    return requests


def _ordinary(headers, length):
    """Return a function that makes a request with a new id."""

    def make(number):
        fields = {**headers(platforms.KEY), 'Deadline-Ms': '4000'}
        method = 'GET' if length is None else 'POST'
        lines = [
            f'{method} /app/x HTTP/1.1',
            *(
                f'{name}: {value.format(id=f"ordinary-{length}-{number}")}'
                for name, value in fields.items()
            ),
        ]
        if length is not None:
            lines.append(f'Content-Length: {length}')
        head = '\r\n'.join([*lines, '', '']).encode()
        return head + b'x' * (length or 0)

    return make


def _fixed(head):
    return lambda number: head.encode()


def _router_requests(world):
    host, port = roles.split_address(world.address('router-1'))

    def make(number):
        body = b'{"text": "a filing"}'
        head = (
            f'POST {_ROUTER_PATH} HTTP/1.1\r\n'
            'Host: any\r\n'
            'Honeyport-Account: district-1\r\n'
            f'X-Request-Id: ordinary-{number}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body

    return [(host, port, make)]


async def _answer(requests):
    """Send each request until it is answered."""
    for host, port, make in requests:
        statuses = []
        for number in range(_ATTEMPTS):
            status = await crowd.answer_status(
                host, port, make(number), _ANSWER_TIMEOUT_S
            )
            statuses.append(status)
            if status in (200, 307):
                break
            await asyncio.sleep(_RETRY_PAUSE_S)
        else:
            raise AssertionError(f'port {port}: {statuses}')
