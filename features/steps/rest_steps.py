"""Steps for backoffs and departures of instances, observed at instances."""

import asyncio
import json
import time
from unittest import mock

import attrs
import behave

from features.steps import gateway_steps
from features.support import log_capture
from honeyport.wire import honeyport_pb2 as pb

# Requests in flight when a backoff is requested may arrive this much later.
_IN_FLIGHT_S = 0.5
# Ratio of the fleet's retry budget to the share of one gateway that does not
# know the number of gateways.
_BUDGET_FACTOR = 3 * 64
_ROUNDING_S = 0.001  # of times in answers, in seconds
_OK = 200
_UNAVAILABLE = 503


@attrs.frozen
class TimedResponse:
    """A response and when its request was sent.

    :ivar sent_at: time on the monotonic clock, in seconds
    """

    sent_at: float
    took_s: float
    status: int
    body: bytes


@behave.given(
    'a gateway with {count:d} instances and a retry budget of {extra:d}'
)
def step_gateway(context, count, extra):
    context.fixture = gateway_steps.GatewayFixture(
        ['answer'], extra=extra * _BUDGET_FACTOR, count=count
    )
    context.run(context.fixture.start('idempotent'))
    context.to_stop.append(context.fixture.stop)


@behave.given('the instances {names} request a backoff of {text} s')
def step_some_rest(context, names, text):
    _set_step(context, names.split(' and '), f'rest for {text}')


@behave.given('all instances request a backoff of {text} s')
def step_all_rest(context, text):
    _set_step(context, _instance_names(context), f'rest for {text}')


@behave.given(
    'the instances {names} announce in their answers that they leave'
)
def step_leave(context, names):
    _set_step(context, names.split(' and '), 'leaves, answer')


@behave.given('the instances {names} announce that they leave and {step}')
def step_leave_with(context, names, step):
    _set_step(context, names.split(' and '), f'leaves, {step}')


@behave.given('all instances announce that they leave and {step}')
def step_all_leave(context, step):
    _set_step(context, _instance_names(context), f'leaves, {step}')


@behave.given(
    'the instances {names} answer 429 with a Retry-After of {text} s'
)
def step_reject_429(context, names, text):
    _set_step(context, names.split(' and '), f'slow down for {text}')


@behave.when(
    '{per_s:d} requests a second reach the gateway for {seconds:d} seconds'
)
def step_load(context, per_s, seconds):
    with log_capture.captured_events() as context.lines:
        context.run(_send_load(context, per_s, seconds))


@behave.when(
    '{count:d} requests wait {ms:d} ms for a connection, and one more does not'
)
def step_wait(context, count, ms):
    context.run(_send_delayed(context, count, ms / 1000))


@behave.then('{count:d} request has reached an instance')
def step_reached(context, count):
    arrivals = context.fixture.script.arrivals
    assert len(arrivals) == count, arrivals


@behave.when('a new list of instances and a new configuration arrive')
def step_new_state(context):
    async def tell():
        context.fixture.configure('idempotent')
        context.fixture.apply_instances()

    context.run(tell())


@behave.then('all callers of the first {ms:d} ms were served')
def step_first_served(context, ms):
    first_sent_at = context.responses[0].sent_at
    early_responses = [
        response
        for response in context.responses
        if response.sent_at < first_sent_at + ms / 1000
    ]
    assert early_responses and all(
        response.status == _OK for response in early_responses
    ), early_responses


@behave.then('each of {count:d} backoffs of {s:g} s is logged once')
def step_logged(context, count, s):
    rests = [
        (fields['backend'], fields['asked_s'], fields['rest_s'])
        for name, fields in context.lines
        if name == 'rest_asked'
    ]
    assert len({name for name, *_ in rests}) == len(rests) == count, rests
    assert {(asked_s, granted_s) for _, asked_s, granted_s in rests} == {
        (s, s)
    }, rests


@behave.then('each request that reached an instance in backoff is logged')
def step_late_requests_logged(context):
    logged = [
        event_fields
        for name, event_fields in context.lines
        if name == 'resting_used'
    ]
    late = _late_arrivals(context, _asked_rest_s, _IN_FLIGHT_S)
    assert len(logged) >= len(late), (len(logged), len(late))
    for fields in logged:
        assert {'backend', 'rested_s'} <= fields.keys(), fields


@behave.then('no request reaches an instance in backoff')
def step_none_while_resting(context):
    late = _late_arrivals(context, _asked_rest_s, _IN_FLIGHT_S)
    assert not late, (len(late), late[:5])


