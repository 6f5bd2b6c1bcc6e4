"""Steps about the pauses of instances that fail."""

import behave

from honeyport.policy import health


@behave.when('an instance fails {count:d} times in a row')
def step_fail(context, count):
    tracker = health.FailureTracker()
    context.pauses_s = [
        tracker.record_failure('i-1', float(number)).pause_s
        for number in range(count)
    ]


@behave.then('its pauses are {growing} seconds, and {longest:g} from then on')
def step_pauses(context, growing, longest):
    first = [float(text) for text in growing.split(', ')]
    expected = first + [longest] * (len(context.pauses_s) - len(first))
    assert context.pauses_s == expected
