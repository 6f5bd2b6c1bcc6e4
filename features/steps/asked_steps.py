"""Steps about the rest that instances ask for."""

import email.utils
import time

import behave

from honeyport.policy import rests
from honeyport.policy import retry_after

_NAME = 'i-1'
_DATE_S = 5.0
_DATES = {'(a date in 5 s)': _DATE_S, '(a date 5 s ago)': -_DATE_S}
_MANY = 1000
_STEP_S = 0.01


@behave.when('an instance answers 503 with Retry-After "{text}"')
def step_header(context, text):
    if text in _DATES:
        text = email.utils.formatdate(time.time() + _DATES[text], usegmt=True)
    context.asked_s = retry_after.parse_s(text)


@behave.when('an instance answers 503 with Retry-After ""')
def step_no_header(context):
    context.asked_s = retry_after.parse_s('')


@behave.then('it asks for nothing')
def step_nothing(context):
    assert context.asked_s is None, context.asked_s


@behave.then('it asks for {seconds:g} s')
def step_asks(context, seconds):
    rest = rests.Backoffs().request(_NAME, context.asked_s, 0.0)
    assert rest.granted_s == seconds, rest


@behave.then('it asks for about {seconds:d} s')
def step_about(context, seconds):
    # A date has whole seconds.
    assert seconds - 1.1 < context.asked_s <= seconds, context.asked_s


@behave.given('an instance that asked for {seconds:d} s of rest')
def step_asked(context, seconds):
    context.rests = rests.Backoffs()
    context.now = 0.0
    context.rests.request(_NAME, float(seconds), context.now)


@behave.when('1 s later it answers a request that was sent before')
def step_late_answer(context):
    context.rests.record_answer(_NAME, 1.0)


@behave.when('1 s later it asks for {seconds:d} s of rest')
def step_asks_again(context, seconds):
    rest = context.rests.request(_NAME, float(seconds), 1.0)
    assert not rest.is_new


@behave.when('1 s later it turns a request away and asks for nothing')
def step_turns_away(context):
    assert retry_after.parse_s('') is None


@behave.when('1 s later a new list of instances names it')
def step_listed(context):
    context.rests.retain({_NAME, 'i-2'})


@behave.when('1 s later a new list of instances does not name it')
def step_unlisted(context):
    context.rests.retain({'i-2'})


@behave.then(
    'it is left alone until {ends:g} s after it asked, and {more:g} s more at '
    'most'
)
def step_until(context, ends, more):
    until = context.rests.remaining_s(_NAME, 1.0) + 1.0
    assert ends <= until <= ends + more, until
    assert not context.rests.may_send(_NAME, 0, until - _STEP_S)
    assert context.rests.may_send(_NAME, 0, until + _STEP_S)


@behave.then('nothing is known of it')
def step_forgotten(context):
    assert context.rests.remaining_s(_NAME, 1.0) == 0.0
    assert context.rests.may_send(_NAME, _MANY, 1.0)


@behave.given(
    '{count:d} gateways that one instance asked for {seconds:d} s of rest at '
    'one moment'
)
def step_gateways(context, count, seconds):
    context.asked_s = float(seconds)
    all_rests = [rests.Backoffs() for _ in range(count)]
    for one in all_rests:
        one.request(_NAME, context.asked_s, 0.0)
    context.ends = sorted(one.remaining_s(_NAME, 0.0) for one in all_rests)


@behave.then('none of them comes back before that')
def step_not_before(context):
    assert context.ends[0] >= context.asked_s, context.ends[0]


@behave.then('not more than {most:d} of them come back within {ms:d} ms')
def step_spread(context, most, ms):
    counts = [
        sum(first <= end < first + ms / 1000 for end in context.ends)
        for first in context.ends
    ]
    assert max(counts) <= most, max(counts)


@behave.when('its rest is over')
def step_over(context):
    context.now = context.rests.remaining_s(_NAME, context.now) + _STEP_S


@behave.then('{count:d} request may run there at once')
@behave.then('{count:d} requests may run there at once')
def step_running(context, count):
    assert context.rests.may_send(_NAME, count - 1, context.now)
    assert not context.rests.may_send(_NAME, count, context.now)


@behave.when('it answers')
def step_answers(context):
    context.rests.record_answer(_NAME, context.now)


@behave.when('it answers {count:d} times')
def step_answers_often(context, count):
    for _ in range(count):
        context.rests.record_answer(_NAME, context.now)


@behave.then('any number of requests may run there')
def step_any(context):
    assert context.rests.may_send(_NAME, _MANY, context.now)
