"""Steps about the pace of large messages."""

import behave

from honeyport.policy import pacing

_TICK_S = 0.05


@behave.given('a link of {speed:d} Mbit/s')
def step_link(context, speed):
    context.pace = pacing.for_link(speed)


@behave.when('{count:d} messages of {size:d} bytes wait to be sent')
def step_wait(context, count, size):
    context.sent = []
    now = 100.0
    while len(context.sent) < count:
        while len(context.sent) < count and context.pace.may_send(size, now):
            context.sent.append((now - 100.0, size))
        now += _TICK_S


@behave.then('no second has more than {most:g} MB of them')
def step_most(context, most):
    for first, _ in context.sent:
        within = [
            size for at, size in context.sent if first <= at < first + 1.0
        ]
        assert sum(within) <= most * 1e6, (first, sum(within))


@behave.then('all are sent within {seconds:g} seconds')
def step_all(context, seconds):
    assert context.sent[-1][0] <= seconds, context.sent[-1]
