"""Steps about machines that are suspended and resume."""

import asyncio
import json

import behave

from features.steps import platform_steps
from features.support import platform as platforms

_ARRIVAL_S = 0.2  # for a request to reach the socket of a stopped process
_READ_PATH = '/api/configuration/read'
_OPERATOR_PORT = 2  # index among the ports of a node


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
    context.suspended_node = next(
        node for node in context.platform.nodes if node is not leader
    )
    context.platform.suspend(context.suspended_node)


@behave.when('the leader is suspended')
def step_suspend_leader(context):
    context.suspended_node = context.run(
        platform_steps.find_leader(context.platform)
    )
    context.platform.suspend(context.suspended_node)


@behave.when(
    'an operator revokes the key with version {version:d} at another instance'
)
def step_revoke(context, version):
    tenants = [{'name': 'district', 'api_keys': ['another']}]
    changes = {'version': version, 'tenants': tenants}
    _send_to_another(context, changes)


@behave.when('an operator sends version {version:d} to another instance')
def step_send_to_another(context, version):
    _send_to_another(context, {'version': version})


@behave.when('a request with the old key waits on its socket, and it resumes')
def step_request_waits(context):
    call = context.platform.send_request(context.suspended_node, 'woken')
    context.response = context.run(_resume_during(context, call))


@behave.when('a read of the configuration waits on its socket, and it resumes')
def step_read_waits(context):
    read = context.platform.request(
        context.suspended_node, _OPERATOR_PORT, _READ_PATH
    )
    context.response = context.run(_resume_during(context, read))


@behave.when('it resumes')
def step_resume(context):
    context.platform.resume(context.suspended_node)


@behave.then('that request was not run')
def step_not_run(context):
    assert 'woken' not in context.platform.executed_ids, context.response
    status, body = context.response
    assert status in (401, 503), (status, body)
    assert json.loads(body)['error']['ran'] is False, body


@behave.then('that read did not return version {version:d}')
def step_not_read(context, version):
    status, body = context.response
    if status == 200:
        assert json.loads(body)['version'] != version, body


@behave.then('the leader is the same as before')
def step_same_leader(context):
    assert (
        context.run(platform_steps.find_leader(context.platform))
        is context.leader
    )


def _send_to_another(context, changes):
    platform = context.platform
    running = [
        node for node in platform.nodes if node is not context.suspended_node
    ]
    platform.target_node = running[0]
    context.status = context.run(platform.replace_configuration(changes))
    platform.target_node = None


async def _resume_during(context, request):
    """Resume a machine while a request waits on its socket."""
    task = asyncio.create_task(request)
    await asyncio.sleep(_ARRIVAL_S)
    context.platform.resume(context.suspended_node)
    return await task
