"""Steps about the allowance for offers beyond the first."""

import behave

from honeyport.policy import repeats

_SERVICE = 'app'


@behave.given(
    '{count:d} gateways and an allowance of {ratio:g} and {extra:d} more'
)
def step_gateways(context, count, ratio, extra):
    context.allowance = repeats.Allowance(ratio=ratio, extra=extra)
    context.known = count
    context.budgets = make(context, count)
    context.requests = 0
    context.repeated = 0


@behave.when('each of them gets {count:d} requests, and all offers fail')
def step_all_fail(context, count):
    send(context, count, fails=lambda number: True)


@behave.when('each of them gets {count:d} requests, and one of them fails')
def step_one_fails(context, count):
    send(context, count, fails=lambda number: number == 0)


@behave.when('they start anew and do not know how many they are')
def step_anew(context):
    context.known = 0
    context.budgets = make(context, len(context.budgets))


@behave.then('the offers beyond the first are within the allowance')
def step_within(context):
    allowance = context.allowance
    most = allowance.ratio * context.requests + allowance.extra
    assert context.repeated <= most, (context.repeated, most)


@behave.then('{count:d} requests are offered once more')
def step_once_more(context, count):
    assert context.repeated == count, context.repeated


def make(context, count):
    """Return the budgets of some gateways that have just started."""
    return [
        repeats.Budgets(context.allowance, lambda: context.known)
        for _ in range(count)
    ]


def send(context, count, fails):
    """Send requests to each gateway; repeat those that fail if it may."""
    for budgets in context.budgets:
        for number in range(count):
            budgets.earn(_SERVICE)
            context.requests += 1
            while fails(number) and budgets.spend(_SERVICE):
                context.repeated += 1
                if not number:
                    break
