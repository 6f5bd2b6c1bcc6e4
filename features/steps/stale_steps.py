"""Steps about the selection of instances by outdated counts."""

import behave

from features.support import gateways
from honeyport.policy import stale


@behave.given('{count:d} gateways that get the counts of each other late')
def step_gateways(context, count):
    context.gateways = count


@behave.given(
    '{count:d} instances with a capacity of {capacity:d} requests each'
)
def step_instances(context, count, capacity):
    context.instances = count
    context.capacity = capacity


@behave.when(
    '{rate:d} requests a second arrive that take {duration_s:g} seconds each'
)
def step_arrive(context, rate, duration_s):
    context.load = gateways.Workload(
        gateways=context.gateways,
        instances=context.instances,
        slots=context.capacity,
        requests_per_s=rate,
        duration_s=duration_s,
    )


@behave.then('at most {limit:d} in 1000 attempts are rejected')
def step_limit(context, limit):
    rejected = gateways.mean_refused_share(context.load)
    assert rejected * 1000 <= limit, rejected


@behave.then(
    'at least {minimum:d} are if the least loaded instance is always chosen'
)
def step_naive(context, minimum):
    rejected = gateways.mean_refused_share(context.load, gateways.least_loaded)
    assert rejected * 1000 >= minimum, rejected


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
    context.shares = [weight / sum(weights) for weight in weights]


@behave.then('the instance with 1 gets all requests')
def step_least(context):
    assert context.shares == [0.0, 1.0, 0.0], context.shares


@behave.then('all instances get equal shares')
def step_same(context):
    assert max(context.shares) - min(context.shares) < 1e-9, context.shares
