"""Steps about filings that crash the backend servers that run them."""

import asyncio
import itertools

import behave

from features.support import calls
from features.support import world as worlds

_POLL_S = 0.05
_ROUND_PAUSE_S = 0.4
_CRASH_QUERY = '?end=1'
_CRASH_BODY = b'what no server survives'


@behave.when(
    'a filing that crashes its server is sent until {count:d} crashed'
)
def step_crash(context, count):
    context.filing_numbers = itertools.count(1)
    context.crashes = 0
    context.world.tasks.append(
        context.loop.create_task(_restart_services(context))
    )
    context.run(_send_until_crashes(context, count))


@behave.when('it is sent {count:d} times to every router, among other filings')
def step_repeat(context, count):
    context.runs_before = _crashing_run_count(context)
    context.run(_send_rounds(context, count))


@behave.then('it ran at most {most:d} more times')
def step_run_limit(context, most):
    ran = _crashing_run_count(context) - context.runs_before
    assert ran <= most, (ran, context.crashes)


@behave.then('it was refused with "{code}" and "not run" each time')
def step_refused(context, code):
    for reply in context.refusals:
        outcome = (reply.error.get('code'), reply.error.get('ran'))
        assert outcome == (code, False), reply


@behave.then('all other filings were answered')
def step_other_filings(context):
    failed = [reply for reply in context.other_replies if reply.status != 200]
    assert context.other_replies and not failed, failed[:3]


def _crashing_run_count(context):
    """Return how often a server started a filing and did not finish it."""
    finished = {
        line['request_id'] for line in context.world.executions_logged('end')
    }
    return sum(
        line['request_id'] not in finished
        for line in context.world.executions_logged()
    )


async def _restart_services(context):
    """Restart each service that has exited."""
    world: worlds.World = context.world
    while True:
        await asyncio.sleep(_POLL_S)
        for name, process in list(world.processes.items()):
            has_exited = process.poll() is not None
            if name.startswith('field-app') and has_exited:
                context.crashes += 1
                world.start(name, 'standin', 'service')


async def _send_crashing(context, router):
    request = calls.filing_request(query=_CRASH_QUERY, body=_CRASH_BODY)
    return await calls.send(context.world.address(router), request)


async def _send_until_crashes(context, count):
    async with asyncio.timeout(20.0):
        for number in itertools.count():
            if context.crashes >= count:
                return
            routers = context.world.routers
            await _send_crashing(context, routers[number % len(routers)])
            await asyncio.sleep(_POLL_S)


async def _send_rounds(context, count):
    context.refusals = []
    context.other_replies = []
    for _ in range(count):
        for router in context.world.routers:
            context.refusals.append(await _send_crashing(context, router))
            body = f'harmless {next(context.filing_numbers)}'.encode()
            address = context.world.address(router)
            reply = await calls.send(address, calls.filing_request(body=body))
            context.other_replies.append(reply)
        await asyncio.sleep(_ROUND_PAUSE_S)
