"""Steps about instances that are excluded for all gateways."""

import asyncio
import random

import behave

from features.support import choices
from features.support import simulation
from honeyport.policy import prefixes
from honeyport.policy import reach

_PER_DOMAIN = 4
_GATEWAYS_PER_DOMAIN = 3
# From a failure to the exclusion at all gateways: a report period, a tick and
# the next answer.
_PROPAGATION_S = 0.3
_STEP_S = 0.05


@behave.given('gateways in {gateways}, and instances in each')
def step_each(context, gateways):
    _set(context, gateways.split(', '), gateways.split(', '))


@behave.given('gateways in {gateways}, and instances in {instances}')
def step_some(context, gateways, instances):
    _set(context, gateways.split(', '), instances.split(', '))


def _set(context, gateways, instances):
    context.gateways = gateways
    context.silent_domains = set()
    context.down = {domain: frozenset() for domain in gateways}
    context.resting = {}
    context.domains = {
        f'{domain}-{number}': domain
        for domain in instances
        for number in range(1, _PER_DOMAIN + 1)
    }


@behave.when('the gateways of {domain} stop reporting')
def step_silent(context, domain):
    context.silent_domains.add(domain)
    del context.down[domain]


@behave.when('gateways of {domains} cannot reach {instances}')
def step_unreachable(context, domains, instances):
    for domain in domains.split(', '):
        context.down[domain] = frozenset(instances.split(', '))


@behave.when('gateways of {domains} report a backoff of {instances}')
def step_backoff(context, domains, instances):
    named = set() if instances == 'none' else set(instances.split(', '))
    for domain in domains.split(', '):
        context.resting[domain] = frozenset(named)


@behave.then('the excluded instances are {instances}')
def step_excluded(context, instances):
    expected = set(instances.split(', '))
    if instances == 'none':
        expected = set()
    if instances.startswith('all of '):
        domain = instances.removeprefix('all of ')
        expected = {
            name
            for name, instance_domain in context.domains.items()
            if instance_domain == domain
        }
    reports = []
    for domain, down in context.down.items():
        resting = context.resting.get(domain, frozenset())
        reports.append(reach.GatewayReport(domain, down, resting))
        # The other gateways of a domain have not tried to connect.
        others = _GATEWAYS_PER_DOMAIN - 1
        reports += [reach.GatewayReport(domain, frozenset())] * others
    excluded = reach.ExclusionTracker().update(
        reports, context.domains, context.silent_domains, 0.0
    )
    assert excluded == expected, excluded


@behave.then('it is excluded for {durations} seconds in turn')
def step_durations(context, durations):
    exclusions = reach.ExclusionTracker()
    now = 0.0
    reports = [
        reach.GatewayReport(domain, down)
        for domain, down in context.down.items()
    ]
    empty_reports = [
        reach.GatewayReport(domain, frozenset()) for domain in context.down
    ]
    for duration in durations.split(', '):
        assert exclusions.update(reports, context.domains, set(), now)
        now += float(duration) - 0.1
        assert exclusions.update(empty_reports, context.domains, set(), now)
        now += 0.2
        assert not exclusions.update(
            empty_reports, context.domains, set(), now
        )


class Fleet:
    """Gateways with real balancers, and instances of which some are lost.

    A gateway confirms a failure in the next step, by a connection to another
    instance.
    """

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
        self.connected = [
            gateway
            for number, gateway in enumerate(self.gateways)
            if names[number % domains] != self.lost
        ]
        self.connected_domains = [
            names[number % domains]
            for number in range(gateways)
            if names[number % domains] != self.lost
        ]
        self.reach = reach.ExclusionTracker()
        self.silent_domains = {self.lost}
        self.updates = []
        self.unconfirmed = []

    async def start(self):
        """Send the list of instances to all gateways."""
        listed = choices.instance_list(self.domains)
        for gateway in self.connected:
            gateway.apply_instances(listed, {}, 0.0)

    async def play(self, seconds, per_s):
        """Simulate requests; return the share sent to lost instances."""
        now = asyncio.get_running_loop().time
        until = now() + seconds
        attempts = lost = 0
        while now() < until:
            await asyncio.sleep(_STEP_S)
            for gateway, failed in self.unconfirmed:
                gateway.confirm_failures([failed.id])
            self.unconfirmed.clear()
            for gateway in self.connected:
                if self.random.random() < per_s * _STEP_S:
                    attempts += 1
                    lost += self._send(gateway)
            self._propagate(now())
        return lost / attempts

    def _send(self, gateway):
        """Send one request; return whether the instance was lost."""
        subject = prefixes.Part(f's-{self.random.randrange(10**6)}', 6000)
        parts = (subject, prefixes.Part('own', 500))
        chosen = gateway.choose(choices.SERVICE, parts, ()).instance
        is_lost = chosen.domain == self.lost
        if is_lost:
            gateway.record_failure(
                chosen, 'HP-3007', connected=False, confirmed=False
            )
            self.unconfirmed.append((gateway, chosen))
        return is_lost

    def _propagate(self, now):
        """Send the delayed exclusions to all gateways."""
        reports = [
            reach.GatewayReport(domain, frozenset(gateway.unreachable))
            for domain, gateway in zip(
                self.connected_domains, self.connected, strict=True
            )
        ]
        excluded = self.reach.update(
            reports, self.domains, self.silent_domains, now
        )
        self.updates.append((now, excluded))
        for at, excluded_then in self.updates:
            if at <= now - _PROPAGATION_S:
                for gateway in self.connected:
                    gateway.set_fleet_unreachable(excluded_then)


@behave.given(
    '{gateways:d} gateways before {instances:d} instances in {domains:d} '
    'failure domains'
)
def step_fleet(context, gateways, instances, domains):
    context.fleet = Fleet(gateways, instances, domains)
    context.fleet.loop.run_until_complete(context.fleet.start())


@behave.given('a leader that has no reports from the domain that will be lost')
def step_unknown(context):
    context.fleet.silent_domains = set()


@behave.when(
    'one failure domain is lost, and each gateway gets {per_s:d} requests a '
    'second'
)
def step_lost(context, per_s):
    context.per_s = per_s


@behave.then(
    '{seconds:g} seconds later at most {limit:d} in 100 attempts go to lost '
    'instances'
)
def step_share(context, seconds, limit):
    fleet = context.fleet
    run = fleet.loop.run_until_complete
    first = run(fleet.play(seconds, context.per_s))
    share = run(fleet.play(seconds, context.per_s))
    assert share <= limit / 100, (first, share)
