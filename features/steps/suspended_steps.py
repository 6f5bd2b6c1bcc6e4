"""Steps about machines that are suspended and wake."""

import asyncio
import json

import behave

from features.steps import platform_steps
from features.support import platform as platforms

# For a request to stand on the socket of a process that is stopped.
_ARRIVES_S = 0.2
_READ = '/api/configuration/read'
_CONTROL = 2  # which of a node's ports takes operators' calls


@behave.given('a platform of three instances whose machines may be suspended')
def step_platform(context):
    context.platform = platforms.Platform(context.folder)
    context.platform.suspendable = True
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)


@behave.when('a gateway that does not lead is suspended')
def step_suspend_follower(context):
    leader = context.run(platform_steps.find_leader(context.platform))
    context.leader = leader
    context.asleep = next(
        node for node in context.platform.nodes if node is not leader
    )
    context.platform.suspend(context.asleep)


@behave.when('the leader is suspended')
def step_suspend_leader(context):
    context.asleep = context.run(platform_steps.find_leader(context.platform))
    context.platform.suspend(context.asleep)


@behave.when(
    'an operator takes the key away with version {version:d} elsewhere'
)
def step_revoke(context, version):
    tenants = [{'name': 'district', 'api_keys': ['another']}]
    change = {'version': version, 'tenants': tenants}
    _send_elsewhere(context, change)


@behave.when('an operator sends version {version:d} elsewhere')
def step_send_elsewhere(context, version):
    _send_elsewhere(context, {'version': version})


@behave.when('a request with the old key waits on its socket, and it wakes')
def step_request_waits(context):
    call = context.platform.call(context.asleep, 'woken')
    context.answer = context.run(_wake_under(context, call))


@behave.when('a read of the configuration waits on its socket, and it wakes')
def step_read_waits(context):
    read = context.platform.request(context.asleep, _CONTROL, _READ)
    context.answer = context.run(_wake_under(context, read))


@behave.when('it wakes')
def step_wake(context):
    context.platform.resume(context.asleep)


@behave.then('that request was not run')
def step_not_run(context):
    assert 'woken' not in context.platform.runs, context.answer
    status, body = context.answer
    assert status in (401, 503), (status, body)
    assert json.loads(body)['error']['ran'] is False, body


@behave.then('that read did not get version {version:d}')
def step_not_read(context, version):
    status, body = context.answer
    if status == 200:
        assert json.loads(body)['version'] != version, body


@behave.then('the same instance leads as before')
def step_same_leader(context):
    assert (
        context.run(platform_steps.find_leader(context.platform))
        is context.leader
    )


def _send_elsewhere(context, change):
    platform = context.platform
    awake = [one for one in platform.nodes if one is not context.asleep]
    platform.only = awake[0]
    context.status = context.run(platform.replace(change))
    platform.only = None


async def _wake_under(context, request):
    """Wake a machine on whose socket a request waits."""
    waiting = asyncio.create_task(request)
    await asyncio.sleep(_ARRIVES_S)
    context.platform.resume(context.asleep)
    return await waiting
