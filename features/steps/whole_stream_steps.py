"""Steps about streams that end before they are whole."""

import asyncio
import itertools
import random
import re

import behave

from features.steps import gateway_steps
from features.support import caller
from features.support import log_capture
from honeyport.settings import roles
from honeyport import sse

_TIMEOUT_S = 3.0
_EVENT = re.compile(rb'id: (\d+)\ndata: token \1 of v1\n\n')
_LINE_ENDS = {'LF': b'\n', 'CRLF': b'\r\n', 'CR': b'\r'}


@behave.then('the caller has only whole events')
def step_only_whole_events(context):
    body = context.response.body
    numbers = [int(number) for number in _EVENT.findall(body)]
    assert numbers == list(range(1, len(numbers) + 1)), body
    assert not _EVENT.sub(b'', body), body


@behave.then('the failed attempt is logged as {code}')
def step_logged(context, code):
    with log_capture.captured_events() as lines:
        context.run(gateway_steps.send_request(context.fixture))
    codes = [
        fields['code'] for name, fields in lines if name == 'attempt_failed'
    ]
    assert codes == [code], lines


@behave.when('a caller sends {count:d} requests in sequence')
def step_send_in_sequence(context, count):
    for _ in range(count):
        context.run(gateway_steps.send_request(context.fixture))


@behave.then('every request came on its own connection')
def step_own_connections(context):
    connections = [
        (arrival.instance, arrival.connection)
        for arrival in context.fixture.script.arrivals
    ]
    assert len(connections) > 1, connections
    assert len(set(connections)) == len(connections), connections


@behave.when('a caller of HTTP/1.0 that closes connections sends a request')
def step_send_old(context):
    context.run(_send_old(context, ''))


@behave.when('a caller of HTTP/1.0 that keeps connections sends a request')
def step_send_old_keep_alive(context):
    context.run(_send_old(context, 'Connection: keep-alive\r\n'))


async def _send_old(context, header):
    """Read until the connection ends; record how it ended."""
    request = caller.request().replace(b' HTTP/1.1\r\n', b' HTTP/1.0\r\n')
    request = request.replace(b'\r\n\r\n', f'\r\n{header}\r\n'.encode(), 1)
    reader, writer = await asyncio.open_connection(
        *roles.split_address(context.fixture.address)
    )
    writer.write(request)
    context.received = b''
    context.ended = 'closed'
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            while data := await reader.read(65536):
                context.received += data
    except ConnectionResetError:
        context.ended = 'reset'
    except TimeoutError:
        context.ended = 'still open'
    writer.close()


@behave.then('its connection is {ended} after {count:d} events')
def step_ended(context, ended, count):
    assert context.ended == ended, (context.ended, context.received)
    _, _, body = context.received.partition(b'\r\n\r\n')
    # What was not read yet is lost with a reset.
    received = len(_EVENT.findall(body))
    assert received == count or (ended == 'reset' and received < count), body


@behave.given('a stream of events whose lines end with {names}')
def step_stream(context, names):
    context.line_ends = [_LINE_ENDS[name] for name in names.split(' and ')]


@behave.when('it is split at random places')
def step_split(context):
    context.random = random.Random(5601)
    context.cases = [_Case(context) for _ in range(3000)]


class _Case:
    """A stream that ends anywhere, split at random places.

    :ivar whole_events: its events, up to the last whole one
    :ivar rest: the bytes that arrive after them
    :ivar pieces: what arrives with each read
    """

    def __init__(self, context):
        draw = context.random
        events = []
        for number in range(1, draw.randint(1, 4) + 1):
            ends = [draw.choice(context.line_ends) for _ in range(4)]
            lines = [b'id: %d' % number, b'data: x', b'data: y', b'']
            pairs = zip(lines, ends, strict=True)
            events.append(b''.join(line + end for line, end in pairs))
        stream = b''.join(events)
        size = draw.choice((len(stream), draw.randrange(1, len(stream))))
        data = stream[:size]
        self.whole_events = b''
        for event in events:
            if data.startswith(self.whole_events + event):
                self.whole_events += event
        self.rest = data[len(self.whole_events) :]
        bounds = sorted([0, size, *(draw.randrange(size) for _ in range(6))])
        self.pieces = [
            data[first:last] for first, last in itertools.pairwise(bounds)
        ]


@behave.then(
    'all events are whole, and no cut stream is taken for a whole one'
)
def step_all_whole(context):
    for case in context.cases:
        splitter = sse.EventSplitter()
        passed_on = b''.join(splitter.feed(piece) for piece in case.pieces)
        assert passed_on == case.whole_events, (case.pieces, passed_on)
        assert splitter.is_within_event == bool(case.rest), case.pieces
