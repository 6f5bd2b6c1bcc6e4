"""Links between routers: one multiplexed gRPC stream for each pair.

Frames that are ready within a few milliseconds are sent in one message. Each
answer has its own stream number, so that late frames of a cancelled attempt
are dropped. Flow control is by credit: the sender stops once a window of
payload bytes is not acknowledged by the receiver.
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

_COALESCE_S = 0.003  # default delay of a message, to collect more frames
_WINDOW_BYTES = 256 * 1024
_CREDIT_STEP_BYTES = 64 * 1024  # received between two credit frames
_CONNECT_TIMEOUT_S = 1.0  # default
# Frames that gateways send to the keeper of a queue.
_SLOT_FRAMES = frozenset(('held', 'ask', 'release'))

Serve = typing.Callable[[exchange.Call, str], exchange.Answer]
Box = outbox.Outbox[pb.Frame]


@attrs.define
class _ClientStream:
    """The client side of one answer.

    :ivar inbox: received frames; ``None`` after the link was lost
    :ivar received_bytes: payload bytes received
    :ivar credited_bytes: payload bytes acknowledged to the peer
    """

    is_idle: typing.ClassVar[bool] = False
    inbox: asyncio.Queue[pb.Frame | None] = attrs.field(factory=asyncio.Queue)
    received_bytes: int = 0
    credited_bytes: int = 0


class StreamRecords(typing.Protocol):
    """What a router knows about begun streams."""

    def add(self, begun: pb.BegunStreams) -> None:
        """Record streams of other routers."""

    def look_up(self, lookup: pb.StreamLookup) -> pb.StreamFound:
        """Return what is known about a stream."""


# Called with each frame for a stream number, and with ``None`` after the link
# was lost.
ReceiveSlots = collections.abc.Callable[[pb.Frame | None], None]
SendSlots = collections.abc.Callable[[pb.Frame], None]


class SlotLink(typing.Protocol):
    """The keeper's side of a link to a gateway."""

    def handle(self, frame: pb.Frame) -> None:
        """Handle a frame about slots."""

    def close(self) -> None:
        """Record that the link was lost."""


# Creates the keeper's side of a link, which sends frames by a callback.
OpenSlots = collections.abc.Callable[[SendSlots], SlotLink]


class SlotStreams:
    """The asking side of a link to a keeper.

    :param receive: called with each frame for a stream that was opened here
    """

    def __init__(
        self, link: 'PeerLink', box: Box, receive: ReceiveSlots
    ) -> None:
        self._link = link
        self._box = box
        self._receive = receive

    @property
    def closed(self) -> bool:
        """Whether the link was lost."""
        return self._box.closed

    def open(self, *, is_idle: bool = False) -> int:
        """Return the number of a new stream.

        :param is_idle: whether the link may be closed meanwhile
        """
        return self._link.add_stream(
            _SlotStream(_SlotInbox(self._receive), is_idle)
        )

    def send(self, frame: pb.Frame) -> None:
        """Send a frame."""
        self._box.put(frame)

    def close(self, number: int) -> None:
        """Receive no more frames of a stream."""
        self._link.remove_stream(number)


@attrs.frozen
class _SlotInbox:
    """Passes frames on at once, instead of keeping them."""

    put_nowait: ReceiveSlots


@attrs.frozen
class _SlotStream:
    """A stream whose frames are passed on."""

    inbox: _SlotInbox
    is_idle: bool


