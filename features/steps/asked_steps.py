"""Steps about the backoffs that instances request."""

import email.utils
import random
import time

import behave

from honeyport.policy import rests
from honeyport.policy import retry_after

_INSTANCE = 'i-1'
_DATE_S = 5.0
_DATES = {'(a date in 5 s)': _DATE_S, '(a date 5 s ago)': -_DATE_S}
_MANY = 1000
_STEP_S = 0.01
_DRAWS = 200  # of the random delays, each from its own seed


@behave.when('an instance answers 503 with Retry-After "{text}"')
def step_header(context, text):
    if text in _DATES:
        text = email.utils.formatdate(time.time() + _DATES[text], usegmt=True)
    context.requested_s = retry_after.parse_delay_s(text)


@behave.when('an instance answers 503 with Retry-After ""')
def step_no_header(context):
    context.requested_s = retry_after.parse_delay_s('')


@behave.then('it requests a backoff of nothing')
def step_no_backoff(context):
    assert context.requested_s is None, context.requested_s


@behave.then('it requests a backoff of {seconds:g} s')
def step_backoff(context, seconds):
    backoff = rests.Backoffs().record_backoff(
        _INSTANCE, context.requested_s, 0.0
    )
    assert backoff.granted_s == seconds, backoff


@behave.then('it requests a backoff of about {seconds:d} s')
def step_about(context, seconds):
    # Dates have a resolution of one second.
    assert seconds - 1.1 < context.requested_s <= seconds, context.requested_s


@behave.given('an instance that requested a backoff of {seconds:d} s')
def step_requested(context, seconds):
    context.backoffs = rests.Backoffs()
    context.now = 0.0
    context.backoffs.record_backoff(_INSTANCE, float(seconds), context.now)


@behave.when('1 s later it answers a request that was sent before')
def step_late_answer(context):
    context.backoffs.record_answer(_INSTANCE, 1.0)


@behave.when('1 s later it requests a backoff of {seconds:d} s')
def step_requests_again(context, seconds):
    backoff = context.backoffs.record_backoff(_INSTANCE, float(seconds), 1.0)
    assert not backoff.is_new


@behave.when('1 s later it rejects a request without Retry-After')
def step_rejects(context):
    assert retry_after.parse_delay_s('') is None


@behave.when('1 s later a new list of instances contains it')
def step_listed(context):
    context.backoffs.retain({_INSTANCE, 'i-2'})


@behave.when('1 s later a new list of instances does not contain it')
def step_unlisted(context):
    context.backoffs.retain({'i-2'})


@behave.then(
    'it gets no requests until {ends:g} s after the first one, plus up to '
    '{jitter:g} s'
)
def step_until(context, ends, jitter):
    until = context.backoffs.remaining_s(_INSTANCE, 1.0) + 1.0
    assert ends <= until <= ends + jitter, until
    assert not context.backoffs.may_send(_INSTANCE, 0, until - _STEP_S)
    assert context.backoffs.may_send(_INSTANCE, 0, until + _STEP_S)


@behave.then('it has no backoff')
def step_dropped(context):
    assert context.backoffs.remaining_s(_INSTANCE, 1.0) == 0.0
    assert context.backoffs.may_send(_INSTANCE, _MANY, 1.0)


@behave.given(
    '{count:d} gateways from which an instance requests {seconds:d} s of '
    'backoff at once'
)
def step_gateways(context, count, seconds):
    context.requested_s = float(seconds)
    context.draws = [
        _draw_ends(seed, count, context.requested_s) for seed in range(_DRAWS)
    ]


@behave.then('none of them resumes earlier')
def step_not_before(context):
    earliest = min(min(ends) for ends in context.draws)
    assert earliest >= context.requested_s, earliest


@behave.then(
    'in {share:d} of 100 draws at most {limit:d} of them resume within '
    '{ms:d} ms'
)
def step_spread(context, share, limit, ms):
    most = [
        max(
            sum(first <= end < first + ms / 1000 for end in ends)
            for first in ends
        )
        for ends in context.draws
    ]
    within = sum(count <= limit for count in most)
    assert within >= share / 100 * len(most), (within, most)


@behave.when('its backoff is over')
def step_over(context):
    context.now = (
        context.backoffs.remaining_s(_INSTANCE, context.now) + _STEP_S
    )


@behave.then('{count:d} concurrent request is allowed')
@behave.then('{count:d} concurrent requests are allowed')
def step_running(context, count):
    assert context.backoffs.may_send(_INSTANCE, count - 1, context.now)
    assert not context.backoffs.may_send(_INSTANCE, count, context.now)


@behave.when('it answers once')
def step_answers(context):
    context.backoffs.record_answer(_INSTANCE, context.now)


@behave.when('it answers {count:d} more times')
def step_answers_more(context, count):
    for _ in range(count):
        context.backoffs.record_answer(_INSTANCE, context.now)


@behave.then('any number of concurrent requests is allowed')
def step_unlimited(context):
    assert context.backoffs.may_send(_INSTANCE, _MANY, context.now)


def _draw_ends(seed, count, requested_s):
    """Return when each of some gateways resumes, in seconds."""
    random.seed(seed)  # the policy uses the global generator
    by_gateway = [rests.Backoffs() for _ in range(count)]
    for backoffs in by_gateway:
        backoffs.record_backoff(_INSTANCE, requested_s, 0.0)
    return [backoffs.remaining_s(_INSTANCE, 0.0) for backoffs in by_gateway]
