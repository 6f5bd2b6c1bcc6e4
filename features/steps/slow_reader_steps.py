"""Steps for callers and instances that read slowly."""

import asyncio
import socket
import tracemalloc

import behave

from features.steps import gateway_steps
from features.support import caller
from features.support import instances
from honeyport.policy import held_bytes
from honeyport.settings import roles

_MB = 1_000_000
_TIMEOUT_S = 10.0
_KERNEL_BYTES = 8192
_ROUTE_TIMEOUT_MS = 30_000
# What the parsers hold beside what is counted, for each request.
_UNCOUNTED_BYTES = 100_000
_GATEWAY_FILES = ('*/tornado/*', '*/honeyport/*')


def _traced_bytes():
    """Return the memory that the gateway has allocated."""
    snapshot = tracemalloc.take_snapshot().filter_traces(
        [tracemalloc.Filter(True, pattern) for pattern in _GATEWAY_FILES]
    )
    return sum(statistic.size for statistic in snapshot.statistics('filename'))


class _Silent:
    """A caller that reads only when it is told to."""

    def __init__(self, fixture):
        self._fixture = fixture

    async def send(self, number):
        sock = socket.socket()
        sock.setblocking(False)
        # Otherwise, the kernel takes all that the gateway sends.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BYTES)
        address = roles.split_address(self._fixture.address)
        await asyncio.get_running_loop().sock_connect(sock, address)
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=1024
        )
        self._writer.transport.pause_reading()
        self._writer.write(
            caller.request(request_id=f's-{number}', deadline_ms=60_000)
        )

    async def read(self, count):
        self._writer.transport.resume_reading()
        await self._reader.readexactly(count)
        self._writer.transport.pause_reading()

    async def read_all(self):
        self._writer.transport.resume_reading()
        return await caller.read(self._reader)

    def leave(self):
        self._writer.transport.abort()


@behave.given(
    'a gateway with {limit:d} MB for {kind} requests whose instances {steps}'
)
def step_gateway_with_memory(context, limit, kind, steps):
    context.fixture = gateway_steps.GatewayFixture(
        [step.strip() for step in steps.split(';')], held_max_mb=limit
    )
    context.fixture.timeout_ms = _ROUTE_TIMEOUT_MS
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)


@behave.when('{count:d} callers send a request and read nothing')
def step_send_silently(context, count):
    context.run(_send_silently(context, count))


@behave.when('a caller reads nothing of an answer')
def step_read_nothing(context):
    context.run(_send_silently(context, 1))


@behave.given('callers that read nothing for {seconds:g} seconds are cut off')
def step_stall_limit(context, seconds):
    held_bytes._STALL_S = seconds


@behave.when(
    'that caller takes {count:d} bytes, {times:d} times in {seconds:g} seconds'
)
def step_read(context, count, times, seconds):
    async def read():
        for _ in range(times):
            await context.silent[0].read(count)
            await asyncio.sleep(seconds / times)

    context.run(read())


@behave.when('they read on')
def step_read_on(context):
    async def read():
        async with asyncio.timeout(_TIMEOUT_S):
            return await asyncio.gather(
                *(each.read_all() for each in context.silent)
            )

    context.responses = context.run(read())


@behave.when('they leave')
def step_leave(context):
    async def leave():
        for each in context.silent:
            each.leave()
        await asyncio.sleep(0.5)

    context.run(leave())


@behave.when('a caller sends a body of {size:d} bytes')
def step_send_body(context, size):
    head, body = f'Content-Length: {size}', b'x' * size
    context.response = context.run(_send_body(context.fixture, head, body))


@behave.when('a caller sends a body of {size:d} bytes in chunks')
def step_send_chunks(context, size):
    chunk = b'x' * 10_000
    body = (b'2710\r\n' + chunk + b'\r\n') * (size // len(chunk))
    head = 'Transfer-Encoding: chunked'
    context.response = context.run(
        _send_body(context.fixture, head, body + b'0\r\n\r\n')
    )


@behave.when('callers that read nothing are checked after {seconds:d} seconds')
def step_check(context, seconds):
    async def check():
        now = asyncio.get_running_loop().time()
        account = context.fixture.gateway._held_bytes
        account.cut_off_stalled(now + seconds)
        await asyncio.sleep(0.2)

    context.run(check())


@behave.then('the gateway holds at most {most:g} MB, which the account tells')
def step_holds(context, most):
    tracemalloc.stop()
    counted = context.fixture.gateway._held_bytes.total
    figures = (context.traced, counted)
    assert 0 < counted <= context.traced <= most * _MB, figures
    uncounted = context.traced - counted
    assert uncounted <= _UNCOUNTED_BYTES * len(context.silent), figures


@behave.then('all of them get the whole large answer')
def step_whole(context):
    assert len(context.responses) == len(context.silent)
    for response in context.responses:
        assert response.is_complete, response.headers
        assert response.body == instances.LARGE_BODY, len(response.body)


@behave.then(
    'its answer is visibly incomplete, and {count:d} requests arrived'
)
def step_incomplete(context, count):
    assert not context.response.is_complete
    assert len(context.fixture.script.arrivals) == count


@behave.then('nothing is held any more')
def step_nothing_held(context):
    context.run(_until_nothing_held(context.fixture))


@behave.then('no attempt has failed, and nothing is held any more')
def step_no_failure_nothing_held(context):
    context.run(_until_nothing_held(context.fixture))
    _check_no_failure(context.fixture)


@behave.then('no attempt has failed, and {count:d} requests arrived')
def step_no_failure(context, count):
    _check_no_failure(context.fixture)
    assert len(context.fixture.script.arrivals) == count


@behave.then('{count:d} callers are cut off')
def step_cut_off(context, count):
    actual = context.fixture.counters.counter('callers_cut_off')
    assert actual == count, actual


async def _send_silently(context, count):
    """Send requests; return when no more bytes arrive at the gateway."""
    context.silent = [_Silent(context.fixture) for _ in range(count)]
    tracemalloc.start()
    before = _traced_bytes()
    arrivals = context.fixture.script.arrivals
    async with asyncio.timeout(_TIMEOUT_S):
        for number, each in enumerate(context.silent, 1):
            await each.send(number)
            while len(arrivals) < number:
                await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    context.traced = _traced_bytes() - before
    now = asyncio.get_running_loop().time()
    context.fixture.gateway._held_bytes.cut_off_stalled(now)
    context.to_stop.append(_leaver(context.silent))


def _leaver(callers):
    async def leave():
        for each in callers:
            each.leave()

    return leave


async def _send_body(fixture, head, body):
    reader, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    request = caller.request(request_id='body').replace(
        b'Content-Length: 4\r\n\r\nbody', f'{head}\r\n\r\n'.encode()
    )
    writer.write(request + body)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await caller.read(reader)
    finally:
        writer.close()


async def _until_nothing_held(fixture):
    async with asyncio.timeout(_TIMEOUT_S):
        while fixture.gateway._held_bytes.total:
            await asyncio.sleep(0.05)


def _check_no_failure(fixture):
    failed = [
        key
        for key in fixture.counters.counters
        if key[0] in ('attempts_failed', 'instances_avoided')
    ]
    assert not failed, failed
