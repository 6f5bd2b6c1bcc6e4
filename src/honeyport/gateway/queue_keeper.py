"""The keeper's side of shared queues: grants slots to all gateways.

Decides by :mod:`honeyport.policy.queue_keepers` whether this gateway may
grant, by :mod:`honeyport.policy.wait_queue` who is next, and by
:mod:`honeyport.policy.slot_counts` what is free.
"""

import asyncio
import collections
import collections.abc
import math
import random

import attrs

from honeyport.policy import queue_keepers
from honeyport.policy import slot_counts
from honeyport.policy import stale
from honeyport.policy import wait_queue
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Requests that wait for the slots of a service, beyond which more are refused.
# It bounds the memory of the keeper and the time to find the next one.
MAX_WAITING = 1024
# Asks within one second, beyond which more are sent at once without a slot, so
# that a keeper has at least half of a core for its own callers.
MAX_ASKS_PER_S = 1000
# While requests wait: the period of a check of all, and of the signs of life
# for the gateways whose requests they are.
_TICK_S = 0.025
_HEARTBEAT_S = 0.1
# Reasons of refusals that the queue does not decide.
_FULL = 'queue_full'
# When a caller that met a full queue should come back, in seconds.
_FULL_RETRY_S = 0.5
# The largest number of milliseconds that fits into a message.
_MAX_MS = 2**32 - 1

Key = wait_queue.Key


@attrs.define(eq=False)
class _Registration:
    """A gateway that asks for slots of a service.

    :ivar number: its stream for all that is not about one ask; a new one if
        it registers anew
    """

    holder: slot_counts.Holder
    link: 'KeeperLink'
    number: int

    def is_for(self, link: 'KeeperLink', number: int) -> bool:
        """Whether a message on a link belongs to this registration."""
        return self.link is link and self.number == number

    def tell(self, service: str, granting: bool) -> None:
        """Tell the gateway whether slots are granted."""
        message = pb.SlotKeeper(service=service, granting=granting)
        self.link.send(pb.Frame(stream=self.number, keeper=message))


class ServiceQueue:
    """The queue of one service and what is known about its slots."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.tenure = queue_keepers.Tenure()
        self.counts = slot_counts.SlotCounts()
        self.waiting = wait_queue.WaitQueue()
        self.registrations: dict[str, _Registration] = {}
        self.asked: dict[Key, wait_queue.Waiting] = {}
        self.granted: dict[Key, wait_queue.Waiting] = {}
        self.is_granting = False
        # The list of instances and the evacuated domains of the counts.
        self.applied: tuple[int, frozenset[str]] | None = None
        self._durations = stale.DurationMeans()

    def room(self) -> wait_queue.Room:
        return wait_queue.Room(
            slots=self.counts.slots,
            taken=self.counts.taken,
            mean_held_s=self._durations.mean_s(self.service),
        )

    def record_held(self, held_s: float) -> None:
        self._durations.add(self.service, held_s)

    def clear(self) -> None:
        """Drop all that was known; gateways register anew."""
        self.applied = None
        self.counts = slot_counts.SlotCounts()
        self.waiting = wait_queue.WaitQueue()
        self.registrations.clear()
        self.asked.clear()
        self.granted.clear()


class KeeperLink:
    """The keeper's side of a link to one gateway."""

    def __init__(self, keeper: 'QueueKeeper', send: relay.SendSlots) -> None:
        self._keeper = keeper
        self.send = send
        self.registrations: dict[str, _Registration] = {}
        # Services of the streams that wait or hold a slot.
        self.services: dict[int, str] = {}

    def handle(self, frame: pb.Frame) -> None:
        """Handle a frame about slots."""
        self._keeper.handle(self, frame)

    def close(self) -> None:
        """Record that the link was lost."""
        self._keeper.lose(self)


