"""Steps about the replacement of control replicas on a virtual clock."""

import asyncio
import itertools

import behave

from features.support import membership_model
from features.support import simulation
from honeyport.control import membership

_POLL_S = 0.001
_CONNECTED_S = 5.0  # longer than a member may be silent
_SEED = 7
_LOSSES = 5  # of a history
_COMPLETE_WITHIN_S = 20.0


def _run(context, coroutine):
    context.virtual_loop.run_until_complete(coroutine)


async def _wait(group, condition, limit_s):
    """Wait for a condition; check the group's invariants meanwhile."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + limit_s
    while not condition():
        assert loop.time() < ends_at, _describe(group)
        group.check_invariants()
        await asyncio.sleep(_POLL_S)


def _describe(group):
    return [
        (
            node.name,
            node.role,
            [(member.name, member.voter) for member in node.members.replicas],
        )
        for node in group.nodes.values()
    ]


def _follower(group):
    return next(node.name for node in group.nodes.values() if not node.leads)


def _is_complete(group, size):
    """Return whether the members are as many running voters as wanted.

    A voter whose disk is lost does not count, also if it is not noticed yet.
    """
    if group.leader is None:
        return False
    members = group.leader.members.replicas
    return len(members) == size and all(
        member.voter
        and member.name in group.nodes
        and group.nodes[member.name].admitted
        for member in members
    )


@behave.given('a group of {size:d} replicas that replaces lost members')
def step_replacing_group(context, size):
    _start_group(context, size, target_size=size)


@behave.given('a group of {size:d} replicas whose members stay as they are')
def step_fixed_group(context, size):
    _start_group(context, size, target_size=0)


def _start_group(context, size, target_size):
    context.virtual_loop = simulation.VirtualLoop()
    context.group = simulation.Group(size, _SEED, target_size=target_size)

    async def start():
        await context.group.bootstrap()
        await _wait(
            context.group, lambda: _is_complete(context.group, size), 5
        )
        await context.group.run_for(_CONNECTED_S)

    _run(context, start())
    context.add_cleanup(_stop, context)


def _stop(context):
    _run(context, context.group.stop())
    context.virtual_loop.close()


@behave.when('a follower is lost for good and its replacement does not answer')
def step_silent_replacement(context):
    async def replace():
        group = context.group
        context.lost = _follower(group)
        await group.kill(context.lost)
        replacement = group.add_replica()
        group.isolate(replacement)
        await _wait(
            group,
            lambda: membership.find(group.leader.members, replacement),
            5,
        )

    _run(context, replace())


@behave.when(
    'a follower is lost for good, and the first of two replacements answers '
    '{seconds:d} seconds late'
)
def step_late_replacement(context, seconds):
    async def replace():
        group = context.group
        await group.kill(_follower(group))
        replacements = [group.add_replica(), group.add_replica()]

        def added():
            return [
                name
                for name in replacements
                if membership.find(group.leader.members, name)
            ]

        await _wait(group, added, 5)
        (first,) = added()
        (context.second,) = set(replacements) - {first}
        group.isolate(first)
        await _wait_without(context, seconds)
        group.heal()

    _run(context, replace())


async def _wait_without(context, seconds):
    """Check that the second replacement is not a member for a time."""
    ends_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < ends_at:
        await context.group.run_for(0.1)
        await _check_not_member(context)


async def _check_not_member(context):
    members = context.group.leader.members
    assert not membership.find(members, context.second), members


@behave.then('the second replacement was never a member')
def step_never_member(context):
    _run(context, _check_not_member(context))


@behave.then('the lost follower is a member for {seconds:d} seconds')
def step_stays_member(context, seconds):
    async def watch():
        group = context.group
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            assert membership.find(group.leader.members, context.lost)
            await group.run_for(0.1)

    _run(context, watch())


@behave.when('the links are restored')
def step_restore_links(context):
    context.group.heal()


@behave.then(
    '{size:d} running replicas vote, and no other is a member, within '
    '{seconds:d} seconds'
)
def step_complete(context, size, seconds):
    group = context.group
    _run(context, _wait(group, lambda: _is_complete(group, size), seconds))


@behave.when(
    'a follower that lost its disk is lost for good while it is a learner'
)
def step_lose_learner(context):
    async def lose():
        group = context.group
        name = _follower(group)
        await group.lose_disk(name)
        group.start(name)
        await _lose_as_learner(group, name)

    _run(context, lose())


@behave.when(
    'the replacement of a lost follower is lost for good while it is a learner'
)
def step_lose_replacement(context):
    async def lose():
        group = context.group
        await group.kill(_follower(group))
        await _lose_as_learner(group, group.add_replica())

    _run(context, lose())


@behave.when(
    'a follower is lost for good and its replacement as soon as it may vote'
)
def step_lose_as_promoted(context):
    async def lose():
        group = context.group
        await group.kill(_follower(group))
        name = group.add_replica()

        def may_vote():
            members = group.leader and group.leader.members
            member = members and membership.find(members, name)
            return member is not None and member.voter

        await _wait(group, may_vote, 10)
        await group.kill(name)

    _run(context, lose())


async def _lose_as_learner(group, name):
    """Kill a replica as soon as it is a learner."""

    def is_learner():
        member = group.leader and membership.find(group.leader.members, name)
        return member is not None and not member.voter

    await _wait(group, is_learner, 5)
    await group.kill(name)


@behave.when(
    'a follower is lost for {seconds:d} seconds, removed, and added with an '
    'empty disk'
)
def step_add_again(context, seconds):
    async def add_again():
        group = context.group
        context.lost = _follower(group)
        await group.kill(context.lost)
        group.isolate(context.lost)
        await group.run_for(seconds)
        await group.leader.change_membership(context.lost, '')
        group.heal()
        await group.lose_disk(context.lost)
        group.start(context.lost)
        context.added_at = asyncio.get_running_loop().time()
        await group.leader.change_membership(context.lost, context.lost)

    _run(context, add_again())


@behave.then('it counts as silent only since it was added')
def step_silent_since_added(context):
    async def check():
        age_s = asyncio.get_running_loop().time() - context.added_at
        silent_s = context.group.leader.silent_s(context.lost)
        assert silent_s <= age_s, (silent_s, age_s)

    _run(context, check())


@behave.when('a follower is lost for good')
def step_lose_follower(context):
    _run(context, context.group.kill(_follower(context.group)))


@behave.when('a follower restarts with an empty disk, {ms:d} ms farther away')
def step_restart_distant(context, ms):
    async def restart():
        group = context.group
        name = _follower(group)
        await group.lose_disk(name)
        group.delays_s[name] = ms / 1000
        group.start(name)
        await _wait(group, lambda: not _is_complete(group, 3), 5)

    _run(context, restart())


@behave.when('{count:d} clients change the log without pause')
def step_steady_changes(context, count):
    async def change(name):
        while True:
            await context.group.propose_router(name)

    async def start():
        context.clients = [
            asyncio.create_task(change(f'client-{number}'))
            for number in range(count)
        ]

    _run(context, start())
    context.add_cleanup(_stop_clients, context)


def _stop_clients(context):
    async def stop():
        for task in context.clients:
            task.cancel()
        await asyncio.gather(*context.clients, return_exceptions=True)

    _run(context, stop())


@behave.when('a new replica starts {seconds:d} seconds later')
def step_new_replica(context, seconds):
    async def start():
        await context.group.run_for(seconds)
        context.group.add_replica()

    _run(context, start())


@behave.then('a change is acknowledged')
def step_acknowledged(context):
    async def change():
        assert await context.group.propose('change')

    _run(context, change())


@behave.then(
    'from every state of a group of {size:d}, planned changes lead to '
    '{voters:d} voters'
)
def step_every_state(context, size, voters):
    context.transitions = []
    for first, promotes_first in itertools.product(
        membership_model.states(size), (False, True)
    ):
        followed = list(membership_model.follow(first, size, promotes_first))
        context.transitions += itertools.pairwise(followed)
        if membership_model.can_be_complete(first, size):
            last = followed[-1]
            assert last.answering_voters >= voters, (first, last)
            assert all(m.voter and m.answers for m in last.members), (
                first,
                last,
            )


@behave.then('no planned change removes a voter that answers')
def step_no_answering_voter_removed(context):
    for before, after in context.transitions:
        assert after.answering_voters >= before.answering_voters
        assert after.has_quorum, (before, after)


@behave.then('no vote is added that only the new voter can confirm')
def step_vote_confirmed(context):
    for before, after in context.transitions:
        voters_before = [m for m in before.members if m.voter]
        voters = [m for m in after.members if m.voter]
        if len(voters) > len(voters_before) and any(
            not voter.answers for voter in voters
        ):
            assert 2 * before.answering_voters > len(voters), (before, after)


@behave.when(
    '{count:d} random histories of {size:d} replicas are run, with lost '
    'replacements'
)
def step_random_losses(context, count, size):
    for seed in range(count):
        simulation.run(_lose_at_random(size, seed))
    context.histories = count


@behave.then(
    'each loss was followed by {size:d} voters, and no change was lost'
)
def step_histories_checked(context, size):
    assert context.histories  # each history checks itself


async def _lose_at_random(size, seed):
    """Lose members, each with or without its disk, and their successors."""
    group = simulation.Group(size, seed, target_size=size)
    await group.bootstrap()
    await _wait(group, lambda: _is_complete(group, size), 5)
    changes = []
    for _ in range(_LOSSES):
        changes.append(await group.propose('change'))
        await _lose_one(group)
        await _wait(
            group, lambda: _is_complete(group, size), _COMPLETE_WITHIN_S
        )
    await group.run_for(1)
    history = group.leader.machine.history
    for version, digest in filter(None, changes):
        assert history[version] == digest, (seed, version)
    await group.stop()


async def _lose_one(group):
    """Lose a member; it comes back or is replaced, perhaps more than once."""
    lost = group.random.choice(sorted(group.nodes))
    if group.random.random() < 0.5:
        await group.kill(lost)
    else:
        await group.lose_disk(lost)
    await group.run_for(group.random.uniform(0, 4))
    if group.random.random() < 0.5:
        group.start(lost)
        newest = lost
    else:
        newest = group.add_replica()
    while group.random.random() < 0.6:
        await asyncio.sleep(group.random.uniform(0, 1.5))
        await group.kill(newest)
        await group.run_for(group.random.uniform(0, 4))
        newest = group.add_replica()
