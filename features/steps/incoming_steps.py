"""Steps for which incomplete bodies make room."""

import behave

from honeyport.policy import incoming

_NOW = 1000.0
_MB = 1_000_000
_BODY_BYTES = 4 * _MB
_INTERVAL_S = 0.05


@behave.given('bodies of 4 MB, due in {due:d} seconds: {bodies}')
def step_bodies(context, due, bodies):
    context.bodies = []
    for number, text in enumerate(bodies.split(', '), 1):
        received, age_s, stalled_s = map(float, text.split())
        started_at = _NOW - age_s
        body = incoming.Body(number, _BODY_BYTES, started_at, started_at + due)
        body.record(int(received * _MB), _NOW - stalled_s)
        context.bodies.append(body)


@behave.given(
    'a body of 4 MB, due in {due:g} seconds, that takes {rate:d} KB a second'
)
def step_slow_body(context, due, rate):
    context.body = incoming.Body(1, _BODY_BYTES, 0.0, due)
    context.rate = rate * 1000


@behave.when('it has been received for {age:g} seconds')
def step_age(context, age):
    for number in range(1, round(age / _INTERVAL_S) + 1):
        at = number * _INTERVAL_S
        context.body.record(int(context.rate * at), at)
    context.now = age


@behave.then('{numbers} are given up for {needed:d} MB')
def step_given_up(context, numbers, needed):
    selected = incoming.select_evicted(context.bodies, needed * _MB, _NOW)
    expected = [] if numbers == '-' else [int(n) for n in numbers.split(', ')]
    assert [body.key for body in selected] == expected, selected


@behave.then('it is given up for others')
def step_is_behind(context):
    assert incoming.is_behind(context.body, context.now)


@behave.then('it is not given up for others')
def step_not_behind(context):
    assert not incoming.is_behind(context.body, context.now)


@behave.then('number {number:d} is late')
def step_late(context, number):
    [body] = incoming.select_late(context.bodies, _NOW)
    assert body.key == number, body