class QueueKeeper:
    """Keeps the queues of the services that this gateway is the keeper of.

    :param name: name of this gateway
    :param state: this instance's view of the fleet
    :param counters: metrics registry
    """

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._state = state
        self._metrics = counters
        self._queues: dict[str, ServiceQueue] = {}
        self._listed: frozenset[str] = frozenset()
        self._ticker: asyncio.Task[None] | None = None
        self._ask_times: collections.deque[float] = collections.deque()
        counters.gauge('queue_waiting', lambda: self.waiting)
        counters.gauge('queue_slots_taken', lambda: self.taken)
        counters.gauge('queues_kept', lambda: len(self.kept))

    @property
    def queues(self) -> collections.abc.Mapping[str, ServiceQueue]:
        """The queues that gateways have asked this one about, by service."""
        return self._queues

    @property
    def kept(self) -> list[str]:
        """Names of the services whose slots this gateway grants."""
        return [
            queue.service
            for queue in self._queues.values()
            if queue.is_granting
        ]

    @property
    def waiting(self) -> int:
        """Requests that wait here."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    @property
    def taken(self) -> int:
        """Requests at the instances of the services that are kept here."""
        return sum(queue.counts.taken for queue in self._queues.values())

    def open(self, send: relay.SendSlots) -> KeeperLink:
        """Return the keeper's side of a new link.

        :param send: sends a frame to the gateway
        """
        return KeeperLink(self, send)

    def close(self) -> None:
        """Stop granting."""
        if self._ticker is not None:
            self._ticker.cancel()

    def apply_state(self, keepers: collections.abc.Mapping[str, str]) -> None:
        """Apply new lists of gateways and instances.

        :param keepers: names of the keepers by service, of all that have a
            queue
        """
        now = _now()
        listed = frozenset(
            member.router for member in self._state.serving_routers
        ) | frozenset(self._state.draining_routers)
        gone = self._listed - listed
        self._listed = listed
        for service in keepers:
            if service not in self._queues and keepers[service] == self._name:
                self._queues[service] = queue = ServiceQueue(service)
                self._register_gauges(queue)
        for service, queue in self._queues.items():
            queue.tenure.update(
                is_keeper=keepers.get(service) == self._name,
                contact_at=self._contact_at(now),
                now=now,
            )
            self._apply_slots(queue)
            self._release_unlisted(queue)
            for gateway in gone & queue.registrations.keys():
                self._lose_registration(queue, queue.registrations[gateway])
            self._pump(queue)

    def _release_unlisted(self, queue: ServiceQueue) -> None:
        """Let requests go ahead that wait for instances that are gone."""
        for key, allowed in [
            (key, waiting.allowed) for key, waiting in queue.asked.items()
        ]:
            if not queue.counts.is_listed(allowed):
                self._send_ahead(queue, key)

    def _apply_slots(self, queue: ServiceQueue) -> None:
        number = self._state.instances.number
        evacuated = self._state.evacuated
        if queue.applied == (number, evacuated):
            return
        queue.applied = (number, evacuated)
        queue.counts.set_slots(
            {
                listed.id: listed.slots
                for listed in self._state.instances.instances
                if listed.service == queue.service
                and listed.slots
                and not listed.leaving
                and listed.domain not in evacuated
            }
        )

    def _register_gauges(self, queue: ServiceQueue) -> None:
        def is_kept() -> bool:
            return queue.is_granting

        for name, read in (
            ('queue_service_slots', lambda: queue.counts.slots),
            ('queue_service_taken', lambda: queue.counts.taken),
            ('queue_service_waiting', lambda: len(queue.waiting)),
            ('queue_service_kept', is_kept),
        ):
            self._metrics.gauge(name, read, service=queue.service)

    def handle(self, link: KeeperLink, frame: pb.Frame) -> None:
        """Handle a frame of a gateway."""
        kind = frame.WhichOneof('body')
        if kind == 'held':
            self._register(link, frame.stream, frame.held)
        elif kind == 'ask':
            self._handle_ask(link, frame.stream, frame.ask)
        elif kind == 'release':
            self._handle_release(link, frame.stream, frame.release)

    def lose(self, link: KeeperLink) -> None:
        """Record that a link was lost.

        What its gateway holds stays counted, as it may still run.
        """
        for queue in self._queues.values():
            for registration in list(queue.registrations.values()):
                if registration.link is link:
                    self._lose_registration(queue, registration)
        link.services.clear()
        link.registrations.clear()

    # -- frames ----------------------------------------------------------

    def _register(
        self, link: KeeperLink, number: int, held: pb.SlotsHeld
    ) -> None:
        queue = self._queues.get(held.service)
        if queue is None or not queue.tenure.is_keeper:
            _answer(link, number, held.service, granting=False)
            return
        holder = slot_counts.Holder(held.gateway, held.incarnation)
        known = queue.registrations.get(held.gateway)
        earlier = link.registrations.get(held.service)
        if (
            earlier is not None
            and earlier is not known
            and earlier.number == number
        ):
            # It was dropped here with its grants, which the gateway has to
            # tell anew.
            earlier.tell(held.service, granting=False)
            return
        # Sent again, it only tells a change of what the gateway holds.
        is_update = known is not None and known.is_for(link, number)
        if known is not None and not is_update:
            self._drop_registration(queue, known)
        if not is_update:
            queue.counts.forget(holder)  # it has told all that it holds
        running = collections.Counter[str]()
        for entry in held.held:
            running[entry.backend] += entry.running
        queue.counts.set_held(holder, running, _now())
        if is_update:
            self._pump(queue)
            return
        registration = _Registration(holder, link, number)
        queue.registrations[held.gateway] = registration
        link.registrations[held.service] = registration
        self._pump(queue)
        registration.tell(held.service, queue.is_granting)

    def _handle_ask(
        self, link: KeeperLink, number: int, ask: pb.SlotAsk
    ) -> None:
        now = _now()
        queue = self._queues.get(ask.service)
        registration = queue and self._find_registration(queue, link)
        if (
            queue is None
            or registration is None
            or not self._may_grant(queue, now)
        ):
            _answer(link, number, ask.service, granting=False)
            return
        if not queue.counts.is_listed(ask.allowed) or not self._count_ask(now):
            _answer(link, number, ask.service, granting=True)
            return
        self._metrics.count('queue_asks')
        if len(queue.waiting) >= MAX_WAITING:
            self._refuse(
                queue,
                link,
                wait_queue.Refusal(
                    key=Key(registration.holder.gateway, number),
                    reason=_FULL,
                    back_s=_full_back_s(ask.deadline_ms / 1000),
                    forecast_s=0.0,
                ),
            )
            return
        waiting = _to_waiting(registration.holder.gateway, number, ask, now)
        queue.counts.expire(now)
        offered = queue.waiting.offer(waiting, queue.room(), now)
        if isinstance(offered, wait_queue.Refusal):
            self._refuse(queue, link, offered)
            return
        link.services[number] = ask.service
        queue.asked[waiting.key] = waiting
        self._pump(queue)
        if waiting.key not in queue.asked:
            return  # granted, refused or told to go ahead
        message = pb.SlotKeeper(
            service=ask.service,
            granting=True,
            place=max(1, offered.place),
            forecast_ms=_to_ms(offered.forecast_s),
        )
        link.send(pb.Frame(stream=number, keeper=message))
        self._start_ticker()

    def _handle_release(
        self, link: KeeperLink, number: int, release: pb.SlotRelease
    ) -> None:
        service = link.services.pop(number, None)
        queue = self._queues.get(service) if service else None
        registration = queue and self._find_registration(queue, link)
        if queue is None or registration is None:
            return
        key = Key(registration.holder.gateway, number)
        if queue.asked.pop(key, None) is not None:
            queue.waiting.remove(key)
            self._metrics.count('queue_withdrawn')
            return
        queue.counts.release(registration.holder, number)
        waiting = queue.granted.pop(key, None)
        if waiting is not None and release.held_ms:
            held_s = release.held_ms / 1000
            if release.completed:
                queue.record_held(held_s)
                queue.waiting.record_end(waiting, held_s, _now())
        self._pump(queue)

    # -- grants ----------------------------------------------------------

    def _contact_at(self, now: float) -> float:
        return now - self._state.control_silence_s

    def _may_grant(self, queue: ServiceQueue, now: float) -> bool:
        return queue.tenure.may_grant(self._contact_at(now), now)

    def _count_ask(self, now: float) -> bool:
        """Count an ask; return whether there is time for it."""
        times = self._ask_times
        while times and times[0] <= now - 1.0:
            times.popleft()
        if len(times) >= MAX_ASKS_PER_S:
            return False
        times.append(now)
        return True

    def _pump(self, queue: ServiceQueue) -> None:
        """Grant all slots that are free."""
        now = _now()
        if not self._may_grant(queue, now):
            self._stop_granting(queue)
            return
        if not queue.is_granting:
            self._start_granting(queue)
        queue.counts.expire(now)
        while queue.waiting and queue.counts.has_room:
            grant = queue.waiting.take(queue.counts.find_free, now)
            if grant is None:
                return
            self._grant(queue, grant, now)

    def _grant(
        self, queue: ServiceQueue, grant: wait_queue.Grant, now: float
    ) -> None:
        waiting = grant.waiting
        key = waiting.key
        registration = queue.registrations[key.gateway]
        # The queue bounds the wait; a slot is held until the true deadline.
        asked = queue.asked.pop(key, waiting)
        queue.granted[key] = waiting
        queue.counts.grant(
            registration.holder,
            key.number,
            grant.instance,
            asked.deadline_at,
            now,
        )
        self._metrics.count('queue_grants')
        self._metrics.observe('queue_wait_seconds', now - waiting.asked_at)
        message = pb.SlotGrant(instance=grant.instance)
        registration.link.send(pb.Frame(stream=key.number, grant=message))

    def _refuse(
        self,
        queue: ServiceQueue,
        link: KeeperLink,
        refusal: wait_queue.Refusal,
    ) -> None:
        number = refusal.key.number
        queue.asked.pop(refusal.key, None)
        link.services.pop(number, None)
        self._metrics.count('queue_refused', reason=refusal.reason)
        message = pb.SlotRefusal(
            reason=refusal.reason,
            back_ms=_to_ms(refusal.back_s or 0.0),
            forecast_ms=_to_ms(refusal.forecast_s),
        )
        link.send(pb.Frame(stream=number, refusal=message))

    def _start_granting(self, queue: ServiceQueue) -> None:
        queue.is_granting = True
        logs.emit(
            events.QUEUE_KEPT,
            service=queue.service,
            slots=queue.counts.slots,
            gateways=len(self._listed),
        )
        for registration in queue.registrations.values():
            registration.tell(queue.service, granting=True)

    def _stop_granting(self, queue: ServiceQueue) -> None:
        """Let all that wait go ahead; keep the counts while it is keeper."""
        if queue.is_granting:
            queue.is_granting = False
            logs.emit(
                events.QUEUE_LEFT,
                service=queue.service,
                waiting=len(queue.waiting),
                is_keeper=queue.tenure.is_keeper,
                control_silence_s=round(self._state.control_silence_s, 3),
            )
            for registration in queue.registrations.values():
                registration.tell(queue.service, granting=False)
        for key in list(queue.asked):
            self._send_ahead(queue, key)
        if not queue.tenure.is_keeper:
            queue.clear()

    def _send_ahead(self, queue: ServiceQueue, key: Key) -> None:
        """Let a request that waits be sent without a grant."""
        queue.waiting.remove(key)
        del queue.asked[key]
        registration = queue.registrations.get(key.gateway)
        if registration is not None:
            registration.link.services.pop(key.number, None)
            _answer(
                registration.link,
                key.number,
                queue.service,
                granting=queue.is_granting,
            )

    # -- gateways --------------------------------------------------------

    def _find_registration(
        self, queue: ServiceQueue, link: KeeperLink
    ) -> _Registration | None:
        registration = link.registrations.get(queue.service)
        if registration is None:
            return None
        known = queue.registrations.get(registration.holder.gateway)
        return registration if known is registration else None

    def _lose_registration(
        self, queue: ServiceQueue, registration: _Registration
    ) -> None:
        """Drop what a gateway waits for.

        What it holds counts until its deadlines.
        """
        self._drop_registration(queue, registration)
        counted = queue.counts.held_by(registration.holder)
        if counted:
            logs.emit(
                events.SLOT_HOLDER_LOST,
                service=queue.service,
                gateway=registration.holder.gateway,
                counted=counted,
            )

    def _drop_registration(
        self, queue: ServiceQueue, registration: _Registration
    ) -> None:
        """Drop what a gateway waits for."""
        gateway = registration.holder.gateway
        del queue.registrations[gateway]
        queue.waiting.remove_gateway(gateway)
        for by_key in (queue.asked, queue.granted):
            for key in [key for key in by_key if key.gateway == gateway]:
                del by_key[key]

    # -- while requests wait ---------------------------------------------

    def _start_ticker(self) -> None:
        if self._ticker is None or self._ticker.done():
            self._ticker = asyncio.create_task(self._tick())

    async def _tick(self) -> None:
        next_heartbeat_at = _now()
        while self.waiting:
            await asyncio.sleep(_TICK_S)
            is_heartbeat_due = _now() >= next_heartbeat_at
            if is_heartbeat_due:
                next_heartbeat_at = _now() + _HEARTBEAT_S
            for queue in self._queues.values():
                if queue.waiting:
                    self._check(queue, is_heartbeat_due)

    def _check(self, queue: ServiceQueue, is_heartbeat_due: bool) -> None:
        """Grant, refuse and drop what time has changed."""
        now = _now()
        for key in [
            key
            for key, waiting in queue.asked.items()
            if waiting.deadline_at <= now
        ]:
            self._send_ahead(queue, key)
        self._pump(queue)
        if not queue.is_granting:
            return
        for refusal in queue.waiting.refuse_hopeless(queue.room(), now):
            registration = queue.registrations[refusal.key.gateway]
            self._refuse(queue, registration.link, refusal)
        if is_heartbeat_due:
            for gateway in dict.fromkeys(key.gateway for key in queue.asked):
                queue.registrations[gateway].tell(queue.service, True)


def _answer(
    link: KeeperLink, number: int, service: str, *, granting: bool
) -> None:
    message = pb.SlotKeeper(service=service, granting=granting)
    link.send(pb.Frame(stream=number, keeper=message))


def _to_waiting(
    gateway: str, number: int, ask: pb.SlotAsk, now: float
) -> wait_queue.Waiting:
    return wait_queue.Waiting(
        key=Key(gateway, number),
        account=ask.account,
        route=ask.route,
        priority=ask.priority,
        fingerprint=ask.fingerprint,
        allowed=frozenset(ask.allowed),
        asked_at=now,
        objective_at=now + ask.objective_ms / 1000,
        deadline_at=now + ask.deadline_ms / 1000,
    )


def _full_back_s(left_s: float) -> float | None:
    """Return when a caller comes back whose request did not fit, in seconds.

    Spread, since many are refused at the same time.

    :param left_s: until its deadline, in seconds
    :returns: ``None`` if that is after its deadline
    """
    back_s = _FULL_RETRY_S * random.uniform(0.5, 1.5)
    return back_s if back_s < left_s else None


def _to_ms(seconds: float) -> int:
    """Return whole milliseconds, rounded up, within the field's range."""
    milliseconds = min(max(0.0, seconds * 1000), _MAX_MS)
    return math.ceil(milliseconds)


def _now() -> float:
    return asyncio.get_running_loop().time()
