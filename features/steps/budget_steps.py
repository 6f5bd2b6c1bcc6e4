"""Steps for the retry budget of gateways."""

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
    context.budgets = make_budgets(context, count)
    context.requests = 0
    context.repeated = 0
    context.now = 0.0


@behave.when('each of them gets {count:d} requests, and all attempts fail')
def step_all_fail(context, count):
    send_requests(context, count, fails=lambda number: True)


@behave.when('each of them gets {count:d} requests, and one of them fails')
def step_one_fails(context, count):
    send_requests(context, count, fails=lambda number: number == 0)


@behave.when('they restart without knowing the number of gateways')
def step_restart(context):
    context.known = 0
    context.budgets = make_budgets(context, len(context.budgets))


@behave.when('{per_s:d} requests a second arrive for {seconds:d} seconds')
def step_load(context, per_s, seconds):
    for number in range(per_s * seconds):
        context.now += 1 / per_s
        budgets = context.budgets[number % len(context.budgets)]
        budgets.record_request(_SERVICE, context.now)


@behave.when('{count:d} streams break at once, {at_one:d} at one gateway')
def step_break(context, count, at_one):
    gateway_numbers = [0] * at_one
    remaining_gateways = len(context.budgets) - 1
    gateway_numbers += [
        1 + number % remaining_gateways for number in range(count - at_one)
    ]
    context.repeated = sum(
        context.budgets[number].try_spend(_SERVICE, context.now)
        for number in gateway_numbers
    )


@behave.when('{count:d} random loads with failures and restarts are simulated')
def step_random(context, count):
    context.over = []
    for seed in range(count):
        context.over += simulate(context, random.Random(seed))


@behave.then('no budget window has more retries than allowed')
def step_windows_within(context):
    assert not context.over, context.over[:3]


def simulate(context, rng):
    """Simulate a minute of load; return the windows over the budget."""
    context.budgets = make_budgets(context, len(context.budgets))
    sent, repeated = [], []
    now = 0.0
    per_s = rng.choice((5, 30, 90))
    failing_until = restarted_at = 0.0
    while now < 60.0:
        now += rng.expovariate(per_s)
        if rng.random() < 0.002:
            failing_until = now + rng.uniform(0.5, 8.0)
        if rng.random() < 0.0005 and now - restarted_at > _WINDOW_S / 2:
            context.budgets = make_budgets(context, len(context.budgets))
            restarted_at = now
        budgets = rng.choice(context.budgets)
        budgets.record_request(_SERVICE, now)
        sent.append(now)
        for _ in range(2):
            if now < failing_until and budgets.try_spend(_SERVICE, now):
                repeated.append(now)
    return [
        (begin, retries, limit)
        for begin in (step * 0.5 for step in range(120))
        if (retries := count_in_window(repeated, begin))
        > (limit := allowed_retries(context, sent, begin))
    ]


def count_in_window(times, begin):
    """Count the times in the window that starts at a time."""
    return sum(begin <= time < begin + _WINDOW_S for time in times)


def allowed_retries(context, sent, begin):
    """Return the number of retries that are allowed in a window.

    It is based on the requests of the window, of the previous window or of
    the window half a length earlier, whichever has most.
    """
    requests = max(
        count_in_window(sent, begin - shift)
        for shift in (0.0, _WINDOW_S / 2, _WINDOW_S)
    )
    return context.allowance.ratio * requests + context.allowance.extra


@behave.then('the retries are within the budget')
def step_within(context):
    allowance = context.allowance
    limit = allowance.ratio * context.requests + allowance.extra
    assert context.repeated <= limit, (context.repeated, limit)


@behave.then('{count:d} requests are retried')
def step_retried(context, count):
    assert context.repeated == count, context.repeated


def make_budgets(context, count):
    """Return the budgets of newly started gateways."""
    return [
        repeats.RetryBudgets(context.allowance, lambda: context.known)
        for _ in range(count)
    ]


def send_requests(context, count, fails):
    """Send requests to each gateway; retry failed ones within the budget."""
    for budgets in context.budgets:
        for number in range(count):
            budgets.record_request(_SERVICE, context.now)
            context.requests += 1
            while fails(number) and budgets.try_spend(_SERVICE, context.now):
                context.repeated += 1
                if not number:
                    break
