"""Steps about responses of backend servers that end inside their head."""

import asyncio

import attrs
import behave

from features.support import cut_heads
from honeyport.backend import engine
from honeyport.backend import plain
from honeyport import errors
from honeyport import exchange
from honeyport import local
from honeyport.settings import roles

_REQUEST_ID = 'q-1'
_BODY = b'the whole answer'
_DEADLINE_S = 5.0
_CLIENTS = {'a service': plain.PlainClient, 'an engine': engine.EngineClient}
# Keys of requests: those that may be repeated have none.
_KEYS = ('', 'key-1')
_WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(_BODY) + _BODY
# Until a client sees the end of an idle connection.
_SEEN_S = 0.02


class _Server:
    """Runs a step of an answer for each request.

    :ivar answers: what to write for the next requests; a step, or bytes after
        which the connection stays open
    :ivar connections: number of the connection of each request
    """

    def __init__(self):
        self.address = local.free_address()
        self.answers = []
        self.connections = []
        self._count = 0
        self._server = None

    async def start(self):
        """Accept connections."""
        host, port = roles.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        """Accept none any more."""
        self._server.close()

    async def _serve(self, reader, writer):
        self._count += 1
        number = self._count
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.connections.append(number)
                answer = self.answers.pop(0)
                if isinstance(answer, str):
                    await cut_heads.run_step(answer, _REQUEST_ID, writer)
                    return
                writer.write(answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@attrs.define
class _Case:
    """A request to a backend server.

    :ivar frames: of its answer
    :ivar error: that ended it
    """

    name: str
    position: int
    end: str
    key: str
    frames: list = attrs.field(factory=list)
    error: errors.HoneyportError | None = None

    @property
    def kind(self):
        """The kind of the head that was cut."""
        return cut_heads.KINDS[self.name]

    @property
    def is_head_whole(self):
        """Whether all bytes of the head arrived."""
        size = len(self.kind.head(_REQUEST_ID))
        return self.position == size and not self.kind.is_refused


@behave.given('a router with {name} behind it')
def step_client(context, name):
    context.server = _Server()
    context.run(context.server.start())
    context.to_stop.append(context.server.stop)
    context.client = _CLIENTS[name]('backend-1', context.server.address)

    async def close():
        context.client.close()

    context.to_stop.append(close)


@behave.when('it cuts a response {name} at each byte of its head')
def step_cut(context, name):
    context.run(_send_all(context, name))


async def _send_all(context, name):
    context.cases = []
    for key in _KEYS:
        for end in cut_heads.ENDS:
            for position in cut_heads.positions(name, _REQUEST_ID, end):
                context.server.answers = [cut_heads.step(name, position, end)]
                case = _Case(name, position, end, key)
                await _send(context.client, case)
                context.cases.append(case)
                if case.error is None:
                    await asyncio.sleep(_SEEN_S)


async def _send(client, case):
    call = exchange.Call(
        request_id=_REQUEST_ID,
        service='field-app',
        account='district',
        chat='',
        method='GET',
        path='/reports',
        deadline=asyncio.get_running_loop().time() + _DEADLINE_S,
        key=case.key,
    )
    try:
        async with asyncio.timeout(_DEADLINE_S):
            async for frame in client.answer(call):
                case.frames.append(frame)
    except errors.HoneyportError as error:
        case.error = error


@behave.then('the router takes no response for complete that is not whole')
def step_not_complete(context):
    assert context.cases
    for case in context.cases:
        is_answer = case.kind.is_answer(_REQUEST_ID, case.position, case.end)
        ends = [
            frame for frame in case.frames if isinstance(frame, exchange.End)
        ]
        if is_answer and case.error is None:
            (end,) = ends
            assert not end.length, case
        else:
            assert not ends and case.error is not None, case


@behave.then('it has seen no head but that of the response')
def step_heads(context):
    for case in context.cases:
        statuses = [
            frame.status
            for frame in case.frames
            if isinstance(frame, exchange.Head)
        ]
        expected = [int(case.kind.status[:3])] if case.is_head_whole else []
        assert statuses == expected, (statuses, case)
        if not case.is_head_whole:
            assert isinstance(case.error, errors.BackendLost), case


@behave.when('it writes bytes of another response after a whole one')
def step_stale(context):
    context.run(_send_after_stale(context))


async def _send_after_stale(context):
    context.cases = []
    other = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    for position in range(len(other) + 1):
        context.server.connections = []
        context.server.answers = [_WHOLE + other[:position], _WHOLE]
        pair = []
        for _ in range(2):
            case = _Case('with a length', position, '', '')
            await _send(context.client, case)
            pair.append(case)
        context.cases.append((pair, context.server.connections))


@behave.then('the next request is answered on another connection')
def step_next(context):
    for (_, case), (first, second) in context.cases:
        assert case.error is None, case
        data = [
            frame.payload
            for frame in case.frames
            if isinstance(frame, exchange.Data)
        ]
        assert b''.join(data) == _BODY, case
        assert (first == second) == (case.position == 0), case
