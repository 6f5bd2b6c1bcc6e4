"""Steps about processes and instances that crash if they reject too many."""

import asyncio
import time

import behave

from features.steps import cut_off_steps
from features.support import brittle_servers
from features.support import platform as platforms

_WITH_DISKS = 3
_FIRST_WITHOUT_DISK = 9
_CRASHES_SHARE = 0.1


@behave.given(
    'a platform of {gateways:d} gateways before {count:d} brittle instances '
    'with {slots:d} slots that survive {tolerated:d} rejections'
)
def step_platform(context, gateways, count, slots, tolerated):
    context.platform = platforms.Platform(context.folder)
    for number in range(gateways - _WITH_DISKS):
        context.platform.add_node_without_disk(_FIRST_WITHOUT_DISK + number)
    context.run(context.platform.start())
    context.to_stop.append(context.platform.stop)
    context.service = brittle_servers.BrittleService(
        context.platform, count, slots, tolerated
    )
    context.run(context.service.start())
    context.to_stop.append(context.service.stop)


@behave.when(
    'callers send {factor:g} times as many requests as the instances can run, '
    'for {seconds:d} seconds'
)
def step_send(context, factor, seconds):
    context.run(_send(context, factor, seconds))


@behave.then(
    'at most {count:d} and a tenth of the brittle instances have crashed'
)
def step_crashes(context, count):
    limit = count + _CRASHES_SHARE * len(context.service.servers)
    assert context.service.crashes <= limit, context.service.crashes


@behave.then('at least {share:g} of their capacity was used')
def step_used(context, share):
    assert context.used >= share, context.used


async def _send(context, factor, seconds):
    """Send requests; measure which share of the capacity they use."""
    service = context.service
    rate = factor * service.capacity / len(context.platform.nodes)
    callers = cut_off_steps.Callers(context.platform, rate)
    completed = service.completed
    started_at = time.monotonic()
    task = asyncio.create_task(callers.run())
    await asyncio.sleep(seconds)
    task.cancel()
    elapsed_s = time.monotonic() - started_at
    context.used = (
        (service.completed - completed) / elapsed_s / service.capacity
    )
    await callers.finish()
