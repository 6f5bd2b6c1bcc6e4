"""Steps about the load and the coming and going of engines."""

import asyncio
import json
import math
import random
import time

import behave

from features.steps import fleet_steps
from features.support import calls
from honeyport.backend import http
from honeyport import local
from honeyport.policy import hashing

_BOUND = 1.25
_LAG_S = 0.4  # reports, the leader's tick and the way back
_TRANSIT_S = 0.05  # from the steward to the engine's log
_SURGE_TOKENS = 40


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{engines:d} engines of {slots:d} slots'
)
def step_narrow(context, control, routers, engines, slots):
    world = context.world
    world.accounts['courtyards'] = {'share': 1.0}
    world.limits['queue'] = 200
    context.run(
        fleet_steps.start_fleet(
            world, control, routers, engines, 0, slots=slots
        )
    )


@behave.when('{count:d} turns of ten chats are sent over {seconds:d} seconds')
def step_surge(context, count, seconds):
    context.run(surge(context, count, seconds))


@behave.when(
    '{count:d} turns of ten chats are sent over {seconds:d} seconds and '
    '"{router}" is killed'
)
def step_surge_kill(context, count, seconds, router):
    async def both():
        async with asyncio.TaskGroup() as group:
            group.create_task(surge(context, count, seconds))
            await asyncio.sleep(seconds / 3)
            await context.world.kill(router)

    context.run(both())


async def surge(context, count, seconds):
    """Send turns of ten chats, so that hashing alone is uneven."""
    world = context.world
    generator = random.Random(7)
    entries = world.routers[:2]

    async def one(number):
        await asyncio.sleep(generator.uniform(0, seconds))
        request = calls.chat_request(
            f'few-{number % 10}', tokens=_SURGE_TOKENS
        )
        address = world.address(entries[number % 2])
        return await calls.send(address, request)

    context.replies = await calls.gather(
        *(one(number) for number in range(count))
    )


@behave.then('no engine exceeded its bound when a request started')
def step_bound(context):
    over = over_bound(context.world)
    assert not over, over[:5]


def over_bound(world):
    """Return the starts at which an engine was over its bound.

    The bound is on the mean, which a steward knows a little late: the
    highest mean of the time that a report takes counts. A steward counts
    what it has sent; the engine logs it when it starts, a moment later.
    """
    count = len(world.backends)
    lines = sorted(
        world.executions_logged('start')
        + world.executions_logged('end')
        + world.executions_logged('cancel'),
        key=lambda line: line['time'],
    )
    running = dict.fromkeys(world.backends, 0)
    totals = []
    starts = []
    for line in lines:
        step = 1 if line['event'] == 'start' else -1
        running[line['instance']] += step
        totals.append((line['time'], sum(running.values())))
        if step > 0:
            starts.append((line['time'], line['instance'], dict(running)))
    over = []
    for when, name, then in starts:
        recent = max(
            total
            for at, total in totals
            if when - _LAG_S <= at <= when + _TRANSIT_S
        )
        allowed = math.ceil(_BOUND * max(recent, 1) / count)
        if then[name] > allowed:
            over.append((name, then, allowed))
    return over


@behave.when('"{name}" is killed')
def step_kill(context, name):
    context.run(context.world.kill(name))


@behave.when('"{name}" is restarted')
def step_start_engine(context, name):
    context.world.start_engine(name)


@behave.then('a chat of "{name}" is answered by another engine')
def step_other(context, name):
    context.chat = chat_of(context, name)
    served = context.run(await_served(context, lambda by: by != name))
    assert served != name


@behave.then('the chat is answered by "{name}" again')
def step_again(context, name):
    context.run(await_served(context, lambda by: by == name))


def chat_of(context, name):
    """Return a chat whose hash puts it on an engine."""
    names = list(context.world.backends)
    return next(
        chat
        for chat in (f'chat-{number}' for number in range(1000))
        if hashing.rank(chat, names, 1) == [name]
    )


async def await_served(context, wanted):
    """Send turns until the engine that serves them is a wanted one."""
    world = context.world

    async def check():
        request = calls.chat_request(context.chat, Honeyport_Deadline='3')
        reply = await calls.send(world.address('router-1'), request)
        served = reply.headers.get('Honeyport-Placement', '')
        return served if reply.is_complete and wanted(served) else None

    return await world.wait_until(check, 'the chat is served as wanted')


@behave.given('a fleet with an instance list that lags {lag:d} ms')
def step_listed(context, lag):
    context.run(start_listed(context.world, lag))


async def start_listed(world, lag):
    """Start a fleet whose control reads an instance list."""
    address = local.free_address()
    world.settings['instances'] = {
        'name': 'instances',
        'domain': 'thu-duc',
        'listen': address,
        'lag_s': lag / 1000,
    }
    world.start('instances', 'standin', 'instances')
    world.start_control(1, instance_list=address)
    for number in (1, 2, 3):
        world.start_engine(f'draft-llm-{number}')
    for number in (1, 2):
        world.start_router(f'router-{number}')
    await world.roll_out()
    await fleet_steps.wait_until_healthy(world)
    await world.wait_until(
        lambda: fleet_steps.all_backends_serve(world), 'all is settled'
    )


