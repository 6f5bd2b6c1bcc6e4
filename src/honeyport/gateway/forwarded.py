"""Requests that this gateway forwards for one that is cut off."""

import asyncio
import collections.abc
import typing

from tornado import httputil

from honeyport import errors
from honeyport import exchange as messages
from honeyport.gateway import attempt
from honeyport.gateway import exchanges
from honeyport.gateway import headers as gateway_headers
from honeyport.ingress import held_bytes
from honeyport.telemetry import events
from honeyport.telemetry import log as logs

# Forwarded requests in flight, beyond which more are refused. They must not
# take the time that this gateway needs for its own callers.
_MAX_RUNNING = 64
# Retry-After at this limit, in seconds.
_RETRY_AFTER_S = 0.5
# Frames that may wait for the link to the other gateway.
_MAX_WAITING_FRAMES = 8


class PeerReply:
    """Turns the response to a forwarded request into frames.

    :param call: the request, as the other gateway sent it
    :param holding: counts the bytes that are held for it
    :ivar exchange: set as soon as the request is admitted
    """

    def __init__(
        self,
        call: messages.Call,
        running: collections.abc.Callable[[], int],
        holding: held_bytes.Holding,
    ) -> None:
        self.call = call
        self.holding = holding
        self.exchange: exchanges.Exchange | None = None
        self._running = running
        self._queue: asyncio.Queue[messages.Frame | errors.HoneyportError] = (
            asyncio.Queue(_MAX_WAITING_FRAMES)
        )
        self._is_started = False
        self._frames = 0
        self._length = 0
        self._unsent = 0

    @property
    def is_started(self) -> bool:
        """Whether the head of a response has been written."""
        return self._is_started

    async def frames(self) -> messages.Answer:
        """Yield the frames of the answer, up to its end.

        :raises errors.HoneyportError: if the request failed
        """
        while True:
            frame = await self._queue.get()
            if isinstance(frame, errors.HoneyportError):
                raise frame
            if isinstance(frame, messages.Data):
                self._count_unsent(-len(frame.payload))
            yield frame
            if isinstance(frame, messages.End):
                return

    # -- exchanges.Reply -------------------------------------------------

    async def begin(self, head: attempt.Head) -> None:
        self._is_started = True
        exchange = self.exchange
        await self._queue.put(
            messages.Head(
                head.status,
                tuple(head.headers.get_all()),
                exchange.instance_id if exchange else '',
                running=self._running(),
                version=exchange.attempt_version if exchange else '',
            )
        )

    async def write(self, chunk: bytes) -> None:
        self._frames += 1
        self._length += len(chunk)
        self._count_unsent(len(chunk))
        await self._queue.put(messages.Data(self._frames, chunk))

    async def end(self) -> None:
        await self._queue.put(messages.End(self._frames, self._length))

    async def send_response(self, head: attempt.Head, body: bytes) -> None:
        await self.begin(head)
        if body:
            await self.write(body)
        await self.end()

    async def refuse(self, error: errors.HoneyportError) -> None:
        await self._queue.put(error)

    def _count_unsent(self, change: int) -> None:
        self._unsent += change
        self.holding.update(held_bytes.UNSENT, self._unsent)


class Forwarder(typing.Protocol):
    """The part of :class:`gateway.forward.Forwarder` that is used here."""

    @property
    def running(self) -> int:
        """Number of requests in flight."""

    async def serve_forwarded(
        self, request: gateway_headers.Request, reply: PeerReply
    ) -> None:
        """Answer a request for another gateway."""


class ForwardedRequests:
    """Serves the requests of other gateways.

    :param is_refusing: returns whether new requests are refused
    :param account: counts the bytes that are held
    """

    def __init__(
        self,
        forwarder: Forwarder,
        names: gateway_headers.HeaderNames,
        is_refusing: collections.abc.Callable[[], bool],
        account: held_bytes.HeldBytes,
    ) -> None:
        self._forwarder = forwarder
        self._names = names
        self._is_refusing = is_refusing
        self._held_bytes = account
        self._running = 0

    async def answer(
        self, call: messages.Call, backend: str
    ) -> messages.Answer:
        """Serve a request; yield the frames of its answer.

        :param backend: not used, since this gateway chooses the instance
        :raises errors.HoneyportError: if it failed, or was refused
        """
        if self._is_refusing():
            raise errors.Draining()
        if self._running >= _MAX_RUNNING:
            raise errors.Overloaded(
                f'{self._running} requests of other gateways are in flight',
                retry_after=_RETRY_AFTER_S,
            )
        holding = held_bytes.Holding(self._held_bytes)
        self._held_bytes.check_body(len(call.body), holding)
        reply = PeerReply(call, lambda: self._forwarder.running, holding)
        holding.update(held_bytes.REQUEST, len(call.body))
        self._running += 1
        task = asyncio.create_task(self._serve(reply))
        try:
            async for frame in reply.frames():
                yield frame
        finally:
            self._running -= 1
            task.cancel()
            try:
                await asyncio.wait([task])
            finally:
                holding.release()

    async def _serve(self, reply: PeerReply) -> None:
        request = _to_request(reply.call, self._names)
        try:
            await self._forwarder.serve_forwarded(request, reply)
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            await reply.refuse(errors.HoneyportError('an internal error'))


def _to_request(
    call: messages.Call, names: gateway_headers.HeaderNames
) -> gateway_headers.Request:
    headers = httputil.HTTPHeaders()
    for name, value in call.headers:
        headers.add(name, value)
    return gateway_headers.decode_forwarded(call, headers, names)
