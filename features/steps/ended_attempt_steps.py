"""Steps about what happens while an answer is under way."""

import asyncio
from unittest import mock

import behave
from tornado import httputil

from features.steps import gateway_steps
from features.support import caller
from features.support import instances
from honeyport.bundle import model
from honeyport.gateway import attempt
from honeyport.settings import roles
from honeyport.wire import honeyport_pb2 as pb

_ARRIVAL_TIMEOUT_S = 0.5
_BEGUN_S = 0.05  # for the first event
_SHORT_MS = 100
_SMALL_BYTES = 1
_STALLED_S = 60.0
_REST_S = 2.0
_HELD_MB = 0.001
_ANSWER_TIMEOUT_S = 8.0


@behave.given('the time limit of its route is {limit:d} ms')
def step_time_limit(context, limit):
    async def configure():
        context.fixture.timeout_ms = limit
        context.fixture.configure(context.fixture.kind)

    context.run(configure())


@behave.given(
    'a gateway that holds little, for {kind} requests whose instances {steps}'
)
def step_little_memory(context, kind, steps):
    context.fixture = gateway_steps.GatewayFixture(
        [step.strip() for step in steps.split(';')], held_max_mb=_HELD_MB
    )
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.when('its {event} while a caller waits for its answer')
@behave.when('the {event} while a caller waits for its answer')
def step_while_waiting(context, event):
    context.run(_send_during(context, _EVENTS[event]))


async def _send_during(context, change):
    fixture = context.fixture
    request = asyncio.create_task(
        gateway_steps.send_request(fixture, deadline_ms=_deadline_ms(fixture))
    )
    async with asyncio.timeout(_ARRIVAL_TIMEOUT_S):
        while not fixture.script.arrivals:
            await asyncio.sleep(0.01)
    await asyncio.sleep(_BEGUN_S)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    change(fixture)
    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        try:
            context.response = await request
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            context.response = error
    context.took_s = loop.time() - started_at


def _deadline_ms(fixture):
    return fixture.timeout_ms * 2


def _shorten_time_limit(fixture):
    fixture.timeout_ms = _SHORT_MS
    fixture.configure(fixture.kind)
    fixture.gateway.apply_state()


def _configure(**options):
    def change(fixture):
        fixture.configure(fixture.kind, **options)
        fixture.gateway.apply_state()

    return change


def _busy(fixture):
    return fixture.script.arrivals[0].instance


def _unlist(fixture):
    fixture.apply_instances(gone=(_busy(fixture),))


def _unlist_all(fixture):
    names = tuple(instance.name for instance in fixture.instances)
    fixture.apply_instances(gone=names)


def _leave(fixture):
    fixture.apply_instances(leaving=(_busy(fixture),))


def _rest(fixture):
    """Let the instance reject another request, with a Retry-After."""
    gateway = fixture.gateway
    (instance,) = (
        instance
        for instance in gateway._balancer.expected_reachable('app')
        if instance.id == _busy(fixture)
    )
    headers = httputil.HTTPHeaders({'Retry-After': str(_REST_S)})
    head = attempt.Head(503, 'Service Unavailable', headers)
    gateway._signals.observe(instance, head, asyncio.get_running_loop().time())
    assert gateway._signals.in_backoff == [instance.id]


def _refuse_connections(fixture):
    for instance in fixture.instances:
        if instance.name == _busy(fixture):
            instance.refuse_connections()


def _stop(fixture):
    fixture.stopping = asyncio.create_task(fixture.tree.stop())


def _end_lease(fixture):
    fixture.gateway.state._lease_until = float('-inf')
    fixture.gateway.state.apply_presence(pb.Presence())
    fixture.gateway.apply_state()


def _run_short(fixture):
    loop = asyncio.get_running_loop()
    account = fixture.gateway._held_bytes
    account.change(int(_HELD_MB * 1e6))
    account.cut_off_stalled(loop.time() + _STALLED_S)


_EVENTS = {
    'route is removed': _configure(prefix='/other/'),
    'key is revoked': _configure(keys=('another',)),
    'service changes': _configure(service='another'),
    'time limit is shortened': _shorten_time_limit,
    'idle limit is shortened': _configure(
        limits=model.RequestLimits(header_ms=_SHORT_MS, idle_ms=_SHORT_MS)
    ),
    'size limits are lowered': _configure(
        limits=model.RequestLimits(
            header_bytes=_SMALL_BYTES, body_bytes=_SMALL_BYTES
        )
    ),
    'instance is not listed': _unlist,
    'instance is leaving': _leave,
    'instance asks for a rest': _rest,
    'instance refuses others': _refuse_connections,
    'service is listed as empty': _unlist_all,
    'gateway gets SIGTERM': _stop,
    'lease ends': _end_lease,
    'memory is short': _run_short,
}


@behave.then('the caller has the whole answer of one instance')
def step_whole(context):
    response = context.response
    assert response.status == 200 and response.is_complete, response
    if response.body != instances.BODY:
        gateway_steps.step_events(context)
    arrivals = context.fixture.script.arrivals
    assert len(arrivals) == 1, [arrival.instance for arrival in arrivals]


@behave.then(
    'the answer ends {first:g} to {last:g} s after SIGTERM, and not as if it '
    'were whole'
)
def step_ended(context, first, last):
    assert first < context.took_s < last, context.took_s
    response = context.response
    is_broken = isinstance(response, Exception) or not response.is_complete
    assert is_broken, response


@behave.when(
    'a caller sends a body of {size:d} bytes, which its instance reads after '
    '{pause:g} s'
)
def step_late_body(context, size, pause):
    with mock.patch.object(instances.Instance, '_read', _reading_after(pause)):
        context.response = context.run(_send_body(context.fixture, size))


def _reading_after(pause_s):
    read = instances.Instance._read

    class Late:
        """Reads a head at once, and the body after a pause."""

        def __init__(self, reader):
            self.readuntil = reader.readuntil
            self._reader = reader

        async def readexactly(self, size):
            await asyncio.sleep(pause_s)
            return await self._reader.readexactly(size)

    async def read_late(instance, reader, connection):
        return await read(instance, Late(reader), connection)

    return read_late


async def _send_body(fixture, size):
    request = caller.request(deadline_ms=_deadline_ms(fixture))
    head, _, _ = request.partition(b'Content-Length')
    reader, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    try:
        writer.write(head + b'Content-Length: %d\r\n\r\n' % size)
        writer.write(b'x' * size)
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            return await caller.read(reader)
    finally:
        writer.close()
