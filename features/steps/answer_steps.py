"""Steps about complete answers during failures."""

import asyncio
import collections
import contextlib
import hashlib
import json

import behave

from features.steps import failure_steps
from features.steps import fleet_steps
from features.steps import serving_steps
from features.support import calls
from features.support import world as worlds
from honeyport.backend import http
from honeyport import client
from honeyport import errors
from honeyport import local
from honeyport.router import resume

_TOKENS = 150
# Lasts longer than the reconnect period of the test fleet.
_VERY_LONG_TOKENS = 600


@behave.given(
    'a fleet of {control:d} control replicas, {routers:d} routers and '
    '{engines:d} engines behind relays'
)
def step_fleet_behind_relays(context, control, routers, engines):
    context.run(
        start_fleet_behind_relays(context.world, control, routers, engines)
    )


async def start_fleet_behind_relays(world, control, routers, engines):
    """Start a fleet with a relay in front of each engine."""
    for number in range(1, engines + 1):
        name = f'draft-llm-{number}'
        address = local.free_address()
        world.settings[name] = {
            'name': name,
            'domain': worlds.DOMAINS[number - 1],
            'listen': address,
            'executions': str(world.executions_path),
        }
        await world.start_relay(name, address)
    await fleet_steps.start_fleet(world, control, routers, engines, 0)


@behave.when(
    "{count:d} long answers are running and the engines' connections are cut"
)
def step_cut_connections(context, count):
    context.run(failure_steps.start_long(context, count, 'router-1'))
    context.run(asyncio.sleep(0.2))
    closed_counts = [
        relay.close_connections() for relay in context.world.relays.values()
    ]
    assert sum(closed_counts) >= count, closed_counts


@behave.then('no answer ran twice')
def step_no_repetition(context):
    ids = [line['request_id'] for line in context.world.executions_logged()]
    assert len(ids) == len(set(ids)), ids


@behave.when(
    'long answers run on an engine whose steward is another router, which '
    'is killed'
)
def step_kill_steward(context):
    context.run(start_on_remote_engine(context))
    context.run(context.world.kill(context.steward))


@behave.when(
    'long answers run on an engine whose steward is another router, which '
    'freezes'
)
def step_freeze_steward(context):
    context.run(start_on_remote_engine(context))
    failure_steps.step_freeze(context, context.steward)


@behave.when(
    'long answers run on an engine whose steward is another router, which '
    'freezes for {pause:d} ms'
)
def step_freeze_steward_briefly(context, pause):
    context.run(start_on_remote_engine(context, _TOKENS * 3))
    failure_steps.step_freeze(context, context.steward)
    failure_steps.step_resume(context, context.steward, pause)


@behave.when(
    'long answers run on an engine whose steward is another router, which '
    'stops'
)
def step_stop_steward(context):
    context.run(start_on_remote_engine(context))
    failure_steps.step_terminate(context, context.steward)


async def start_on_remote_engine(context, tokens=_TOKENS):
    """Start answers on an engine whose steward is not the entry router."""
    world = context.world
    entry = 'router-1'
    engine, context.steward = next(
        (line['backend'], name)
        for name in world.routers
        for line in world.log_lines(name)
        if line['number'] == 3101 and name != entry
    )
    context.running = [
        asyncio.ensure_future(
            calls.send(
                world.address(entry),
                calls.chat_request(
                    f'far-{number}',
                    tokens=tokens,
                    Honeyport_Placement=engine,
                ),
            )
        )
        for number in range(4)
    ]
    world.tasks += context.running
    await world.wait_until(
        lambda: len(world.executions_logged()) >= 4, 'the answers run'
    )
    await asyncio.sleep(0.2)


@behave.then('every running answer is whole or visibly incomplete')
def step_whole_or_cut(context):
    replies = asyncio.wait_for(calls.gather(*context.running), 20)
    context.replies = context.run(replies)
    for reply in context.replies:
        if reply.is_complete:
            serving_steps.check_written(context, reply)
        else:
            assert reply.is_interrupted or reply.error, reply


@behave.when('{count:d} long answers are running and "{name}" is killed')
def step_kill_engine(context, count, name):
    context.run(failure_steps.start_long(context, count, 'router-1'))
    context.run(asyncio.sleep(0.2))
    context.run(context.world.kill(name))


@behave.then('the incomplete answers end with an error event')
def step_error_events(context):
    incomplete = [reply for reply in context.replies if not reply.is_complete]
    assert incomplete, 'all answers are complete'
    for reply in incomplete:
        last_event = reply.body.rstrip().rpartition(b'\n\n')[2]
        assert last_event.startswith(b'event: error\ndata: '), reply.body[
            -400:
        ]
        error = json.loads(last_event.partition(b'data: ')[2])['error']
        assert error['code'] in ('HP-3009', 'HP-3008'), error


@behave.when(
    'a caller reads part of an answer at "{first}" and resumes it at '
    '"{second}"'
)
def step_resume(context, first, second):
    context.run(resume_elsewhere(context, first, second))


@behave.when(
    'a caller reads part of a very long answer at "{first}" and resumes it at '
    '"{second}"'
)
def step_resume_long(context, first, second):
    context.run(resume_elsewhere(context, first, second, _VERY_LONG_TOKENS))