class PeerLink:
    """The client side of the stream to one peer, opened at its first use.

    :param coalesce_s: delay of each message, to collect more frames
    :param connect_timeout_s: timeout for opening the stream, in seconds
    """

    def __init__(
        self,
        address: str,
        coalesce_s: float = _COALESCE_S,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._coalesce_s = coalesce_s
        self._connect_timeout_s = connect_timeout_s
        self._last_used_at = asyncio.get_running_loop().time()
        self._channel = channels.connect(address)
        self._stream_numbers = itertools.count(1)
        self._streams: dict[int, _ClientStream | _SlotStream] = {}
        self._box: Box | None = None
        self._reader: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The peer's address."""
        return self._address

    @property
    def idle_s(self) -> float:
        """Seconds since the last answer ended; 0 while there are any."""
        if not all(stream.is_idle for stream in self._streams.values()):
            return 0.0
        return asyncio.get_running_loop().time() - self._last_used_at

    async def close(self) -> None:
        """Close the stream; unfinished answers fail."""
        if self._reader is not None:
            self._reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reader
        await self._channel.close()

    async def answer(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Send a call to the peer and yield its answer's frames.

        :raises errors.NotSent: if the peer cannot be reached
        :raises errors.PeerLost: if the stream ended; the call may have run
        :raises errors.AnswerCut: if a frame is missing
        """
        self._last_used_at = asyncio.get_running_loop().time()
        box = await self._open()
        number = next(self._stream_numbers)
        stream = _ClientStream()
        self._streams[number] = stream
        box.put(
            pb.Frame(stream=number, open=frames.encode_call(call, backend))
        )
        is_ended = False
        try:
            expected_number = 1
            while not is_ended:
                frame = await self._next_frame(stream)
                is_ended = isinstance(frame, exchange.End)
                if isinstance(frame, exchange.Data):
                    if frame.number != expected_number:
                        raise errors.AnswerCut('a frame is missing')
                    expected_number += 1
                    self._send_credit(box, number, stream, frame)
                yield frame
        except errors.HoneyportError:
            is_ended = True
            raise
        finally:
            self._streams.pop(number, None)
            self._last_used_at = asyncio.get_running_loop().time()
            if not is_ended:
                box.put(pb.Frame(stream=number, cancel=pb.Cancel()))

    async def tell(self, begun: pb.BegunStreams) -> None:
        """Tell the peer about begun streams; there is no answer.

        :raises errors.NotSent: if the peer cannot be reached
        """
        self._last_used_at = asyncio.get_running_loop().time()
        box = await self._open()
        box.put(pb.Frame(begun=begun))

    async def look_up(self, lookup: pb.StreamLookup) -> pb.StreamFound:
        """Ask the peer about a stream; an older one never answers.

        :raises errors.NotSent: if the peer cannot be reached
        :raises errors.PeerLost: if the link was lost
        """
        self._last_used_at = asyncio.get_running_loop().time()
        box = await self._open()
        number = next(self._stream_numbers)
        stream = self._streams[number] = _ClientStream()
        box.put(pb.Frame(stream=number, lookup=lookup))
        try:
            message = await stream.inbox.get()
        finally:
            self._streams.pop(number, None)
        if message is None:
            raise errors.PeerLost(f'the stream to {self._address} ended')
        return message.found

    async def open_slots(self, receive: ReceiveSlots) -> SlotStreams:
        """Return the asking side of this link.

        :param receive: called with the frames of its streams
        :raises errors.NotSent: if the peer cannot be reached
        """
        self._last_used_at = asyncio.get_running_loop().time()
        box = await self._open()
        return SlotStreams(self, box, receive)

    def add_stream(self, stream: _SlotStream) -> int:
        """Receive the frames of a new stream; return its number."""
        number = next(self._stream_numbers)
        self._streams[number] = stream
        return number

    def remove_stream(self, number: int) -> None:
        """Receive no more frames of a stream."""
        self._streams.pop(number, None)
        self._last_used_at = asyncio.get_running_loop().time()

    async def _next_frame(self, stream: _ClientStream) -> exchange.Frame:
        message = await stream.inbox.get()
        if message is None:
            raise errors.PeerLost(f'the stream to {self._address} ended')
        return frames.decode_frame(message)

    def _send_credit(
        self,
        box: Box,
        number: int,
        stream: _ClientStream,
        frame: exchange.Data,
    ) -> None:
        stream.received_bytes += len(frame.payload)
        if stream.received_bytes - stream.credited_bytes >= _CREDIT_STEP_BYTES:
            stream.credited_bytes = stream.received_bytes
            credit = pb.Credit(length=stream.received_bytes)
            box.put(pb.Frame(stream=number, credit=credit))

    async def _open(self) -> Box:
        if self._box is not None and not self._box.closed:
            return self._box
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._channel.channel_ready()
        except (TimeoutError, grpc.aio.UsageError):
            raise errors.NotSent(
                f'{self._address} cannot be reached'
            ) from None
        if self._box is None or self._box.closed:
            self._box = outbox.Outbox(self._coalesce_s)
            call = rpc.PeerStub(self._channel).Exchange(_batches(self._box))
            self._reader = asyncio.create_task(self._read(call, self._box))
        return self._box

    async def _read(self, call: grpc.aio.StreamStreamCall, box: Box) -> None:
        try:
            while (batch := await call.read()) is not grpc.aio.EOF:
                for frame in batch.frames:
                    stream = self._streams.get(frame.stream)
                    if stream is not None:
                        _deliver(stream, frame)
        except grpc.RpcError as error:
            logs.emit(
                events.PEER_LOST, peer=self._address, error=error.code().name
            )
        finally:
            box.close()
            call.cancel()
            streams = list(self._streams.values())
            self._streams.clear()
            for stream in streams:
                _deliver(stream, None)


class PeerLinks:
    """The links of this router to its peers, by address.

    :param coalesce_s: delay of each message, to collect more frames
    :param connect_timeout_s: timeout for opening a stream, in seconds
    :param idle_timeout_s: a link that was not used for longer is closed;
        ``None`` keeps all
    """

    def __init__(
        self,
        coalesce_s: float = _COALESCE_S,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
        idle_timeout_s: float | None = None,
    ) -> None:
        self._coalesce_s = coalesce_s
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._links: dict[str, PeerLink] = {}
        self._closer: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._links)

    def get(self, address: str) -> PeerLink:
        """Return the link to a peer, a new one if there is none."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(
                address, self._coalesce_s, self._connect_timeout_s
            )
        is_closing = self._closer is not None and not self._closer.done()
        if self._idle_timeout_s is not None and not is_closing:
            self._closer = asyncio.create_task(
                self._close_idle(self._idle_timeout_s)
            )
        return link

    async def _close_idle(self, idle_timeout_s: float) -> None:
        while self._links:
            await asyncio.sleep(idle_timeout_s)
            for address, link in list(self._links.items()):
                # It may have been used while another one was closed.
                is_idle = link.idle_s >= idle_timeout_s
                if is_idle and self._links.get(address) is link:
                    await self._links.pop(address).close()

    async def retain(self, addresses: set[str]) -> None:
        """Close the links to all peers but these.

        Unfinished answers of a peer without a lease fail at once, so that
        they are resumed at the next owner without waiting for a timeout.

        :param addresses: the addresses of the peers with a lease
        """
        for address in [
            unused for unused in self._links if unused not in addresses
        ]:
            await self._links.pop(address).close()

    async def close(self) -> None:
        """Close all links."""
        if self._closer is not None:
            self._closer.cancel()
        await self.retain(set())


@attrs.define
class _ServerStream:
    """The server side of one answer.

    :ivar sent_bytes: payload bytes sent
    :ivar credited_bytes: payload bytes acknowledged by the peer
    :ivar credit_received: set by each credit frame
    """

    task: asyncio.Task[None]
    sent_bytes: int = 0
    credited_bytes: int = 0
    credit_received: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define
class _ServerLink:
    """The server side of a link.

    :ivar slots: the keeper's side, if the peer asked for slots
    """

    box: Box
    streams: dict[int, _ServerStream] = attrs.field(factory=dict)
    slots: SlotLink | None = None


class PeerServicer(rpc.PeerServicer):
    """Serves the calls that peers send to this router.

    :param serve: runs a call on a backend server
    :param coalesce_s: delay of each message, to collect more frames
    :param records: answers questions about streams; ``None`` if this router
        keeps no records
    :param open_slots: opens the keeper's side of a link; ``None`` if this
        router keeps no queues
    """

    def __init__(
        self,
        serve: Serve,
        coalesce_s: float = _COALESCE_S,
        records: StreamRecords | None = None,
        open_slots: OpenSlots | None = None,
    ) -> None:
        self._serve = serve
        self._coalesce_s = coalesce_s
        self._records = records
        self._open_slots = open_slots

    async def Exchange(
        self,
        request_iterator: collections.abc.AsyncIterator[pb.FrameBatch],
        context: grpc.aio.ServicerContext,
    ) -> collections.abc.AsyncIterator[pb.FrameBatch]:
        box: Box = outbox.Outbox(self._coalesce_s)
        link = _ServerLink(box)
        reader = asyncio.create_task(self._read(request_iterator, link))
        try:
            while batch := await box.take():
                yield pb.FrameBatch(frames=batch)
        finally:
            reader.cancel()
            for stream in list(link.streams.values()):
                stream.task.cancel()
            if link.slots is not None:
                link.slots.close()

    async def _read(
        self,
        batches: collections.abc.AsyncIterator[pb.FrameBatch],
        link: _ServerLink,
    ) -> None:
        try:
            with contextlib.suppress(grpc.RpcError):
                async for batch in batches:
                    for frame in batch.frames:
                        self._try_handle_frame(frame, link)
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
        finally:
            # Without it, the peer would wait for answers on a dead link.
            link.box.close()

    def _try_handle_frame(self, frame: pb.Frame, link: _ServerLink) -> None:
        """Handle a frame; an error must not end the answers on the link."""
        try:
            self._handle_frame(frame, link)
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)

    def _handle_frame(self, frame: pb.Frame, link: _ServerLink) -> None:
        frame_type = frame.WhichOneof('body')
        number = frame.stream
        box = link.box
        streams = link.streams
        if frame_type == 'open':
            task = asyncio.create_task(
                self._answer(number, frame.open, box, streams)
            )
            streams[number] = _ServerStream(task)
            return
        if frame_type == 'begun' and self._records is not None:
            self._records.add(frame.begun)
            return
        if frame_type == 'lookup' and self._records is not None:
            found = self._records.look_up(frame.lookup)
            box.put(pb.Frame(stream=number, found=found))
            return
        if frame_type in _SLOT_FRAMES:
            self._handle_slot_frame(frame, link)
            return
        stream = streams.get(number)
        if stream is None:
            return
        if frame_type == 'cancel':
            stream.task.cancel()
        elif frame_type == 'credit':
            stream.credited_bytes = frame.credit.length
            stream.credit_received.set()

    def _handle_slot_frame(self, frame: pb.Frame, link: _ServerLink) -> None:
        if self._open_slots is None:
            return
        if link.slots is None:
            link.slots = self._open_slots(link.box.put)
        link.slots.handle(frame)

    async def _answer(
        self,
        number: int,
        message: pb.Open,
        box: Box,
        streams: dict[int, _ServerStream],
    ) -> None:
        try:
            call = frames.decode_call(message)
            answer = self._serve(call, message.backend)
            async with contextlib.aclosing(answer):
                async for frame in answer:
                    box.put(frames.encode_frame(number, frame))
                    if isinstance(frame, exchange.Data):
                        await _wait_for_credit(streams[number], frame)
        except errors.HoneyportError as error:
            box.put(frames.encode_failure(number, error))
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            failure = errors.HoneyportError('an internal error')
            box.put(frames.encode_failure(number, failure))
        finally:
            streams.pop(number, None)


def _deliver(
    stream: _ClientStream | _SlotStream, frame: pb.Frame | None
) -> None:
    """Pass a frame on; an error must not end the answers on the link."""
    try:
        stream.inbox.put_nowait(frame)
    except Exception as error:
        logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)


async def _wait_for_credit(
    stream: _ServerStream, frame: exchange.Data
) -> None:
    """Wait until less than a window is unacknowledged, after a frame."""
    stream.sent_bytes += len(frame.payload)
    while stream.sent_bytes - stream.credited_bytes > _WINDOW_BYTES:
        stream.credit_received.clear()
        await stream.credit_received.wait()


async def _batches(
    box: Box,
) -> collections.abc.AsyncIterator[pb.FrameBatch]:
    while batch := await box.take():
        yield pb.FrameBatch(frames=batch)
