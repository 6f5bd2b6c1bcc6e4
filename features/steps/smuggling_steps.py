"""Steps about requests with ambiguous or invalid framing."""

import asyncio

import behave

from features.support import instances
from honeyport.settings import roles

_WAIT_S = 0.6  # for an answer, and for requests that arrive after it
_INNER = (
    b'POST /r/inner HTTP/1.1\r\nHost: yard.example\r\n'
    b'X-Request-Id: inner\r\nContent-Length: 0\r\n\r\n'
)
_FRAMINGS = {
    'two different lengths': (
        b'Content-Length: 4\r\nContent-Length: 40\r\n\r\nbody' + _INNER
    ),
    'a length and chunks': (
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n' + _INNER
    ),
    'a negative length': b'Content-Length: -1\r\n\r\nbody',
    'a length that is no number': b'Content-Length: 4x\r\n\r\nbody',
    'chunks whose size is no number': (
        b'Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n'
    ),
    'a body that ends before its length': b'Content-Length: 99\r\n\r\nbody',
    'chunks that end too soon': (
        b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'
    ),
}


def head():
    """Return the start of a request, up to its framing headers."""
    names = instances.NAMES
    return (
        'POST /r/x HTTP/1.1\r\nHost: yard.example\r\n'
        'Authorization: Bearer key-of-district\r\n'
        f'{names.request_id}: outer\r\n{names.deadline_ms}: 5000\r\n'
    ).encode()


async def send(context, rest, *, is_last):
    """Send a request; return the received bytes.

    :param is_last: whether the caller half-closes the connection after it
    """
    reader, writer = await asyncio.open_connection(
        *roles.split_address(context.fixture.address)
    )
    writer.write(head() + rest)
    try:
        async with asyncio.timeout(_WAIT_S):
            await writer.drain()
            if is_last:
                writer.write_eof()
                return await reader.read()
            return await reader.readuntil(b'\r\n')
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return b''
    finally:
        writer.close()
        await asyncio.sleep(_WAIT_S)


@behave.when('a caller sends a request with {framing}')
def step_framing(context, framing):
    context.response = context.run(
        send(context, _FRAMINGS[framing], is_last=True)
    )


@behave.when('a caller sends a body that looks like a request')
def step_inner(context):
    context.body = _INNER
    length = f'Content-Length: {len(_INNER)}\r\n\r\n'.encode()
    context.response = context.run(
        send(context, length + _INNER, is_last=False)
    )


@behave.when('a caller sends a body in three chunks')
def step_chunks(context):
    context.body = b'one two three'
    chunks = b''.join(
        f'{len(part):x}\r\n'.encode() + part + b'\r\n'
        for part in (b'one ', b'two ', b'three')
    )
    rest = b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'
    context.response = context.run(send(context, rest, is_last=False))


@behave.when('a caller lists a header in Connection')
def step_hidden(context):
    rest = (
        b'Connection: keep-alive, X-Secret\r\nX-Secret: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    context.response = context.run(send(context, rest, is_last=False))


@behave.then('no request arrived, and the connection is closed or refused')
def step_none_arrived(context):
    assert not context.fixture.script.arrivals, context.fixture.script.arrivals
    assert b' 200 ' not in context.response.split(b'\r\n')[0], context.response


@behave.then('one request arrived, with that body')
def step_one_arrived(context):
    bodies = [arrival.body for arrival in context.fixture.script.arrivals]
    assert bodies == [context.body], bodies


@behave.then('the forwarded request does not have it')
def step_does_not_have(context):
    (arrival,) = context.fixture.script.arrivals
    assert 'X-Secret' not in arrival.headers, arrival.headers
