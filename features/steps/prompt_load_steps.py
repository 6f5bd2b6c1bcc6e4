"""Steps for the places of long and short prompts."""

import behave

from features.support import prompt_replay
from honeyport.policy import prefixes
from honeyport.policy import prompt_load

_SECONDS = 14.0


@behave.given('{count:d} gateways with counts that are 0.28 seconds old')
def step_gateways(context, count):
    context.gateways = count


@behave.when(
    '{count:d} instances get long prompts and short streams, '
    'with {seeds:d} seeds'
)
def step_replay(context, count, seeds):
    def results(divides):
        return [
            prompt_replay.Replay(
                seed, context.gateways, count, divides=divides
            ).run(_SECONDS)
            for seed in range(1, seeds + 1)
        ]

    context.shared = results(False)
    context.divided = results(True)


@behave.then('at most half as many short streams are late as on shared places')
def step_short(context):
    shared = _late(context.shared, prompt_replay.SHORT)
    divided = _late(context.divided, prompt_replay.SHORT)
    assert divided <= shared / 2, (divided, shared)


@behave.then('no more long prompts are late')
def step_long(context):
    shared = _late(context.shared, prompt_replay.LONG)
    divided = _late(context.divided, prompt_replay.LONG)
    assert divided <= shared, (divided, shared)


@behave.then(
    'at most {limit:d} in 100 requests meets an instance beyond the bound '
    'on loads'
)
def step_over_bound(context, limit):
    shares = [result.over_bound for result in context.divided]
    assert max(shares) * 100 <= limit, shares


@behave.then(
    'the busiest instance has at most {multiple:g} times the mean load'
)
def step_busiest(context, multiple):
    loads = [result.busiest for result in context.divided]
    assert max(loads) <= multiple, loads


@behave.when(
    'a prompt has parts of {tokens} tokens and pauses of {gap_s:g} s are '
    'accepted'
)
def step_prompt(context, tokens, gap_s):
    parts = [
        prefixes.Part(f'part-{number}', int(count))
        for number, count in enumerate(tokens.split(','))
    ]
    context.is_long = prompt_load.is_long(parts, gap_s)


@behave.then('the prompt is {length}')
def step_length(context, length):
    assert context.is_long == (length == 'long')


@behave.when(
    '{long:d} of {total:d} requests have long prompts, '
    'on {instances:d} instances of {slots:d} slots'
)
@behave.given(
    '{instances:d} instances of {slots:d} slots where {long:d} of {total:d} '
    'requests have long prompts'
)
def step_share(context, long, total, instances, slots):
    context.instances = instances
    context.slots = instances * slots
    context.shares = prompt_load.LoadShares()
    for tick in range(200):
        context.shares.add(long, total, tick * 0.25)
    context.number = _number(context)


@behave.then('{number:d} places are for long prompts alone')
def step_number(context, number):
    assert context.number == number, context.number


@behave.when('{long:d} of {total:d} have for {seconds:d} second')
def step_wave(context, long, total, seconds):
    for tick in range(seconds * 4):
        context.shares.add(long, total, 50 + tick * 0.25)


@behave.then('at most {limit:d} places change their group')
def step_changed(context, limit):
    changed = abs(_number(context) - context.number)
    assert changed <= limit, changed


@behave.then('removing one of {count:d} places leaves the order of the others')
def step_order(context, count):
    ranked = prompt_load.rank_places(
        [f'place-{number}' for number in range(count)]
    )
    assert prompt_load.rank_places(set(ranked[1:])) == ranked[1:]


def _late(results, kind):
    return sum(result.late[kind] for result in results) / len(results)


def _number(context):
    return prompt_load.count_long_places(
        context.instances, context.shares, context.slots
    )
