"""Steps about log lines, their output and their evaluation."""

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


def _log_line(instance, second, event, request):
    """Return a log line about a request, with a collector's prefix."""
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
            'not a log line',
            _log_line('edge-1', 10, 'attempt_failed', request),
            _log_line('edge-1', 11, 'request_served', 'another'),
            _log_line('edge-1', 12, 'request_broken', request),
        ],
        [_log_line('edge-2', 18, 'request_served', request)],
    ]


@behave.when(
    'the request "{request}" is explained with the clock of "{instance}" '
    '{seconds:d} s ahead'
)
def step_explain(context, request, instance, seconds):
    context.timeline = context.error = None
    try:
        context.timeline = explain.timeline(
            request, context.logs, {instance: seconds}
        )
    except errors.UsageInvalid as error:
        context.error = error


@behave.then('the events are {names}')
def step_events(context, names):
    found = [line.event for line in context.timeline]
    assert found == names.split(', '), found
    assert explain.render(context.timeline).count('\n') == len(found) - 1


@behave.given('a log output whose reader is blocked')
def step_output(context):
    reader, writer = os.pipe()
    context.pipe = (reader, writer)
    context.output = output.Output(writer)


@behave.when('{count:d} lines are written at once')
def step_write(context, count):
    async def write():
        for _ in range(count):
            context.output.msg('x' * 200)
        await asyncio.sleep(0.1)

    started_at = time.monotonic()
    context.run(write())
    context.elapsed_s = time.monotonic() - started_at


@behave.then('writing them takes less than {seconds:g} seconds')
def step_elapsed(context, seconds):
    assert context.elapsed_s < seconds, context.elapsed_s
    for descriptor in context.pipe:
        os.close(descriptor)


@behave.then('the number of dropped lines is counted')
def step_dropped(context):
    assert context.output.dropped > 0


@behave.then('no two events have the same name')
def step_unique_names(context):
    names = [event.name for event in events.catalogue()]
    assert len(names) == len(set(names))


# -- summaries of logs ---------------------------------------------------


def _end_line(event, **fields):
    """Return the log line about the end of a request."""
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
    'a log line of a request with a time to first byte of {first:d} ms'
)
def step_slow(context, first):
    context.fields = {'first_ms': first, 'backend': 'i-1', 'source': 'i-2'}


@behave.given('{waited:d} ms of waiting and {connect:d} ms of connecting')
def step_stages(context, waited, connect):
    stages = {'waited_ms': waited, 'connect_ms': connect, 'offers': 1}
    context.logs = [[_end_line('request_served', **context.fields, **stages)]]


@behave.given(
    'log lines of {served:d} served and {refused:d} refused requests'
)
def step_outcomes(context, served, refused):
    lines = [_end_line('request_served', first_ms=20.0)] * served
    lines += [_end_line('request_refused', code='HP-3005')] * refused
    # Its caller's gateway has a line of its own.
    lines += [_end_line('request_refused', code='HP-3205', origin='edge-2')]
    context.logs = [lines, ['not a log line', '{"json": "not a log line"}']]


@behave.when('the logs are summarized with a limit of {slow:d} ms')
def step_losses(context, slow):
    context.losses = losses.summarize(context.logs, slow)


@behave.then('the slow request is attributed to "{stage}"')
def step_slowest_stage(context, stage):
    assert context.losses.stages == {stage: 1}, context.losses


@behave.then(
    '{served:d} served and {refused:d} refused requests are counted in one '
    'second'
)
def step_second(context, served, refused):
    (counts,) = context.losses.seconds.values()
    assert (counts['served'], counts['refused']) == (served, refused), counts


@behave.then('the only reason for requests not served is "{reason}"')
def step_reason(context, reason):
    assert list(context.losses.reasons) == [reason], context.losses


@behave.given(
    'a log line of a request that waited {queued:d} ms for a slot, of '
    '{first:d} ms in all'
)
def step_queued(context, queued, first):
    line = _end_line('request_served', first_ms=first, queued_ms=queued)
    context.logs = [[line]]


@behave.given(
    'log lines of requests that waited {waits} ms where {forecast:d} ms were '
    'forecast'
)
def step_forecasts(context, waits, forecast):
    context.logs = [
        [
            _end_line(
                'request_served', queued_ms=int(wait), forecast_ms=forecast
            )
            for wait in waits.split(', ')
        ]
    ]


@behave.given(
    'log lines of {refused:d} requests refused as "{reason}" and {sent:d} '
    'sent as "{direct}"'
)
def step_no_slot(context, refused, reason, sent, direct):
    context.logs += [
        [
            _end_line(
                'request_refused',
                code='HP-3213',
                queue_reason=reason,
                forecast_ms=900,
            )
        ]
        * refused,
        [_end_line('request_served', queue_reason=direct)] * sent,
    ]


@behave.given(
    'log lines of streams with pauses of {pauses} ms where {gap:d} ms are '
    'allowed'
)
def step_pauses(context, pauses, gap):
    context.logs.append(
        [
            _end_line('request_served', pause_ms=int(pause), gap_ms=gap)
            for pause in pauses.split(', ')
        ]
    )


@behave.then(
    'the reasons for no slot are "{first}" {count:d} times, "{second}" '
    '{other:d} times'
)
def step_no_slot_reasons(context, first, count, second, other):
    assert context.losses.queue_reasons == {first: count, second: other}


@behave.then(
    'the forecasts differ by {size:d} ms, and {count:d} streams paused for '
    'too long'
)
def step_forecast_errors(context, size, count):
    found = [abs(error) for error in context.losses.forecast_errors_ms]
    assert found and set(found) == {size}, found
    assert context.losses.paused == {'yard': count}, context.losses.paused
