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

from honeyport import errors
from honeyport.gateway import exchanges
from honeyport.gateway import local_slots
from honeyport.gateway import queue_keeper
from honeyport.gateway import slot_session
from honeyport.policy import brittle
from honeyport.policy import queue_keepers
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Asks for one attempt, if the granted instances may not get it any more.
_MAX_ASKS = 3
# Reasons why a request is sent without a grant, for metrics.
_NO_KEEPER = 'no_keeper'
_NO_ANSWER = 'no_answer'
_INSTANCES_CHANGED = 'instances_changed'

# Returns the instances that a request may be sent to now.
FindAllowed = collections.abc.Callable[[], frozenset[str]]
Running = slot_session.Running


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
        connect: slot_session.Connect,
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
        self._sessions: dict[str, slot_session.Session] = {}
        counters.gauge('queue_asked', lambda: self.waiting)
        counters.gauge('queue_slots_held', lambda: self.held)

    @property
    def keepers(self) -> collections.abc.Mapping[str, str]:
        """Names of the keepers, by service that has a shared queue."""
        return self._keepers

    @property
    def sessions(self) -> collections.abc.Mapping[str, slot_session.Session]:
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
        session: slot_session.Session,
        exchange: exchanges.Exchange,
        find_allowed: FindAllowed,
    ) -> slot_session.Slot | None:
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

    def _session(self, service: str) -> slot_session.Session | None:
        """Return who to ask for a slot; ``None`` if there is no queue."""
        keeper = self._keepers.get(service)
        if keeper is None:
            return None
        session = self._sessions.get(service)
        if session is None:
            session = self._sessions[service] = slot_session.Session(
                service,
                self._members[keeper],
                self._connect,
                self._hello,
                self._running_of,
            )
        return session

    async def _connect(
        self, member: pb.Member, receive: relay.ReceiveSlots
    ) -> slot_session.Streams:
        if member.router == self._name:
            return local_slots.LocalSlots(self._keeper, receive)
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
        session: slot_session.Session,
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
        # Without an account, equal requests of several callers have the same.
        fingerprint=exchange.fingerprint.encode() if match.account else b'',
        allowed=sorted(allowed),
        objective_ms=round((objective_at - now) * 1000),
        deadline_ms=max(0, round((exchange.deadline - now) * 1000)),
    )


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
