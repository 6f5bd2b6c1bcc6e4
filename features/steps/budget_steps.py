"""Steps about the allowance for offers beyond the first."""

import random

import behave

from honeyport.policy import repeats

_SERVICE = 'app'
_WINDOW_S = 10.0


@behave.given(
    '{count:d} gateways and a retry budget of {ratio:g} per request plus '
    '{extra:d}'
)
def step_gateways(context, count, ratio, extra):
    context.allowance = repeats.Allowance(ratio=ratio, extra=extra)
    context.known = count
    context.budgets = make(context, count)
    context.requests = 0
    context.repeated = 0
    context.now = 0.0


@behave.when('each of them gets {count:d} requests, and all attempts fail')
def step_all_fail(context, count):
    send(context, count, fails=lambda number: True)


@behave.when('each of them gets {count:d} requests, and one of them fails')
def step_one_fails(context, count):
    send(context, count, fails=lambda number: number == 0)


@behave.when('they restart without knowing the number of gateways')
def step_anew(context):
    context.known = 0
    context.budgets = make(context, len(context.budgets))


@behave.when('{per_s:d} requests a second arrive for {seconds:d} seconds')
def step_load(context, per_s, seconds):
    for number in range(per_s * seconds):
        context.now += 1 / per_s
        budgets = context.budgets[number % len(context.budgets)]
        budgets.record_request(_SERVICE, context.now)


@behave.when('{count:d} streams break at once, {most:d} at one gateway')
def step_break(context, count, most):
    hit = [0] * most
    others = len(context.budgets) - 1
    hit += [1 + number % others for number in range(count - most)]
    context.repeated = sum(
        context.budgets[number].try_spend(_SERVICE, context.now)
        for number in hit
    )


@behave.when(
    'random loads with failures and restarts are played {count:d} times'
)
def step_random(context, count):
    context.over = []
    for seed in range(count):
        context.over += play(context, random.Random(seed))


@behave.then('no budget window has more retries than allowed')
def step_no_window(context):
    assert not context.over, context.over[:3]


def play(context, chance):
    """Play a minute of load; return the windows over the allowance."""
    context.budgets = make(context, len(context.budgets))
    sent, repeated = [], []
    now = 0.0
    per_s = chance.choice((5, 30, 90))
    failing = restart = 0.0
    while now < 60.0:
        now += chance.expovariate(per_s)
        if chance.random() < 0.002:
            failing = now + chance.uniform(0.5, 8.0)
        if chance.random() < 0.0005 and now - restart > _WINDOW_S / 2:
            context.budgets = make(context, len(context.budgets))
            restart = now
        budgets = chance.choice(context.budgets)
        budgets.record_request(_SERVICE, now)
        sent.append(now)
        for _ in range(2):
            if now < failing and budgets.try_spend(_SERVICE, now):
                repeated.append(now)
    return [
        (at, found, most)
        for at in (step * 0.5 for step in range(120))
        if (found := within(repeated, at))
        > (most := allowed(context, sent, at))
    ]


def within(times, begin):
    """Return how many times lie in the window from a moment on."""
    return sum(begin <= time < begin + _WINDOW_S for time in times)


def allowed(context, sent, begin):
    """Return what the operators allow in a window.

    The requests are those of the window, of the one before, or of the one
    half a window before, whichever has most.
    """
    most = max(
        within(sent, begin - shift)
        for shift in (0.0, _WINDOW_S / 2, _WINDOW_S)
    )
    return context.allowance.ratio * most + context.allowance.extra


@behave.then('the retries are within the budget')
def step_within(context):
    allowance = context.allowance
    most = allowance.ratio * context.requests + allowance.extra
    assert context.repeated <= most, (context.repeated, most)


@behave.then('{count:d} requests are retried')
def step_once_more(context, count):
    assert context.repeated == count, context.repeated


def make(context, count):
    """Return the budgets of some gateways that have just started."""
    return [
        repeats.RetryBudgets(context.allowance, lambda: context.known)
        for _ in range(count)
    ]


def send(context, count, fails):
    """Send requests to each gateway; repeat those that fail if it may."""
    for budgets in context.budgets:
        for number in range(count):
            budgets.record_request(_SERVICE, context.now)
            context.requests += 1
            while fails(number) and budgets.try_spend(_SERVICE, context.now):
                context.repeated += 1
                if not number:
                    break
