"""Steps for bodies that are refused, late or stand still."""

import asyncio

import behave

from features.support import caller
from honeyport.bundle import model
from honeyport.settings import roles

_TIMEOUT_S = 5.0
# Longer than a body may stand still while others need its room.
_STALL_S = 1.3
_DEADLINE_MS = 30_000
_FAULTS = {
    'an unknown key': {'key': 'unknown'},
    'an unknown route': {'path': '/unknown'},
    'nothing wrong': {},
}


@behave.given('its route has a timeout of {timeout:d} ms')
def step_timeout(context, timeout):
    async def configure():
        context.fixture.timeout_ms = timeout
        context.fixture.configure(context.fixture.kind)
        context.fixture.gateway.apply_state()

    context.run(configure())


@behave.when(
    'a caller sends a head for {framing} with {fault}, and the first '
    '{count:d} bytes'
)
def step_send_part(context, framing, fault, count):
    if framing == 'chunks':
        head = 'Transfer-Encoding: chunked'
        part = b'%x\r\n%b' % (2 * count, b'x' * count)
    else:
        head = f'Content-Length: {framing.split()[0]}'
        part = b'x' * count
    context.run(_send(context, head, part, **_FAULTS[fault]))


@behave.when(
    'a caller that waits {deadline:d} ms stops short of a body of {size:d} '
    'bytes'
)
def step_stop_short(context, deadline, size):
    head = f'Content-Length: {size}'
    part = b'x' * (size - 1)
    context.run(_send(context, head, part, deadline_ms=deadline))


@behave.when('{count:d} callers stop short of a body of {size:d} bytes')
def step_stand_still(context, count, size):
    async def send():
        context.standing = [
            await _open(
                context.fixture,
                f'Content-Length: {size}',
                b'x' * (size - 1),
                request_id=f's-{number}',
                deadline_ms=_DEADLINE_MS,
            )
            for number in range(count)
        ]
        await asyncio.sleep(_STALL_S)

    context.run(send())


@behave.when(
    'a caller sends a request with an unknown key and a valid one on one '
    'connection'
)
def step_send_both(context):
    async def send():
        reader, writer = await _connect(context.fixture)
        async with asyncio.timeout(_TIMEOUT_S):
            for key in ('unknown', caller.KEY):
                writer.write(caller.request(key=key))
                context.statuses.append((await caller.read(reader)).status)
        writer.close()

    context.statuses = []
    context.run(send())


@behave.then('they get {first:d} and {second:d}')
def step_both(context, first, second):
    assert context.statuses == [first, second], context.statuses


@behave.then('its connection ends after the answer')
def step_ends(context):
    async def read():
        async with asyncio.timeout(_TIMEOUT_S):
            return await context.reader.read()

    assert context.run(read()) == b''


@behave.then('{count:d} of the bodies that stood still got {status:d}')
def step_given_up(context, count, status):
    async def read_all():
        answers = await asyncio.gather(
            *(
                asyncio.wait_for(caller.read(reader), 1.0)
                for reader, _ in context.standing
            ),
            return_exceptions=True,
        )
        for _, writer in context.standing:
            writer.close()
        return [
            answer.status
            for answer in answers
            if isinstance(answer, caller.Response)
        ]

    statuses = context.run(read_all())
    assert statuses == [status] * count, statuses


async def _connect(fixture):
    return await asyncio.open_connection(*roles.split_address(fixture.address))


async def _open(fixture, framing, part, **options):
    """Send a head and a part of its body on a new connection."""
    reader, writer = await _connect(fixture)
    request = caller.request(**options)
    head = request.removesuffix(b'Content-Length: 4\r\n\r\nbody')
    writer.write(head + framing.encode() + b'\r\n\r\n' + part)
    return reader, writer


async def _send(context, framing, part, **options):
    context.reader, context.writer = await _open(
        context.fixture, framing, part, **options
    )
    async with asyncio.timeout(_TIMEOUT_S):
        context.response = await caller.read(context.reader)


@behave.given(
    'heads may take {header:d} ms, and connections may be idle for {idle:d} ms'
)
def step_limits(context, header, idle):
    async def configure():
        context.fixture.configure(
            context.fixture.kind,
            limits=model.RequestLimits(header_ms=header, idle_ms=idle),
        )
        context.fixture.gateway.apply_state()

    context.run(configure())


@behave.when('a caller sends a part of a head, and another one nothing')
def step_send_head_part(context):
    async def send():
        context.connections = [
            await _connect(context.fixture) for _ in range(2)
        ]
        context.connections[0][1].write(b'POST /r/x HTTP/1.1\r\nHost: ')

    context.run(send())


@behave.then('the first connection is closed, and the other one is kept')
def step_head_late(context):
    async def check():
        (first, _), (other, writer) = context.connections
        async with asyncio.timeout(_TIMEOUT_S):
            assert await first.read() == b''
            writer.write(caller.request())
            assert (await caller.read(other)).status == 200
        for _, each in context.connections:
            each.close()

    context.run(check())
