"""Steps about random failure histories and power losses of replicas."""

import asyncio

import behave
import hypothesis
from hypothesis import strategies

from features.support import simulation
from honeyport import errors

_ACTIONS = (
    'kill',
    'start',
    'isolate',
    'heal',
    'lose',
    'power',
    'fill',
    'free',
    'propose',
    'wait',
)
_OTHER_INSTANCES = ('x0', 'x1', 'x2')  # names of instances without a replica


def _histories(actions):
    """Return a strategy for lists of actions and their arguments."""
    action_and_argument = strategies.tuples(
        strategies.sampled_from(actions), strategies.integers(0, 4)
    )
    return strategies.lists(action_and_argument, min_size=5, max_size=30)


# Places proposed with each bundle, so that some histories reach a snapshot.
_PLACES_PER_PROPOSAL = 6


@behave.when(
    '{count:d} random histories of {size:d} replicas are run, with lost disks'
)
def step_histories(context, count, size):
    _run_histories(context, count, size, _ACTIONS)


@behave.when(
    '{count:d} random histories of {size:d} replicas are run, with lost '
    'disks and changed settings'
)
def step_histories_with_settings(context, count, size):
    _run_histories(context, count, size, (*_ACTIONS, 'rename'))


def _run_histories(context, count, size, kinds):
    context.played = []

    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(_histories(kinds), strategies.integers(0, 2**20))
    def play(events, seed):
        simulation.run(history(size, seed, events))
        context.played.append(seed)

    play()


async def history(size, seed, actions):
    """Run one history; check that acknowledged changes are kept."""
    group = simulation.Group(size, seed)
    for name in group.names:
        group.start(name)
    await group.run_for(3)
    acknowledged = {}
    proposal_tasks = []
    place_tasks = []
    router_tasks = []
    for number, (action, argument) in enumerate(actions):
        name = group.names[argument % size]
        if action == 'kill':
            await group.kill(name)
        elif action == 'start' and name not in group.nodes:
            group.start(name)
        elif action == 'isolate':
            group.isolate(name)
        elif action == 'heal':
            group.heal()
        elif action == 'lose' and can_lose_disk(group):
            await group.lose_disk(name)
            group.start(name)
        elif action == 'power':
            await group.lose_power(name)
        elif action in ('fill', 'free'):
            group.disks[name].full = action == 'fill'
        elif action == 'rename':
            member_names = group.names[:argument] + list(
                _OTHER_INSTANCES[argument:]
            )
            group.initial_members = {member: member for member in member_names}
        elif action == 'propose':
            proposal_tasks.append(
                asyncio.create_task(group.propose(f'e{number}'))
            )
            place_tasks += [
                asyncio.create_task(
                    group.propose_place(f'p{number}-{place_number}')
                )
                for place_number in range(_PLACES_PER_PROPOSAL)
            ]
            router_tasks.append(
                asyncio.create_task(group.propose_router(f'g{number}'))
            )
        await group.run_for(0.4)
    for proposed in await asyncio.gather(*proposal_tasks):
        if proposed is not None:
            version, digest = proposed
            digest_before = acknowledged.setdefault(version, digest)
            assert digest_before == digest
    places = await asyncio.gather(*place_tasks)
    routers = await asyncio.gather(*router_tasks)
    await group.converge()
    for node in group.nodes.values():
        digests = node.machine.history
        for version, digest in acknowledged.items():
            assert digests.get(version) == digest, (version, digest, digests)
        lost = set(filter(None, places)) - set(node.machine.places)
        assert not lost, (lost, node.machine.places)
        lost = set(filter(None, routers)) - set(node.machine.routers)
        assert not lost, (lost, node.machine.routers)
    await group.stop()


def can_lose_disk(group):
    """Return whether the group tolerates the loss of a disk now."""
    nodes = list(group.nodes.values())
    leading = [node for node in nodes if node.leads]
    return (
        len(nodes) == len(group.names)
        and not group.cut_links
        and len(leading) == 1
        and all(node.admitted for node in nodes)
        and all(
            member.voter and member.disk
            for member in leading[0].members.replicas
        )
        and len({node.commit for node in nodes}) == 1
    )


@behave.when('all 3 replicas lose power right after a change, {count:d} times')
def step_power(context, count):
    context.lost = []
    for seed in range(count):
        simulation.run(power_off(context, seed))


async def power_off(context, seed):
    """Cut the power of all replicas when a change is acknowledged."""
    group = simulation.Group(3, seed)
    for name in group.names:
        group.disks[name].ignores_syncs = context.forgets
        group.start(name)
    await group.converge()
    acknowledged = await group.propose('change')
    assert acknowledged
    for name in group.names:
        await group.lose_power(name)
    try:
        await group.converge()
    except (AssertionError, errors.StorageDamaged):
        context.lost.append(seed)  # the group cannot recover
        return
    version, digest = acknowledged
    for node in group.nodes.values():
        if node.machine.history.get(version) != digest:
            context.lost.append(seed)
            break
    await group.stop()


@behave.given('disks whose syncs {effect}')
def step_syncs(context, effect):
    context.forgets = effect == 'do nothing'


@behave.then('no acknowledged change is lost')
def step_none_lost(context):
    assert not context.lost, context.lost


@behave.then('some acknowledged change is lost')
def step_some_lost(context):
    assert context.lost


@behave.then('every replica ends each history with all acknowledged changes')
def step_all_kept(context):
    assert len(context.played) > 10, len(context.played)
