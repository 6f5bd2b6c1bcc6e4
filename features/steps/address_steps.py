"""Steps about the content and the lifetime of address lists."""

import behave

from features.support import callers
from honeyport.policy import addresses
from honeyport.wire import honeyport_pb2 as pb

_LENGTH_S = 30.0


@behave.given(
    '{gateways:d} gateways and {count:d} callers that send {per_s:d} requests '
    'a second each'
)
def step_callers(context, gateways, count, per_s):
    context.gateways = [callers.Gateway() for _ in range(gateways)]
    context.count = count
    context.per_s = per_s


@behave.when(
    '{count:d} gateways are unreachable from second {first:d} to second '
    '{last:d}'
)
def step_dead(context, count, first, last):
    for gateway in context.gateways[:count]:
        gateway.dead = (first, last)


@behave.when(
    'every {interval_s:d} seconds a gateway leaves and returns {away_s:d} '
    'seconds later'
)
def step_rolling_restart(context, interval_s, away_s):
    for number, gateway in enumerate(context.gateways):
        left_at = 3.0 + number * interval_s
        gateway.leaving = (left_at, left_at + away_s)


def play(context, lifetime):
    """Simulate the load with list lifetimes from a function of the time."""
    return callers.simulate(
        context.gateways, context.count, context.per_s, lifetime, _LENGTH_S
    )


def policy_lifetime(context):
    """Return the policy's list lifetime as a function of the time."""
    policy = addresses.ListLifetime()

    def lifetime(now):
        leaving = [
            gateway for gateway in context.gateways if gateway.is_leaving(now)
        ]
        policy.record_draining(leaving, now)
        return policy.lifetime_s(now)

    return lifetime


@behave.then(
    'callers wait at least 10% less than with a list lifetime of {fixed_s:d} s'
)
def step_waits(context, fixed_s):
    waited_s = play(context, policy_lifetime(context)).waited_s
    fixed_waited_s = play(context, lambda now: float(fixed_s)).waited_s
    assert waited_s <= 0.9 * fixed_waited_s, (waited_s, fixed_waited_s)


@behave.then(
    'callers are refused at most half as often as with a list lifetime of '
    '{fixed_s:d} s'
)
def step_refused(context, fixed_s):
    refused = play(context, policy_lifetime(context)).refused
    fixed_refused = play(context, lambda now: float(fixed_s)).refused
    assert refused <= fixed_refused / 2, (refused, fixed_refused)


@behave.given('a gateway that starts to drain at second {at:d}')
def step_drains(context, at):
    context.draining_at = float(at)


@behave.then(
    'a list that is sent at second {at:d} has a lifetime of {lifetime_s:d} s'
)
def step_lifetime(context, at, lifetime_s):
    policy = addresses.ListLifetime()
    if at >= context.draining_at:
        policy.record_draining(['gateway'], context.draining_at)
    assert policy.lifetime_s(float(at)) == lifetime_s


@behave.given('2 gateways in thu-duc, 1 in tan-binh and 1 in son-tra')
def step_gateways(context):
    counts = {'thu-duc': 2, 'tan-binh': 1, 'son-tra': 1}
    context.members = [
        pb.Member(
            router=f'{domain}-{number}',
            domain=domain,
            address=f'{domain}-{number}',
        )
        for domain, count in counts.items()
        for number in range(1, count + 1)
    ]


@behave.given(
    'thu-duc and tan-binh are in region hcm, son-tra in region danang'
)
def step_regions(context):
    context.regions = {
        'thu-duc': 'hcm',
        'tan-binh': 'hcm',
        'son-tra': 'danang',
    }


@behave.then('a caller from {domain} gets the addresses {gateways}')
def step_selected(context, domain, gateways):
    selected = addresses.choose(context.members, domain, context.regions)
    assert selected == gateways.split(', '), selected
