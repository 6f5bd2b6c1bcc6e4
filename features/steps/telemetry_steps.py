"""Steps about log lines."""

import asyncio
import json
import os
import time

import behave

from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import explain
from honeyport.telemetry import losses
from honeyport.telemetry import output


def _line(instance, second, event, request):
    return 'prefix ' + json.dumps(
        {
            'instance': instance,
            'timestamp': f'2026-12-02T17:00:{second:02d}+00:00',
            'event': event,
            'number': 1,
            'request': request,
        }
    )


@behave.given('log lines of two instances about the request "{request}"')
def step_lines(context, request):
    context.logs = [
        [
            'not a line of ours',
            _line('edge-1', 10, 'attempt_failed', request),
            _line('edge-1', 11, 'request_served', 'another'),
            _line('edge-1', 12, 'request_broken', request),
        ],
        [_line('edge-2', 18, 'request_served', request)],
    ]


@behave.when(
    'the request "{request}" is explained, the clock of "{instance}" '
    '{seconds:d} seconds ahead'
)
def step_explain(context, request, instance, seconds):
    context.found = context.error = None
    try:
        context.found = explain.timeline(
            request, context.logs, {instance: seconds}
        )
    except errors.UsageInvalid as error:
        context.error = error


@behave.then('its events are {names}')
def step_events(context, names):
    found = [line.event for line in context.found]
    assert found == names.split(', '), found
    assert explain.render(context.found).count('\n') == len(found) - 1


@behave.given('an output whose reader does not read')
def step_output(context):
    reader, writer = os.pipe()
    context.pipe = (reader, writer)
    context.output = output.Output(writer)


@behave.when('{count:d} lines are written within a second')
def step_write(context, count):
    async def write():
        for _ in range(count):
            context.output.msg('x' * 200)
        await asyncio.sleep(0.1)

    began = time.monotonic()
    context.run(write())
    context.took_s = time.monotonic() - began


@behave.then('writing them took less than {seconds:g} seconds')
def step_took(context, seconds):
    assert context.took_s < seconds, context.took_s
    for descriptor in context.pipe:
        os.close(descriptor)


@behave.then('lines were dropped, and their number is known')
def step_dropped(context):
    assert context.output.dropped > 0


@behave.then('no two events share a name')
def step_names(context):
    names = [event.name for event in events.catalogue()]
    assert len(names) == len(set(names))


# -- losses --------------------------------------------------------------


def _end(event, **fields):
    """Return the line of a request's end."""
    return json.dumps(
        {
            'instance': 'edge-1',
            'timestamp': '2026-12-02T17:00:00+00:00',
            'event': event,
            'route': 'yard',
            **fields,
        }
    )


@behave.given(
    'a log line of a request whose first byte came after {first:d} ms'
)
def step_slow(context, first):
    context.fields = {'first_ms': first, 'backend': 'i-1', 'source': 'i-2'}


@behave.given(
    'of that it waited {waited:d} ms and connected for {connect:d} ms'
)
def step_of_that(context, waited, connect):
    stages = {'waited_ms': waited, 'connect_ms': connect, 'offers': 1}
    context.logs = [[_end('request_served', **context.fields, **stages)]]


@behave.given(
    'log lines of {served:d} requests that were served, and {refused:d} that '
    'were refused'
)
def step_ends(context, served, refused):
    lines = [_end('request_served', first_ms=20.0)] * served
    lines += [_end('request_refused', code='HP-3005')] * refused
    context.logs = [lines, ['no line of ours', '{"json": "of another"}']]


@behave.when('losses over {slow:d} ms are summed up')
def step_losses(context, slow):
    context.losses = losses.gather(context.logs, slow)


@behave.then('the reason for the slow request is "{stage}"')
def step_stage(context, stage):
    assert context.losses.stages == {stage: 1}, context.losses


@behave.then('one second has {served:d} served and {refused:d} refused')
def step_second(context, served, refused):
    (found,) = context.losses.seconds.values()
    assert (found['served'], found['refused']) == (served, refused), found


@behave.then('the reason for the refused ones is "{reason}"')
def step_reason(context, reason):
    assert list(context.losses.reasons) == [reason], context.losses
