"""Steps about a request that ends the instances that run it."""

import asyncio
import json

import behave

from features.support import crashing

_ENDS_S = 20.0
_PAUSE_S = 0.3
_PATH = '/app/ending'


@behave.given(
    '{count:d} instances of its service, and a request that ends each of them'
)
def step_instances(context, count):
    start_instances(context, count)


@behave.when('the request comes until {count:d} instances have ended')
def step_until_ended(context, count):
    context.run(_send_until(context, count))


@behave.when('{seconds:g} seconds pass on the platform')
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.when(
    'it comes {count:d} times at every gateway, and other requests between '
    'them'
)
def step_comes_again(context, count):
    context.before = len(context.crashing.seen.ending)
    context.run(_send_again(context, count))


@behave.then('it reached at most {most:d} instances in that time')
def step_reached(context, most):
    reached = len(context.crashing.seen.ending) - context.before
    assert reached <= most, (reached, context.crashing.seen.ends)


@behave.then('it was refused as not run each time')
def step_refused(context):
    for status, body in context.again:
        assert status == 503, (status, body)
        assert json.loads(body)['error']['ran'] is False, body


@behave.then('all other requests were served')
def step_others(context):
    assert context.others, 'none was sent'
    wrong = [one for one in context.others if one != (200, b'done')]
    assert not wrong, (len(wrong), len(context.others), wrong[:3])


def start_instances(context, count, **options):
    """Start instances that a request ends, in place of the usual one."""
    context.crashing = crashing.Instances(context.platform, count, **options)
    context.run(context.crashing.start())
    context.to_stop.append(context.crashing.stop)
    context.numbers = iter(range(1_000_000))


async def send_ending(context, node):
    """Send the request that ends instances, under a new id."""
    return await context.platform.call(
        node,
        f'ending-{next(context.numbers)}',
        _PATH,
        crashing.ENDING.decode(),
    )


async def _send_until(context, count):
    nodes = context.platform.nodes
    async with asyncio.timeout(_ENDS_S):
        while context.crashing.seen.ends < count:
            node = nodes[next(context.numbers) % len(nodes)]
            await send_ending(context, node)


async def _send_again(context, count):
    context.again = []
    context.others = []
    for _ in range(count):
        sends = [send_ending(context, one) for one in context.platform.nodes]
        others = [_send_other(context, one) for one in context.platform.nodes]
        found = await asyncio.gather(*sends, *others)
        context.again += found[: len(sends)]
        context.others += found[len(sends) :]
        await asyncio.sleep(_PAUSE_S)


async def _send_other(context, node):
    number = next(context.numbers)
    return await context.platform.call(
        node, f'other-{number}', f'/app/{number}', f'harmless {number}'
    )
