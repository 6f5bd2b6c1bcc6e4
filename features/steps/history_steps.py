"""Steps about random histories of the control log, and losses of power."""

import asyncio

import behave
import hypothesis
from hypothesis import strategies

from features.support import simulation
from honeyport import errors

_EVENTS = (
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
_STRANGERS = ('x0', 'x1', 'x2')  # instances that are no replicas


def _histories(events):
    """Return the strategy of histories that are made of some events."""
    one = strategies.tuples(
        strategies.sampled_from(events), strategies.integers(0, 4)
    )
    return strategies.lists(one, min_size=5, max_size=30)


# Places that one proposal of a history brings, so that some histories reach a
# snapshot (every 12 entries).
_PLACES = 6


@behave.when(
    '{count:d} random histories of {size:d} replicas are played, with lost '
    'disks'
)
def step_histories(context, count, size):
    _play_histories(context, count, size, _EVENTS)


@behave.when(
    '{count:d} random histories of {size:d} replicas are played, with lost '
    'disks and changed settings'
)
def step_histories_with_settings(context, count, size):
    _play_histories(context, count, size, (*_EVENTS, 'rename'))


def _play_histories(context, count, size, kinds):
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


async def history(size, seed, events):
    """Play one history; check it at the end."""
    group = simulation.Group(size, seed)
    for name in group.names:
        group.start(name)
    await group.run_for(3)
    acknowledged = {}
    proposing = []
    placing = []
    registering = []
    for number, (what, which) in enumerate(events):
        name = group.names[which % size]
        if what == 'kill':
            await group.kill(name)
        elif what == 'start' and name not in group.nodes:
            group.start(name)
        elif what == 'isolate':
            group.isolate(name)
        elif what == 'heal':
            group.heal()
        elif what == 'lose' and may_lose(group):
            await group.lose_disk(name)
            group.start(name)
        elif what == 'power':
            await group.lose_power(name)
        elif what in ('fill', 'free'):
            group.disks[name].full = what == 'fill'
        elif what == 'rename':
            named = group.names[:which] + list(_STRANGERS[which:])
            group.founders = {other: other for other in named}
        elif what == 'propose':
            proposing.append(asyncio.create_task(group.propose(f'e{number}')))
            placing += [
                asyncio.create_task(group.place(f'p{number}-{part}'))
                for part in range(_PLACES)
            ]
            registering.append(
                asyncio.create_task(group.register(f'g{number}'))
            )
        await group.run_for(0.4)
    for found in await asyncio.gather(*proposing):
        if found is not None:
            version, digest = found
            known = acknowledged.setdefault(version, digest)
            assert known == digest
    placed = await asyncio.gather(*placing)
    registered = await asyncio.gather(*registering)
    await group.settle()
    for node in group.nodes.values():
        kept = node.machine.history
        for version, digest in acknowledged.items():
            assert kept.get(version) == digest, (version, digest, kept)
        lost = set(filter(None, placed)) - set(node.machine.places)
        assert not lost, (lost, node.machine.places)
        lost = set(filter(None, registered)) - set(node.machine.routers)
        assert not lost, (lost, node.machine.routers)
    await group.stop()


def may_lose(group):
    """Whether all others have a disk that counts: one loss at a time."""
    nodes = list(group.nodes.values())
    leading = [node for node in nodes if node.leads]
    return (
        len(nodes) == len(group.names)
        and not group.cut
        and len(leading) == 1
        and all(node.admitted for node in nodes)
        and all(
            member.voter and member.disk
            for member in leading[0].members.replicas
        )
        and len({node.commit for node in nodes}) == 1
    )


@behave.when(
    'all of 3 replicas lose power right after a change, {count:d} times'
)
def step_power(context, count):
    context.lost = []
    for seed in range(count):
        simulation.run(power_off(context, seed))


async def power_off(context, seed):
    """Take the power of all at the moment of an acknowledgement."""
    group = simulation.Group(3, seed)
    for name in group.names:
        group.disks[name].forgets_syncs = context.forgets
        group.start(name)
    await group.settle()
    acknowledged = await group.propose('change')
    assert acknowledged
    for name in group.names:
        await group.lose_power(name)
    try:
        await group.settle()
    except (AssertionError, errors.StorageDamaged):
        context.lost.append(seed)  # nothing is left to agree on
        return
    version, digest = acknowledged
    for node in group.nodes.values():
        if node.machine.history.get(version) != digest:
            context.lost.append(seed)
            break
    await group.stop()


@behave.given('disks whose syncs {what}')
def step_syncs(context, what):
    context.forgets = what == 'do nothing'


@behave.then('no acknowledged change is lost')
def step_none_lost(context):
    assert not context.lost, context.lost


@behave.then('some acknowledged change is lost')
def step_some_lost(context):
    assert context.lost


@behave.then('in each all replicas end with everything that was acknowledged')
def step_played(context):
    assert len(context.played) > 10, len(context.played)
