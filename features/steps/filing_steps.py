"""Steps about requests that must not run twice."""

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

_FINAL_S = 12.0
_LEASE_S = 1.3


def runs(world, key):
    """Return how often a key ran."""
    return sum(line['key'] == key for line in world.executions_logged())


async def file(context, router, key, **options):
    """Send a filing and keep what its caller was told."""
    address = context.world.address(router)
    reply = await calls.send(address, calls.filing_request(key, **options))
    context.told.append((key, reply))
    return reply


def begin(context):
    """Take a fresh key."""
    context.key = calls.new_key()
    context.told = []
    context.options = {}


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{services:d} services with {slots:d} slots'
)
def step_slots(context, control, routers, services, slots):
    context.run(start_narrow(context.world, control, routers, services, slots))


async def start_narrow(world, control, routers, services, slots):
    """Start a fleet whose services take few calls at once."""
    world.start_control(control)
    for number in range(1, services + 1):
        world.start_service(f'field-app-{number}')
        world.backends[f'field-app-{number}']['slots'] = slots
    for number in range(1, routers + 1):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await fleet_steps.wait_until_healthy(world)
    await world.wait_until(
        lambda: fleet_steps.all_backends_serve(world), 'all is settled'
    )


@behave.when('a filing is sent to "{first}" and again to "{second}"')
def step_twice(context, first, second):
    begin(context)
    context.replies = [
        context.run(file(context, router, context.key))
        for router in (first, second)
    ]


@behave.then('both answers are the same and the second is marked as recorded')
def step_recorded(context):
    one, two = context.replies
    assert one.status == two.status == 200, context.replies
    assert one.body == two.body
    assert 'Honeyport-Recorded' not in one.headers
    assert two.headers['Honeyport-Recorded'] == 'true'


@behave.then('the filing ran once')
def step_once(context):
    assert runs(context.world, context.key) == 1, (
        context.world.executions_logged()
    )


@behave.then('the filing ran at most once')
def step_at_most_once(context):
    assert runs(context.world, context.key) <= 1, (
        context.world.executions_logged()
    )


@behave.then('the filing never ran')
def step_never(context):
    assert runs(context.world, context.key) == 0, (
        context.world.executions_logged()
    )


@behave.when('a filing is sent to "{router}" and its answer is lost')
def step_lost_answer(context, router):
    begin(context)
    context.options = {'query': '?close=1'}
    step_same(context, router)


@behave.when('the same filing is sent to "{router}"')
def step_same(context, router):
    sending = file(context, router, context.key, **context.options)
    context.replies = [context.run(sending)]


@behave.then('it is answered with "{code}" and an unknown outcome')
def step_unknown(context, code):
    error = context.replies[-1].error
    assert error.get('code') == code, context.replies[-1]
    assert error['ran'] is None, error


@behave.when(
    'a filing that takes {pause:d} ms runs and is repeated at two routers'
)
def step_repeat_running(context, pause):
    begin(context)
    context.options = {'query': f'?slow={pause}'}
    context.run(repeat_running(context))


