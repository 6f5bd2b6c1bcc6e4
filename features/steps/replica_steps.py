"""Steps about elections of control replicas on a virtual clock."""

import asyncio

import behave

from features.support import simulation
from honeyport.control import replica

# A leader counts as stable after one election timeout.
_STABLE_AFTER_S = 0.3


@behave.given('3 replicas with a leader')
def step_with_leader(context):
    context.virtual_loop = simulation.VirtualLoop()
    context.group = simulation.Group(3, 7)

    async def start():
        for name in context.group.names:
            context.group.start(name)
        await context.group.converge()

    context.virtual_loop.run_until_complete(start())


@behave.when('the disk of the leader is full')
def step_fill_leader_disk(context):
    async def fill():
        group = context.group
        nodes = group.nodes.values()
        context.former_leader = next(node.name for node in nodes if node.leads)
        group.disks[context.former_leader].full = True

    context.virtual_loop.run_until_complete(fill())


@behave.then(
    'another replica leads within {seconds:d} seconds of the next change'
)
def step_another_replica_leads(context, seconds):
    async def change():
        group = context.group
        await group.propose('first')
        await group.run_for(seconds)
        leading = [node.name for node in group.nodes.values() if node.leads]
        assert leading and leading != [context.former_leader], leading
        context.acknowledged = await group.propose('second')
        assert context.acknowledged

    context.virtual_loop.run_until_complete(change())


@behave.when('all replicas are restarted, one with an empty disk')
def step_restart_all(context):
    async def restart():
        group = context.group
        follower = next(
            node.name for node in group.nodes.values() if not node.leads
        )
        for name in group.names:
            await group.kill(name)
        await group.lose_disk(follower)
        for name in group.names:
            group.start(name)

    context.virtual_loop.run_until_complete(restart())


@behave.when('all {size:d} replicas are restarted at once, {count:d} times')
def step_restart_repeatedly(context, size, count):
    context.election_times_s = [
        simulation.run(time_to_stable_leader(size, seed))
        for seed in range(count)
    ]


async def time_to_stable_leader(size, seed):
    """Restart all replicas; return the seconds until a stable leader."""
    group = simulation.Group(size, seed)
    await group.converge()
    for name in group.names:
        await group.kill(name)
    for name in group.names:
        group.start(name)
    loop = asyncio.get_running_loop()
    started_at = leader_since = loop.time()
    while loop.time() - leader_since < _STABLE_AFTER_S:
        await asyncio.sleep(0.005)
        if not any(node.leads for node in group.nodes.values()):
            leader_since = loop.time()
    await group.stop()
    return leader_since - started_at


@behave.then(
    'a stable leader is elected within {ms:d} ms at least {min_count:d} times'
)
def step_stable_leader(context, ms, min_count):
    in_time = [
        election_s
        for election_s in context.election_times_s
        if election_s <= ms / 1000
    ]
    assert len(in_time) >= min_count, (
        len(in_time),
        max(context.election_times_s),
    )


@behave.when('the leader is isolated')
def step_isolate_leader(context):
    async def isolate_leader():
        group = context.group
        nodes = group.nodes.values()
        context.former_leader = next(node.name for node in nodes if node.leads)
        group.isolate(context.former_leader)

    context.virtual_loop.run_until_complete(isolate_leader())


@behave.then('a replica leads within {ms:d} ms')
@behave.then('another replica leads within {ms:d} ms')
def step_leads_within(context, ms):
    async def wait():
        group = context.group
        await group.run_for(ms / 1000)
        leading = [node.name for node in group.nodes.values() if node.leads]
        assert leading and leading != [getattr(context, 'former_leader', '')]
        await group.stop()

    context.virtual_loop.run_until_complete(wait())
    context.virtual_loop.close()


@behave.when('the disk accepts writes again')
def step_free_disk(context):
    context.group.disks[context.former_leader].full = False


@behave.given('3 replicas, one of them with an outdated log')
def step_outdated_log(context):
    context.virtual_loop = simulation.VirtualLoop()
    context.group = simulation.Group(3, 5)
    context.virtual_loop.run_until_complete(prepare_outdated_log(context))


async def prepare_outdated_log(context):
    group = context.group
    for name in group.names:
        group.start(name)
    await group.converge()
    leading = next(node.name for node in group.nodes.values() if node.leads)
    context.leader = leading
    context.outdated, context.follower = [
        follower for follower in group.names if follower != leading
    ]
    group.isolate(context.outdated)
    await group.run_for(0.1)
    context.acknowledged = await group.propose('late')
    assert context.acknowledged


@behave.when(
    'the leader is isolated and the up-to-date follower loses its disk'
)
def step_isolate_and_lose_disk(context):
    async def isolate_and_lose_disk():
        group = context.group
        group.heal()
        group.isolate(context.leader)
        await group.lose_disk(context.follower)
        group.start(context.follower)

    context.virtual_loop.run_until_complete(isolate_and_lose_disk())


@behave.then('no leader is elected for 10 seconds')
def step_no_leader(context):
    async def watch():
        group = context.group
        await group.run_for(10)
        followers = [
            group.nodes[name] for name in (context.outdated, context.follower)
        ]
        assert all(node.role != replica.LEADER for node in followers)

    context.virtual_loop.run_until_complete(watch())


@behave.then('every replica has the acknowledged change')
def step_has_change(context):
    async def check():
        await context.group.converge()
        version, digest = context.acknowledged
        for node in context.group.nodes.values():
            assert node.machine.history[version] == digest
        await context.group.stop()

    context.virtual_loop.run_until_complete(check())
    context.virtual_loop.close()


@behave.given(
    '3 replicas that have bootstrapped a group without electing a leader'
)
def step_bootstrapped(context):
    context.virtual_loop = simulation.VirtualLoop()
    context.group = simulation.Group(3, 7)
    context.virtual_loop.run_until_complete(context.group.bootstrap())
    terms = [node.term for node in context.group.nodes.values()]
    assert terms == [0, 0, 0], terms


@behave.when(
    'all replicas are restarted with settings that name other members'
)
def step_restart_with_other_members(context):
    async def restart():
        group = context.group
        for name in group.names:
            await group.kill(name)
        group.initial_members = {
            member: member for member in ('x0', 'x1', 'x2')
        }

    context.virtual_loop.run_until_complete(restart())


@behave.then('all replicas agree on a leader')
def step_agree_on_leader(context):
    context.virtual_loop.run_until_complete(context.group.converge())
