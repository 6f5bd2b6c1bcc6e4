"""Steps about instances that gateways cannot reach."""

import asyncio
import random

import behave

from features.support import choices
from features.support import simulation
from honeyport.policy import prefixes
from honeyport.policy import reach

_PER_DOMAIN = 4
_GATEWAYS_PER_DOMAIN = 3
# From a failure to the word of it at all gateways: a report's period, a tick
# and the next answer.
_LAG_S = 0.3
_STEP_S = 0.05


@behave.given('gateways in {gateways}, and instances in each')
def step_each(context, gateways):
    _set(context, gateways.split(', '), gateways.split(', '))


@behave.given('gateways in {gateways}, and instances in {instances}')
def step_some(context, gateways, instances):
    _set(context, gateways.split(', '), instances.split(', '))


def _set(context, gateways, instances):
    context.gateways = gateways
    context.silent = set()
    context.down = {domain: frozenset() for domain in gateways}
    context.resting = {}
    context.domains = {
        f'{domain}-{number}': domain
        for domain in instances
        for number in range(1, _PER_DOMAIN + 1)
    }


@behave.when('the gateways of {domain} fall silent')
def step_silent(context, domain):
    context.silent.add(domain)
    del context.down[domain]


@behave.when('gateways of {domains} cannot reach {instances}')
def step_cannot(context, domains, instances):
    for domain in domains.split(', '):
        context.down[domain] = frozenset(instances.split(', '))


@behave.when('gateways of {domains} tell that {instances} rests')
def step_rests(context, domains, instances):
    named = set() if instances == 'nothing' else set(instances.split(', '))
    for domain in domains.split(', '):
        context.resting[domain] = frozenset(named)


@behave.then('all leave {instances} alone')
def step_alone(context, instances):
    wanted = set(instances.split(', '))
    if instances == 'nothing':
        wanted = set()
    if instances.startswith('all of '):
        domain = instances.removeprefix('all of ')
        wanted = {name for name, of in context.domains.items() if of == domain}
    words = []
    for domain, down in context.down.items():
        resting = context.resting.get(domain, frozenset())
        words.append(reach.GatewayReport(domain, down, resting))
        # The other gateways of a domain have not tried.
        rest = _GATEWAYS_PER_DOMAIN - 1
        words += [reach.GatewayReport(domain, frozenset())] * rest
    found = reach.Exclusions().update(
        words, context.domains, context.silent, 0.0
    )
    assert found == wanted, found


@behave.then('it is left alone for {lengths} seconds in turn')
def step_lengths(context, lengths):
    register = reach.Exclusions()
    now = 0.0
    words = [
        reach.GatewayReport(domain, down)
        for domain, down in context.down.items()
    ]
    silence = [
        reach.GatewayReport(domain, frozenset()) for domain in context.down
    ]
    for length in lengths.split(', '):
        assert register.update(words, context.domains, set(), now)
        now += float(length) - 0.1
        assert register.update(silence, context.domains, set(), now)
        now += 0.2
        assert not register.update(silence, context.domains, set(), now)


class Fleet:
    """Gateways that choose, and instances of which some are dark."""

    def __init__(self, gateways, instances, domains):
        self.loop = simulation.VirtualLoop()
        self.random = random.Random(1)
        random.seed(1)
        names = [f'd-{number}' for number in range(domains)]
        self.lost = names[-1]
        self.domains = {
            f'i-{number:03}': names[number % domains]
            for number in range(instances)
        }
        self.gateways = [
            choices.make_balancer(f'g-{number}', names[number % domains], {})
            for number in range(gateways)
        ]
        self.heard = [
            one
            for number, one in enumerate(self.gateways)
            if names[number % domains] != self.lost
        ]
        self.words = [
            names[number % domains]
            for number in range(gateways)
            if names[number % domains] != self.lost
        ]
        self.reach = reach.Exclusions()
        self.silent = {self.lost}
        self.offers = []

    async def start(self):
        """Tell all gateways which instances there are."""
        listed = choices.instance_list(self.domains)
        for one in self.heard:
            one.update(listed, {}, 0.0)

    async def play(self, seconds, per_s):
        """Play requests; return the share of offers to dark instances."""
        now = asyncio.get_running_loop().time
        until = now() + seconds
        offers = lost = 0
        while now() < until:
            await asyncio.sleep(_STEP_S)
            for one in self.heard:
                if self.random.random() < per_s * _STEP_S:
                    offers += 1
                    lost += self._offer(one)
            self._tell(now())
        return lost / offers

    def _offer(self, gateway):
        """Offer one request; return whether the instance was dark."""
        subject = prefixes.Part(f's-{self.random.randrange(10**6)}', 6000)
        parts = (subject, prefixes.Part('own', 500))
        chosen = gateway.choose(choices.SERVICE, parts, ()).instance
        is_dark = chosen.domain == self.lost
        if is_dark:
            gateway.record_failure(chosen, 'HP-3007', was_reached=False)
        return is_dark

    def _tell(self, now):
        """Tell all what was out of reach a moment ago."""
        words = [
            reach.GatewayReport(domain, frozenset(one.unreachable))
            for domain, one in zip(self.words, self.heard, strict=True)
        ]
        found = self.reach.update(words, self.domains, self.silent, now)
        self.offers.append((now, found))
        for at, former in self.offers:
            if at <= now - _LAG_S:
                for one in self.heard:
                    one.set_unreachable(former)


@behave.given(
    '{gateways:d} gateways before {instances:d} instances in {domains:d} '
    'failure domains'
)
def step_fleet(context, gateways, instances, domains):
    context.fleet = Fleet(gateways, instances, domains)
    context.fleet.loop.run_until_complete(context.fleet.start())


@behave.given(
    'a leader that never heard the gateways of the one that gets lost'
)
def step_unheard(context):
    context.fleet.silent = set()


@behave.when(
    'one failure domain is lost, and {per_s:d} requests a second come to each'
)
def step_lost(context, per_s):
    context.per_s = per_s


@behave.then(
    '{seconds:g} seconds later at most {most:d} in 100 offers go to instances '
    'that are lost'
)
def step_share(context, seconds, most):
    fleet = context.fleet
    run = fleet.loop.run_until_complete
    first = run(fleet.play(seconds, context.per_s))
    share = run(fleet.play(seconds, context.per_s))
    assert share <= most / 100, (first, share)
