"""Asks one keeper for the slots of one service.

An ask that the keeper does not answer in time is given up, and so are those
that wait at a keeper without signs of life.
"""

import asyncio
import collections
import collections.abc
import typing

import attrs

from honeyport import errors
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

# An ask without any answer for this time is given up: several times the way
# to the keeper and back, and well within the objectives of requests.
_ANSWER_TIMEOUT_S = 0.15
# So is one that waits at a keeper without signs of life, of which two are due
# meanwhile.
_SILENCE_TIMEOUT_S = 0.3
_CHECK_INTERVAL_S = 0.05
# Pause before a keeper that does not answer, or does not grant, is tried
# again.
_RETRY_S = 0.5
# Delay of a report of requests without a grant, to collect more of them.
_REPORT_DELAY_S = 0.02

# Called with the place of a request in the queue and its forecast wait, in
# seconds.
OnPlaced = collections.abc.Callable[[int, float], None]
Running = collections.abc.Mapping[str, int]


class Streams(typing.Protocol):
    """The asking side of a link to a keeper."""

    @property
    def closed(self) -> bool:
        """Whether the link was lost."""

    def open(self, *, is_idle: bool = False) -> int:
        """Return the number of a new stream.

        :param is_idle: whether the link may be closed meanwhile
        """

    def send(self, frame: pb.Frame) -> None:
        """Send a frame."""

    def close(self, number: int) -> None:
        """Receive no more frames of a stream."""


# Opens the asking side of a link to a keeper; raises errors.NotSent.
Connect = collections.abc.Callable[
    [pb.Member, relay.ReceiveSlots], collections.abc.Awaitable[Streams]
]


@attrs.define(eq=False)
class _Ask:
    """An ask that has no grant yet.

    :ivar result: id of the granted instance, or ``None`` to go ahead
    :ivar place: its place in the queue, by the answer; 0 before that
    """

    result: asyncio.Future[str | None]
    sent_at: float
    on_placed: OnPlaced
    place: int = 0


@attrs.define(eq=False)
class Slot:
    """A granted slot.

    :ivar streams: the registration for which the keeper counts it
    """

    streams: Streams
    number: int
    instance: str
    granted_at: float


