"""Steps for the choice among many instances."""

import contextlib

import behave

from features.support import choices
from honeyport.policy import prefixes
from honeyport.wire import honeyport_pb2 as pb


@behave.given('{count:d} instances and prompts with {subjects:d} subjects')
def step_prompts(context, count, subjects):
    context.places = [f'place-{number}' for number in range(count)]
    context.prompts = [
        (
            prefixes.Part(f'lead-{number % 4}', 2500),
            prefixes.Part(f'subject-{number}', 6000),
            prefixes.Part(f'own-{number}', 500),
        )
        for number in range(subjects)
    ]


@behave.then('removing an instance moves only its subjects')
def step_moves(context):
    lost = context.places[0]
    for parts in context.prompts:
        before = next(prefixes.rank_places(parts, context.places))
        after = next(prefixes.rank_places(parts, context.places[1:]))
        assert after == before or before == lost, (before, after)


@behave.then('no instance exceeds its load bound when one subject dominates')
def step_bound(context):
    async def place():
        balancer = choices.make_balancer('g-1', 'thu-duc', {})
        listed = pb.Instances(number=1)
        for place in context.places:
            listed.instances.add(id=place, service='llm', place=place)
        balancer.apply_instances(listed, {}, 0.0)
        with contextlib.ExitStack() as held:
            for _ in range(200):
                choice = balancer.choose('llm', context.prompts[0], ())
                held.enter_context(balancer.count_in_flight(choice.instance))
            return dict(balancer.running)

    running = context.run(place())
    mean = sum(running.values()) / len(context.places)
    assert max(running.values()) <= 2 * mean + 3, running
