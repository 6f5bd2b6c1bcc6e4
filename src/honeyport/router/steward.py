"""Admission to the backend servers that this router stewards.

All work for a backend server passes its steward, so the count of what
runs there is exact and its queue is the one place for fair shares.
"""

import asyncio
import collections
import collections.abc
import contextlib
import typing

from honeyport.backend import engine
from honeyport.backend import registry
from honeyport.bundle import model
from honeyport import errors
from honeyport import exchange
from honeyport.policy import backoffs
from honeyport.policy import fingerprints
from honeyport.policy import hashing
from honeyport.router import end_detector
from honeyport.router import fleetstate
from honeyport.router import prefix_transfer
from honeyport.router import slots
from honeyport.router import suspects
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_BACKOFF = 0.7  # of the limit, when the backend server says it is busy
_SMOOTHING = 0.1
_REMEMBERED = 2  # reports of ours that the others' loads may be as old as


Wake = collections.abc.Callable[[], None]


class Steward:
    """The slots of this router.

    :param hurry: called when the fleet should hear of our load soon
    :param held: the calls that are held back
    """

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        counters: metrics.Metrics,
        hurry: Wake,
        held: suspects.SuspectTracker,
    ) -> None:
        self._name = name
        self._state = state
        self._metrics = counters
        self._hurry = hurry
        self._suspects = held
        self._witness = end_detector.EndDetector(self._knock, held.record_end)
        self._slots: dict[str, slots.Slot] = {}
        self._reported: collections.deque[dict[str, int]] = collections.deque(
            maxlen=_REMEMBERED
        )
        self._news = asyncio.Event()
        self._lapsed = False
        self._rests = backoffs.Backoffs()
        self._transfers = prefix_transfer.Transfers(state, counters)
        self._parting: set[asyncio.Task[None]] = set()
        counters.gauge('steward_slots', lambda: len(self._owned()))
        counters.gauge('steward_running', lambda: self.running)

    @property
    def running(self) -> int:
        """Requests that run on backend servers through us."""
        return sum(slot.running for slot in self._slots.values())

    def regard_view(self, followed: bool) -> None:
        """Take and leave backend servers as the view says.

        What we had in the view just before, and have still, we keep; all
        else has to wait until the view is settled.
        """
        for slot in self._slots.values():
            if not followed:
                slot.ready = False
        self.regard_bundle()

    def regard_bundle(self) -> None:
        """Bring the slots in line with view and bundle."""
        try:
            backends = self._state.bundle.backends
        except errors.NotReady:
            return
        for name, backend in backends.items():
            mine = self._state.is_steward(self._name, name)
            slot = self._slots.get(name)
            if slot is not None and slot.backend.address != backend.address:
                self._leave(slot)
                self._drop(slot)
                slot = None
            if slot is not None:
                slot.backend = backend
            if mine and (slot is None or not slot.owned):
                self._take(name, backend)
            elif not mine and slot is not None and slot.owned:
                self._leave(slot)
        for name in [n for n in self._slots if n not in backends]:
            self._move_prefixes(self._slots[name])
            self._leave(self._slots[name])
            self._drop(self._slots[name])

    def fill(self, report: pb.Report) -> None:
        """Add our loads to a report."""
        running: dict[str, int] = {}
        waiting: dict[str, int] = {}
        for slot in self._slots.values():
            service = slot.backend.service
            running[service] = running.get(service, 0) + slot.running
            waiting[service] = waiting.get(service, 0) + len(slot.queue)
            if slot.running and not slot.owned:
                report.residuals.add(backend=slot.name, running=slot.running)
            if slot.owned and slot.down:
                report.down.append(slot.name)
        for service, count in running.items():
            report.loads.add(
                service=service, running=count, waiting=waiting[service]
            )
        self._reported.append(
            {name: count + waiting[name] for name, count in running.items()}
        )

    async def answer(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Admit a call, send it, and yield its answer's frames.

        :raises errors.HoneyportError: see ``ran`` of the error
        """
        request = fingerprints.compute(
            call.account, call.service, call.path, call.body
        )
        # A call that ends its backend server would end one server after
        # another, also where each copy comes under another id.
        async with self._suspects.admit(
            request, lambda call: self._witness.call_when_probed(backend, call)
        ):
            frames = self._run(call, backend, request)
            async with contextlib.aclosing(frames):
                async for frame in frames:
                    yield frame

    async def _run(
        self, call: exchange.Call, backend: str, request: str
    ) -> exchange.Answer:
        """Yield the frames of a call's answer.

        :param request: its fingerprint
        """
        slot = await self._admit(call, backend)
        succeeded = False
        loop = asyncio.get_running_loop()
        started = loop.time()
        abandoned = True
        answer = slot.client.answer(call)
        try:
            async with contextlib.aclosing(answer):
                async for frame in answer:
                    if isinstance(frame, exchange.Head):
                        self._heed(slot, frame)
                        slot.hot.note(call.chat)
                        succeeded = frame.is_success
                    elif isinstance(frame, exchange.End):
                        abandoned = False
                        if succeeded:
                            self._suspects.record_success(request)
                    yield frame
        except errors.HoneyportError as error:
            abandoned = False
            self._failed(slot, error, request)
            raise
        finally:
            if abandoned and call.repeatable:
                self._part(slot, call, started)
            else:
                self._release(slot, loop.time() - started)

    async def watch(self) -> None:
        """Probe the owned backend servers, spread over the period."""
        while True:
            period_s = self._state.timing.probe_ms / 1000
            self._check_lease()
            owned = self._owned()
            if not owned:
                await asyncio.sleep(period_s)
                continue
            async with asyncio.TaskGroup() as group:
                for slot in owned:
                    group.create_task(self._probe(slot))
                    await asyncio.sleep(period_s / len(owned))

    def _check_lease(self) -> None:
        """Without a lease, what waits gets its final answer now."""
        lapsed = self._state.lease_left <= 0
        if lapsed and not self._lapsed and self._slots:
            logs.emit(events.LEASE_LAPSED)
        self._lapsed = lapsed
        if lapsed:
            for slot in self._slots.values():
                while slot.queue.grant_next(granted=False):
                    pass

    def notice(self) -> None:
        """Look again at what may be admitted: something changed."""
        # A bundle names its servers until an operator removes them, so none
        # ends by leaving it.
        leaving = filter(self._state.is_leaving, self._slots)
        self._witness.apply_listing(set(), set(leaving))
        self._news.set()

    def close(self) -> None:
        """End the tasks that watch backend servers."""
        self._witness.close()

    async def settle(self) -> None:
        """Make slots ready once the view they came with is settled."""
        while True:
            await self._news.wait()
            self._news.clear()
            await asyncio.gather(
                *(self._regard(slot) for slot in list(self._slots.values()))
            )

    async def _regard(self, slot: slots.Slot) -> None:
        """Make one slot ready if it may be, and admit what waits."""
        if slot.owned and self._state.is_leaving(slot.name):
            self._move_prefixes(slot)
        if slot.owned and not slot.ready and self._settled():
            await self._probe(slot)
            slot.ready = slot.owned and self._settled()
        self._admit_waiting(slot)

    def _move_prefixes(self, slot: slots.Slot) -> None:
        """Move what is warm, once, when an engine leaves as planned."""
        if slot.kind == model.ENGINE and len(slot.hot):
            self._transfers.start(slot.name, slot.backend, slot.hot)

    def _settled(self) -> bool:
        return self._state.is_settled and self._state.lease_left > 0

    def _owned(self) -> list[slots.Slot]:
        return [slot for slot in self._slots.values() if slot.owned]

    def _take(self, name: str, backend: model.Backend) -> None:
        slot = self._slots.get(name)
        if slot is None:
            kind = self._state.bundle.services[backend.service].kind
            client = registry.create(kind, name, backend.address)
            hot = prefix_transfer.HotChats(self._state.bundle.limits.hot_chats)
            slot = slots.Slot(
                name, kind, backend, client, hot, limit=backend.slots
            )
            self._slots[name] = slot
        slot.owned = True
        slot.ready = False
        slot.probed = False
        logs.emit(events.ENGINE_TAKEN, backend=name)

    def _leave(self, slot: slots.Slot) -> None:
        if slot.owned:
            slot.owned = False
            slot.ready = False
            logs.emit(events.ENGINE_LEFT, backend=slot.name)
        while slot.queue.grant_next(granted=False):
            pass

    def _drop(self, slot: slots.Slot) -> None:
        if self._slots.get(slot.name) is slot:
            del self._slots[slot.name]
            self._rests.retain(set(self._slots))
        if not slot.running:
            slot.client.close()

    async def _admit(self, call: exchange.Call, backend: str) -> slots.Slot:
        """Return the slot once the call may run there, counted in."""
        while True:
            self._state.check_lease()
            slot = self._slots.get(backend)
            if slot is None or not slot.owned:
                raise errors.NotReady(
                    f'{self._name} does not steward {backend}',
                    retry_after=0.1,
                )
            if slot.down or self._state.is_leaving(backend):
                raise errors.NotSent(f'{backend} takes no new work')
            if not len(slot.queue) and self._has_room(slot):
                slot.running += 1
                return slot
            if call.patience_s <= 0:
                raise errors.BackendFull(f'{backend} is at its bound')
            if await self._queue(slot, call):
                return slot

    async def _queue(self, slot: slots.Slot, call: exchange.Call) -> bool:
        """Wait for a turn, or refuse at once if none can come in time."""
        share = self._share(call.account)
        ahead = slot.queue.ahead(call.account)
        wait_s = (ahead + 1) * slot.service_s / max(1, self._limit(slot))
        now = asyncio.get_running_loop().time()
        wait_s += self._rests.remaining_s(slot.name, now)
        full = len(slot.queue) >= self._state.bundle.limits.queue
        most_s = min(call.left(), call.patience_s)
        if call.patience_s < call.left() and (full or wait_s > most_s):
            raise errors.BackendFull(f'{slot.name} is at its bound')
        if full or wait_s > most_s:
            self._metrics.count('refused', service=call.service)
            raise errors.Overloaded(retry_after=max(wait_s, 0.1))
        self._hurry()
        try:
            return await slot.queue.wait(call.account, share, most_s)
        except errors.Overloaded:
            if most_s < call.left():
                raise errors.BackendFull(
                    f'{slot.name} is at its bound'
                ) from None
            raise

    def _share(self, account: str) -> float:
        found = self._state.bundle.accounts.get(account)
        return found.share if found else 1.0

    def _has_room(self, slot: slots.Slot) -> bool:
        if not slot.ready or self._state.lease_left <= 0:
            return False
        now = asyncio.get_running_loop().time()
        if not self._rests.may_send(slot.name, slot.running, now):
            return False
        foreign = max(slot.foreign, self._state.residual(slot.name))
        return slot.running + foreign < self._limit(slot)

    def _limit(self, slot: slots.Slot) -> int:
        """The most requests that may run on a backend server now."""
        service = slot.backend.service
        most = max(1, int(min(slot.limit, slot.backend.slots)))
        pool = self._state.pool(service)
        if pool.service.kind != model.ENGINE:
            return most
        count = len(self._state.usable(pool))
        bounded = hashing.max_load(
            self._state.bundle.limits.bound, self._total(service), count
        )
        return min(most, bounded)

    def _total(self, service: str) -> int:
        """What surely runs on all engines, or waits for room there.

        What others report is a little old, and may have moved to us since;
        so of ours, too, only what was there then counts: the least of now
        and our last reports. The sum errs on the low side, and the bound
        with it. What waits counts: otherwise a bound that is too low would
        keep the total low, and itself.
        """
        ours = sum(
            slot.running + len(slot.queue)
            for slot in self._slots.values()
            if slot.backend.service == service
        )
        for reported in self._reported:
            ours = min(ours, reported.get(service, 0))
        return self._state.others(service) + ours

    def _release(self, slot: slots.Slot, seconds: float) -> None:
        slot.running -= 1
        slot.service_s += _SMOOTHING * (seconds - slot.service_s)
        self._admit_waiting(slot)

    def _admit_waiting(self, slot: slots.Slot) -> None:
        while len(slot.queue) and self._has_room(slot):
            slot.running += 1
            if not slot.queue.grant_next(granted=True):
                slot.running -= 1
                return

    def _answered(self, slot: slots.Slot) -> None:
        if slot.down:
            logs.emit(events.BACKEND_UP, backend=slot.name)
        slot.failures = 0
        self._rests.record_answer(slot.name, asyncio.get_running_loop().time())
        slot.limit = min(slot.backend.slots, slot.limit + 1 / slot.limit)

    def _failed(
        self,
        slot: slots.Slot,
        error: errors.HoneyportError,
        request: str,
    ) -> None:
        if isinstance(error, errors.BackendLost | errors.AnswerCut):
            self._witness.record_broken(slot, request)
        elif isinstance(error, errors.ConnectionRefused):
            self._witness.record_gone(
                slot.name, end_detector.CONNECTION_REFUSED
            )
        if isinstance(error, errors.BackendFull):
            slot.limit = max(1.0, slot.limit * _BACKOFF)
            if error.retry_after is not None:
                self._rest(slot, error.retry_after)
        elif isinstance(error, errors.NotSent | errors.BackendLost):
            self._unreachable(slot)

    def _heed(self, slot: slots.Slot, head: exchange.Head) -> None:
        """Take what the head of an answer says of its backend server."""
        if head.retry_after_s is not None:
            self._rest(slot, head.retry_after_s)
        else:
            self._answered(slot)

    def _rest(self, slot: slots.Slot, asked_s: float) -> None:
        """Send a backend server nothing for as long as it asks."""
        loop = asyncio.get_running_loop()
        rest = self._rests.request(slot.name, asked_s, loop.time())
        if rest.is_new:
            logs.emit(
                events.REST_ASKED,
                backend=slot.name,
                address=slot.address,
                asked_s=rest.requested_s,
                rest_s=rest.granted_s,
            )
        left_s = self._rests.remaining_s(slot.name, loop.time())
        loop.call_later(left_s, self._admit_waiting, slot)

    async def _knock(self, slot: slots.Slot) -> None:
        """Connect to a backend server for the witness.

        :raises errors.NotSent: if it does not answer
        """
        try:
            await slot.client.probe()
        except errors.BackendLost as error:
            raise errors.NotSent(error.detail) from None
        except (ValueError, KeyError):
            return  # it answers, if not well

    def _unreachable(self, slot: slots.Slot) -> None:
        slot.failures += 1
        if slot.failures == slots.DOWN_AFTER:
            logs.emit(events.BACKEND_DOWN, backend=slot.name)
            self._hurry()

    def _part(
        self, slot: slots.Slot, call: exchange.Call, started: float
    ) -> None:
        """See to an answer whose caller has gone; the slot stays taken."""
        task = asyncio.create_task(self._abandon(slot, call, started))
        self._parting.add(task)
        task.add_done_callback(self._parting.discard)

    async def _abandon(
        self, slot: slots.Slot, call: exchange.Call, started: float
    ) -> None:
        """Have the engine stop, at once or after the time to come back."""
        if call.linger:
            await asyncio.sleep(self._state.timing.linger_ms / 1000)
        with contextlib.suppress(errors.HoneyportError):
            await slot.client.cancel(call.request_id)
        loop = asyncio.get_running_loop()
        self._release(slot, loop.time() - started)

    async def _probe(self, slot: slots.Slot) -> None:
        """Ask for the load; a former steward's requests show in it."""
        try:
            load = await slot.client.probe()
        except (errors.HoneyportError, ValueError, KeyError):
            self._unreachable(slot)
            return
        self._answered(slot)
        if slot.kind == model.ENGINE and len(slot.hot):
            await self._correct(slot)
        if not slot.probed:
            slot.probed = True
            slot.foreign = max(0, load.running - slot.running)
        else:
            slot.foreign = min(slot.foreign, load.running)

    async def _correct(self, slot: slots.Slot) -> None:
        """Take in which prefixes the engine has dropped."""
        client = typing.cast(engine.EngineClient, slot.client)
        with contextlib.suppress(errors.HoneyportError, ValueError, KeyError):
            slot.hot.correct(await client.cache_events(slot.hot.last_event))
