"""Steps about a part of prompts that crashes the instances that run it."""

import asyncio
import json

import behave

from features.steps import crashing_steps
from features.support import crashing
from features.support import part_traffic
from honeyport import errors

_TOLERATED_CRASHES = 5
_RATE = 20  # requests per second
_WAITING_INTERVAL_S = 0.1
_MIN_SERVED = 0.95  # share of the requests without the part


@behave.given(
    '{count:d} instances of its service that crash under a prompt part'
)
def step_instances(context, count):
    crashing_steps.start_instances(context, count)


@behave.when(
    '{rate:d} requests a second arrive for {seconds:d} seconds, some with the '
    'part {position}'
)
def step_traffic(context, rate, seconds, position):
    position = position.removeprefix('in the ')
    context.traffic = part_traffic.Traffic(context.platform, position)
    context.run(context.traffic.run(rate, seconds))


@behave.when(
    'such requests arrive for {seconds:d} seconds, beside others with the '
    'part that wait at their instances'
)
def step_waiting(context, seconds):
    context.traffic = part_traffic.Traffic(context.platform, 'middle')
    context.waiting = part_traffic.Traffic(context.platform, 'middle')

    async def send():
        await asyncio.gather(
            context.traffic.run(_RATE, seconds),
            context.waiting.send_waiting(_WAITING_INTERVAL_S, seconds),
        )

    context.run(send())


@behave.then('some that waited were withdrawn, as ones that may have run')
def step_withdrawn(context):
    bodies = [
        json.loads(request.body)['error']
        for request in context.waiting.sent
        if request.body and not request.is_served
    ]
    withdrawn = [
        error
        for error in bodies
        if error['code'] == errors.RequestWithdrawn.code
    ]
    assert withdrawn, [error['code'] for error in bodies]
    assert all(error['ran'] is None for error in withdrawn), withdrawn


@behave.when('{count:d} requests with the part are sent to every gateway')
def step_send(context, count):
    context.arrived_before = len(context.crashing.counts.arrived_at)
    context.traffic = part_traffic.Traffic(context.platform, 'middle')
    context.run(context.traffic.send_fatal(count))


@behave.when(
    'the instances are fixed, and {count:d} requests with the part are sent '
    'to every gateway'
)
def step_fixed(context, count):
    context.crashing.is_fixed = True
    step_send(context, count)


@behave.then('they reached no instance, and were refused as not run')
def step_refused(context):
    arrived = len(context.crashing.counts.arrived_at) - context.arrived_before
    assert not arrived, arrived
    for request in context.traffic.sent:
        assert request.is_refused, request
        error = json.loads(request.body)['error']
        assert error['ran'] is False, error
        assert error['code'] == errors.RequestBarred.code, error


@behave.then('all of these requests were served')
def step_all_served(context):
    failed = [
        request for request in context.traffic.sent if not request.is_served
    ]
    assert context.traffic.sent
    assert not failed, (len(failed), failed[:3])


@behave.then('an operator lists the part')
def step_listed(context):
    line = _list_part(context)
    assert 'refused, tried again in' in line, line
    assert f'with the prompt parts {crashing.FATAL_PART} (app)' in line, line


@behave.when('the operator clears the part')
def step_clear(context):
    key = _list_part(context).split()[0]
    output = context.run(crashing_steps.run_command(context, 'clear', key))
    assert output == f'{key}: cleared', output


@behave.then(
    'at most {limit:d} requests with the part arrive {seconds:d} seconds '
    'after the fifth crash'
)
def step_arrived(context, limit, seconds):
    since = _last_tolerated_crash(context) + seconds
    counts = context.crashing.counts
    late = [at for at in counts.arrived_at if at > since]
    sent_after = [
        request
        for request in context.traffic.sent
        if request.is_fatal and request.at > since
    ]
    assert len(sent_after) > limit, len(sent_after)
    assert len(late) <= limit, (len(late), len(sent_after), counts.crashes)


@behave.then(
    'requests without the part are served as before {seconds:d} seconds after '
    'it'
)
def step_others_served(context, seconds):
    since = _last_tolerated_crash(context) + seconds
    others = [
        request
        for request in context.traffic.sent
        if not request.is_fatal and request.at > since
    ]
    served = [request for request in others if request.is_served]
    assert len(others) >= 20, len(others)
    assert len(served) >= _MIN_SERVED * len(others), (
        len(served),
        len(others),
    )


def _list_part(context):
    """Return the line of an operator's list that has prompt parts."""
    lines = context.run(crashing_steps.list_suspects(context))
    [line] = [line for line in lines if 'prompt parts' in line]
    return line


def _last_tolerated_crash(context):
    """Return the time of the fifth crash, or of the last of fewer."""
    crashed_at = context.crashing.counts.crashed_at[:_TOLERATED_CRASHES]
    assert crashed_at, 'no instance crashed'
    return crashed_at[-1]
