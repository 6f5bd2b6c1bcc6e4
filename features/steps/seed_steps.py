"""Steps about seeds in the settings, and finding control through them."""

import asyncio
import signal

import behave

from features.steps import platform_steps
from features.support import platform as platforms

_LEASE_S = 4.0  # 0.8 of the revocation time in the test settings, 5 s
_TIMEOUT_S = 10.0


@behave.given('a platform of three instances with disks and three without')
def step_platform_of_six(context):
    context.platform = platforms.Platform(context.folder)
    context.platform.nodes += [
        context.platform.make_node(number, disk=False) for number in (4, 5, 6)
    ]
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)


@behave.when('the settings list the three instances without disks as seeds')
def step_seeds_without_disks(context):
    _set_seeds(context, context.platform.nodes[3:])


@behave.when('the settings list instances that do not exist as seeds')
def step_missing_seeds(context):
    platform = context.platform
    missing = [platform.make_node(number, disk=False) for number in (7, 8, 9)]
    _set_seeds(context, missing)


@behave.when('the leading instance is killed')
def step_kill_leader(context):
    platform = context.platform

    async def leader_is_killed():
        for node in platform.nodes[:3]:
            if await platform_steps.read_gauge(node, 'control_leads'):
                platform.send_signal(node, signal.SIGKILL)
                return True
        return False

    context.run(platform_steps.wait_until(leader_is_killed, _TIMEOUT_S))


@behave.when('a lease expires')
def step_lease_expires(context):
    context.run(asyncio.sleep(_LEASE_S))


@behave.when('an instance {number:d} without a disk joins')
def step_join(context, number):
    platform = context.platform
    node = platform.make_node(number, disk=False)
    platform.nodes.append(node)
    platform.launch(node)


@behave.then('every running instance is ready within {seconds:g} seconds')
def step_running_ready(context, seconds):
    running = [
        node
        for node in context.platform.nodes
        if node.process is not None and node.process.poll() is None
    ]
    platform_steps.check_ready(context, running, seconds)


@behave.then(
    'every instance with a disk returns the configuration sent as version '
    '{version:d}'
)
def step_disks_have_version(context, version):
    platform_steps.check_version(context, (1, 2, 3), version)


def _set_seeds(context, nodes):
    """Change the seeds and wait until all processes have reloaded them."""
    platform = context.platform
    platform.set_seeds(nodes)
    expected = f'"{nodes[0].ip}:'

    async def have_reloaded():
        logs = [node.log.read_text() for node in platform.nodes]
        return all(expected in _last_reload(text) for text in logs)

    context.run(platform_steps.wait_until(have_reloaded, _TIMEOUT_S))


def _last_reload(text):
    """Return the last ``reloaded`` line of a log, or ``''``."""
    lines = [line for line in text.splitlines() if '"reloaded"' in line]
    return lines[-1] if lines else ''
