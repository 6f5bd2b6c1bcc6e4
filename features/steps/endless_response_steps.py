"""Steps for responses without end."""

import asyncio

import behave

from features.steps import gateway_steps
from features.support import caller
from features.support import instances
from features.support import log_capture
from honeyport.settings import roles

_ENDLESS_INSTANCE = 'i-1'
_TIMEOUT_S = 20.0
_MB = 1_000_000
_REPEATS = 100_000.0  # enough for one of each request


@behave.given(
    'a gateway with {limit:d} MB for responses to {kind} requests, one of '
    'whose instances sends an endless {response}'
)
def step_endless_instance(context, limit, kind, response):
    sound_step = 'stream' if kind.startswith('streaming') else 'answer'
    context.fixture = gateway_steps.GatewayFixture(
        [sound_step], extra=_REPEATS, responses_max_mb=limit
    )
    context.fixture.script.step_by_instance[_ENDLESS_INSTANCE] = (
        f'endless {response}'
    )
    context.run(context.fixture.start(kind))
    context.to_stop.append(context.fixture.stop)
    context.started_kb = _read_memory_kb('VmRSS')


@behave.when('{count:d} callers send one request each')
def step_send_at_once(context, count):
    context.arrivals_before = _count_endless(context.fixture)
    context.responses = context.run(_send_at_once(context, count))


@behave.when(
    '{count:d} callers send a request for a large answer, one after the other'
)
def step_send_large(context, count):
    context.fixture.script.replace(['large answer'])

    async def send():
        with log_capture.captured_events() as context.lines:
            return [
                await _send(context.fixture, number) for number in range(count)
            ]

    context.responses = context.run(send())


@behave.then('each of them gets a whole {answer}')
def step_all_whole(context, answer):
    for response in context.responses:
        assert response.status == 200, response
        assert response.is_complete, response.headers
        assert _is_whole(response.body, answer), response.body[:200]


@behave.then('the memory of the gateway has grown by {most:d} MB at most')
def step_memory(context, most):
    grown_kb = _read_memory_kb('VmHWM') - context.started_kb
    assert grown_kb * 1024 <= most * _MB, grown_kb


@behave.then('the endless responses are cut off, and the log says "{reason}"')
def step_cut_off(context, reason):
    endless = _endless_arrivals(context.fixture)
    assert endless

    async def wait():
        async with asyncio.timeout(_TIMEOUT_S):
            for arrival in endless:
                await arrival.disconnected.wait()

    context.run(wait())
    details = [
        fields['detail']
        for name, fields in context.lines
        if name == 'attempt_failed'
    ]
    assert len(details) == len(endless), (details, len(endless))
    assert all(reason in detail for detail in details), details


@behave.then('no request arrived at that instance meanwhile')
def step_avoided(context):
    arrivals = _count_endless(context.fixture)
    assert arrivals == context.arrivals_before, arrivals


async def _send_at_once(context, count):
    with log_capture.captured_events() as context.lines:
        return await asyncio.gather(
            *(_send(context.fixture, number) for number in range(count))
        )


async def _send(fixture, number):
    reader, writer = await asyncio.open_connection(
        *roles.split_address(fixture.address)
    )
    writer.write(caller.request(request_id=f'q-{number}'))
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await caller.read(reader)
    finally:
        writer.close()


def _is_whole(body, answer):
    if answer == 'stream':
        return body.count(b'data: ') == instances.EVENTS
    return body in (instances.BODY, instances.LARGE_BODY)


def _endless_arrivals(fixture):
    return [
        arrival
        for arrival in fixture.script.arrivals
        if arrival.instance == _ENDLESS_INSTANCE
    ]


def _count_endless(fixture):
    return len(_endless_arrivals(fixture))


def _read_memory_kb(field):
    """Return a figure of this process's memory, in kB."""
    with open('/proc/self/status', encoding='ascii') as status:
        for line in status:
            name, _, value = line.partition(':')
            if name == field:
                return int(value.split()[0])
    raise AssertionError(field)
