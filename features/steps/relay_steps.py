"""Steps about the links between routers."""

import asyncio
import contextlib
from unittest import mock

import behave

from honeyport import errors
from honeyport import exchange
from honeyport import local
from honeyport.router import frames
from honeyport.router import relay
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_CONNECT_TIMEOUT_S = 2.0
_DEADLINE_S = 5.0
_CLOSE_S = 0.3  # the time that closing one link takes
_PARTS = (b'first', b'second')


class _Failing:
    """Handles no frame."""

    def add(self, begun):
        raise KeyError('a frame that cannot be handled')

    look_up = handle = add

    def close(self):
        pass


class _Peer:
    """A peer whose answers are silent in the middle."""

    def __init__(self):
        self.silence_s = 0.0
        self.running = 0
        self.address = local.free_address()

    async def start(self):
        self._server = channels.server()
        rpc.add_PeerServicer_to_server(
            relay.PeerServicer(
                self._serve,
                0.0,
                records=_Failing(),
                open_slots=lambda send: _Failing(),
            ),
            self._server,
        )
        self._server.add_insecure_port(self.address)
        await self._server.start()

    async def stop(self):
        await self._server.stop(None)

    async def _serve(self, call, backend):
        self.running += 1
        yield exchange.Head(200, (), 'i-1')
        yield exchange.Data(1, _PARTS[0])
        await asyncio.sleep(self.silence_s)
        yield exchange.Data(2, _PARTS[1])
        yield exchange.End(2, sum(map(len, _PARTS)))


@behave.given(
    'links to {count:d} peers, which are closed after {idle:g} s without use'
)
def step_links(context, count, idle):
    context.peers = [_Peer() for _ in range(count)]

    async def start():
        for peer in context.peers:
            await peer.start()
            context.to_stop.append(peer.stop)
        context.links = relay.PeerLinks(0.0, _CONNECT_TIMEOUT_S, idle)
        context.to_stop.append(context.links.close)
        context.idle_s = idle

    context.run(start())


@behave.when(
    'a call is sent over each, and the second one again while the first is '
    'closed'
)
def step_reuse(context):
    context.results = [context.run(_reuse(context))]


async def _reuse(context):
    first, second = (peer.address for peer in context.peers)
    for address in (first, second):
        await _answer(context, address)
    closing = asyncio.Event()
    close = relay.PeerLink.close

    async def close_slowly(link):
        closing.set()
        await asyncio.sleep(_CLOSE_S)
        await close(link)

    with mock.patch.object(relay.PeerLink, 'close', close_slowly):
        context.peers[1].silence_s = context.peers[0].silence_s = _CLOSE_S * 2
        async with asyncio.timeout(_DEADLINE_S):
            await closing.wait()
            links = context.links._links
            (left,) = (each for each in (first, second) if each in links)
            return await _result(context, left)


@behave.when('a call is sent whose answer is silent for {silence:g} s')
def step_silent(context, silence):
    context.peers[0].silence_s = silence
    address = context.peers[0].address
    context.results = [context.run(_result(context, address))]


@behave.when(
    '{count:d} calls are sent whose answers are silent for {silence:g} s, and '
    'the first is given up'
)
def step_give_up(context, count, silence):
    async def give_up(tasks):
        tasks.pop(0).cancel()

    _send_and(context, count, silence, give_up)


@behave.when(
    '{count:d} calls are sent whose answers are silent for {silence:g} s, and '
    'the peer ends'
)
def step_peer_ends(context, count, silence):
    async def end(tasks):
        context.ended_at = asyncio.get_running_loop().time()
        await context.peers[0].stop()

    _send_and(context, count, silence, end)


@behave.when(
    '{count:d} calls are sent whose answers are silent for {silence:g} s, and '
    '{side} fails to handle a frame about {matter}'
)
def step_bad_frame(context, count, silence, side, matter):
    async def fail(tasks):
        link = context.links.get(context.peers[0].address)
        if side == 'the router':
            _receive_bad_frame(link)
        elif matter == 'slots':
            link._box.put(pb.Frame(stream=99, held=pb.SlotsHeld()))
        else:
            await link.tell(pb.BegunStreams())

    _send_and(context, count, silence, fail)


def _receive_bad_frame(link):
    """Let the handling of a frame fail that the peer answers with."""

    def fail(frame):
        if frame is not None:
            raise KeyError('a frame that cannot be handled')

    number = link.add_stream(relay._SlotStream(relay._SlotInbox(fail), True))
    # Answered with frames that belong to this stream.
    link._box.put(
        pb.Frame(stream=number, open=frames.encode_call(_call(), 'i-1'))
    )


@behave.when('a call is sent that the peer fails to read')
def step_unreadable(context):
    def fail(message):
        raise ValueError('a call that cannot be read')

    with mock.patch.object(frames, 'decode_call', fail):
        started_at = context.loop.time()
        context.results = [
            context.run(_result(context, context.peers[0].address))
        ]
        context.took_s = context.results[0][1] - started_at


@behave.then('the last answer is whole')
def step_whole(context):
    assert context.results[-1][0] == b''.join(_PARTS), context.results


@behave.then('the other {count:d} answers are whole')
def step_others_whole(context, count):
    bodies = [result for result, _ in context.results]
    assert bodies == [b''.join(_PARTS)] * count, bodies


@behave.then(
    '{count:d} answers break within {limit:g} s as lost with their peer'
)
def step_lost(context, count, limit):
    assert len(context.results) == count
    for result, at in context.results:
        assert isinstance(result, errors.PeerLost), result
        assert at - context.ended_at < limit, at - context.ended_at


@behave.then('it is answered with an error within {limit:g} s')
def step_error(context, limit):
    ((result, _),) = context.results
    assert isinstance(result, errors.HoneyportError), result
    assert context.took_s < limit, context.took_s


def _send_and(context, count, silence, act):
    context.results = context.run(_send_all(context, count, silence, act))


async def _send_all(context, count, silence, act):
    peer = context.peers[0]
    peer.silence_s = silence
    tasks = [
        asyncio.create_task(_result(context, peer.address))
        for _ in range(count)
    ]
    async with asyncio.timeout(_DEADLINE_S):
        while peer.running < count:
            await asyncio.sleep(0.01)
        await act(tasks)
        return await asyncio.gather(*tasks)


async def _result(context, address):
    """Return the body of an answer, or its error, and when it ended."""
    try:
        async with asyncio.timeout(_DEADLINE_S / 2):
            result = await _answer(context, address)
    except (errors.HoneyportError, TimeoutError) as error:
        result = error
    return result, asyncio.get_running_loop().time()


async def _answer(context, address):
    body = b''
    answer = context.links.get(address).answer(_call(), 'i-1')
    async with contextlib.aclosing(answer):
        async for frame in answer:
            if isinstance(frame, exchange.Data):
                body += frame.payload
    return body


def _call():
    loop = asyncio.get_running_loop()
    return exchange.Call(
        request_id='q-1',
        service='app',
        account='',
        chat='',
        method='POST',
        path='/r/x',
        deadline=loop.time() + _DEADLINE_S,
        headers=(),
        body=b'',
    )
