"""Steps about what instances ask for, as the instances see it."""

import asyncio
import json
import time
from unittest import mock

import attrs
import behave

from features.steps import gateway_steps
from features.support import log_capture
from honeyport.wire import honeyport_pb2 as pb

# For what is on the wire when an instance asks for rest.
_ON_THE_WIRE_S = 0.5
# What all gateways are allowed on top, to what one of them uses of it that
# does not know how many there are.
_ALL_TO_ONE = 3 * 64
_ROUNDING_S = 0.001  # of times in answers
_SERVED = 200
_REFUSED = 503


@attrs.frozen
class Got:
    """What a caller got, and when it had asked.

    :ivar at: in seconds of the steady clock
    """

    at: float
    took_s: float
    status: int
    body: bytes


@behave.given(
    'a gateway with {count:d} instances and a retry budget of {extra:d}'
)
def step_gateway(context, count, extra):
    context.fixture = gateway_steps.GatewayFixture(
        ['answer'], extra=extra * _ALL_TO_ONE, count=count
    )
    context.run(context.fixture.start('idempotent'))
    context.to_stop.append(context.fixture.stop)


@behave.given('the instances {names} rest for {text} s')
def step_some_rest(context, names, text):
    _have_do(context, names.split(' and '), f'rest for {text}')


@behave.given('all instances rest for {text} s')
def step_all_rest(context, text):
    _have_do(context, _names(context), f'rest for {text}')


@behave.given(
    'the instances {names} announce in their answers that they leave'
)
def step_leave(context, names):
    _have_do(context, names.split(' and '), 'leaves, answer')


@behave.given('the instances {names} announce that they leave and {step}')
def step_leave_with(context, names, step):
    _have_do(context, names.split(' and '), f'leaves, {step}')


@behave.given('all instances announce that they leave and {step}')
def step_all_leave(context, step):
    _have_do(context, _names(context), f'leaves, {step}')


@behave.given(
    'the instances {names} answer 429 with a Retry-After of {text} s'
)
def step_slow_down(context, names, text):
    _have_do(context, names.split(' and '), f'slow down for {text}')


@behave.when(
    '{per_s:d} requests a second reach the gateway for {seconds:d} seconds'
)
def step_load(context, per_s, seconds):
    with log_capture.captured_events() as context.lines:
        context.run(_load(context, per_s, seconds))


@behave.when(
    '{count:d} requests wait {ms:d} ms for a connection, and one before them '
    'does not'
)
def step_wait(context, count, ms):
    context.run(_wait(context, count, ms / 1000))


@behave.then('{count:d} request has reached an instance')
def step_reached(context, count):
    arrivals = context.fixture.script.arrivals
    assert len(arrivals) == count, arrivals


@behave.when('a new list of instances and a new configuration arrive')
def step_anew(context):
    async def tell():
        context.fixture.configure('idempotent')
        context.fixture.apply_instances()

    context.run(tell())


@behave.then('all callers of the first {ms:d} ms were served')
def step_first_served(context, ms):
    began = context.responses[0].at
    early = [got for got in context.responses if got.at < began + ms / 1000]
    assert early and all(got.status == _SERVED for got in early), early


@behave.then('each of {count:d} rests of {s:g} s is logged once')
def step_logged(context, count, s):
    rests = [
        (fields['backend'], fields['asked_s'], fields['rest_s'])
        for name, fields in context.lines
        if name == 'rest_asked'
    ]
    assert len({name for name, *_ in rests}) == len(rests) == count, rests
    assert {(asked, kept) for _, asked, kept in rests} == {(s, s)}, rests


@behave.then('each request that reached a resting instance is logged')
def step_explained(context):
    used = [f for name, f in context.lines if name == 'resting_used']
    late = _late(context, _asks, _ON_THE_WIRE_S)
    assert len(used) >= len(late), (len(used), len(late))
    for fields in used:
        assert {'backend', 'rested_s'} <= fields.keys(), fields


@behave.then('no request reaches a resting instance')
def step_rested(context):
    late = _late(context, _asks, _ON_THE_WIRE_S)
    assert not late, (len(late), late[:5])


