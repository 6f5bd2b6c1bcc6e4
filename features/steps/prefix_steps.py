"""Steps for prompt prefixes that instances cache."""

import asyncio

import behave

from features.support import choices
from honeyport.policy import placement
from honeyport.policy import prefixes
from honeyport.wire import honeyport_pb2 as pb


class BalancerFixture:
    """A balancer and its list of instances."""

    def __init__(self, names):
        self.balancer = choices.make_balancer('g-1', 'thu-duc', {})
        self.listed = {name: pb.Instance(place=name) for name in names}
        self.number = 0
        self.first = None
        self.apply_list()

    def apply_list(self):
        """Apply the list of instances to the balancer."""
        self.number += 1
        instance_list = pb.Instances(number=self.number)
        for name, entry in self.listed.items():
            instance_list.instances.add(
                id=name,
                service=choices.SERVICE,
                address=name,
                domain='thu-duc',
                leaving=entry.leaving,
                place=entry.place,
            )
        self.balancer.apply_instances(instance_list, {}, 0.0)

    def ranked_instance(self, rank):
        """Return the instance with a rank for a prompt of the subject."""
        places = list(
            prefixes.rank_places(choices.prompt_parts('subject'), self.listed)
        )
        return placement.Instance(
            id=places[rank],
            service=choices.SERVICE,
            address=places[rank],
            domain='thu-duc',
            leaving=False,
            slots=8,
            place=places[rank],
        )

    def choose(self, subject='subject'):
        """Return the choice for a prompt of a subject."""
        return self.balancer.choose(
            choices.SERVICE, choices.prompt_parts(subject), ()
        )


@behave.given('a balancer with the instances {names}')
def step_balancer(context, names):
    async def make():
        context.fixture = BalancerFixture(names.split(', '))
        context.fixture.first = context.fixture.choose().instance

    context.run(make())


@behave.when('the first choice of a prompt answers it')
def step_answers(context):
    fixture = context.fixture
    fixture.balancer.record_success(
        fixture.first, choices.prompt_parts('subject')
    )


@behave.when('the first choice of a prompt leaves')
def step_leaves(context):
    async def leave():
        fixture = context.fixture
        fixture.listed[fixture.first.id].leaving = True
        fixture.apply_list()

    context.run(leave())


@behave.when('the first choice of a prompt leaves, and d takes its place')
def step_replaced(context):
    async def replace():
        fixture = context.fixture
        fixture.listed[fixture.first.id].leaving = True
        fixture.listed['d'] = pb.Instance(place=fixture.first.place)
        fixture.apply_list()

    context.run(replace())


@behave.when('it is no longer listed')
def step_no_longer_listed(context):
    async def remove():
        del context.fixture.listed[context.fixture.first.id]
        context.fixture.apply_list()

    context.run(remove())


@behave.when('it fails')
def step_fails(context):
    async def fail():
        fixture = context.fixture
        fixture.balancer.record_failure(fixture.first, 'HP-3104')

    context.run(fail())


@behave.when('the gateway restarts')
def step_restart(context):
    async def start():
        context.fixture.balancer = choices.make_balancer('g-1', 'thu-duc', {})
        context.fixture.apply_list()

    context.run(start())


@behave.when('{seconds:f} seconds pass')
def step_wait(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.when('the second choice of a prompt fails')
def step_second_fails(context):
    async def fail():
        fixture = context.fixture
        fixture.balancer.record_failure(fixture.ranked_instance(1), 'HP-3104')

    context.run(fail())


@behave.when('the second choice of a prompt answers another prompt')
def step_second_answers(context):
    fixture = context.fixture
    fixture.balancer.record_success(
        fixture.ranked_instance(1), choices.prompt_parts('another')
    )


@behave.then(
    'the next prompt of the subject goes to the same instance, and copies '
    'nothing'
)
def step_same_instance(context):
    choice = next_choice(context)
    assert choice.instance == context.fixture.first
    assert choice.source is None


@behave.then(
    'the next prompt of the subject goes to another instance, and copies from '
    'the third'
)
def step_other_instance(context):
    choice = next_choice(context)
    instance_ids = {choice.instance.id, choice.source.id}
    assert (
        len(instance_ids) == 2 and context.fixture.first.id not in instance_ids
    ), instance_ids


@behave.then(
    'the next prompt of the subject goes to {name}, and copies from the '
    'leaving one'
)
def step_copies(context, name):
    choice = next_choice(context)
    assert choice.instance.id != context.fixture.first.id
    assert name == 'another instance' or choice.instance.id == name
    assert choice.source.id == context.fixture.first.id


@behave.then('the next prompt of the subject copies from its second choice')
def step_second(context):
    check_source(context, 1)


@behave.then('the next prompt of the subject copies from its third choice')
def step_third(context):
    check_source(context, 2)


def check_source(context, rank):
    """Check that the next prompt goes to its first choice and copies."""
    choice = next_choice(context)
    assert choice.instance.id == context.fixture.ranked_instance(0).id
    assert choice.source.id == context.fixture.ranked_instance(rank).id


def next_choice(context):
    """Return the choice for the next prompt of the subject."""

    async def choose():
        return context.fixture.choose()

    return context.run(choose())


@behave.given('{count:d} parts that were cached on an instance')
def step_parts(context, count):
    context.holders = prefixes.Holders()
    context.count = count
    for number in range(count):
        context.holders.add(f'part-{number}', 'a')


@behave.then('the latest {limit:d} of them are remembered')
def step_remembered(context, limit):
    remembered = [
        number
        for number in range(context.count)
        if context.holders.holders_of(f'part-{number}')
    ]
    assert remembered == list(range(context.count - limit, context.count))


@behave.then(
    'the next prompt of the subject goes to the same instance, and copies '
    'from its second choice'
)
def step_same_instance_copies(context):
    async def check():
        fixture = context.fixture
        choice = fixture.choose()
        assert choice.instance.id == fixture.first.id, choice
        assert choice.source is not None
        assert choice.source.id == fixture.ranked_instance(1).id, choice

    context.run(check())
