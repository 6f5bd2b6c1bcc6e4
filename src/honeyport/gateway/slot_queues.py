"""A gateway's side of shared queues: requests that ask their keeper for slots.

Without a queue, without a keeper, or if the keeper does not answer, a request
is sent at once, as to any other service. The keeper learns what a gateway has
at the instances without a grant, so that its counts stay exact.
"""

import asyncio
import collections
import collections.abc
import contextlib
import typing

import attrs

from honeyport import errors
from honeyport.gateway import exchanges
from honeyport.gateway import queue_keeper
from honeyport.policy import brittle
from honeyport.policy import queue_keepers
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# An ask without any answer for this time is given up: several times the way
# to the keeper and back, and well within the objectives of requests.
_ANSWER_TIMEOUT_S = 0.15
# So is one that waits at a keeper without signs of life: three of its periods.
_SILENCE_TIMEOUT_S = 0.3
_CHECK_INTERVAL_S = 0.05
# Pause before a keeper that does not answer, or does not grant, is tried
# again.
_RETRY_S = 0.5
# Delay of a report of requests without a grant, to collect more of them.
_REPORT_DELAY_S = 0.02
# Asks for one attempt, if the granted instances may not get it any more.
_MAX_ASKS = 3
# Reasons why a request is sent without a grant, for metrics.
_NO_KEEPER = 'no_keeper'
_NO_ANSWER = 'no_answer'
_INSTANCES_CHANGED = 'instances_changed'

# Returns the instances that a request may be sent to now.
FindAllowed = collections.abc.Callable[[], frozenset[str]]
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
class _Slot:
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
        self._slots: dict[int, _Slot] = {}
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
    ) -> tuple[_Slot | None, errors.NoSlot | None]:
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
        return _Slot(streams, number, instance, loop.time()), None

    def release(self, slot: _Slot, *, is_completed: bool) -> None:
        """Return a slot whose request has ended.

        :param is_completed: whether the instance answered it
        """
        if self._slots.get(slot.number) is not slot:
            self.report_soon()  # granted on a link that was lost
            return
        held_s = _now() - slot.granted_at
        self._end(slot.number, round(held_s * 1000), is_completed)

    def hold(self, slot: _Slot) -> None:
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


