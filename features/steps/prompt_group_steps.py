"""Steps for the instances of long and short prompts, and reported loads."""

import contextlib

import behave
from tornado import httputil

from features.support import choices
from honeyport.gateway import headers
from honeyport.gateway import prompt_groups
from honeyport.policy import prefixes

_PROMPTS = 400


class GroupFixture:
    """A balancer and the groups of its prompts."""

    def __init__(self, count, long, total, *, has_option=True):
        self.groups = prompt_groups.PromptGroups() if has_option else None
        self.balancer = choices.make_balancer(
            'g-1', 'thu-duc', {}, self.groups
        )
        self.names = [f'i-{number}' for number in range(count)]
        self.own = 'own'
        if self.groups is not None:
            self.groups.set_gaps({choices.SERVICE: 0.3})
            self.groups.set_fleet_running_long({choices.SERVICE: long})
        self.set_loads(dict.fromkeys(self.names, total // count))

    def set_loads(self, running):
        """Apply the instance list and the load of other gateways."""
        domains = dict.fromkeys(self.names, 'thu-duc')
        listed = choices.instance_list(domains)
        self.balancer.apply_instances(listed, running, 0.0)

    def parts(self, number, *, is_long):
        """Return the parts of one of many prompts."""
        tokens = 12000 if is_long else 700
        return (
            prefixes.Part(f'subject-{is_long}-{number}', tokens),
            prefixes.Part(f'own-{number}', 300),
        )

    def choices(self, *, is_long):
        """Return the choices for many prompts."""
        return [
            self.balancer.choose(
                choices.SERVICE, self.parts(number, is_long=is_long), ()
            )
            for number in range(_PROMPTS)
        ]

    def used(self, *, is_long):
        """Return the ids of the instances that prompts are sent to."""
        return {choice.instance.id for choice in self.choices(is_long=is_long)}


@behave.given(
    'a gateway with {count:d} instances, {long:d} of {total:d} requests have '
    'long prompts'
)
def step_gateway(context, count, long, total):
    async def make():
        return GroupFixture(count, long, total)

    context.fixture = context.run(make())
    context.long_names = _used(context, is_long=True)


@behave.given('a gateway without the option')
def step_without(context):
    async def make():
        return GroupFixture(20, 60, 200, has_option=False)

    context.fixture = context.run(make())


@behave.then('{count:d} instances get all long prompts')
def step_long(context, count):
    used = _used(context, is_long=True)
    assert len(used) == count, used


@behave.then('the other {count:d} get all short prompts')
def step_short(context, count):
    used = _used(context, is_long=False)
    assert len(used) == count, used
    assert not used & context.long_names, used


@behave.then('all instances get long and short prompts')
def step_all(context):
    assert _used(context, is_long=True) == set(context.fixture.names)
    assert _used(context, is_long=False) == set(context.fixture.names)


@behave.when('all instances for long prompts are at the bound')
def step_at_bound(context):
    _fill(context, context.long_names)


@behave.when('all instances for long prompts but one are at the bound')
def step_one_left(context):
    context.free_name = min(context.long_names)
    _fill(context, context.long_names - {context.free_name})


@behave.then('long prompts are sent to the others')
def step_others(context):
    others = set(context.fixture.names) - context.long_names
    assert _used(context, is_long=True) == others


@behave.then('no instance exceeds its bound')
def step_bound(context):
    for choice in _choices(context, is_long=True):
        assert choice.load < choice.bound, choice


@behave.then(
    'long prompts name the first instance of their group as the source'
)
def step_source(context):
    group = context.long_names
    for number, choice in enumerate(_choices(context, is_long=True)):
        assert choice.instance.id == context.free_name, choice
        parts = context.fixture.parts(number, is_long=True)
        first = next(prefixes.rank_places(parts, group - {context.free_name}))
        assert choice.source.id == first, (choice, first)


@behave.when('short prompts claim {tokens:d} tokens')
def step_claim(context, tokens):
    async def choose():
        fixture = context.fixture
        parts = (prefixes.Part('forged', tokens), prefixes.Part('own', 1))
        for _ in range(_PROMPTS):
            choice = fixture.balancer.choose(choices.SERVICE, parts, ())
            with fixture.balancer.count_in_flight(choice.instance, parts):
                fixture.groups.update(choices.SERVICE, 200)

    context.run(choose())


@behave.when('{long:d} long and {short:d} short prompts are in flight')
def step_in_flight(context, long, short):
    async def start():
        fixture = context.fixture
        context.held = contextlib.ExitStack()
        for is_long, count in ((True, long), (False, short)):
            for number in range(count):
                parts = fixture.parts(number, is_long=is_long)
                choice = fixture.balancer.choose(choices.SERVICE, parts, ())
                context.held.enter_context(
                    fixture.balancer.count_in_flight(choice.instance, parts)
                )

    context.run(start())


@behave.when('they have ended')
def step_ended(context):
    async def end():
        context.held.close()

    context.run(end())


@behave.then('{count:d} requests with long prompts are reported')
def step_reported(context, count):
    reported = context.fixture.groups.running_long
    assert sum(reported.values()) == count, reported


@behave.when('an instance reports the load "{text}"')
def step_load(context, text):
    context.load = headers.parse_load(text)


@behave.when('an instance reports the load ""')
def step_no_load(context):
    context.load = headers.parse_load('')


@behave.then(
    '{running:d} requests are running and {waiting:d} are waiting there'
)
def step_running(context, running, waiting):
    assert context.load is not None
    assert (context.load.running, context.load.waiting) == (running, waiting)


@behave.then('its load is not known')
def step_unknown(context):
    assert context.load is None, context.load


@behave.when('a request has the prompt parts "{text}"')
def step_parts(context, text):
    names = headers.HeaderNames()
    start_line = httputil.RequestStartLine('POST', '/', 'HTTP/1.1')
    sent = httputil.HTTPHeaders({names.prompt_parts: text})

    async def decode():
        return headers.decode(start_line, sent, b'', names, 1.0)

    context.request = context.run(decode())


@behave.then('the sizes of its parts are {tokens}')
def step_sizes(context, tokens):
    sizes = ','.join(str(part.tokens) for part in context.request.parts)
    assert sizes == tokens, sizes


def _choices(context, *, is_long):
    async def choose():
        return context.fixture.choices(is_long=is_long)

    return context.run(choose())


def _used(context, *, is_long):
    async def choose():
        return context.fixture.used(is_long=is_long)

    return context.run(choose())


def _fill(context, names):
    async def fill():
        loads = dict.fromkeys(context.fixture.names, 4)
        context.fixture.set_loads(loads | dict.fromkeys(names, 40))

    context.run(fill())
