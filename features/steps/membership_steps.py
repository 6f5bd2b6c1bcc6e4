"""Steps about the replacement of control replicas on a virtual clock."""

import asyncio

import behave

from features.support import simulation
from honeyport.control import membership

_POLL_S = 0.001
_CONNECTED_S = 5.0  # longer than a member may be silent
_SEED = 7


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
    """Return whether the members are as many running voters as wanted."""
    if group.leader is None:
        return False
    members = group.leader.members.replicas
    return len(members) == size and all(
        member.voter and member.name in group.nodes for member in members
    )


@behave.given('a group of {size:d} replicas that replaces lost members')
def step_replacing_group(context, size):
    context.virtual_loop = simulation.VirtualLoop()
    context.group = simulation.Group(size, _SEED, target_size=size)

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