@behave.then(
    'no request reaches an instance {seconds:d} seconds after it announced '
    'that it leaves'
)
def step_none_after_leaving(context, seconds):
    late = _late_arrivals(context, _leaving_s, seconds)
    assert not late, (len(late), late[:5])


@behave.then('all callers were served')
def step_served(context):
    failed = [
        response for response in context.responses if response.status != _OK
    ]
    total = len(context.responses)
    assert not failed, (len(failed), total, failed[:2])


@behave.then(
    'refused callers get the end of the backoff as retry time within '
    '{most_ms:d} ms'
)
def step_refused_with_rest_end(context, most_ms):
    rest_refusals = [
        response
        for response in context.responses
        if response.status == _UNAVAILABLE and b'rest' in response.body
    ]
    assert rest_refusals
    for response in rest_refusals:
        assert response.took_s < most_ms / 1000, response
        error = json.loads(response.body)['error']
        assert error['ran'] is False, error
        answered_at = response.sent_at + response.took_s
        retry_at = answered_at + error['retry_after_s'] + _ROUNDING_S
        rest_ends_at = _first_rest_end(context, answered_at)
        assert retry_at > rest_ends_at, (retry_at - rest_ends_at, error)


def _first_rest_end(context, before):
    """Return the end of the first backoff requested before a time."""
    rest_end_by_instance = {}
    for arrival in context.fixture.script.arrivals:
        if _asked_rest_s(arrival) and 0 < arrival.answered_at < before:
            rest_end = arrival.answered_at + _rest_s(arrival)
            rest_end_by_instance[arrival.instance] = max(
                rest_end, rest_end_by_instance.get(arrival.instance, 0.0)
            )
    return min(rest_end_by_instance.values())


@behave.when('{seconds:d} seconds pass at the gateway')
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.then('its reports name {names} as in backoff')
def step_reported_resting(context, names):
    expected = [] if names == 'nothing' else names.split(' and ')
    report = pb.Report()

    async def fill():
        context.fixture.gateway._fill_report(report)

    context.run(fill())
    assert sorted(report.resting) == expected, report.resting


def _instance_names(context):
    return [instance.name for instance in context.fixture.instances]


def _set_step(context, names, step):
    context.fixture.script.step_by_instance |= dict.fromkeys(names, step)


def _rest_s(arrival):
    return float(arrival.step.partition(' for ')[2])


def _asked_rest_s(arrival):
    """Return the backoff that an answer requested, in seconds, or 0."""
    return _rest_s(arrival) if ' for ' in arrival.step else 0.0


def _leaving_s(arrival):
    return float('inf') if arrival.step.startswith('leaves') else 0.0


def _late_arrivals(context, duration_of, grace_s):
    """Return requests that arrived in a backoff or after a departure.

    :param duration_of: returns how long the signal of an arrival's answer
        is in effect, in seconds
    :param grace_s: time after the signal that is not counted, in seconds
    """
    arrivals = context.fixture.script.arrivals
    late = []
    for number, later in enumerate(arrivals):
        delays_s = [
            later.arrived_at - earlier.answered_at
            for earlier in arrivals[:number]
            if earlier.instance == later.instance
            and earlier.answered_at
            and grace_s
            < later.arrived_at - earlier.answered_at
            < duration_of(earlier)
        ]
        if delays_s:
            late.append((later.instance, round(min(delays_s), 2)))
    return late


async def _send_delayed(context, count, wait_s):
    """Send requests with delayed connections, and one that overtakes them."""
    connections = context.fixture.gateway._pool
    acquire = connections.acquire

    async def acquire_late(instance):
        await asyncio.sleep(wait_s)
        return await acquire(instance)

    async with asyncio.TaskGroup() as group:
        with mock.patch.object(connections, 'acquire', acquire_late):
            for _ in range(count):
                group.create_task(_send_timed(context))
            await asyncio.sleep(wait_s / 2)
        group.create_task(_send_timed(context))


async def _send_load(context, per_s, seconds):
    """Send requests at a constant rate, independent of responses."""
    async with asyncio.TaskGroup() as group:
        tasks = []
        for _ in range(per_s * seconds):
            tasks.append(group.create_task(_send_timed(context)))
            await asyncio.sleep(1 / per_s)
    context.responses = [task.result() for task in tasks]


async def _send_timed(context):
    sent_at = time.monotonic()
    response = await gateway_steps.send_request(context.fixture)
    return TimedResponse(
        sent_at, time.monotonic() - sent_at, response.status, response.body
    )