async def resume_elsewhere(context, first, second, tokens=_TOKENS):
    world = context.world
    offset = resume.StreamOffset()
    headers = {'X_Request_Id': 'resumed-1', 'Honeyport_Linger': '1'}
    request = calls.chat_request('yard-5', tokens=tokens, **headers)
    received = b''
    pool = http.Pool(world.address(first))
    parts = pool.fetch(request)
    async with contextlib.aclosing(parts):
        async for part in parts:
            if isinstance(part, bytes):
                received += offset.strip_received(part)
            if offset.last_event > 20:
                break
    offset.begin_resume()
    headers['Last_Event_ID'] = str(offset.last_event)
    request = calls.chat_request('yard-5', tokens=tokens, **headers)
    reply = await calls.send(world.address(second), request)
    assert reply.status == 200, reply
    answer, _, _ = reply.body.rpartition(b': whole bytes=')
    context.received = received + offset.strip_received(answer)


@behave.then('both parts together are what the engine wrote')
def step_parts_match(context):
    digests = [
        line['digest'] for line in context.world.executions_logged('end')
    ]
    assert hashlib.sha256(context.received).hexdigest() in digests


@behave.when(
    'an answer with a deadline of {limit:d} seconds runs at "{router}" and '
    'its engine freezes'
)
def step_freeze_for_good(context, limit, router):
    context.replies = [context.run(freeze_for_good(context, limit, router))]


async def freeze_for_good(context, limit, router):
    world = context.world
    (engine,) = world.backends
    request = calls.chat_request(
        'yard-7', tokens=_VERY_LONG_TOKENS, Honeyport_Deadline=str(limit)
    )
    sending = asyncio.ensure_future(calls.send(world.address(router), request))
    world.tasks.append(sending)
    await world.wait_until(world.executions_logged, 'the answer runs')
    await asyncio.sleep(0.2)
    failure_steps.step_freeze(context, engine)
    return await sending


@behave.then(
    'it ends {first:g} to {last:g} seconds after it began, with an error '
    'event "{code}"'
)
def step_ended_by_deadline(context, first, last, code):
    (reply,) = context.replies
    assert first <= reply.duration_s <= last, reply.duration_s
    last_event = reply.body.rstrip().rpartition(b'\n\n')[2]
    assert f'"code": "{code}"'.encode() in last_event, reply.body[-400:]


@behave.when('a caller disconnects during an answer at "{router}"')
def step_disconnect(context, router):
    context.run(disconnect(context, router))


async def disconnect(context, router):
    pool = http.Pool(context.world.address(router))
    parts = pool.fetch(calls.chat_request('yard-6', tokens=_TOKENS))
    async with contextlib.aclosing(parts):
        async for part in parts:
            if isinstance(part, bytes):
                break


@behave.then('the engine cancels the answer')
def step_cancelled(context):
    world = context.world
    context.run(
        world.wait_until(
            lambda: world.executions_logged('cancel'), 'the engine stops', 5
        )
    )


@behave.when('{count:d} different turns are sent at once to every router')
def step_send_to_every_router(context, count):
    context.run(send_to_every_router(context, count))


async def send_to_every_router(context, count):
    world = context.world
    context.request_ids = []
    pending = []
    for number in range(count):
        for router in world.routers:
            request_id = f'{router}-{number}'
            context.request_ids.append(request_id)
            request = calls.chat_request(
                f'x-{number}', X_Request_Id=request_id
            )
            pending.append(calls.send(world.address(router), request))
    context.replies = await calls.gather(*pending)


@behave.then('every caller got the answer to its own request')
def step_own_answers(context):
    for request_id, reply in zip(
        context.request_ids, context.replies, strict=True
    ):
        stream_ids = set()
        for line in reply.body.decode().splitlines():
            if line.startswith('data: {'):
                stream_ids.add(json.loads(line[len('data: ') :])['id'])
        assert stream_ids == {request_id}, (request_id, stream_ids)


@behave.when(
    '{chats:d} chats and {filings:d} filings are sent by the client '
    'library while routers restart'
)
def step_library(context, chats, filings):
    context.run(send_through_library(context, chats, filings))


async def send_through_library(context, chats, filings):
    world = context.world
    caller = client.Client(
        [world.address(name) for name in world.routers], 'district-1'
    )
    context.chat_bodies = []
    context.errors = []

    async def send_chat(number):
        body = b''
        messages = [{'role': 'user', 'content': f'yard {number}'}]
        async for part in caller.chat(
            'draft-llm', f'yard-{number}', messages, max_tokens=100
        ):
            body += part
        context.chat_bodies.append(body)

    async def send_filing(number):
        try:
            await caller.call(
                'field-app', 'POST', '/reports', str(number).encode()
            )
        except errors.HoneyportError as error:
            context.errors.append(error)

    async with asyncio.TaskGroup() as group:
        for number in range(chats):
            group.create_task(send_chat(number))
        for number in range(filings):
            group.create_task(send_filing(number))
        for name in ('router-1', 'router-2'):
            await asyncio.sleep(0.4)
            await world.kill(name)
            await asyncio.sleep(1.0)
            world.start_router(name)
            await fleet_steps.wait_until_healthy(world)
    caller.close()


@behave.then('the client library received every chat whole')
def step_library_whole(context):
    digests = collections.Counter(
        line['digest'] for line in context.world.executions_logged('end')
    )
    for body in context.chat_bodies:
        answer, marker, _ = body.rpartition(b': whole bytes=')
        assert marker, body[-200:]
        assert hashlib.sha256(answer).hexdigest() in digests
    for error in context.errors:
        assert isinstance(error, errors.MayHaveRun), repr(error)
