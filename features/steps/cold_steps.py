"""Steps about the rate limit of cold instances, with many gateways."""

import asyncio
import collections
import random

import behave

from features.support import choices
from features.support import simulation
from honeyport import errors
from honeyport.policy import cold
from honeyport.policy import prefixes

_TOLERANCE = cold.cold_limit(3.0, 9.6, multiple=1.5, extra=5.0)
_COLD_MS = 3000
_DURATION_S = 0.3
_SEEDS = (1, 2, 3)


class Fleet:
    """Real gateway balancers and simulated instances on a virtual clock.

    :param cold_count: the number of instances that are cold from the start
    """

    def __init__(self, gateways, instances, cold_count):
        self.names = [f'g-{number}' for number in range(gateways)]
        self.instances = [f'i-{number:02}' for number in range(instances)]
        self.cold = set(self.instances[:cold_count])
        self.known_gateways = {name: list(self.names) for name in self.names}
        self.known_before = {}
        self.offered = 0
        self.sent = 0
        self.arrivals = collections.defaultdict(list)

    def play(self, per_s, hot_per_s, seconds, seed):
        """Simulate one load on a virtual clock."""
        loop = simulation.VirtualLoop()
        rng = random.Random(seed)
        random.seed(seed)
        loop.run_until_complete(self._play(rng, per_s, hot_per_s, seconds))

    async def _play(self, rng, per_s, hot_per_s, seconds):
        gateways = [self._gateway(name) for name in self.names]
        prompt = self._hot_prompt()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(rng.expovariate(per_s))
            parts = prompt
            if rng.random() >= hot_per_s / per_s:
                parts = choices.prompt_parts(f'subject-{rng.randrange(500)}')
            self._send(rng.choice(gateways), parts)

    def _gateway(self, name):
        balancer = choices.make_balancer(name, 'thu-duc', {})
        balancer.set_cold_limits({choices.SERVICE: _TOLERANCE})
        for members in (
            self.known_before.get(name),
            self.known_gateways[name],
        ):
            if members is not None:
                balancer.set_gateways(members)
        listed = choices.instance_list(
            dict.fromkeys(self.instances, 'thu-duc')
        )
        for instance in listed.instances:
            instance.cold_ms = _COLD_MS if instance.id in self.cold else 0
        balancer.apply_instances(listed, {}, asyncio.get_running_loop().time())
        return balancer

    def _hot_prompt(self):
        """Return a prompt whose best-ranked place is on a cold instance."""
        number = 0
        while True:
            parts = choices.prompt_parts(f'hot-{number}')
            if next(prefixes.rank_places(parts, self.instances)) in self.cold:
                return parts
            number += 1

    def _send(self, choice, parts):
        self.offered += 1
        try:
            chosen = choice.choose(choices.SERVICE, parts, ()).instance
        except errors.NoInstance:
            return
        self.sent += 1
        loop = asyncio.get_running_loop()
        tracking = choice.count_in_flight(chosen)
        tracking.__enter__()
        loop.call_later(_DURATION_S, tracking.__exit__, None, None, None)
        if chosen.id in self.cold:
            self.arrivals[chosen.id].append(loop.time())

    def max_per_second(self):
        """Return the maximum requests to a cold instance in one second."""
        maximum = 0
        for times in self.arrivals.values():
            for index, at in enumerate(times):
                within = [
                    arrival for arrival in times[index:] if arrival < at + 1.0
                ]
                maximum = max(maximum, len(within))
        return maximum


@behave.given(
    '{gateways:d} gateways before {instances:d} instances, {count:d} of them '
    'cold'
)
@behave.given(
    '{gateways:d} gateways before {instances:d} instances, of which '
    '{count:d} are cold'
)
def step_fleet(context, gateways, instances, count):
    context.fleets = [Fleet(gateways, instances, count) for _ in _SEEDS]


@behave.given('half of the gateways know only the gateways of that half')
def step_split(context):
    for fleet in context.fleets:
        half = len(fleet.names) // 2
        for name in fleet.names[:half]:
            fleet.known_gateways[name] = fleet.names[:half]


@behave.given(
    'each gateway has just received a list with only {count:d} others'
)
def step_few(context, count):
    for fleet in context.fleets:
        fleet.known_before = dict(fleet.known_gateways)
        for index, name in enumerate(fleet.names):
            others = fleet.names[index + 1 :] + fleet.names[:index]
            fleet.known_gateways[name] = [name, *others[:count]]


@behave.when(
    '{per_s:d} requests a second arrive for {seconds:d} seconds, '
    '{hot:d} of them with the hot prefix'
)
def step_play(context, per_s, seconds, hot):
    for fleet, seed in zip(context.fleets, _SEEDS, strict=True):
        fleet.play(per_s, hot, seconds, seed)


@behave.then(
    'no cold instance gets more than {limit:d} requests within one second'
)
def step_limit(context, limit):
    maxima = [fleet.max_per_second() for fleet in context.fleets]
    assert max(maxima) <= limit, maxima


@behave.then('all requests are sent')
def step_all_sent(context):
    for fleet in context.fleets:
        assert fleet.sent == fleet.offered, (fleet.sent, fleet.offered)


@behave.then('a share of at least {share:g} of the requests is sent')
def step_share_sent(context, share):
    for fleet in context.fleets:
        assert fleet.sent >= share * fleet.offered, fleet.sent / fleet.offered
