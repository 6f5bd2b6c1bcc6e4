"""Steps about instances that send nothing for a while, and their log lines."""

import behave

from features.steps import gateway_steps
from features.support import log_capture

_LAST_LINES = ('request_broken', 'request_refused', 'request_served')


@behave.when('a caller sends a request, and its lines are kept')
def step_send_logged(context):
    with log_capture.captured_events() as context.lines:
        context.response = context.run(
            gateway_steps.send_request(context.fixture)
        )


@behave.then('its last line tells that no attempt followed, as {reason}')
def step_reason(context, reason):
    (fields,) = _lines(context, *_LAST_LINES)
    assert fields['no_retry'] == reason, fields
    assert fields['silent_ms'] >= 0, fields


@behave.then('the failed attempt tells how many instances could have taken it')
def step_available(context):
    attempts = _lines(context, 'attempt_failed')
    # Each attempt leaves one instance less of three.
    assert [fields['available'] for fields in attempts] == [2, 1][
        : len(attempts)
    ], attempts


@behave.then(
    'the failed attempt tells that the instance was silent for {first:d} to '
    '{last:d} ms'
)
def step_silent(context, first, last):
    fields = _lines(context, 'attempt_failed')[0]
    assert first <= fields['silent_ms'] <= last, fields


def _lines(context, *names):
    return [fields for name, fields in context.lines if name in names]
