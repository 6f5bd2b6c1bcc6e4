"""Steps about the responses of backend servers to routers."""

import asyncio
import contextlib
import socket
import struct

import behave

from honeyport.backend import plain
from honeyport import errors
from honeyport import exchange
from honeyport import local
from honeyport.settings import roles

_BODY = b'the whole answer'
_EVENT = b'id: 1\ndata: token\n\n'
_STREAMS = {
    'two events': 2 * _EVENT,
    'one and a half': _EVENT + _EVENT[:9],
    'no event': b'',
}
_TIMEOUT_S = 3.0
# Between the response and a reset, which discards what was not yet read.
_READ_S = 0.1


class _Server:
    """Answers each request with some bytes, then ends the connection."""

    def __init__(self, head, body, *, resets):
        self.address = local.free_address()
        self._data = b'HTTP/1.1 200 OK\r\n' + head + b'\r\n' + body
        self._resets = resets
        self._server = None

    async def start(self):
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._data)
        await writer.drain()
        if self._resets:
            await asyncio.sleep(_READ_S)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.close()


@behave.given(
    'a service that answers {how} a length and {ends} the connection'
)
def step_service(context, how, ends):
    head = b''
    if how == 'with':
        head = f'Content-Length: {len(_BODY)}\r\n'.encode()
    _start(context, _Server(head, _BODY, resets=ends == 'resets'))


@behave.given(
    'a service that streams {name} without a length and closes the connection'
)
def step_stream(context, name):
    head = b'Content-Type: text/event-stream\r\n'
    _start(context, _Server(head, _STREAMS[name], resets=False))


def _start(context, server):
    context.server = server
    context.run(server.start())
    context.to_stop.append(server.stop)


@behave.when('a router reads its answer')
def step_read(context):
    context.run(_read(context))


async def _read(context):
    client = plain.PlainClient('field-app-1', context.server.address)
    call = exchange.Call(
        request_id='q-1',
        service='field-app',
        account='district',
        chat='',
        method='GET',
        path='/reports',
        deadline=asyncio.get_running_loop().time() + _TIMEOUT_S,
    )
    context.is_complete = False
    with contextlib.suppress(errors.AnswerCut):
        async for frame in client.answer(call):
            context.is_complete = isinstance(frame, exchange.End)
    client.close()


@behave.then('it takes the answer for {outcome}')
def step_outcome(context, outcome):
    assert context.is_complete == (outcome == 'complete')
