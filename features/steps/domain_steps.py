"""Steps for failure domains and regions, on a virtual clock."""

import asyncio
import contextlib

import behave

from features.support import choices
from features.support import simulation
from honeyport import errors
from honeyport.policy import cold

_REGION = frozenset({'hcm'})


class DomainFixture:
    """A balancer with instances in several failure domains."""

    def __init__(self, domains, count):
        self.loop = simulation.VirtualLoop()
        self.domains = domains
        self.regions = {}
        self.held_requests = contextlib.ExitStack()
        self.balancer = choices.make_balancer('g-1', domains[0], self.regions)
        self.balancer.set_cold_limits(
            {
                choices.SERVICE: cold.cold_limit(
                    2.5, 2.0, multiple=1.5, extra=2.0
                )
            }
        )
        self.instance_list = choices.instance_list(
            {
                f'{domain}-{number}': domain
                for domain in domains
                for number in range(count)
            }
        )
        self.run(self._apply_list())

    def run(self, coroutine):
        """Run a coroutine on the virtual clock."""
        return self.loop.run_until_complete(coroutine)

    async def _apply_list(self):
        self.balancer.set_gateways(['g-1', 'g-2'])
        self.balancer.apply_instances(self.instance_list, {}, 0.0)

    async def evacuate(self, domains):
        """Set the evacuated domains."""
        self.balancer.set_evacuated(frozenset(domains))

    async def send(self, count, regions=None, kinds=(True, False)):
        """Choose instances for requests that end at once."""
        chosen = []
        for number in range(count):
            has_prompt = kinds[number % len(kinds)]
            parts = choices.prompt_parts(f's-{number}') if has_prompt else ()
            choice = self.balancer.choose(choices.SERVICE, parts, (), regions)
            with self.balancer.count_in_flight(choice.instance):
                chosen.append(choice)
        return chosen

    async def fill(self, count, subjects):
        """Choose for requests that keep running; return loads and means."""
        loads = []
        for number in range(count):
            parts = choices.prompt_parts(f's-{number % subjects}')
            choice = self.balancer.choose(choices.SERVICE, parts, ())
            running = self.balancer.running
            mean_load = running.total() / len(self.instance_list.instances)
            loads.append((running[choice.instance.id], mean_load))
            self.held_requests.enter_context(
                self.balancer.count_in_flight(choice.instance)
            )
        return loads


@behave.given('a balancer with {count:d} instances in each of {domains}')
def step_balancer(context, count, domains):
    context.fixture = DomainFixture(domains.split(', '), count)


@behave.given('thu-duc is in hcm, and the others in danang')
def step_regions(context):
    for domain in context.fixture.domains:
        region = 'hcm' if domain == 'thu-duc' else 'danang'
        context.fixture.regions[domain] = region


@behave.when('{domains} is evacuated')
def step_evacuated(context, domains):
    context.fixture.run(context.fixture.evacuate(domains.split(', ')))


@behave.when('thu-duc is restored')
def step_restored(context):
    context.fixture.run(context.fixture.evacuate(()))


@behave.when('{seconds:d} seconds pass on the clock')
def step_pass(context, seconds):
    context.fixture.run(asyncio.sleep(seconds))


@behave.when(
    '{count:d} requests of {subjects:d} prefixes arrive and keep running'
)
def step_fill(context, count, subjects):
    fixture = context.fixture
    context.met = fixture.run(fixture.fill(count, subjects))


@behave.then('no chosen instance had more than twice the mean load plus 3')
def step_bound(context):
    over = [load for load in context.met if load[0] > 2 * load[1] + 3]
    assert not over, over


@behave.then('{count:d} requests with and without prompts go to {domains}')
def step_chosen_domains(context, count, domains):
    context.choices = context.fixture.run(context.fixture.send(count))
    assert _domains(context.choices) == set(domains.split(', '))


@behave.then('{count:d} requests for hcm go to {domains}')
def step_chosen_domains_in_region(context, count, domains):
    fixture = context.fixture
    context.choices = fixture.run(fixture.send(count, _REGION))
    assert _domains(context.choices) == set(domains.split(', '))


@behave.then('some prefixes are copied from thu-duc')
def step_copied(context):
    assert 'thu-duc' in _source_domains(context.choices)


@behave.then('none of them copies a prefix from another region')
def step_not_copied(context):
    assert _source_domains(context.choices) == {'thu-duc'}


@behave.then(
    'of {count:d} requests with prompts at most {limit:d} go to thu-duc at '
    'once'
)
def step_chosen_rarely(context, count, limit):
    fixture = context.fixture
    chosen = fixture.run(fixture.send(count, kinds=(True,)))
    count_in_domain = sum(
        choice.instance.domain == 'thu-duc' for choice in chosen
    )
    assert count_in_domain <= limit, count_in_domain


@behave.then('a request is refused as not run, with a retry time')
def step_refused(context):
    _check_refused(context.fixture, None)


@behave.then('a request for hcm is refused as not run, with a retry time')
def step_refused_in_region(context):
    _check_refused(context.fixture, _REGION)


def _check_refused(fixture, regions):
    try:
        fixture.run(fixture.send(1, regions))
    except errors.NoInstance as error:
        assert error.ran is False
        assert error.retry_after
        return
    raise AssertionError('it was sent')


def _domains(chosen):
    return {choice.instance.domain for choice in chosen}


def _source_domains(chosen):
    return {
        choice.source.domain for choice in chosen if choice.source is not None
    }
