"""The hop between routers: one multiplexed stream for each pair.

Frames of many answers that are ready within a few milliseconds travel in
one message. Every stream has a number of its own, so frames of an earlier
attempt find nobody and are dropped. A side that reads slowly holds back
the sender: no more than a window of bytes is under way to it.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import typing

import attrs
import grpc

from honeyport import errors
from honeyport import exchange
from honeyport.router import frames
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc
from honeyport.wire import outbox

_COALESCE_S = 0.003
_WINDOW = 256 * 1024
_CREDIT_STEP = 64 * 1024
_CONNECT_S = 1.0

Serve = typing.Callable[[exchange.Call, str], exchange.Answer]
Box = outbox.Outbox[pb.Frame]


@attrs.define
class _Stream:
    """The opener's end of one answer."""

    arrived: asyncio.Queue[pb.Frame | None] = attrs.field(
        factory=asyncio.Queue
    )
    taken: int = 0
    credited: int = 0


class PeerLink:
    """The stream to one peer, opened when it is first used."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._channel = channels.connect(address)
        self._numbers = itertools.count(1)
        self._streams: dict[int, _Stream] = {}
        self._box: Box | None = None
        self._reader: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Where the peer listens."""
        return self._address

    async def close(self) -> None:
        """End the stream; answers under way fail."""
        if self._reader is not None:
            self._reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reader
        await self._channel.close()

    async def answer(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Have the peer run a call; yield its answer's frames.

        :raises errors.NotSent: if the peer cannot be reached
        :raises errors.PeerLost: if it went away; the call may have run
        """
        box = await self._open()
        number = next(self._numbers)
        stream = _Stream()
        self._streams[number] = stream
        box.put(
            pb.Frame(stream=number, open=frames.encode_call(call, backend))
        )
        ended = False
        try:
            expected = 1
            while not ended:
                frame = await self._next(stream)
                ended = isinstance(frame, exchange.End)
                if isinstance(frame, exchange.Data):
                    if frame.number != expected:
                        raise errors.AnswerCut('a frame is missing')
                    expected += 1
                    self._credit(box, number, stream, frame)
                yield frame
        except errors.HoneyportError:
            ended = True
            raise
        finally:
            self._streams.pop(number, None)
            if not ended:
                box.put(pb.Frame(stream=number, cancel=pb.Cancel()))

    async def _next(self, stream: _Stream) -> exchange.Frame:
        message = await stream.arrived.get()
        if message is None:
            raise errors.PeerLost(f'{self._address} went away')
        return frames.decode_frame(message)

    def _credit(
        self, box: Box, number: int, stream: _Stream, frame: exchange.Data
    ) -> None:
        stream.taken += len(frame.payload)
        if stream.taken - stream.credited >= _CREDIT_STEP:
            stream.credited = stream.taken
            credit = pb.Credit(length=stream.taken)
            box.put(pb.Frame(stream=number, credit=credit))

    async def _open(self) -> Box:
        if self._box is not None and not self._box.closed:
            return self._box
        try:
            await asyncio.wait_for(self._channel.channel_ready(), _CONNECT_S)
        except (TimeoutError, grpc.aio.UsageError):
            raise errors.NotSent(
                f'{self._address} cannot be reached'
            ) from None
        if self._box is None or self._box.closed:
            self._box = outbox.Outbox(_COALESCE_S)
            call = rpc.PeerStub(self._channel).Exchange(_batches(self._box))
            self._reader = asyncio.create_task(self._read(call, self._box))
        return self._box

    async def _read(self, call: grpc.aio.StreamStreamCall, box: Box) -> None:
        try:
            while (batch := await call.read()) is not grpc.aio.EOF:
                for frame in batch.frames:
                    stream = self._streams.get(frame.stream)
                    if stream is not None:
                        stream.arrived.put_nowait(frame)
        except grpc.RpcError as error:
            logs.emit(
                events.PEER_LOST, peer=self._address, error=error.code().name
            )
        finally:
            box.close()
            call.cancel()
            for stream in self._streams.values():
                stream.arrived.put_nowait(None)
            self._streams.clear()


class PeerLinks:
    """The links of this router, by peer address."""

    def __init__(self) -> None:
        self._links: dict[str, PeerLink] = {}

    def get(self, address: str) -> PeerLink:
        """Return the link to a peer."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(address)
        return link

    async def retain(self, addresses: set[str]) -> None:
        """Close the links to all other peers: their leases have lapsed.

        What was under way there is resumed at the next steward, without
        waiting for a frozen peer's connection to end.
        """
        for address in [a for a in self._links if a not in addresses]:
            await self._links.pop(address).close()

    async def close(self) -> None:
        """Close all links."""
        await self.retain(set())


@attrs.define
class _Served:
    """The serving end of one answer."""

    task: asyncio.Task[None]
    sent: int = 0
    credited: int = 0
    room: asyncio.Event = attrs.field(factory=asyncio.Event)


class PeerServicer(rpc.PeerServicer):
    """Answers the calls that peers send here.

    :param serve: runs a call on a backend server that we steward
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve

    async def Exchange(
        self,
        request_iterator: collections.abc.AsyncIterator[pb.FrameBatch],
        context: grpc.aio.ServicerContext,
    ) -> collections.abc.AsyncIterator[pb.FrameBatch]:
        box: Box = outbox.Outbox(_COALESCE_S)
        served: dict[int, _Served] = {}
        reader = asyncio.create_task(self._read(request_iterator, box, served))
        try:
            while batch := await box.take():
                yield pb.FrameBatch(frames=batch)
        finally:
            reader.cancel()
            for one in list(served.values()):
                one.task.cancel()

    async def _read(
        self,
        batches: collections.abc.AsyncIterator[pb.FrameBatch],
        box: Box,
        served: dict[int, _Served],
    ) -> None:
        with contextlib.suppress(grpc.RpcError):
            async for batch in batches:
                for frame in batch.frames:
                    self._take(frame, box, served)
        box.close()

    def _take(
        self, frame: pb.Frame, box: Box, served: dict[int, _Served]
    ) -> None:
        kind = frame.WhichOneof('body')
        number = frame.stream
        if kind == 'open':
            task = asyncio.create_task(
                self._answer(number, frame.open, box, served)
            )
            served[number] = _Served(task)
            return
        one = served.get(number)
        if one is None:
            return
        if kind == 'cancel':
            one.task.cancel()
        elif kind == 'credit':
            one.credited = frame.credit.length
            one.room.set()

    async def _answer(
        self,
        number: int,
        message: pb.Open,
        box: Box,
        served: dict[int, _Served],
    ) -> None:
        answer = self._serve(frames.decode_call(message), message.backend)
        try:
            async with contextlib.aclosing(answer):
                async for frame in answer:
                    box.put(frames.encode_frame(number, frame))
                    if isinstance(frame, exchange.Data):
                        await _pace(served[number], frame)
        except errors.HoneyportError as error:
            box.put(frames.encode_failure(number, error))
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            failure = errors.HoneyportError('an internal error')
            box.put(frames.encode_failure(number, failure))
        finally:
            served.pop(number, None)


async def _pace(served: _Served, frame: exchange.Data) -> None:
    """Wait while the opener has a whole window still to take."""
    served.sent += len(frame.payload)
    while served.sent - served.credited > _WINDOW:
        served.room.clear()
        await served.room.wait()


async def _batches(
    box: Box,
) -> collections.abc.AsyncIterator[pb.FrameBatch]:
    while batch := await box.take():
        yield pb.FrameBatch(frames=batch)