async def repeat_running(context):
    first = asyncio.ensure_future(
        file(context, 'router-1', context.key, **context.options)
    )
    world = context.world
    await world.wait_until(lambda: runs(world, context.key), 'it runs')
    context.replies = await calls.gather(
        file(context, 'router-2', context.key, **context.options),
        file(context, 'router-3', context.key, **context.options),
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
    begin(context)
    context.options = {'query': f'?slow={pause}'}
    context.run(kill_running(context, router))


async def kill_running(context, router):
    world = context.world
    first = asyncio.ensure_future(
        file(context, router, context.key, **context.options)
    )
    await world.wait_until(lambda: runs(world, context.key), 'it runs')
    await world.kill(router)
    await first


@behave.when('the same filing is sent to "{router}" once the lease has lapsed')
def step_after_lease(context, router):
    context.run(asyncio.sleep(_LEASE_S))
    step_same(context, router)


@behave.when('a filing is claimed and queued at "{router}", which is killed')
def step_kill_waiting(context, router):
    context.run(wait_with_claim(context, router))
    context.run(context.world.kill(router))


@behave.when('a filing is claimed and queued at "{router}", which freezes')
def step_freeze_waiting(context, router):
    context.run(wait_with_claim(context, router))
    context.world.send_signal(router, signal.SIGSTOP)


async def wait_with_claim(context, router):
    """Have a filing queue behind another that keeps the only slot."""
    begin(context)
    world = context.world
    blocking = calls.filing_request(query='?slow=2500')
    occupied = asyncio.ensure_future(
        calls.send(world.address('router-2'), blocking)
    )
    await world.wait_until(
        lambda: world.executions_logged(), 'the slot is taken'
    )
    waiting = asyncio.ensure_future(file(context, router, context.key))
    world.tasks += [occupied, waiting]
    await world.wait_until(lambda: claimed(context), 'the claim is committed')
    await asyncio.sleep(0.2)


async def claimed(context):
    """Whether control holds a claim."""
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
    context.run(until_final(context, router))


async def until_final(context, router):
    """Repeat while the answer says to come back."""
    until = time.monotonic() + _FINAL_S
    while time.monotonic() < until:
        reply = await file(context, router, context.key, **context.options)
        context.replies = [reply]
        final = ('HP-3105', 'HP-3103')
        if reply.status == 200 or reply.error.get('code') in final:
            return
        await asyncio.sleep(0.3)
    raise AssertionError(f'no final answer: {reply}')


@behave.then('the last answer has status {status:d}')
def step_last(context, status):
    assert context.replies[-1].status == status, context.replies[-1]


@behave.when('a filing is refused because no slot is free')
def step_no_room(context):
    begin(context)
    context.run(refused(context))


async def refused(context):
    world = context.world
    blocking = calls.filing_request(query='?slow=1500')
    occupied = asyncio.ensure_future(
        calls.send(world.address('router-2'), blocking)
    )
    world.tasks.append(occupied)
    await world.wait_until(
        lambda: world.executions_logged(), 'the slot is taken'
    )
    reply = await file(context, 'router-1', context.key, deadline_s=0.5)
    context.replies = [reply]


@behave.when('a filing is sent to "{router}" and a different one with its key')
def step_other_body(context, router):
    begin(context)
    context.run(file(context, router, context.key))
    reply = context.run(
        file(context, 'router-2', context.key, body=b'{"yard": 18}')
    )
    context.replies = [reply]


@behave.when('a filing with a key from two hours ago is sent to "{router}"')
def step_old_key(context, router):
    begin(context)
    context.key = claims.new_key(time.time() - 7200, secrets.randbits)
    step_same(context, router)


@behave.when('{count:d} filings come in and the control leader is killed')
def step_storm(context, count):
    begin(context)
    context.run(storm_leader(context, count))


async def storm_leader(context, count):
    world = context.world
    name = await control.leader(world)
    sends = [
        asyncio.ensure_future(
            file(context, world.routers[number % 3], calls.new_key())
        )
        for number in range(count)
    ]
    await asyncio.sleep(0.03)
    await world.kill(name)
    await asyncio.gather(*sends)


@behave.when(
    '{count:d} filings are each sent to two routers and "{router}" is killed'
)
def step_storm_router(context, count, router):
    begin(context)
    context.run(storm_router(context, count, router))


async def storm_router(context, count, router):
    world = context.world
    sends = []
    for _ in range(count):
        key = calls.new_key()
        sends += [
            asyncio.ensure_future(file(context, name, key, query='?slow=100'))
            for name in ('router-1', router)
        ]
    await asyncio.sleep(0.15)
    await world.kill(router)
    await asyncio.gather(*sends)
    await asyncio.sleep(0.3)


@behave.then('every filing ran at most once')
def step_all_at_most_once(context):
    counted = collections.Counter(
        line['key'] for line in context.world.executions_logged()
    )
    counted.pop('', None)
    doubled = {key: n for key, n in counted.items() if n > 1}
    assert not doubled, doubled


@behave.then("the callers' answers agree with the execution log")
def step_agrees(context):
    world = context.world
    told = collections.defaultdict(list)
    for key, reply in context.told:
        told[key].append(reply)
    for key, replies in told.items():
        ran = runs(world, key)
        answered = [reply for reply in replies if reply.status == 200]
        denied = [r for r in replies if r.error.get('ran') is False]
        assert not answered or ran == 1, (key, replies)
        if denied and not answered and len(denied) == len(replies):
            assert ran == 0, (key, replies)
        for reply in replies:
            assert (
                reply.status == 200 or reply.error or reply.is_interrupted
            ), reply
