"""Steps about a request that ends the instances that run it."""

import asyncio
import json
import shutil
import signal

import behave

from features.steps import platform_steps
from features.support import crashing
from honeyport import operators

_ENDS_S = 20.0
_PAUSE_S = 0.3
_PATH = '/app/ending'


@behave.given(
    '{count:d} instances of its service, and a request that ends each of them'
)
def step_instances(context, count):
    start_instances(context, count)


@behave.given(
    '{count:d} instances that keep their names, and a request that ends each '
    'of them'
)
def step_named_instances(context, count):
    start_instances(context, count, keep_names=True)


@behave.given(
    '{count:d} instances that end without a word, and a request that ends '
    'each of them'
)
def step_silent_instances(context, count):
    start_instances(context, count, silent=True)


@behave.when('the request comes at every gateway at once')
def step_at_once(context):
    context.again = context.run(_send_at_once(context))


@behave.when(
    'the instances are mended, and the request comes at every gateway at once'
)
def step_mended(context):
    context.crashing.mended = True
    context.again = context.run(_send_at_once(context))


@behave.when('the leading instance is killed and started again')
def step_kill_leader(context):
    platform = context.platform
    node = context.run(platform_steps.find_leader(platform))
    platform.send_signal(node, signal.SIGKILL)
    platform.launch(node)
    context.run(asyncio.sleep(1.0))


@behave.when(
    'all processes are killed, instance 1 loses its disk, and all start'
)
def step_lose_all(context):
    platform = context.platform
    for node in platform.nodes:
        platform.send_signal(node, signal.SIGKILL)
    shutil.rmtree(platform.nodes[0].data)
    platform.nodes[0].data.mkdir()
    for node in platform.nodes:
        platform.launch(node)


@behave.when('the operator clears it')
def step_clear(context):
    [line] = context.run(_suspects(context))
    fingerprint = line.split()[0]
    found = context.run(_command(context, 'clear', fingerprint))
    assert found == f'{fingerprint}: cleared', found


@behave.then('an operator is shown {count:d} request that is refused')
def step_shown(context, count):
    lines = context.run(_suspects(context))
    assert len(lines) == count, lines
    for line in lines:
        assert 'refused, tried again in' in line, line


@behave.then('it was served each time')
def step_served(context):
    assert all(one == (200, b'done') for one in context.again), context.again


@behave.then('no more than {most:d} instances have ended')
def step_most_ended(context, most):
    assert context.crashing.seen.ends <= most, context.crashing.seen.ends


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


async def _send_at_once(context):
    sends = [send_ending(context, one) for one in context.platform.nodes]
    return await asyncio.gather(*sends)


async def _suspects(context):
    """Return the lines of requests that an operator is shown."""
    text = await _command(context, 'suspects')
    return [line for line in text.splitlines() if ' ended ' in line]


async def _command(context, verb, *arguments):
    platform = context.platform
    control = [f'{one.ip}:{platform.ports[4]}' for one in platform.nodes]
    call = getattr(operators, verb)
    return await asyncio.to_thread(call, control, *arguments)
