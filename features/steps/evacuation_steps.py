"""Steps about the evacuation of a failure domain."""

import asyncio
import json
import time

import behave

from features.steps import platform_steps

# Far below what is promised (5 s), and well above a tick of the leader.
_IN_FORCE_S = 1.0
_WATCHED_S = 1.5
# A refusal that is known beforehand waits for nothing.
_AT_ONCE_S = 0.5
_SOON_S = 10.0
_ANSWERED = 200


@behave.when('an operator evacuates {domain} at any instance')
def step_evacuate(context, domain):
    _order(context, domain, 'begin')


@behave.when('an operator ends the evacuation of {domain} at any instance')
def step_end(context, domain):
    _order(context, domain, 'finish')


@behave.when('an operator evacuates {domain} at each instance in turn')
def step_evacuate_each(context, domain):
    _order_each(context, domain, 'begin')


@behave.when(
    'an operator ends the evacuation of {domain} at each instance in turn'
)
def step_end_each(context, domain):
    _order_each(context, domain, 'finish')


@behave.when('an operator calls {method} {path}')
def step_call(context, method, path):
    platform = context.platform
    body = b'' if method == 'POST' else None

    async def call():
        leader = await platform_steps.find_leader(platform)
        return await platform.request(leader, 2, path, body)

    context.status, _ = context.run(call())


@behave.when('the leader is killed')
def step_kill_leader(context):
    platform = context.platform
    leader = context.run(platform_steps.find_leader(platform))
    leader.process.kill()
    leader.process.wait()
    context.left = [node for node in platform.nodes if node is not leader]


@behave.then('it is acknowledged within 1 second')
def step_acknowledged(context):
    assert context.status == _ANSWERED, context.status
    assert context.took_s < 1.0, context.took_s


@behave.then('all of that is acknowledged')
def step_all_acknowledged(context):
    assert set(context.statuses) == {_ANSWERED}, context.statuses


@behave.then('no instance sends a request to thu-duc from then on')
def step_none(context):
    context.run(_watch(context, context.platform.nodes))


@behave.then(
    'no instance that is left sends a request to thu-duc from then on'
)
def step_none_left(context):
    context.run(_watch(context, context.left))


@behave.then('each refuses what it cannot serve at once, and as not run')
def step_refuses(context):
    platform = context.platform
    for node in platform.nodes:
        began = time.monotonic()
        status, body = context.run(platform.call(node, f'late-{node.name}'))
        assert status == 503, (status, body)
        assert json.loads(body)['error']['ran'] is False
        assert time.monotonic() - began < _AT_ONCE_S


@behave.then("a caller's request to each of them is answered soon")
def step_answered(context):
    platform = context.platform

    async def check():
        for number, node in enumerate(platform.nodes):
            await platform_steps.until(
                lambda node=node, number=number: _is_answered(
                    platform, node, number
                ),
                _SOON_S,
            )

    context.run(check())


async def _is_answered(platform, node, number):
    status, _ = await platform.call(node, f'again-{number}')
    return status == _ANSWERED


def _order(context, domain, verb):
    began = time.monotonic()
    context.status = context.run(context.platform.evacuate(domain, verb))
    context.took_s = time.monotonic() - began


def _order_each(context, domain, verb):
    platform = context.platform
    context.statuses = []
    for node in platform.nodes:
        platform.only = node
        context.statuses.append(context.run(platform.evacuate(domain, verb)))
    platform.only = None


async def _watch(context, nodes):
    """Check that nothing runs in the domain once the order is in force.

    The platform's one instance of the service stands there.
    """
    platform = context.platform
    await asyncio.sleep(_IN_FORCE_S)
    before = len(platform.runs)
    until = time.monotonic() + _WATCHED_S
    number = 0
    while time.monotonic() < until:
        for node in nodes:
            number += 1
            await platform.call(node, f'evacuated-{number}')
    assert len(platform.runs) == before, platform.runs[before:]
