"""Steps about calls with an idempotency key, which run at most once."""

import asyncio
import collections
import secrets
import signal
import time

import behave

from features.steps import fleet_steps
from features.support import calls
from features.support import control
from honeyport.control import claims

_FINAL_ANSWER_TIMEOUT_S = 12.0
_LEASE_EXPIRY_S = 1.3  # longer than the lease of the test fleet


def run_count_of(world, key):
    """Return how often a call with a key ran."""
    return sum(line['key'] == key for line in world.executions_logged())


async def send_filing(context, router, key, **options):
    """Send a filing; record and return the reply."""
    address = context.world.address(router)
    reply = await calls.send(address, calls.filing_request(key, **options))
    context.recorded_replies.append((key, reply))
    return reply


def reset(context):
    """Reset the scenario's key, options and recorded replies."""
    context.key = calls.new_key()
    context.recorded_replies = []
    context.options = {}


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{services:d} services with {slots:d} slots'
)
def step_slots(context, control, routers, services, slots):
    context.run(
        start_fleet_with_slots(
            context.world, control, routers, services, slots
        )
    )


async def start_fleet_with_slots(world, control, routers, services, slots):
    """Start a fleet whose services have few slots."""
    world.start_control(control)
    for number in range(1, services + 1):
        world.start_service(f'field-app-{number}')
        world.backends[f'field-app-{number}']['slots'] = slots
    for number in range(1, routers + 1):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await fleet_steps.wait_until_healthy(world)
    await world.wait_until(
        lambda: fleet_steps.all_backends_serve(world),
        'every backend server has a steward',
    )


@behave.when('a filing is sent to "{first}" and again to "{second}"')
def step_send_twice(context, first, second):
    reset(context)
    context.replies = [
        context.run(send_filing(context, router, context.key))
        for router in (first, second)
    ]


@behave.then('both answers are the same and the second is marked as recorded')
def step_recorded(context):
    first, second = context.replies
    assert first.status == second.status == 200, context.replies
    assert first.body == second.body
    assert 'Honeyport-Recorded' not in first.headers
    assert second.headers['Honeyport-Recorded'] == 'true'


@behave.then('the filing ran once')
def step_once(context):
    assert run_count_of(context.world, context.key) == 1, (
        context.world.executions_logged()
    )


@behave.then('the filing ran at most once')
def step_at_most_once(context):
    assert run_count_of(context.world, context.key) <= 1, (
        context.world.executions_logged()
    )


@behave.then('the filing never ran')
def step_never(context):
    assert run_count_of(context.world, context.key) == 0, (
        context.world.executions_logged()
    )


@behave.when('a filing is sent to "{router}" and its answer is lost')
def step_lost_answer(context, router):
    reset(context)
    context.options = {'query': '?close=1'}
    step_send_again(context, router)


@behave.when('the same filing is sent to "{router}"')
def step_send_again(context, router):
    reply = send_filing(context, router, context.key, **context.options)
    context.replies = [context.run(reply)]


@behave.then('it is answered with "{code}" and an unknown outcome')
def step_unknown_outcome(context, code):
    error = context.replies[-1].error
    assert error.get('code') == code, context.replies[-1]
    assert error['ran'] is None, error


@behave.when(
    'a filing that takes {pause:d} ms runs and is repeated at two routers'
)
def step_repeat_running(context, pause):
    reset(context)
    context.options = {'query': f'?slow={pause}'}
    context.run(repeat_running(context))


async def repeat_running(context):
    first = asyncio.ensure_future(
        send_filing(context, 'router-1', context.key, **context.options)
    )
    world = context.world
    await world.wait_until(lambda: run_count_of(world, context.key), 'it runs')
    context.replies = await calls.gather(
        send_filing(context, 'router-2', context.key, **context.options),
        send_filing(context, 'router-3', context.key, **context.options),
    )
    context.first = await first


@behave.then('the repetitions are answered with "{code}"')
def step_repetitions(context, code):
    codes = [reply.error.get('code') for reply in context.replies]
    assert codes == [code, code], context.replies
    assert all('Retry-After' in reply.headers for reply in context.replies)


@behave.then('the first answer comes with status {status:d}')
def step_first(context, status):
    assert context.first.status == status, context.first


@behave.when(
    'a filing that takes {pause:d} ms runs at "{router}", which is killed'
)
def step_kill_running(context, pause, router):
    reset(context)
    context.options = {'query': f'?slow={pause}'}
    context.run(kill_running(context, router))


async def kill_running(context, router):
    world = context.world
    first = asyncio.ensure_future(
        send_filing(context, router, context.key, **context.options)
    )
    await world.wait_until(lambda: run_count_of(world, context.key), 'it runs')
    await world.kill(router)
    await first


@behave.when('the same filing is sent to "{router}" once the lease has lapsed')
def step_after_lease(context, router):
    context.run(asyncio.sleep(_LEASE_EXPIRY_S))
    step_send_again(context, router)


@behave.when('a filing is claimed and queued at "{router}", which is killed')
def step_kill_queued(context, router):
    context.run(wait_with_claim(context, router))
    context.run(context.world.kill(router))


@behave.when('a filing is claimed and queued at "{router}", which freezes')
def step_freeze_queued(context, router):
    context.run(wait_with_claim(context, router))
    context.world.send_signal(router, signal.SIGSTOP)


