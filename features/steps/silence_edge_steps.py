"""Steps about answers of silent instances in rare situations."""

import asyncio
import functools
import gc
import time
from unittest import mock
import zlib

import behave
from tornado import ioloop
from tornado import tcpclient

from features.steps import gateway_steps
from features.steps import silence_steps
from features.support import caller
from features.support import instances
from features.support import log_capture
from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport import errors
from honeyport.policy import obstacles
from honeyport.wire import honeyport_pb2 as pb

_CHUNK = b'y' * 200_000


@behave.when(
    'a caller sends a request, and bytes that are passed on arrive as its '
    'instance is given up'
)
def step_passed_on(context):
    fixture = context.fixture
    gateway = fixture.gateway
    attempts = gateway._forwarder._next_attempts
    seek, acquire = attempts.seek, gateway._pool.acquire
    connections = {}

    async def acquire_known(instance):
        connection = await acquire(instance)
        connections[instance.id] = connection
        return connection

    async def seek_and_read(exchange, state):
        if not exchange.is_response_begun:  # the requests arrive in turn
            return obstacles.Obstacle.NO_TIME_LEFT
        obstacle = await seek(exchange, state)
        if obstacle is None:
            _deliver(fixture, connections[exchange.instance_id])
        return obstacle

    limits = type(gateway._held_bytes._limits)
    with (
        mock.patch.object(attempts, 'seek', seek_and_read),
        mock.patch.object(gateway._pool, 'acquire', acquire_known),
        mock.patch.object(limits, 'is_under_pressure', lambda *args: True),
    ):
        silence_steps.step_send_logged(context)


def _deliver(fixture, connection):
    """Let bytes arrive in the same step of the event loop."""
    name = connection.instance.id
    for instance in fixture.instances:
        if instance.name == name:
            for writer in instance._writers:
                writer.write(_CHUNK)
    time.sleep(0.02)
    stream = connection.stream
    stream._handle_events(stream.fileno(), ioloop.IOLoop.READ)


@behave.then('the caller gets the whole answer of one instance')
def step_one_answer(context):
    response = context.response
    assert response.is_complete and response.body == instances.BODY, (
        response,
        context.lines,
    )


@behave.then('{count:d} requests arrived in all')
def step_arrived(context, count):
    arrivals = context.fixture.script.arrivals
    assert len(arrivals) == count, [arrival.step for arrival in arrivals]


@behave.when(
    'a caller sends a request while the other gateway refuses further ones'
)
def step_other_refuses(context):
    def refuse(fixture):
        fixture.other.gateway._forwarded._is_refusing = lambda: True

    silence_steps._send_during(context, refuse)


@behave.when(
    'a caller sends a request while no connection is made for {limit:d} ms'
)
def step_no_connection(context, limit):
    pool = context.fixture.gateway._pool
    acquire = pool.acquire

    async def refuse(until, instance):
        if asyncio.get_running_loop().time() < until:
            raise errors.ConnectionRefused('refused', retry_after=0.1)
        return await acquire(instance)

    def start(fixture):
        until = asyncio.get_running_loop().time() + limit / 1000
        patch = mock.patch.object(
            pool, 'acquire', functools.partial(refuse, until)
        )
        patch.start()
        context.add_cleanup(patch.stop)

    silence_steps._send_during(context, start)


@behave.then('its instance was avoided')
def step_avoided(context):
    first = context.fixture.script.arrivals[0].instance
    avoided = {
        fields['backend']
        for fields in silence_steps._lines(context, 'instance_avoided')
    }
    assert avoided == {first}, context.lines


@behave.then('its last line has no reason')
def step_no_reason(context):
    (fields,) = silence_steps._lines(context, *silence_steps._LAST_LINES)
    assert 'no_retry' not in fields, fields


def _configure_two_routes(fixture):
    fixture.version += 1
    routes = {
        name: model.Route(
            host=caller.HOST,
            prefix=prefix,
            semantics='idempotent',
            weights={'app': 1},
            timeout_ms=timeout_ms,
            attempts=2,
            objective_ms=objective_ms,
            gap_ms=100,
        )
        for name, prefix, timeout_ms, objective_ms in (
            ('r', '/r/', 1500, 200),
            ('s', '/s/', 5000, 3000),
        )
    }
    bundle = model.Bundle(
        version=fixture.version,
        signers=model.Signers(keys={}),
        services={'app': model.Service(kind=model.SERVICE)},
        backends={},
        accounts={'district': model.Account(keys=(caller.KEY,))},
        routes=routes,
    )
    entries = bundle_entries.to_entries(bundle)
    text = bundle_entries.canonical(entries)
    fixture.gateway.state.apply_config(
        pb.Config(
            version=fixture.version,
            digest=bundle_entries.digest(fixture.version, entries),
            snapshot=zlib.compress(text.encode()),
        )
    )


