"""Steps about bytes that arrive while the next attempt is being found."""

import asyncio
import contextlib
import re
from unittest import mock

import behave
from tornado import iostream

from features.steps import gateway_steps
from features.support import instances
from honeyport import errors
from honeyport.gateway import pool
from honeyport.gateway import prepared
from honeyport.gateway import silence_watch
from honeyport.policy import placement
from honeyport.policy import silence

_LIMIT_S = 0.01
_ANSWER_TIMEOUT_S = 4.0
# Longer than the timeout for the first byte, and shorter than the route's.
_OVER_MS = 1000


@behave.when(
    'a caller sends a request, and its bytes arrive as the next attempt is '
    'found'
)
def step_arrive_as_found(context):
    context.run(_send(context))


async def _send(context):
    fixture = context.fixture
    release = asyncio.Event()
    read = asyncio.Event()
    preparation = fixture.gateway._forwarder._next_attempts
    seek = preparation.seek
    finish_read = iostream.BaseIOStream._finish_read

    async def seek_until_read(exchange, state):
        obstacle = await seek(exchange, state)
        if obstacle is None:
            release.set()
            await read.wait()
        return obstacle

    def note_read(stream, *args):
        # The search goes on first, and then what waits for these bytes.
        if release.is_set():
            read.set()
        finish_read(stream, *args)

    async def is_closed(reader, limit_s):
        await release.wait()
        return False

    with (
        mock.patch.object(preparation, 'seek', seek_until_read),
        mock.patch.object(iostream.BaseIOStream, '_finish_read', note_read),
        mock.patch.object(instances, '_is_closed_within', is_closed),
    ):
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            context.response = await gateway_steps.send_request(fixture)


@behave.when('a caller leaves while the next attempt is sought')
def step_leave_while_sought(context):
    context.run(_end_while_sought(context, _OVER_MS * 2, is_leaving=True))


@behave.when('the time of a request is over while the next attempt is sought')
def step_over_while_sought(context):
    context.run(_end_while_sought(context, _OVER_MS, is_leaving=False))


async def _end_while_sought(context, deadline_ms, *, is_leaving):
    fixture = context.fixture
    sought = asyncio.Event()
    connections = fixture.gateway._pool
    acquire = connections.acquire

    async def acquire_late(instance):
        if fixture.script.arrivals:
            sought.set()
            await asyncio.sleep(_ANSWER_TIMEOUT_S)
        return await acquire(instance)

    with mock.patch.object(connections, 'acquire', acquire_late):
        request = asyncio.create_task(
            gateway_steps.send_request(fixture, deadline_ms=deadline_ms)
        )
        async with asyncio.timeout(_ANSWER_TIMEOUT_S / 2):
            await sought.wait()
            if is_leaving:
                request.cancel()
            await asyncio.wait([request])
            while fixture.gateway._forwarder.running:
                await asyncio.sleep(0.01)


@behave.then('all events of the stream are of one version')
def step_one_version(context):
    versions = set(re.findall(rb'of (v[0-9.]+)', context.response.body))
    assert len(versions) == 1, context.response


@behave.then('no instance has a request in flight')
def step_none_in_flight(context):
    async def wait():
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            while context.fixture.gateway._forwarder.running:
                await asyncio.sleep(0.01)

    context.run(wait())
    running = context.fixture.gateway._balancer.running
    assert not any(running.values()), running


@behave.given('a watch over an attempt that is silent')
def step_watch(context):
    context.timeouts = silence.Timeouts(_LIMIT_S, _LIMIT_S)


@behave.when('its {event} as the next attempt is found')
def step_end(context, event):
    context.ended_with = context.run(_end(context.timeouts, event))


async def _end(timeouts, event):
    loop = asyncio.get_running_loop()
    answer = loop.create_future()

    async def seek(state):
        if event == 'connection breaks':
            answer.set_exception(errors.BackendLost())
        elif event == 'answer arrives':
            answer.set_result(None)
        else:
            loop.call_soon(attempt.cancel)
        return None

    async def watch():
        async with silence_watch.SilenceWatch(timeouts, seek):
            await answer

    attempt = asyncio.create_task(watch())
    try:
        await attempt
    except (errors.BackendLost, asyncio.CancelledError, TimeoutError) as error:
        return type(error)


@behave.then('the attempt ends as {outcome}')
def step_ended(context, outcome):
    expected = {'given up': TimeoutError, 'cancelled': asyncio.CancelledError}
    assert context.ended_with is expected[outcome], context.ended_with


@behave.given('its instances pause for {pause:d} ms')
def step_pause(context, pause):
    patch = mock.patch.object(instances, 'PAUSE_S', pause / 1000)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when(
    'a connection that expires in {expiry:d} ms is held for an attempt that '
    'is not made'
)
def step_hold(context, expiry):
    context.run(_hold(context, expiry / 1000))


async def _hold(context, expiry_s):
    gateway = context.fixture.gateway
    (context.instance, *_) = gateway._balancer.expected_reachable('app')
    connection = await gateway._pool.acquire(context.instance)
    gateway._pool.release(connection, expiry_s / pool._PEER_TIMEOUT_RATIO)
    held = await gateway._pool.acquire(context.instance)
    assert held is connection
    unsent = prepared.PreparedAttempt(
        placement.Choice(context.instance, -1, 0, 0, 1),
        held,
        False,
        contextlib.AsyncExitStack(),
    )
    exchange = mock.Mock(tried=set())
    await gateway._forwarder._attempts.drop(exchange, unsent)


@behave.then('it is not used {later:d} ms later')
def step_expired(context, later):
    async def has_idle():
        await asyncio.sleep(later / 1000)
        connections = context.fixture.gateway._pool
        return connections.has_idle(context.instance, float('-inf'))

    assert not context.run(has_idle())