class Session:
    """Asks one keeper for the slots of one service.

    :param service: the service
    :param keeper: the gateway that keeps its queue
    :param hello: returns a registration without the requests held
    :param running: returns the requests of this gateway by instance id
    """

    def __init__(
        self,
        service: str,
        keeper: pb.Member,
        connect: Connect,
        hello: collections.abc.Callable[[str], pb.SlotsHeld],
        running: collections.abc.Callable[[str], Running],
    ) -> None:
        self.service = service
        self.keeper = keeper
        self._connect = connect
        self._hello = hello
        self._running = running
        self._streams: Streams | None = None
        self._number = 0
        self._is_granting = False
        self._heard_at = float('-inf')
        self._retry_at = float('-inf')
        self._asks: dict[int, _Ask] = {}
        self._slots: dict[int, Slot] = {}
        self._opener: asyncio.Task[None] | None = None
        self._checker: asyncio.TimerHandle | None = None
        self._reporter: asyncio.TimerHandle | None = None

    @property
    def is_granting(self) -> bool:
        """Whether the keeper answers and grants slots."""
        return self._is_granting

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._asks)

    @property
    def held(self) -> int:
        """Slots that requests of this gateway hold."""
        return len(self._slots)

    def open_soon(self) -> None:
        """Register with the keeper, unless that was tried just now."""
        if self._opener is not None or _now() < self._retry_at:
            return
        self._retry_at = _now() + _RETRY_S
        self._opener = asyncio.create_task(self._open())

    async def _open(self) -> None:
        try:
            streams = await self._connect(self.keeper, self._receive)
        except errors.NotSent:
            return  # tried again with a request after a pause
        finally:
            self._opener = None
        if self._is_granting and self._is_open:
            return  # the keeper began to grant meanwhile
        if self._streams is not None:
            self._streams.close(self._number)
        self._streams = streams
        # Slots that were granted before are reported like all others.
        for number in self._slots:
            streams.close(number)
        self._slots.clear()
        self._number = streams.open(is_idle=True)
        self._report()

    async def ask(
        self, ask: pb.SlotAsk, on_placed: OnPlaced
    ) -> tuple[Slot | None, errors.NoSlot | None]:
        """Wait for a slot; return it, or the reason of a refusal.

        Returns neither if the request is to be sent without a slot.

        :param on_placed: called as soon as it waits
        """
        streams = self._streams
        if streams is None or not self._is_granting:
            return None, None
        number = streams.open()
        loop = asyncio.get_running_loop()
        waiting = _Ask(loop.create_future(), loop.time(), on_placed)
        self._asks[number] = waiting
        streams.send(pb.Frame(stream=number, ask=ask))
        self._start_checks()
        try:
            instance = await waiting.result
        except errors.NoSlot as error:
            return None, error
        except asyncio.CancelledError:
            self._withdraw(number)
            raise
        finally:
            self._asks.pop(number, None)
        if instance is None:
            return None, None
        return Slot(streams, number, instance, loop.time()), None

    def release(self, slot: Slot, *, is_completed: bool) -> None:
        """Return a slot whose request has ended.

        :param is_completed: whether the instance answered it
        """
        if self._slots.get(slot.number) is not slot:
            self.report_soon()  # granted on a link that was lost
            return
        held_s = _now() - slot.granted_at
        self._end(slot.number, round(held_s * 1000), is_completed)

    def hold(self, slot: Slot) -> None:
        """Count a slot as held until it is released."""
        if slot.streams is self._streams:
            self._slots[slot.number] = slot

    def report_soon(self) -> None:
        """Report the requests without a grant in a moment."""
        if self._reporter is None and self._is_open:
            self._reporter = asyncio.get_running_loop().call_later(
                _REPORT_DELAY_S, self._report
            )

    def close(self) -> None:
        """Let all that wait go ahead; the keeper is no longer asked."""
        self._go_ahead()
        for timer in (self._checker, self._reporter):
            if timer is not None:
                timer.cancel()
        if self._opener is not None:
            self._opener.cancel()
        if self._streams is not None:
            for number in (self._number, *self._slots):
                self._streams.close(number)
        self._streams = None
        self._is_granting = False
        self._slots.clear()

    @property
    def _is_open(self) -> bool:
        return self._streams is not None and not self._streams.closed

    def _report(self) -> None:
        """Send the number of requests without a grant, by instance."""
        self._reporter = None
        if self._streams is None:
            return
        granted = collections.Counter(
            slot.instance for slot in self._slots.values()
        )
        message = self._hello(self.service)
        for instance, running in self._running(self.service).items():
            held = running - granted[instance]
            if held > 0:
                message.held.add(backend=instance, running=held)
        self._streams.send(pb.Frame(stream=self._number, held=message))

    def _end(self, number: int, held_ms: int, is_completed: bool) -> None:
        """Release a slot, or withdraw an ask."""
        self._slots.pop(number, None)
        if self._streams is None:
            return
        self._streams.close(number)
        message = pb.SlotRelease(completed=is_completed, held_ms=held_ms)
        self._streams.send(pb.Frame(stream=number, release=message))

    def _withdraw(self, number: int) -> None:
        """Give up an ask; a grant that is under way is released, too."""
        self._end(number, 0, False)

    # -- frames of the keeper --------------------------------------------

    def _receive(self, frame: pb.Frame | None) -> None:
        if frame is None:
            self._handle_lost()
            return
        self._heard_at = _now()
        kind = frame.WhichOneof('body')
        if frame.stream == self._number:
            if kind == 'keeper':
                self._handle_keeper(frame.keeper.granting)
            return
        ask = self._asks.get(frame.stream)
        if ask is None or ask.result.done():
            return
        if kind == 'grant':
            ask.result.set_result(frame.grant.instance)
        elif kind == 'refusal':
            self._close_stream(frame.stream)
            ask.result.set_exception(_to_error(frame.refusal))
        elif kind == 'keeper':
            ask.place = frame.keeper.place
            if ask.place:
                ask.on_placed(ask.place, frame.keeper.forecast_ms / 1000)
            else:
                self._close_stream(frame.stream)
                ask.result.set_result(None)
            if not frame.keeper.granting:
                self._handle_keeper(granting=False)

    def _handle_keeper(self, granting: bool) -> None:
        if granting and not self._is_granting:
            logs.emit(
                events.KEEPER_ANSWERS,
                service=self.service,
                keeper=self.keeper.router,
            )
        self._is_granting = granting
        if not granting:
            self._go_ahead()

    def _handle_lost(self) -> None:
        """Handle the end of the link; called for each of its streams."""
        if self._streams is None or not self._streams.closed:
            return
        self._streams = None
        if self._asks or self._slots:
            self._log_silent('link lost')
        self._is_granting = False
        self._slots.clear()
        self._go_ahead()

    def _close_stream(self, number: int) -> None:
        if self._streams is not None:
            self._streams.close(number)

    # -- a keeper that does not answer -----------------------------------

    def _start_checks(self) -> None:
        if self._checker is None:
            self._checker = asyncio.get_running_loop().call_later(
                _CHECK_INTERVAL_S, self._check
            )

    def _check(self) -> None:
        self._checker = None
        if not self._asks:
            return
        now = _now()
        silent = any(
            now - max(self._heard_at, ask.sent_at) > _SILENCE_TIMEOUT_S
            if ask.place
            else now - ask.sent_at > _ANSWER_TIMEOUT_S
            for ask in self._asks.values()
            if not ask.result.done()
        )
        if not silent:
            self._start_checks()
            return
        self._log_silent('no answer')
        self._is_granting = False
        self._retry_at = now + _RETRY_S
        self._go_ahead()

    def _go_ahead(self) -> None:
        """Let all requests that wait be sent without a slot."""
        for number, ask in list(self._asks.items()):
            if not ask.result.done():
                ask.result.set_result(None)
                self._withdraw(number)

    def _log_silent(self, reason: str) -> None:
        if self._is_granting:
            logs.emit(
                events.KEEPER_SILENT,
                service=self.service,
                keeper=self.keeper.router,
                reason=reason,
                waiting=len(self._asks),
                held=len(self._slots),
            )


def _to_error(refusal: pb.SlotRefusal) -> errors.NoSlot:
    error = errors.NoSlot(
        f'{refusal.reason}: a slot is likely free in {refusal.forecast_ms} ms',
        retry_after=refusal.back_ms / 1000 or None,
    )
    error.reason = refusal.reason
    error.forecast_s = refusal.forecast_ms / 1000
    return error


def _now() -> float:
    return asyncio.get_running_loop().time()