async def wait_with_claim(context, router):
    """Queue a filing behind another one that holds the only slot."""
    reset(context)
    world = context.world
    blocking_request = calls.filing_request(query='?slow=2500')
    blocking_call = asyncio.ensure_future(
        calls.send(world.address('router-2'), blocking_request)
    )
    await world.wait_until(
        lambda: world.executions_logged(), 'the slot is taken'
    )
    waiting = asyncio.ensure_future(send_filing(context, router, context.key))
    world.tasks += [blocking_call, waiting]
    await world.wait_until(
        lambda: has_claim(context), 'the claim is committed'
    )
    await asyncio.sleep(0.2)


async def has_claim(context):
    """Return whether the control leader holds a claim."""
    world = context.world
    name = await control.leader(world)
    for line in await metrics_of(world, name):
        if line.startswith('honeyport_control_claims '):
            return float(line.split()[1]) >= 1
    return False


async def metrics_of(world, name):
    """Return the lines of a control replica's metrics."""
    address = world.settings[name]['http_listen']
    reply = await calls.send(address, calls.get_request('/metrics'))
    return reply.body.decode().splitlines()


@behave.when(
    'the same filing is sent to "{router}" until it has a final answer'
)
def step_until_final(context, router):
    context.run(repeat_until_final(context, router))


async def repeat_until_final(context, router):
    """Repeat a filing while its answer asks for a retry."""
    give_up_at = time.monotonic() + _FINAL_ANSWER_TIMEOUT_S
    while time.monotonic() < give_up_at:
        reply = await send_filing(
            context, router, context.key, **context.options
        )
        context.replies = [reply]
        final_codes = ('HP-3105', 'HP-3103')
        if reply.status == 200 or reply.error.get('code') in final_codes:
            return
        await asyncio.sleep(0.3)
    raise AssertionError(f'no final answer: {reply}')


@behave.then('the last answer has status {status:d}')
def step_last(context, status):
    assert context.replies[-1].status == status, context.replies[-1]


@behave.when('a filing is refused because no slot is free')
def step_no_free_slot(context):
    reset(context)
    context.run(send_without_free_slot(context))


async def send_without_free_slot(context):
    world = context.world
    blocking_request = calls.filing_request(query='?slow=1500')
    blocking_call = asyncio.ensure_future(
        calls.send(world.address('router-2'), blocking_request)
    )
    world.tasks.append(blocking_call)
    await world.wait_until(
        lambda: world.executions_logged(), 'the slot is taken'
    )
    reply = await send_filing(context, 'router-1', context.key, deadline_s=0.5)
    context.replies = [reply]


@behave.when('a filing is sent to "{router}" and a different one with its key')
def step_different_request(context, router):
    reset(context)
    context.run(send_filing(context, router, context.key))
    reply = context.run(
        send_filing(context, 'router-2', context.key, body=b'{"yard": 18}')
    )
    context.replies = [reply]


@behave.when('a filing with a key from two hours ago is sent to "{router}"')
def step_old_key(context, router):
    reset(context)
    context.key = claims.new_key(time.time() - 7200, secrets.randbits)
    step_send_again(context, router)


@behave.when('{count:d} filings come in and the control leader is killed')
def step_kill_control_leader(context, count):
    reset(context)
    context.run(kill_control_leader(context, count))


async def kill_control_leader(context, count):
    world = context.world
    name = await control.leader(world)
    pending = [
        asyncio.ensure_future(
            send_filing(context, world.routers[number % 3], calls.new_key())
        )
        for number in range(count)
    ]
    await asyncio.sleep(0.03)
    await world.kill(name)
    await asyncio.gather(*pending)


@behave.when(
    '{count:d} filings are each sent to two routers and "{router}" is killed'
)
def step_kill_router(context, count, router):
    reset(context)
    context.run(kill_router(context, count, router))


async def kill_router(context, count, router):
    world = context.world
    pending = []
    for _ in range(count):
        key = calls.new_key()
        pending += [
            asyncio.ensure_future(
                send_filing(context, name, key, query='?slow=100')
            )
            for name in ('router-1', router)
        ]
    await asyncio.sleep(0.15)
    await world.kill(router)
    await asyncio.gather(*pending)
    await asyncio.sleep(0.3)


@behave.then('every filing ran at most once')
def step_all_at_most_once(context):
    run_counts = collections.Counter(
        line['key'] for line in context.world.executions_logged()
    )
    run_counts.pop('', None)
    repeated = {key: count for key, count in run_counts.items() if count > 1}
    assert not repeated, repeated


@behave.then("the callers' answers agree with the execution log")
def step_agrees(context):
    world = context.world
    replies_by_key = collections.defaultdict(list)
    for key, reply in context.recorded_replies:
        replies_by_key[key].append(reply)
    for key, replies in replies_by_key.items():
        run_count = run_count_of(world, key)
        answered = [reply for reply in replies if reply.status == 200]
        not_run = [
            refusal for refusal in replies if refusal.error.get('ran') is False
        ]
        assert not answered or run_count == 1, (key, replies)
        if not_run and not answered and len(not_run) == len(replies):
            assert run_count == 0, (key, replies)
        for reply in replies:
            assert (
                reply.status == 200 or reply.error or reply.is_interrupted
            ), reply
