"""Steps that kill, freeze and stop processes, and check the outcome."""

import asyncio
import signal

import behave

from features.steps import serving_steps
from features.support import calls

_LONG_TOKENS = 150


@behave.given('{count:d} long answers are running through "{router}"')
def step_long_answers(context, count, router):
    context.run(start_long(context, count, router))


async def start_long(context, count, router):
    """Start long answers; return once all run on an engine."""
    world = context.world
    count_before = len(world.executions_logged())
    context.running = [
        asyncio.ensure_future(
            calls.send(
                world.address(router),
                calls.chat_request(f'long-{number}', tokens=_LONG_TOKENS),
            )
        )
        for number in range(count)
    ]
    world.tasks += context.running
    await world.wait_until(
        lambda: len(world.executions_logged()) >= count_before + count,
        'the answers run',
    )


@behave.when('"{name}" gets SIGTERM')
def step_terminate(context, name):
    context.world.send_signal(name, signal.SIGTERM)


@behave.given('"{name}" freezes')
@behave.when('"{name}" freezes')
def step_freeze(context, name):
    context.world.send_signal(name, signal.SIGSTOP)


@behave.when('"{name}" resumes after {pause:d} ms')
def step_resume(context, name, pause):
    context.run(asyncio.sleep(pause / 1000))
    context.world.send_signal(name, signal.SIGCONT)


@behave.when(
    'a filing runs at "{router}" and its service freezes for {pause:d} ms'
)
def step_freeze_service(context, router, pause):
    context.run(freeze_service(context, router, pause / 1000))


async def freeze_service(context, router, pause_s):
    """Send a filing; freeze the only service while it runs."""
    world = context.world
    (service,) = world.backends
    request = calls.filing_request(query='?slow=300')
    sending = asyncio.ensure_future(calls.send(world.address(router), request))
    world.tasks.append(sending)
    await world.wait_until(world.executions_logged, 'the filing runs')
    world.send_signal(service, signal.SIGSTOP)
    await asyncio.sleep(pause_s)
    world.send_signal(service, signal.SIGCONT)
    context.replies = [await sending]


@behave.when('all routers get SIGTERM')
def step_terminate_all(context):
    for name in context.world.routers:
        context.world.send_signal(name, signal.SIGTERM)


@behave.then('"{name}" ends with code {code:d}')
def step_exit_code(context, name, code):
    assert context.run(context.world.wait_exit(name)) == code


@behave.then('all routers end with code {code:d} within {seconds:d} seconds')
def step_all_exit(context, code, seconds):
    world = context.world
    for name in world.routers:
        exit_code = asyncio.wait_for(world.wait_exit(name), seconds)
        assert context.run(exit_code) == code


@behave.then('every running answer is whole and is what the engine wrote')
def step_running_whole(context):
    replies = context.run(calls.gather(*context.running))
    for reply in replies:
        serving_steps.check_written(context, reply)


@behave.when('a caller sends a chat turn to "{router}"')
def step_turn(context, router):
    context.run(asyncio.sleep(0.1))
    serving_steps.send(context, router, calls.chat_request('yard-9'))


@behave.then('every engine serves through "{router}"')
def step_engines_serve(context, router):
    world = context.world
    context.run(
        world.wait_until(
            lambda: engines_serve(world, router), 'every engine serves'
        )
    )


async def engines_serve(world, router):
    """Return whether every engine answers through a router."""
    for name in world.backends:
        request = calls.chat_request(
            'probe', Honeyport_Placement=name, Honeyport_Deadline='3'
        )
        reply = await calls.send(world.address(router), request)
        if (
            not reply.is_complete
            or reply.headers['Honeyport-Placement'] != name
        ):
            return False
    return True
