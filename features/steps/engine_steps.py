"""Steps about the load of engines, and engines that join and leave."""

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
_REPORT_DELAY_S = 0.4  # until a steward knows the total load
_SEND_DELAY_S = 0.05  # from the steward to the engine's log
_SURGE_TOKENS = 40


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{engines:d} engines of {slots:d} slots'
)
def step_fleet_with_slots(context, control, routers, engines, slots):
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
    context.run(send_surge(context, count, seconds))


@behave.when(
    '{count:d} turns of ten chats are sent over {seconds:d} seconds and '
    '"{router}" is killed'
)
def step_surge_kill(context, count, seconds, router):
    async def both():
        async with asyncio.TaskGroup() as group:
            group.create_task(send_surge(context, count, seconds))
            await asyncio.sleep(seconds / 3)
            await context.world.kill(router)

    context.run(both())


async def send_surge(context, count, seconds):
    """Send turns of ten chats, so that hashing alone is unbalanced."""
    world = context.world
    generator = random.Random(7)
    entry_routers = world.routers[:2]

    async def send_turn(number):
        await asyncio.sleep(generator.uniform(0, seconds))
        request = calls.chat_request(
            f'few-{number % 10}', tokens=_SURGE_TOKENS
        )
        address = world.address(entry_routers[number % 2])
        return await calls.send(address, request)

    context.replies = await calls.gather(
        *(send_turn(number) for number in range(count))
    )


@behave.then('no engine exceeded its bound when a request started')
def step_bound(context):
    over = starts_over_bound(context.world)
    assert not over, over[:5]


def starts_over_bound(world):
    """Return the starts at which an engine exceeded its bound.

    The bound is relative to the mean load, which a steward knows with a
    delay: the highest mean during that delay counts. A request counts for
    the steward once sent, and is logged by the engine shortly after.
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
    for started_at, name, running_then in starts:
        recent_max = max(
            total
            for at, total in totals
            if started_at - _REPORT_DELAY_S <= at <= started_at + _SEND_DELAY_S
        )
        allowed = math.ceil(_BOUND * max(recent_max, 1) / count)
        if running_then[name] > allowed:
            over.append((name, running_then, allowed))
    return over


@behave.when('"{name}" is killed')
def step_kill(context, name):
    context.run(context.world.kill(name))


@behave.when('"{name}" is restarted')
def step_start_engine(context, name):
    context.world.start_engine(name)


@behave.then('a chat of "{name}" is answered by another engine')
def step_another_engine(context, name):
    context.chat = chat_assigned_to(context, name)
    served = context.run(await_served(context, lambda by: by != name))
    assert served != name


@behave.then('the chat is answered by "{name}" again')
def step_same_engine_again(context, name):
    context.run(await_served(context, lambda by: by == name))


def chat_assigned_to(context, name):
    """Return a chat that the hash assigns to an engine."""
    names = list(context.world.backends)
    return next(
        chat
        for chat in (f'chat-{number}' for number in range(1000))
        if hashing.rank(chat, names, 1) == [name]
    )


async def await_served(context, is_expected):
    """Send turns until the engine that serves them meets a condition.

    :param is_expected: the condition on the engine's name
    """
    world = context.world

    async def check():
        request = calls.chat_request(context.chat, Honeyport_Deadline='3')
        reply = await calls.send(world.address('router-1'), request)
        served = reply.headers.get('Honeyport-Placement', '')
        return served if reply.is_complete and is_expected(served) else None

    return await world.wait_until(check, 'the expected engine serves the chat')


@behave.given('a fleet with an instance list that lags {lag:d} ms')
def step_fleet_with_instance_list(context, lag):
    context.run(start_fleet_with_instance_list(context.world, lag))


async def start_fleet_with_instance_list(world, lag):
    """Start a fleet whose control replica reads an instance list."""
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
        lambda: fleet_steps.all_backends_serve(world),
        'every backend server has a steward',
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
def step_remove_from_bundle(context, name):
    del context.world.backends[name]
    context.run(context.world.roll_out())


@behave.then('"{name}" gets no new work {seconds:d} seconds later')
def step_no_new_work(context, name, seconds):
    context.run(asyncio.sleep(seconds))
    context.run(send_turns_to_leaving(context))
    world = context.world
    lines = [
        line
        for line in world.executions_logged()
        if line['time'] > context.sent_at
    ]
    assert len(lines) == 40, len(lines)
    assert name not in {line['instance'] for line in lines}


async def send_turns_to_leaving(context):
    world = context.world
    context.sent_at = time.time()
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
def step_two_accounts(context, large, many, small, few):
    context.run(send_for_two_accounts(context, large, many, small, few))


async def send_for_two_accounts(context, large, many, small, few):
    world = context.world
    address = world.address('router-1')

    def start_turn(account, number):
        request = calls.chat_request(
            f'{account}-{number}', account=account, tokens=20
        )
        return asyncio.ensure_future(calls.send(address, request))

    surge = [start_turn(large, number) for number in range(many)]
    await asyncio.sleep(0.3)
    others = [start_turn(small, number) for number in range(few)]
    context.surge_replies = await calls.gather(*surge)
    context.other_replies = await calls.gather(*others)
    context.replies = context.surge_replies + context.other_replies


@behave.then('the turns of "{small}" take less than a third of the surge')
def step_not_delayed(context, small):
    surge_s = max(reply.duration_s for reply in context.surge_replies)
    other_s = max(reply.duration_s for reply in context.other_replies)
    assert other_s < surge_s / 3, (other_s, surge_s)


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
    in_time = [reply for reply in refused if reply.duration_s < limit / 1000]
    assert len(in_time) >= len(refused) / 2, [
        refusal.duration_s for refusal in refused
    ]
    for reply in refused:
        assert reply.error['ran'] is False
        assert int(reply.headers['Retry-After']) >= 1


@behave.when('{count:d} chats have had a turn on "{name}"')
def step_fill_cache(context, count, name):
    context.chats = [f'warm-{number}' for number in range(count)]
    context.cached_engine = name
    replies = context.run(send_turns_of_chats(context))
    assert all(
        reply.headers['Honeyport-Placement'] == name for reply in replies
    )


async def send_turns_of_chats(context):
    """Send a turn of every cached chat, one after another."""
    world = context.world
    semaphore = asyncio.Semaphore(1)

    async def send_turn(chat):
        async with semaphore:
            return await calls.send(
                world.address('router-1'),
                calls.chat_request(
                    chat, Honeyport_Placement=context.cached_engine
                ),
            )

    return await calls.gather(*(send_turn(chat) for chat in context.chats))


@behave.then('the next turns of these chats hit the caches of other engines')
def step_caches_moved(context):
    world = context.world

    def prefixes_moved():
        return any(
            line['number'] == 3105 and line['backend'] == context.cached_engine
            for name in world.routers
            for line in world.log_lines(name)
        )

    context.run(world.wait_until(prefixes_moved, 'the prefixes are moved', 5))
    replies = context.run(send_turns_of_chats(context))
    hits = [reply.headers['X-Cache'] == 'hit' for reply in replies]
    served = {reply.headers['Honeyport-Placement'] for reply in replies}
    assert context.cached_engine not in served
    assert sum(hits) >= 0.9 * len(hits), sum(hits)
