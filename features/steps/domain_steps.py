"""Steps about failure domains and regions, on a virtual clock."""

import asyncio
import contextlib

import behave

from features.support import choices
from features.support import simulation
from honeyport import errors
from honeyport.policy import cold

_REGION = frozenset({'hcm'})


class Setting:
    """A gateway's choice among instances in several failure domains."""

    def __init__(self, domains, count):
        self.loop = simulation.VirtualLoop()
        self.domains = domains
        self.regions = {}
        self.held = contextlib.ExitStack()
        self.balancer = choices.make_balancer('g-1', domains[0], self.regions)
        self.balancer.set_cold_limits(
            {
                choices.SERVICE: cold.tolerance(
                    2.5, 2.0, multiple=1.5, extra=2.0
                )
            }
        )
        self.listed = choices.instance_list(
            {
                f'{domain}-{number}': domain
                for domain in domains
                for number in range(count)
            }
        )
        self.run(self._tell())

    def run(self, coroutine):
        """Run something on the virtual clock."""
        return self.loop.run_until_complete(coroutine)

    async def _tell(self):
        self.balancer.set_gateways(['g-1', 'g-2'])
        self.balancer.update(self.listed, {}, 0.0)

    async def evacuate(self, domains):
        """Tell the balancer which domains are evacuated."""
        self.balancer.set_evacuated(frozenset(domains))

    async def send(self, count, regions=None, kinds=(True, False)):
        """Choose for many requests, each of which ends at once."""
        made = []
        for number in range(count):
            has_prompt = kinds[number % len(kinds)]
            parts = choices.prompt_parts(f's-{number}') if has_prompt else ()
            choice = self.balancer.choose(choices.SERVICE, parts, (), regions)
            with self.balancer.track(choice.instance):
                made.append(choice)
        return made

    async def fill(self, count, subjects):
        """Choose for requests that stay; return the load each met."""
        met = []
        for number in range(count):
            parts = choices.prompt_parts(f's-{number % subjects}')
            choice = self.balancer.choose(choices.SERVICE, parts, ())
            running = self.balancer.running
            mean = running.total() / len(self.listed.instances)
            met.append((running[choice.instance.id], mean))
            self.held.enter_context(self.balancer.track(choice.instance))
        return met


@behave.given('a balancer with {count:d} instances in each of {domains}')
def step_choice(context, count, domains):
    context.fixture = Setting(domains.split(', '), count)


@behave.given('thu-duc is in hcm, and the others in danang')
def step_regions(context):
    for domain in context.fixture.domains:
        region = 'hcm' if domain == 'thu-duc' else 'danang'
        context.fixture.regions[domain] = region


@behave.when('{domains} is evacuated')
def step_evacuated(context, domains):
    context.fixture.run(context.fixture.evacuate(domains.split(', ')))


@behave.when('thu-duc is restored')
def step_taken_back(context):
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
    over = [one for one in context.met if one[0] > 2 * one[1] + 3]
    assert not over, over


@behave.then('{count:d} requests with and without prompts go to {domains}')
def step_go(context, count, domains):
    context.choices = context.fixture.run(context.fixture.send(count))
    assert _domains(context.choices) == set(domains.split(', '))


@behave.then('{count:d} requests for hcm go to {domains}')
def step_go_home(context, count, domains):
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
    'of {count:d} requests with prompts at most {most:d} go to thu-duc at once'
)
def step_few(context, count, most):
    fixture = context.fixture
    made = fixture.run(fixture.send(count, kinds=(True,)))
    found = sum(one.instance.domain == 'thu-duc' for one in made)
    assert found <= most, found


@behave.then('a request is refused as not run, with a retry time')
def step_refused(context):
    _check_refused(context.fixture, None)


@behave.then('a request for hcm is refused as not run, with a retry time')
def step_refused_home(context):
    _check_refused(context.fixture, _REGION)


def _check_refused(fixture, regions):
    try:
        fixture.run(fixture.send(1, regions))
    except errors.NoInstance as error:
        assert error.ran is False
        assert error.retry_after
        return
    raise AssertionError('it was sent')


def _domains(made):
    return {one.instance.domain for one in made}


def _source_domains(made):
    return {one.source.domain for one in made if one.source is not None}