class SlotQueues:
    """Gets slots for requests to services that have a shared queue.

    :param enabled: whether services may have one
    :param enabled_if_uneven: whether they may once an instance reports how
        slow its machine is
    :param name: name of this gateway
    :param incarnation: identifies this run of its process
    :param state: this instance's view of the fleet
    :param keeper: keeps queues in this process
    :param connect: opens links to other keepers
    :param running: in-flight requests of this gateway, by instance id
    :param counters: metrics registry
    """

    def __init__(
        self,
        enabled: bool,
        enabled_if_uneven: bool,
        name: str,
        incarnation: str,
        state: fleetstate.FleetState,
        keeper: queue_keeper.QueueKeeper,
        connect: Connect,
        running: Running,
        counters: metrics.Metrics,
    ) -> None:
        self._enabled = enabled
        self._enabled_if_uneven = enabled_if_uneven
        self._name = name
        self._incarnation = incarnation
        self._state = state
        self._keeper = keeper
        self._connect_peer = connect
        self._running = running
        self._metrics = counters
        self._applied: typing.Any = None
        self._keepers: dict[str, str] = {}
        self._instance_ids: dict[str, list[str]] = {}
        self._members: dict[str, pb.Member] = {}
        self._sessions: dict[str, Session] = {}
        counters.gauge('queue_asked', lambda: self.waiting)
        counters.gauge('queue_slots_held', lambda: self.held)

    @property
    def keepers(self) -> collections.abc.Mapping[str, str]:
        """Names of the keepers, by service that has a shared queue."""
        return self._keepers

    @property
    def sessions(self) -> collections.abc.Mapping[str, Session]:
        """What is known about the keepers asked so far, by service."""
        return self._sessions

    @property
    def waiting(self) -> int:
        """Requests of this gateway that wait for a slot."""
        return sum(session.waiting for session in self._sessions.values())

    @property
    def held(self) -> int:
        """Slots that requests of this gateway hold."""
        return sum(session.held for session in self._sessions.values())

    def close(self) -> None:
        """Ask no more."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()
        self._keepers = {}

    def record_load(self, load: brittle.ReportedLoad | None) -> None:
        """Record the load that an instance reported.

        Gateways learn this at their first answers, which differ in time. Until
        then they send at once, like those that reach no keeper.
        """
        if self._enabled or not self._enabled_if_uneven:
            return
        if load is not None and load.has_slowdown:
            self._enabled = True
            logs.emit(events.QUEUES_ENABLED)
            self.apply_state()

    def apply_state(self) -> None:
        """Apply new lists of gateways and instances."""
        if not self._enabled:
            return
        routers = self._state.serving_routers
        draining = self._state.draining_routers
        number = self._state.instances.number
        evacuated = self._state.evacuated
        applied = (routers, draining, number, evacuated)
        if self._applied is None or not _is_same(applied, self._applied):
            self._applied = applied
            self._find_keepers()
        self._keeper.apply_state(self._keepers)
        self._keep_registered()

    def _keep_registered(self) -> None:
        """Tell each keeper what is held, also if no request asks it."""
        for service in self._keepers:
            if not self._running_of(service):
                continue
            session = self._session(service)
            if session is not None and not session.is_granting:
                session.open_soon()

    def _find_keepers(self) -> None:
        """Find the services that need a queue, and who keeps each."""
        slots: dict[str, list[int]] = {}
        ids: dict[str, list[str]] = {}
        for listed in self._state.instances.instances:
            ids.setdefault(listed.service, []).append(listed.id)
            if not listed.leaving and (
                listed.domain not in self._state.evacuated
            ):
                slots.setdefault(listed.service, []).append(listed.slots)
        draining = set(self._state.draining_routers)
        members = {
            member.router: member
            for member in self._state.serving_routers
            if not member.leaving and member.router not in draining
        }
        candidates = [
            queue_keepers.Candidate(name, frozenset(member.cut_off))
            for name, member in members.items()
            if member.peer_address
        ]
        keepers = {}
        for service, service_slots in slots.items():
            if queue_keepers.needs_queue(
                service_slots,
                len(members),
                has_queue=service in self._keepers,
            ):
                keeper = queue_keepers.find_keeper(service, candidates)
                if keeper:
                    keepers[service] = keeper
        self._keepers = keepers
        self._members = members
        self._instance_ids = ids
        for service, session in list(self._sessions.items()):
            keeper = members.get(keepers.get(service, ''))
            if keeper is None or not _is_same_run(keeper, session.keeper):
                self._sessions.pop(service).close()

    @contextlib.asynccontextmanager
    async def hold(
        self, exchange: exchanges.Exchange, find_allowed: FindAllowed
    ) -> collections.abc.AsyncIterator[str | None]:
        """Hold a slot for a request, if its service has a shared queue.

        Yields the id of the instance that it must be sent to, or ``None`` if
        it is to be sent to any, at once.

        :param find_allowed: returns the instances that it may be sent to now
        :raises errors.NoSlot: if it cannot be served in time
        :raises errors.NoInstance: if no instance may get it
        """
        session = self._session(exchange.service)
        if session is None:
            yield None
            return
        started_at = _now()
        slot = await self._get_slot(session, exchange, find_allowed)
        queued_s = _now() - started_at
        exchange.queued_s += queued_s
        if slot is not None and exchange.queue_forecast_s is not None:
            self._metrics.observe(
                'queue_forecast_error_seconds',
                abs(queued_s - exchange.queue_forecast_s),
            )
        if slot is None:
            self._report_soon(exchange.service)
            try:
                yield None
            finally:
                self._report_soon(exchange.service)
            return
        is_completed = False
        try:
            yield slot.instance
            is_completed = True
        finally:
            session.release(slot, is_completed=is_completed)
            if self._sessions.get(exchange.service) is not session:
                self._report_soon(exchange.service)

    def _report_soon(self, service: str) -> None:
        """Report the requests without a grant to the keeper asked now."""
        session = self._sessions.get(service)
        if session is not None:
            session.report_soon()

    async def _get_slot(
        self,
        session: Session,
        exchange: exchanges.Exchange,
        find_allowed: FindAllowed,
    ) -> _Slot | None:
        """Return a slot, or ``None`` to send a request without one.

        :raises errors.NoSlot: if it was refused
        :raises errors.NoInstance: if no instance may get it
        """
        if not session.is_granting:
            session.open_soon()
            self._count_direct(exchange, _NO_KEEPER)
            return None
        for _ in range(_MAX_ASKS):
            ask = _to_ask(exchange, find_allowed())
            slot, refusal = await session.ask(ask, exchange.record_place)
            if refusal is not None:
                exchange.queue_reason = refusal.reason
                exchange.queue_forecast_s = refusal.forecast_s
                self._log_refused(exchange, session, refusal)
                raise refusal
            if slot is None:
                self._count_direct(exchange, _NO_ANSWER)
                return None
            session.hold(slot)
            is_allowed = False
            try:
                is_allowed = slot.instance in find_allowed()
            finally:
                if not is_allowed:
                    session.release(slot, is_completed=False)
            if is_allowed:
                return slot
        self._count_direct(exchange, _INSTANCES_CHANGED)
        return None

    def _session(self, service: str) -> Session | None:
        """Return who to ask for a slot; ``None`` if there is no queue."""
        keeper = self._keepers.get(service)
        if keeper is None:
            return None
        session = self._sessions.get(service)
        if session is None:
            session = self._sessions[service] = Session(
                service,
                self._members[keeper],
                self._connect,
                self._hello,
                self._running_of,
            )
        return session

    async def _connect(
        self, member: pb.Member, receive: relay.ReceiveSlots
    ) -> Streams:
        if member.router == self._name:
            return queue_keeper.LocalSlots(self._keeper, receive)
        return await self._connect_peer(member, receive)

    def _hello(self, service: str) -> pb.SlotsHeld:
        return pb.SlotsHeld(
            service=service,
            gateway=self._name,
            incarnation=self._incarnation,
        )

    def _running_of(self, service: str) -> Running:
        return {
            name: self._running[name]
            for name in self._instance_ids.get(service, ())
            if name in self._running
        }

    def _count_direct(self, exchange: exchanges.Exchange, reason: str) -> None:
        exchange.queue_reason = reason
        self._metrics.count(
            'queue_bypassed', service=exchange.service, reason=reason
        )

    def _log_refused(
        self,
        exchange: exchanges.Exchange,
        session: Session,
        refusal: errors.NoSlot,
    ) -> None:
        self._metrics.count('slots_refused', service=exchange.service)
        logs.emit(
            events.SLOT_REFUSED,
            request=exchange.request.request_id,
            service=exchange.service,
            keeper=session.keeper.router,
            detail=refusal.detail,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after,
        )


def _to_ask(
    exchange: exchanges.Exchange, allowed: frozenset[str]
) -> pb.SlotAsk:
    now = _now()
    match = exchange.match
    objective_at = exchange.request.received + match.route.objective_ms / 1000
    return pb.SlotAsk(
        service=exchange.service,
        account=match.account,
        route=match.name,
        priority=match.priority,
        fingerprint=exchange.fingerprint.encode(),
        allowed=sorted(allowed),
        objective_ms=round((objective_at - now) * 1000),
        deadline_ms=max(0, round((exchange.deadline - now) * 1000)),
    )


def _to_error(refusal: pb.SlotRefusal) -> errors.NoSlot:
    error = errors.NoSlot(
        f'{refusal.reason}: a slot is likely free in {refusal.forecast_ms} ms',
        retry_after=refusal.back_ms / 1000 or None,
    )
    error.reason = refusal.reason
    error.forecast_s = refusal.forecast_ms / 1000
    return error


def _is_same(
    first: tuple[typing.Any, ...], second: tuple[typing.Any, ...]
) -> bool:
    """Whether no list was replaced; control sends them rarely."""
    return all(
        one is other or one == other
        for one, other in zip(first, second, strict=True)
    )


def _is_same_run(first: pb.Member, second: pb.Member) -> bool:
    """Whether two entries name the same run of a gateway."""
    return (first.router, first.incarnation, first.peer_address) == (
        second.router,
        second.incarnation,
        second.peer_address,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
