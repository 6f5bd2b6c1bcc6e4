"""Steps about choosing by counts that are late."""

import behave

from features.support import gateways
from honeyport.policy import stale


@behave.given('{count:d} gateways whose counts reach each other late')
def step_gateways(context, count):
    context.gateways = count


@behave.given('{count:d} instances with room for {room:d} requests each')
def step_instances(context, count, room):
    context.instances = count
    context.room = room


@behave.when('{rate:d} requests a second of {stay_s:g} seconds each come')
def step_come(context, rate, stay_s):
    context.load = gateways.Workload(
        gateways=context.gateways,
        instances=context.instances,
        slots=context.room,
        requests_per_s=rate,
        duration_s=stay_s,
    )


@behave.then('at most {most:d} in 1000 offers are turned away')
def step_most(context, most):
    found = gateways.mean_refused_share(context.load)
    assert found * 1000 <= most, found


@behave.then(
    'with the least loaded instance by late counts at least {least:d} are'
)
def step_before(context, least):
    found = gateways.mean_refused_share(context.load, gateways.least_loaded)
    assert found * 1000 >= least, found


@behave.given('counts of {a:d}, {b:d} and {c:d} that are {age:d} seconds old')
def step_counts(context, a, b, c, age):
    others = {'i-0': a, 'i-1': b, 'i-2': c}
    counts = stale.LoadCounts(
        own=lambda name: 0,
        others=others.__getitem__,
        age_s=float(age),
        mean_duration_s=0.1,
    )
    weights = stale.weights(list(others), counts)
    context.shares = [one / sum(weights) for one in weights]


@behave.then('the instance with 1 takes all')
def step_least(context):
    assert context.shares == [0.0, 1.0, 0.0], context.shares


@behave.then('all instances take the same')
def step_same(context):
    assert max(context.shares) - min(context.shares) < 1e-9, context.shares