@behave.when(
    '2 callers send long requests of another route, and then one sends a '
    'request'
)
def step_long_requests(context):
    fixture = context.fixture

    async def send():
        _configure_two_routes(fixture)
        tasks = []
        for number in range(2):
            tasks.append(
                asyncio.create_task(
                    gateway_steps.send_request(
                        fixture, path='/s/x', request_id=f's-{number}'
                    )
                )
            )
            async with asyncio.timeout(1.0):
                while len(fixture.script.arrivals) <= number:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.4)
        response = await gateway_steps.send_request(fixture)
        long = await asyncio.gather(*tasks)
        assert all(answer.status == 200 for answer in long), long
        return response

    with log_capture.captured_events() as context.lines:
        context.response = context.run(send())


@behave.then('releasing an unused connection does not prolong it')
def step_not_prolonged(context):
    fixture = context.fixture
    pool = fixture.gateway._pool

    async def release_twice():
        (instance, *_) = fixture.gateway._balancer.expected_reachable('app')
        connection = await pool.acquire(instance)
        pool.release(connection, 1.0)
        before = connection.expires_at
        unsent = await pool.acquire(instance)
        assert unsent is connection
        await asyncio.sleep(0.1)
        pool.put_back(unsent)
        return before, unsent.expires_at

    before, after = context.run(release_twice())
    assert after <= before, after - before


@behave.given(
    'a gateway with one retry for {kind} requests whose instances {steps}'
)
def step_one_retry(context, kind, steps):
    context.fixture = gateway_steps.GatewayFixture(
        [step.strip() for step in steps.split(';')], extra=200.0
    )
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)

    async def remaining():
        budgets = context.fixture.gateway._forwarder._budgets
        now = asyncio.get_running_loop().time()
        return budgets.remaining('app', now)

    if hasattr(context.fixture.gateway._forwarder._budgets, 'remaining'):
        assert context.run(remaining()) == 1


@behave.when(
    'each instance has a stream, and those of v1 leave and are silent'
)
def step_version_leaves(context):
    fixture = context.fixture
    script = fixture.script
    for instance in fixture.instances:
        script.step_by_instance[instance.name] = (
            'stream with a pause'
            if instance.version == 'v1'
            else 'stream slowly'
        )

    async def send():
        tasks = []
        for number in range(3):
            tasks.append(
                asyncio.create_task(
                    gateway_steps.send_request(
                        fixture, request_id=f'q-{number}'
                    )
                )
            )
            async with asyncio.timeout(1.0):
                while len(script.arrivals) <= number:
                    await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        now = asyncio.get_running_loop().time()
        signals = fixture.gateway._balancer._signals
        for instance in fixture.instances:
            if instance.version == 'v1':
                signals._leaving_since[instance.name] = now
        return await asyncio.gather(*tasks)

    with log_capture.captured_events() as context.lines:
        context.responses = context.run(send())
    context.response = context.responses[0]


def _slow_connections(fixture, delay_s, skip):
    pool = fixture.gateway._pool
    acquire = pool.acquire
    calls = []

    async def acquire_slowly(instance):
        calls.append(instance.id)
        if len(calls) > skip:
            await asyncio.sleep(delay_s)
        return await acquire(instance)

    return mock.patch.object(pool, 'acquire', acquire_slowly)


@behave.when('a caller leaves while connections take {delay:d} ms')
def step_leaves(context, delay):
    fixture = context.fixture

    async def send():
        request = asyncio.create_task(gateway_steps.send_request(fixture))
        await asyncio.sleep(0.6)
        request.cancel()
        await asyncio.sleep(0.2)

    with (
        log_capture.captured_events() as context.lines,
        _slow_connections(fixture, delay / 1000, 1),
    ):
        context.run(send())


