"""Steps about the lifetime of address lists."""

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
    '{count:d} gateways are dead from second {first:d} to second {last:d}'
)
def step_dead(context, count, first, last):
    for gateway in context.gateways[:count]:
        gateway.dead = (first, last)


@behave.when(
    'every {gap:d} seconds one leaves and is back {away:d} seconds later'
)
def step_roll(context, gap, away):
    for number, gateway in enumerate(context.gateways):
        left = 3.0 + number * gap
        gateway.leaving = (left, left + away)


def play(context, lifetime):
    """Play the load with lists that live as a function says."""
    return callers.play(
        context.gateways, context.count, context.per_s, lifetime, _LENGTH_S
    )


def by_policy(context):
    """Return the lifetime that the policy gives to a list."""
    policy = addresses.ListLifetime()

    def lifetime(now):
        leaving = [one for one in context.gateways if one.is_leaving(now)]
        policy.record_leaving(leaving, now)
        return policy.lifetime_s(now)

    return lifetime


@behave.then(
    'callers wait at least a tenth less than with lists that live {fixed:d} s'
)
def step_waits(context, fixed):
    ours = play(context, by_policy(context)).waited_s
    other = play(context, lambda now: float(fixed)).waited_s
    assert ours <= 0.9 * other, (ours, other)


@behave.then(
    'callers are refused at most half as often as with lists that live '
    '{fixed:d} s'
)
def step_refused(context, fixed):
    ours = play(context, by_policy(context)).refused
    other = play(context, lambda now: float(fixed)).refused
    assert ours <= other / 2, (ours, other)


@behave.given('a gateway leaves in an orderly way at second {at:d}')
def step_leaves(context, at):
    context.left = float(at)


@behave.then('a list of second {at:d} is kept for {seconds:d} s')
def step_kept_for(context, at, seconds):
    policy = addresses.ListLifetime()
    if at >= context.left:
        policy.record_leaving(['gateway'], context.left)
    assert policy.lifetime_s(float(at)) == seconds


@behave.given('gateways in thu-duc twice, tan-binh once, son-tra once')
def step_gateways(context):
    counts = {'thu-duc': 2, 'tan-binh': 1, 'son-tra': 1}
    context.members = [
        pb.Member(
            router=f'{domain}-{one}', domain=domain, address=f'{domain}-{one}'
        )
        for domain, count in counts.items()
        for one in range(1, count + 1)
    ]


@behave.given('thu-duc and tan-binh are in hcm, son-tra in danang')
def step_in_regions(context):
    context.regions = {
        'thu-duc': 'hcm',
        'tan-binh': 'hcm',
        'son-tra': 'danang',
    }


@behave.then('a caller from {domain} is sent to {gateways}')
def step_sent(context, domain, gateways):
    found = addresses.choose(context.members, domain, context.regions)
    assert found == gateways.split(', '), found
