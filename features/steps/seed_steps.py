"""Steps about the instances that settings name, and finding control."""

import asyncio
import signal

import behave

from features.steps import platform_steps
from features.support import platform as platforms

# A gateway's lease is 0.8 of the time after which a key that was taken away
# is dead, 5 s in the settings of these tests.
_LEASE_S = 4.0
_FOUND_S = 10.0


@behave.given('a platform of three instances with disks and three without')
def step_platform_of_six(context):
    context.platform = platforms.Platform(context.folder)
    context.platform.nodes += [
        context.platform.make_node(number, disk=False) for number in (4, 5, 6)
    ]
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)


@behave.when('the settings name the three without disks as seeds')
def step_name_gateways(context):
    _name_seeds(context, context.platform.nodes[3:])


@behave.when('the settings name instances that are gone as seeds')
def step_name_gone(context):
    platform = context.platform
    gone = [platform.make_node(number, disk=False) for number in (7, 8, 9)]
    _name_seeds(context, gone)


@behave.when('the leading instance is killed')
def step_kill_leader(context):
    platform = context.platform

    async def found():
        for node in platform.nodes[:3]:
            if await platform_steps.read_gauge(node, 'control_leads'):
                platform.send_signal(node, signal.SIGKILL)
                return True
        return False

    context.run(platform_steps.until(found, _FOUND_S))


@behave.when('a lease goes by')
def step_lease_goes_by(context):
    context.run(asyncio.sleep(_LEASE_S))


@behave.when('an instance {number:d} without a disk joins')
def step_join(context, number):
    platform = context.platform
    node = platform.make_node(number, disk=False)
    platform.nodes.append(node)
    platform.launch(node)


@behave.then('every living instance is ready within {seconds:g} seconds')
def step_living_ready(context, seconds):
    living = [
        node
        for node in context.platform.nodes
        if node.process is not None and node.process.poll() is None
    ]
    platform_steps.check_ready(context, living, seconds)


@behave.then(
    'every instance with a disk reads back what was sent as version '
    '{version:d}'
)
def step_disks_read_back(context, version):
    platform_steps.check_reads(context, (1, 2, 3), version)


def _name_seeds(context, nodes):
    """Change the settings, and wait until all processes have read them."""
    platform = context.platform
    platform.set_seeds(nodes)
    wanted = f'"{nodes[0].ip}:'

    async def read():
        logs = [node.log.read_text() for node in platform.nodes]
        return all(wanted in _last_reload(text) for text in logs)

    context.run(platform_steps.until(read, _FOUND_S))


def _last_reload(text):
    """Return the last line that tells of new settings, or ``''``."""
    lines = [line for line in text.splitlines() if '"reloaded"' in line]
    return lines[-1] if lines else ''