@behave.then(
    'no request reaches an instance {seconds:d} seconds after it announced '
    'that it leaves'
)
def step_left(context, seconds):
    late = _late(context, _leaves, seconds)
    assert not late, (len(late), late[:5])


@behave.then('all callers were served')
def step_served(context):
    refused = [got for got in context.responses if got.status != _SERVED]
    total = len(context.responses)
    assert not refused, (len(refused), total, refused[:2])


@behave.then(
    'refused callers get the end of the rest as retry time within '
    '{most_ms:d} ms'
)
def step_told_when(context, most_ms):
    all_rest = [
        got
        for got in context.responses
        if got.status == _REFUSED and b'rest' in got.body
    ]
    assert all_rest
    for got in all_rest:
        assert got.took_s < most_ms / 1000, got
        error = json.loads(got.body)['error']
        assert error['ran'] is False, error
        answered = got.at + got.took_s
        back_at = answered + error['retry_after_s'] + _ROUNDING_S
        ends = _first_end(context, answered)
        assert back_at > ends, (back_at - ends, error)


def _first_end(context, at):
    """Return when the first rest ends of those that are known at a moment."""
    ends = {}
    for one in context.fixture.script.arrivals:
        if _asks(one) and 0 < one.answered_at < at:
            until = one.answered_at + _rest_s(one)
            ends[one.instance] = max(until, ends.get(one.instance, 0.0))
    return min(ends.values())


@behave.when('{seconds:d} seconds pass at the gateway')
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.then('its reports name {names} as resting')
def step_told(context, names):
    wanted = [] if names == 'nothing' else names.split(' and ')
    report = pb.Report()

    async def fill():
        context.fixture.gateway._fill_report(report)

    context.run(fill())
    assert sorted(report.resting) == wanted, report.resting


def _names(context):
    return [one.name for one in context.fixture.instances]


def _have_do(context, names, step):
    context.fixture.script.step_by_instance |= dict.fromkeys(names, step)


def _rest_s(arrival):
    return float(arrival.step.partition(' for ')[2])


def _asks(arrival):
    """Return how long an instance rests after an arrival; 0 if not."""
    return _rest_s(arrival) if ' for ' in arrival.step else 0.0


def _leaves(arrival):
    return float('inf') if arrival.step.startswith('leaves') else 0.0


def _late(context, lasts, grace_s):
    """Return what reached an instance after it asked for something.

    :param lasts: returns for how long what an arrival got holds, in seconds
    :param grace_s: the time until then that is not counted
    """
    arrivals = context.fixture.script.arrivals
    late = []
    for number, later in enumerate(arrivals):
        waits = [
            later.arrived_at - first.answered_at
            for first in arrivals[:number]
            if first.instance == later.instance
            and first.answered_at
            and grace_s < later.arrived_at - first.answered_at < lasts(first)
        ]
        if waits:
            late.append((later.instance, round(min(waits), 2)))
    return late


async def _wait(context, count, wait_s):
    """Send requests whose connections are late, and one before them."""
    connections = context.fixture.gateway._pool
    acquire = connections.acquire

    async def acquire_late(instance):
        await asyncio.sleep(wait_s)
        return await acquire(instance)

    async with asyncio.TaskGroup() as group:
        with mock.patch.object(connections, 'acquire', acquire_late):
            for _ in range(count):
                group.create_task(_ask(context))
            await asyncio.sleep(wait_s / 2)
        group.create_task(_ask(context))


async def _load(context, per_s, seconds):
    """Send requests at an even rate, whatever becomes of each."""
    async with asyncio.TaskGroup() as group:
        tasks = []
        for _ in range(per_s * seconds):
            tasks.append(group.create_task(_ask(context)))
            await asyncio.sleep(1 / per_s)
    context.responses = [task.result() for task in tasks]


async def _ask(context):
    at = time.monotonic()
    got = await gateway_steps.send_request(context.fixture)
    return Got(at, time.monotonic() - at, got.status, got.body)
