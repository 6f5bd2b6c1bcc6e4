"""Steps about filings that end the backend servers that run them."""

import asyncio
import itertools

import behave

from features.support import calls
from features.support import world as worlds

_LOOK_S = 0.05
_PAUSE_S = 0.4
_ENDING = '?end=1'
_ENDING_BODY = b'what no server survives'


@behave.when(
    'a filing that crashes its server is sent until {count:d} crashed'
)
def step_until(context, count):
    context.numbers = itertools.count(1)
    context.ends = 0
    context.world.tasks.append(context.loop.create_task(_start_again(context)))
    context.run(_send_until(context, count))


@behave.when('it is sent {count:d} times to every router, among other filings')
def step_again(context, count):
    context.before = _ran(context)
    context.run(_send_again(context, count))


@behave.then('it ran at most {most:d} more times')
def step_ran(context, most):
    ran = _ran(context) - context.before
    assert ran <= most, (ran, context.ends)


@behave.then('it was refused with "{code}" and "not run" each time')
def step_refused(context, code):
    for reply in context.refused:
        found = (reply.error.get('code'), reply.error.get('ran'))
        assert found == (code, False), reply


@behave.then('all other filings were answered')
def step_others(context):
    wrong = [one for one in context.others if one.status != 200]
    assert context.others and not wrong, wrong[:3]


def _ran(context):
    """Return how often servers began with a filing that ends them."""
    ended = {
        line['request_id'] for line in context.world.executions_logged('end')
    }
    return sum(
        line['request_id'] not in ended
        for line in context.world.executions_logged()
    )


async def _start_again(context):
    """Start each service that has ended."""
    world: worlds.World = context.world
    while True:
        await asyncio.sleep(_LOOK_S)
        for name, process in list(world.processes.items()):
            ended = process.poll() is not None
            if name.startswith('field-app') and ended:
                context.ends += 1
                world.start(name, 'standin', 'service')


async def _send_ending(context, router):
    request = calls.filing_request(query=_ENDING, body=_ENDING_BODY)
    return await calls.send(context.world.address(router), request)


async def _send_until(context, count):
    async with asyncio.timeout(20.0):
        for number in itertools.count():
            if context.ends >= count:
                return
            routers = context.world.routers
            await _send_ending(context, routers[number % len(routers)])
            await asyncio.sleep(_LOOK_S)


async def _send_again(context, count):
    context.refused = []
    context.others = []
    for _ in range(count):
        for router in context.world.routers:
            context.refused.append(await _send_ending(context, router))
            body = f'harmless {next(context.numbers)}'.encode()
            address = context.world.address(router)
            reply = await calls.send(address, calls.filing_request(body=body))
            context.others.append(reply)
        await asyncio.sleep(_PAUSE_S)
