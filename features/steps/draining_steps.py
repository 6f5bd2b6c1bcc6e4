"""Steps about how a gateway leaves."""

import behave

from honeyport.policy import draining


@behave.given('{grace:d} s from SIGTERM to SIGKILL')
def step_grace(context, grace):
    context.grace_s = grace
    context.leaving = draining.drain_times(grace)


@behave.then(
    'a request that comes {sent:d} s after a signal handled {late:f} s late '
    'is refused'
)
def step_refused(context, sent, late):
    assert context.leaving.refuse_after_s + late < sent, context.leaving


@behave.then('what runs has {most:d} s to end, and {rest:d} s is left to exit')
def step_rest(context, most, rest):
    assert context.leaving.stop_after_s == most, context.leaving
    assert context.grace_s - context.leaving.stop_after_s == rest
