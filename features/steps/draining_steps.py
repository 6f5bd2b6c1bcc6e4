"""Steps about the shutdown of a gateway."""

import behave

from honeyport.policy import draining


@behave.given('{grace:d} s from SIGTERM to SIGKILL')
def step_grace(context, grace):
    context.grace_s = grace
    context.times = draining.drain_times(grace)


@behave.then(
    'a request {sent:d} s after a signal that was handled {late:f} s late is '
    'refused'
)
def step_refused(context, sent, late):
    assert context.times.refuse_after_s + late < sent, context.times


@behave.then(
    'running requests have {limit:d} s to end, and {rest:d} s is left to exit'
)
def step_stop(context, limit, rest):
    assert context.times.stop_after_s == limit, context.times
    assert context.grace_s - context.times.stop_after_s == rest