@behave.when(
    'a caller with a deadline of {limit:d} ms sends a request while '
    'connections take {delay:d} ms'
)
def step_deadline(context, limit, delay):
    fixture = context.fixture
    with (
        log_capture.captured_events() as context.lines,
        _slow_connections(fixture, delay / 1000, 1),
    ):
        context.response = context.run(
            gateway_steps.send_request(fixture, deadline_ms=limit)
        )


@behave.then('its last line has the code {code}')
def step_code(context, code):
    (fields,) = silence_steps._lines(context, *silence_steps._LAST_LINES)
    assert fields['code'] == code, fields


@behave.given('one of its instances never answers')
def step_never_answers(context):
    context.fixture.script.step_by_instance['i-1'] = 'silent'


@behave.when(
    '{count:d} callers send a request in turn, and their lines are kept'
)
def step_send_in_turn(context, count):
    context.responses = []
    with log_capture.captured_events() as context.lines:
        for number in range(count):
            context.responses.append(
                context.run(
                    gateway_steps.send_request(
                        context.fixture, request_id=f'q-{number}'
                    )
                )
            )


@behave.then('the silent instance got at most {count:d} requests')
def step_silent_got(context, count):
    arrivals = [
        arrival.instance for arrival in context.fixture.script.arrivals
    ]
    statuses = [response.status for response in context.responses]
    assert arrivals.count('i-1') <= count, (arrivals, statuses)


@behave.when('5 connections are made just as nobody waits for them any more')
def step_unawaited(context):
    fixture = context.fixture
    pool = fixture.gateway._pool
    connector = tcpclient._Connector
    connected = connector.on_connect_done
    tasks = []

    def cancel(self, *args):
        connected(self, *args)
        tasks[-1].cancel()

    async def connect():
        (instance, *_) = fixture.gateway._balancer.expected_reachable('app')
        with mock.patch.object(connector, 'on_connect_done', cancel):
            for _ in range(5):
                tasks.append(asyncio.create_task(pool.acquire(instance)))
                await asyncio.wait([tasks[-1]])
                assert tasks[-1].cancelled()
        tasks.clear()
        await asyncio.sleep(0.5)

    context.run(connect())


@behave.then('none of them stays open')
def step_none_open(context):
    gc.collect()
    context.run(asyncio.sleep(0.2))
    still_open = [
        writer
        for instance in context.fixture.instances
        for writer in instance._writers
        if not writer.is_closing()
    ]
    assert not still_open, len(still_open)


@behave.given('two of its instances resume 250 ms after the first one')
def step_resume_late(context):
    async def configure():
        context.fixture.timeout_ms = 6000
        context.fixture.configure('streaming resumable')

    context.run(configure())
    script = context.fixture.script
    for name in ('i-2', 'i-3'):
        script.step_by_instance[name] = 'stream slowly after 850 ms'


@behave.given(
    'each of its instances has 1 slot, and one is silent after its first event'
)
def step_one_slot(context):
    fixture = context.fixture

    async def configure():
        fixture.slots = 1
        fixture.timeout_ms = 4000
        fixture.configure('streaming resumable')
        fixture.apply_instances()

    context.run(configure())
    fixture.script.step_by_instance['i-1'] = 'stream and wait'


@behave.when(
    'a caller has its stream there while 4 others send one stream after the '
    'other'
)
def step_busy(context):
    fixture = context.fixture
    instance = fixture.instances[0]

    async def repeat(number):
        while True:
            await gateway_steps.send_request(fixture, request_id=f'o-{number}')

    async def send():
        # The first caller gets the silent instance; the others do not.
        leaving = tuple(i.name for i in fixture.instances[1:])
        fixture.apply_instances(gone=leaving)
        request = asyncio.create_task(gateway_steps.send_request(fixture))
        async with asyncio.timeout(1.0):
            while not fixture.script.arrivals:
                await asyncio.sleep(0.005)
        fixture.apply_instances()
        health = fixture.gateway._balancer._health
        health.record_failure(
            instance.name,
            asyncio.get_running_loop().time() + 60,
            connected=True,
            confirmed=True,
        )
        others = []
        for number in range(4):
            others.append(asyncio.create_task(repeat(number)))
            await asyncio.sleep(0.15)
        try:
            return await request
        finally:
            for task in others:
                task.cancel()

    with log_capture.captured_events() as context.lines:
        context.response = context.run(send())


@behave.then('its stream is whole')
def step_whole(context):
    response = context.response
    assert response.is_complete, response
    assert response.body.count(b'id: ') == instances.EVENTS, response
