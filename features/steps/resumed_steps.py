"""Steps about callers that take up streams after all gateways were killed."""

import asyncio
import re
import time

import attrs
import behave

from features.support import caller
from features.support import links
from honeyport.settings import roles

_EVENT = re.compile(rb'id: (\d+)\ndata: token \1 of (\S+)\n\n')
_READ_S = 0.5  # how long streams are read before the kill
_PAUSE_S = 0.3  # after a broken connection
_READ_TIMEOUT_S = 3.0
# Of the time left, how much of it a caller waits at most.
_MAX_PAUSE_SHARE = 1 / 3


@attrs.define
class _Stream:
    """A stream that a caller reads, over several requests.

    :ivar events: number and version of each event
    :ivar tries: how often it was taken up
    """

    name: str
    began_as: str = ''
    events: list[tuple[int, str]] = attrs.field(factory=list)
    tries: int = 0
    is_whole: bool = False


@behave.given('its servers have the versions {names}')
def step_versions(context, names):
    _set_versions(context, names)


def _set_versions(context, names):
    context.links.versions.update(
        zip(context.links.versions, names.split(', '), strict=True)
    )
    context.links.publish()


@behave.when('{seconds:d} s pass in calm')
def step_calm(context, seconds):
    context.run(asyncio.sleep(seconds))


@behave.when('{count:d} callers read streams when all processes are killed')
def step_read_and_kill(context, count):
    context.streams = [_Stream(f's-{number}') for number in range(count)]
    context.run(_read_and_kill(context))


async def _read_and_kill(context):
    nodes = context.platform.nodes
    reads = [
        asyncio.create_task(
            _read(context, stream, nodes[number % len(nodes)], 12.0)
        )
        for number, stream in enumerate(context.streams)
    ]
    await asyncio.sleep(_READ_S)
    for node in nodes:
        node.process.kill()
    for node in nodes:
        node.process.wait()
    await asyncio.gather(*reads)
    for stream in context.streams:
        assert stream.events and not stream.is_whole, stream


@behave.when('all processes are started again while the versions are {names}')
def step_start_again(context, names):
    _set_versions(context, names)
    for node in context.platform.nodes:
        context.platform.launch(node)


@behave.when('the callers take their streams up for {seconds:d} s')
def step_take_up(context, seconds):
    until = time.monotonic() + seconds

    async def take_all_up():
        await asyncio.gather(
            *(
                _take_up(context, stream, number, until)
                for number, stream in enumerate(context.streams)
            )
        )

    context.run(take_all_up())


async def _take_up(context, stream, number, until):
    nodes = context.platform.nodes
    while not stream.is_whole and time.monotonic() < until:
        stream.tries += 1
        node = nodes[(number + stream.tries) % len(nodes)]
        left_s = until - time.monotonic()
        pause_s = await _read(context, stream, node, left_s)
        left_s = until - time.monotonic()
        await asyncio.sleep(max(0.0, min(pause_s, left_s * _MAX_PAUSE_SHARE)))


async def _read(context, stream, node, left_s):
    """Read a stream, or go on with it; return the pause until a retry."""
    request_id = f'{stream.name}-{stream.tries}'
    headers = {
        'Attempt-Id': request_id,
        'Deadline-Ms': str(int(left_s * 1000)),
    }
    if stream.events:
        headers['Resumes'] = stream.began_as
        headers['Last-Event-Id'] = str(stream.events[-1][0])
    address = f'{node.ip}:{context.platform.ports[0]}'
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            response = await _send(address, headers)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return _PAUSE_S
    if response.status != 200:
        return float(response.headers.get('Retry-After', _PAUSE_S))
    stream.began_as = stream.began_as or request_id
    stream.events += [
        (int(number), version.decode())
        for number, version in _EVENT.findall(response.body)
    ]
    stream.is_whole = response.is_complete
    return _PAUSE_S


async def _send(address, headers):
    reader, writer = await asyncio.open_connection(
        *roles.split_address(address)
    )
    try:
        writer.write(caller.request(path='/app/stream/x', headers=headers))
        return await caller.read(reader)
    finally:
        writer.close()


@behave.then('no caller has events of two versions')
def step_one_version(context):
    for stream in context.streams:
        numbers = [number for number, _ in stream.events]
        assert numbers == list(range(1, len(numbers) + 1)), stream
        assert len({version for _, version in stream.events}) == 1, stream


@behave.then('all streams that were taken up are whole, each of one version')
def step_all_whole(context):
    step_one_version(context)
    for stream in context.streams:
        assert stream.is_whole, stream
        assert len(stream.events) == links.EVENTS, stream
