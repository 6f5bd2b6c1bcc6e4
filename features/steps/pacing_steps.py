"""Steps about the rate limit for large messages."""

import behave

from honeyport.policy import pacing

_TICK_S = 0.05


@behave.given('a link of {speed:d} Mbit/s')
def step_link(context, speed):
    context.bucket = pacing.for_link(speed)


@behave.when('{count:d} messages of {size:d} bytes wait to be sent')
def step_wait(context, count, size):
    context.sent = []
    now = 100.0
    while len(context.sent) < count:
        while len(context.sent) < count and context.bucket.try_consume(
            size, now
        ):
            context.sent.append((now - 100.0, size))
        now += _TICK_S


@behave.then('at most {limit:g} MB of them are sent within any second')
def step_limit(context, limit):
    for start, _ in context.sent:
        sizes = [
            size for at, size in context.sent if start <= at < start + 1.0
        ]
        assert sum(sizes) <= limit * 1e6, (start, sum(sizes))


@behave.then('all are sent within {seconds:g} seconds')
def step_all(context, seconds):
    assert context.sent[-1][0] <= seconds, context.sent[-1]
