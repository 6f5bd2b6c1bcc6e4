"""Steps about a request that crashes the instances that run it."""

import asyncio
import json
import shutil
import signal

import behave

from features.steps import platform_steps
from features.support import crashing
from honeyport import operators

_CRASHES_TIMEOUT_S = 20.0
_PAUSE_S = 0.3  # between the rounds of requests
_PATH = '/app/ending'


@behave.given(
    '{count:d} instances of its service, and a request that crashes them'
)
def step_instances(context, count):
    start_instances(context, count)


@behave.given(
    '{count:d} instances that keep their names, and a request that crashes '
    'them'
)
def step_named_instances(context, count):
    start_instances(context, count, keep_names=True)


@behave.given(
    '{count:d} instances that keep connections open, and a request that '
    'crashes them'
)
def step_keeping_connections(context, count):
    start_instances(context, count, keep_connections=True)


@behave.when('the request is sent to every gateway at once')
def step_at_once(context):
    context.responses = context.run(_send_at_once(context))


@behave.when(
    'the instances are fixed, and the request is sent to every gateway at once'
)
def step_fixed(context):
    context.crashing.is_fixed = True
    context.responses = context.run(_send_at_once(context))


@behave.when('the leading instance is killed and started again')
def step_restart_leader(context):
    platform = context.platform
    node = context.run(platform_steps.find_leader(platform))
    platform.send_signal(node, signal.SIGKILL)
    platform.launch(node)
    context.run(asyncio.sleep(1.0))


@behave.when(
    'all processes are killed, instance 1 loses its disk, and all restart'
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
    [line] = context.run(list_suspects(context))
    fingerprint = line.split()[0]
    output = context.run(run_command(context, 'clear', fingerprint))
    assert output == f'{fingerprint}: cleared', output


@behave.then('an operator lists {count:d} refused request')
def step_listed(context, count):
    lines = context.run(list_suspects(context))
    assert len(lines) == count, lines
    for line in lines:
        assert 'refused, tried again in' in line, line


@behave.then('it was served each time')
def step_served(context):
    assert all(response == (200, b'done') for response in context.responses), (
        context.responses
    )


@behave.then('no more than {limit:d} instances have crashed')
def step_most_crashed(context, limit):
    assert context.crashing.counts.crashes <= limit, (
        context.crashing.counts.crashes
    )


@behave.when('the request is sent until {count:d} instances have crashed')
def step_until_crashed(context, count):
    context.run(_send_until(context, count))


@behave.when('{seconds:g} seconds pass on the platform')
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.when(
    'it is sent {count:d} times to every gateway, with other requests in '
    'between'
)
def step_sent_again(context, count):
    context.reached_before = len(context.crashing.counts.crashing_ids)
    context.run(_send_rounds(context, count))


@behave.then('it reached at most {limit:d} instances in that time')
def step_reached(context, limit):
    reached = (
        len(context.crashing.counts.crashing_ids) - context.reached_before
    )
    assert reached <= limit, (reached, context.crashing.counts.crashes)


@behave.then('it was refused as not run each time')
def step_refused(context):
    for status, body in context.responses:
        assert status == 503, (status, body)
        assert json.loads(body)['error']['ran'] is False, body


@behave.then('all other requests were served')
def step_others(context):
    assert context.other_responses, 'none was sent'
    failed = [
        response
        for response in context.other_responses
        if response != (200, b'done')
    ]
    assert not failed, (len(failed), len(context.other_responses), failed[:3])


def start_instances(context, count, **options):
    """Replace the service's instance by ones that a request crashes."""
    context.crashing = crashing.Instances(context.platform, count, **options)
    context.run(context.crashing.start())
    context.to_stop.append(context.crashing.stop)
    context.numbers = iter(range(1_000_000))


async def send_crashing(context, node):
    """Send the request that crashes instances, with a new id."""
    return await context.platform.send_request(
        node,
        f'crashing-{next(context.numbers)}',
        _PATH,
        crashing.FATAL_BODY.decode(),
    )


async def _send_until(context, count):
    nodes = context.platform.nodes
    async with asyncio.timeout(_CRASHES_TIMEOUT_S):
        while context.crashing.counts.crashes < count:
            node = nodes[next(context.numbers) % len(nodes)]
            await send_crashing(context, node)


async def _send_rounds(context, count):
    context.responses = []
    context.other_responses = []
    for _ in range(count):
        sends = [
            send_crashing(context, node) for node in context.platform.nodes
        ]
        others = [
            _send_other(context, node) for node in context.platform.nodes
        ]
        responses = await asyncio.gather(*sends, *others)
        context.responses += responses[: len(sends)]
        context.other_responses += responses[len(sends) :]
        await asyncio.sleep(_PAUSE_S)


async def _send_other(context, node):
    number = next(context.numbers)
    return await context.platform.send_request(
        node, f'other-{number}', f'/app/{number}', f'harmless {number}'
    )


async def _send_at_once(context):
    sends = [send_crashing(context, node) for node in context.platform.nodes]
    return await asyncio.gather(*sends)


async def list_suspects(context):
    """Return the suspected requests that an operator lists, a line each."""
    text = await run_command(context, 'suspects')
    return [line for line in text.splitlines() if ' ended ' in line]


async def run_command(context, verb, *arguments):
    platform = context.platform
    control = [f'{node.ip}:{platform.ports[4]}' for node in platform.nodes]
    command = getattr(operators, verb)
    return await asyncio.to_thread(command, control, *arguments)