@behave.when('the instance list shows "{name}" as leaving')
def step_leaving(context, name):
    request = http.Request(
        method='POST',
        path='/instances',
        body=json.dumps({name: 'leaving'}).encode(),
    )
    address = context.world.address('instances')
    assert context.run(calls.send(address, request)).status == 200


@behave.when('a bundle without "{name}" is rolled out')
def step_without(context, name):
    del context.world.backends[name]
    context.run(context.world.roll_out())


@behave.then('"{name}" gets no new work {seconds:d} seconds later')
def step_no_new(context, name, seconds):
    context.run(asyncio.sleep(seconds))
    context.run(many_turns(context))
    world = context.world
    after = [
        line
        for line in world.executions_logged()
        if line['time'] > context.began
    ]
    assert len(after) == 40, len(after)
    assert name not in {line['instance'] for line in after}


async def many_turns(context):
    world = context.world
    context.began = time.time()
    replies = await calls.gather(
        *(
            calls.send(
                world.address(world.routers[number % 2]),
                calls.chat_request(
                    f'n-{number}', Honeyport_Placement='draft-llm-2'
                ),
            )
            for number in range(40)
        )
    )
    assert all(reply.is_complete for reply in replies)


@behave.when(
    '"{large}" sends {many:d} turns at once and "{small}" {few:d} a little '
    'later'
)
def step_shares(context, large, many, small, few):
    context.run(shares(context, large, many, small, few))


async def shares(context, large, many, small, few):
    world = context.world
    address = world.address('router-1')

    def turn(account, number):
        request = calls.chat_request(
            f'{account}-{number}', account=account, tokens=20
        )
        return asyncio.ensure_future(calls.send(address, request))

    big = [turn(large, number) for number in range(many)]
    await asyncio.sleep(0.3)
    little = [turn(small, number) for number in range(few)]
    context.big = await calls.gather(*big)
    context.little = await calls.gather(*little)
    context.replies = context.big + context.little


@behave.then('the turns of "{small}" take less than a third of the surge')
def step_no_longer(context, small):
    surge_s = max(reply.duration_s for reply in context.big)
    little_s = max(reply.duration_s for reply in context.little)
    assert little_s < surge_s / 3, (little_s, surge_s)


@behave.when(
    '{count:d} long turns with a deadline of {seconds:d} seconds are sent '
    'at once'
)
def step_deadline(context, count, seconds):
    address = context.world.address('router-1')

    async def send_all():
        return await calls.gather(
            *(
                calls.send(
                    address,
                    calls.chat_request(
                        f'd-{number}',
                        tokens=200,
                        Honeyport_Deadline=str(seconds),
                    ),
                )
                for number in range(count)
            )
        )

    context.replies = context.run(send_all())


@behave.then(
    'turns that cannot start are refused within {limit:d} ms with a '
    'Retry-After header'
)
def step_refused_at_once(context, limit):
    refused = [reply for reply in context.replies if reply.status == 429]
    assert refused, context.replies
    early = [reply for reply in refused if reply.duration_s < limit / 1000]
    assert len(early) >= len(refused) / 2, [r.duration_s for r in refused]
    for reply in refused:
        assert reply.error['ran'] is False
        assert int(reply.headers['Retry-After']) >= 1


@behave.when('{count:d} chats have had a turn on "{name}"')
def step_warm(context, count, name):
    context.chats = [f'warm-{number}' for number in range(count)]
    context.warm = name
    replies = context.run(turns_of(context))
    assert all(
        reply.headers['Honeyport-Placement'] == name for reply in replies
    )


async def turns_of(context):
    """Send a turn of every warm chat, one after another."""
    world = context.world
    room = asyncio.Semaphore(1)

    async def one(chat):
        async with room:
            return await calls.send(
                world.address('router-1'),
                calls.chat_request(chat, Honeyport_Placement=context.warm),
            )

    return await calls.gather(*(one(chat) for chat in context.chats))


@behave.then('the next turns of these chats hit the caches of other engines')
def step_elsewhere(context):
    world = context.world

    def moved():
        return any(
            line['number'] == 3105 and line['backend'] == context.warm
            for name in world.routers
            for line in world.log_lines(name)
        )

    context.run(world.wait_until(moved, 'the prefixes are moved', 5))
    replies = context.run(turns_of(context))
    hits = [reply.headers['X-Cache'] == 'hit' for reply in replies]
    served = {reply.headers['Honeyport-Placement'] for reply in replies}
    assert context.warm not in served
    assert sum(hits) >= 0.9 * len(hits), sum(hits)
