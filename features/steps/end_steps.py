"""Steps for the detection of ended instances."""

import asyncio

import behave

from features.support import caller
from honeyport import errors
from honeyport import local
from honeyport.policy import fingerprints
from honeyport.policy import placement
from honeyport.policy import traits
from honeyport.router import witness
from honeyport.settings import roles
from honeyport.wire import honeyport_pb2 as pb

_HOST = 'yard.example'
_NO_BODY = '-'

_INSTANCE = placement.Instance(
    'i-1', 'app', '127.0.0.1:9', 'thu-duc', False, 8, ''
)


@behave.when('{seconds:g} seconds pass at the gateway')
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.when(
    'callers send {count:d} different requests at once, and one instance is '
    'listed'
)
def step_send_different(context, count):
    context.run(_send_different(context.fixture, count))


@behave.when('the instances that got requests are no longer listed')
def step_unlisted(context):
    async def drop():
        context.fixture.apply_instances(gone=_arrived_at(context.fixture))

    context.run(drop())


@behave.when('the instances that got requests crash')
def step_crash(context):
    async def crash():
        names = _arrived_at(context.fixture)
        for instance in context.fixture.instances:
            if instance.name in names:
                instance.crash()

    context.run(crash())


@behave.when('the instances that got requests are listed as leaving')
def step_listed_leaving(context):
    async def leave():
        context.fixture.apply_instances(leaving=_arrived_at(context.fixture))

    context.run(leave())


@behave.when(
    'a caller sends a request, and meanwhile its instance leaves and ends'
)
def step_leave_and_end(context):
    context.run(_leave_and_end(context.fixture))


@behave.given('another gateway that reaches the instances')
def step_other_gateway(context):
    context.run(_list_other_gateway(context.fixture, ()))


@behave.given('another gateway that does not reach the instances')
def step_other_gateway_cut_off(context):
    context.run(_list_other_gateway(context.fixture, ('app',)))


@behave.when(
    'a caller sends a request, and meanwhile all instances refuse connections'
)
def step_all_refuse(context):
    context.run(_refuse_all(context.fixture))


@behave.then(
    '{ends:d} ends of instances are detected, with {requests:d} requests'
)
def step_ends_detected(context, ends, requests):
    counters = context.fixture.counters
    counts = (
        counters.counter('instances_ended'),
        counters.counter('requests_under_ends'),
    )
    assert counts == (ends, requests), counts


@behave.given('an end detector')
def step_witness(context):
    async def refuse(instance):
        raise errors.ConnectionRefused

    context.under = []
    context.ended_at = []
    context.witness = witness.EndDetector(
        refuse,
        lambda instance, requests, at: (
            context.under.append(requests),
            context.ended_at.append(at),
        ),
    )


@behave.when('{count:d} requests get no answer from an instance')
def step_no_answer(context, count):
    _fall_silent(context, count, parts=0)


@behave.when(
    '{count:d} requests with {parts:d} prompt parts each get no answer from '
    'an instance'
)
def step_no_answer_parts(context, count, parts):
    _fall_silent(context, count, parts)


@behave.when(
    'a connection to an instance breaks, and its end is seen {delay:g} s later'
)
def step_seen_late(context, delay):
    async def break_connection():
        loop = asyncio.get_running_loop()
        context.witness.record_broken(_INSTANCE, traits.Traits('0' * 32))
        context.broken_at = loop.time()
        context.witness.close()
        await asyncio.sleep(delay)
        context.witness.record_gone('i-1', witness.CONNECTION_REFUSED)

    context.run(break_connection())


@behave.then('the time of its end is that of the break')
def step_timed(context):
    [ended_at] = context.ended_at
    assert abs(ended_at - context.broken_at) < 0.1, (
        ended_at,
        context.broken_at,
    )


def _fall_silent(context, count, parts):
    async def fall_silent():
        for number in range(count):
            names = tuple(f'{number}-{part}' for part in range(parts))
            request = traits.Traits(f'{number:032x}', parts=names)
            context.witness.record_timeout(_INSTANCE, request)
        context.witness.record_gone('i-1', witness.CONNECTION_REFUSED)

    context.run(fall_silent())


@behave.then('{count:d} of them are attributed to its end')
def step_attributed(context, count):
    [requests] = context.under
    assert len(requests) == count, len(requests)


@behave.given(
    'a request of the account "{account}" for "{target}" with the body '
    '"{body}"'
)
def step_request(context, account, target, body):
    context.fingerprint = _fingerprint(account, target, body)


@behave.then(
    'another of the account "{account}" for "{target}" with "{body}" is {same}'
)
def step_same(context, account, target, body, same):
    is_same = _fingerprint(account, target, body) == context.fingerprint
    assert is_same == (same == 'the same'), is_same


def _fingerprint(account, target, body):
    body_bytes = b'' if body == _NO_BODY else body.encode()
    return fingerprints.compute(account, _HOST, target, body_bytes)


def _arrived_at(fixture):
    """Return the names of the instances that got requests."""
    return tuple({arrival.instance for arrival in fixture.script.arrivals})


async def _send_different(fixture, count):
    fixture.apply_instances(
        gone=tuple(instance.name for instance in fixture.instances[1:])
    )
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(_ask(fixture, f'/r/{number}'))
            await _until_arrived(fixture, number + 1)


async def _leave_and_end(fixture):
    request = asyncio.create_task(_ask(fixture, '/r/x'))
    await _until_arrived(fixture, 1)
    [name] = _arrived_at(fixture)
    fixture.apply_instances(leaving=(name,))
    [instance] = [
        candidate for candidate in fixture.instances if candidate.name == name
    ]
    instance.crash()
    await request


async def _list_other_gateway(fixture, cut_off):
    presence = pb.Presence()
    presence.members.add(router=fixture.name, address=fixture.address)
    presence.members.add(
        router='g-2',
        address=local.free_address(),
        peer_address=local.free_address(),
        cut_off=cut_off,
    )
    fixture.gateway.state.apply_presence(presence)


async def _refuse_all(fixture):
    request = asyncio.create_task(_ask(fixture, '/r/x'))
    await _until_arrived(fixture, 1)
    for instance in fixture.instances:
        instance.crash()
    await request


async def _until_arrived(fixture, count):
    async with asyncio.timeout(2.0):
        while len(fixture.script.arrivals) < count:
            await asyncio.sleep(0.01)


async def _ask(fixture, path):
    reader, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    try:
        writer.write(caller.request(path=path))
        return await caller.read(reader)
    finally:
        writer.close()
