"""Admission control for the backend servers that this router owns.

Each backend server has one owning router. All its requests pass through the
owner, which therefore has the exact count of running requests and the only
queue.
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
from honeyport.policy import fingerprints
from honeyport.policy import hashing
from honeyport.policy import rests
from honeyport.policy import traits
from honeyport.router import fleetstate
from honeyport.router import load_history
from honeyport.router import prefix_transfer
from honeyport.router import slots
from honeyport.router import suspects
from honeyport.router import witness
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_LIMIT_DECREASE_FACTOR = 0.7  # on each answer that reports overload
_DURATION_EWMA_WEIGHT = 0.1
# How long own reports are kept, in report periods: one more than the age up to
# which the loads of other routers count.
_REPORTS_KEPT_PERIODS = 4

Callback = collections.abc.Callable[[], None]


class AdmissionController:
    """Admits requests to the backend servers that this router owns.

    :param report_soon: called when the next load report should not wait for
        its period
    :param suspect_tracker: holds back requests that may crash their server
    """

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        counters: metrics.Metrics,
        report_soon: Callback,
        suspect_tracker: suspects.SuspectTracker,
    ) -> None:
        self._name = name
        self._state = state
        self._metrics = counters
        self._report_soon = report_soon
        self._suspects = suspect_tracker
        self._end_detector = witness.EndDetector(
            self._check_connection, suspect_tracker.record_end
        )
        self._servers: dict[str, slots.BackendState] = {}
        self._load_history = load_history.LoadHistory()
        self._state_changed = asyncio.Event()
        self._lease_lapsed = False
        self._backoffs = rests.Backoffs()
        self._transfers = prefix_transfer.PrefixTransfers(state, counters)
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        # Calls that run now, by backend server and request id.
        self._calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        counters.gauge('steward_slots', lambda: len(self._owned_servers()))
        counters.gauge('steward_running', lambda: self.running)

    @property
    def running(self) -> int:
        """The number of requests that this router runs on backend servers."""
        return sum(server.running for server in self._servers.values())

    def on_view_applied(self, is_consecutive: bool) -> None:
        """Acquire and release backend servers after a change of view.

        :param is_consecutive: whether the view directly follows the last one
            applied here. If not, the backend servers that are still owned
            admit nothing either until the view has converged.
        """
        for server in self._servers.values():
            if not is_consecutive:
                server.ready = False
        self.sync_servers()

    def sync_servers(self) -> None:
        """Update the set of backend servers from the view and the bundle."""
        try:
            backends = self._state.bundle.backends
        except errors.NotReady:
            return
        for name, backend in backends.items():
            is_owner = self._state.is_owner(self._name, name)
            server = self._servers.get(name)
            if server is not None and server.config.address != backend.address:
                self._release_ownership(server)
                self._remove_server(server)
                server = None
            if server is not None:
                server.config = backend
            if is_owner and (server is None or not server.owned):
                self._acquire_ownership(name, backend)
            elif not is_owner and server is not None and server.owned:
                self._release_ownership(server)
        for name in [
            removed for removed in self._servers if removed not in backends
        ]:
            self._move_prefixes(self._servers[name])
            self._release_ownership(self._servers[name])
            self._remove_server(self._servers[name])

    def add_loads(self, report: pb.Report) -> None:
        """Add the loads of this router to a report."""
        running: dict[str, int] = {}
        waiting: dict[str, int] = {}
        for server in self._servers.values():
            service = server.config.service
            running[service] = running.get(service, 0) + server.running
            waiting[service] = waiting.get(service, 0) + len(server.queue)
            if server.running and not server.owned:
                report.residuals.add(
                    backend=server.name, running=server.running
                )
            if server.owned and server.down:
                report.down.append(server.name)
        for service, count in running.items():
            report.loads.add(
                service=service, running=count, waiting=waiting[service]
            )
        self._load_history.record(
            {
                loaded: count + waiting[loaded]
                for loaded, count in running.items()
            },
            asyncio.get_running_loop().time(),
            _REPORTS_KEPT_PERIODS * self._state.timing.report_ms / 1000,
        )

    async def answer(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Admit a call, send it, and yield its answer's frames.

        :raises errors.HoneyportError: if the call was refused or failed; its
            ``ran`` attribute tells whether the call may have run
        """
        request = traits.Traits(
            fingerprints.compute(
                call.account, call.service, call.path, call.body
            ),
            call.service,
            call.account,
        )
        # A call that crashes its backend server would crash the next one on
        # each retry. The fingerprint is the same under every request id.
        async with self._suspects.admit(
            request,
            lambda callback: self._end_detector.call_when_probed(
                backend, callback
            ),
        ):
            frames = self._answer_admitted(call, backend, request)
            async with contextlib.aclosing(frames):
                async for frame in frames:
                    yield frame

    async def _answer_admitted(
        self, call: exchange.Call, backend: str, request: traits.Traits
    ) -> exchange.Answer:
        """Wait for a slot, send the call and yield its answer's frames.

        :param request: what the call may have in common with others
        """
        server = await self._admit(call, backend)
        succeeded = False
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        abandoned = True
        answer = server.client.answer(call)
        running = (server.name, call.request_id)
        self._calls[running] += 1
        try:
            async with contextlib.aclosing(answer):
                async for frame in answer:
                    if isinstance(frame, exchange.Head):
                        self._process_head(server, frame)
                        server.recent_chats.add(call.chat)
                        succeeded = frame.is_success
                    elif isinstance(frame, exchange.End):
                        abandoned = False
                        if succeeded:
                            self._suspects.record_success(request, started_at)
                    yield frame
        except errors.HoneyportError as error:
            abandoned = False
            self._handle_error(server, error, request)
            raise
        finally:
            self._calls[running] -= 1
            if not self._calls[running]:
                del self._calls[running]
            # Without a lease, another router may have resumed it meanwhile;
            # engines end streams that nobody reads.
            is_steward = self._state.lease_left > 0
            if abandoned and call.repeatable and is_steward:
                self._cancel_in_background(server, call, started_at)
            else:
                self._finish_request(server, loop.time() - started_at)

    async def run_probes(self) -> None:
        """Probe each owned backend server once a period, evenly spaced."""
        while True:
            period_s = self._state.timing.probe_ms / 1000
            self._check_lease()
            owned = self._owned_servers()
            if not owned:
                await asyncio.sleep(period_s)
                continue
            async with asyncio.TaskGroup() as group:
                for server in owned:
                    group.create_task(self._probe(server))
                    await asyncio.sleep(period_s / len(owned))

    def _check_lease(self) -> None:
        """End the wait of all queued requests if the lease has lapsed."""
        lapsed = self._state.lease_left <= 0
        if lapsed and not self._lease_lapsed and self._servers:
            logs.emit(events.LEASE_LAPSED)
        self._lease_lapsed = lapsed
        if lapsed:
            for server in self._servers.values():
                while server.queue.resolve_next(granted=False):
                    pass

    def on_state_changed(self) -> None:
        """Schedule a new pass over the queues after a change of state."""
        # Backend servers of a bundle are removed by operators only, so a
        # missing entry is no sign of a crash: the listing is always empty.
        leaving = filter(self._state.is_leaving, self._servers)
        self._end_detector.apply_listing(set(), set(leaving))
        self._state_changed.set()

    def close(self) -> None:
        """Cancel the probes for crashed backend servers."""
        self._end_detector.close()

    async def run_admission(self) -> None:
        """Update all backend servers after each change of state."""
        while True:
            await self._state_changed.wait()
            self._state_changed.clear()
            await asyncio.gather(
                *(
                    self._update_server(server)
                    for server in list(self._servers.values())
                )
            )

    async def _update_server(self, server: slots.BackendState) -> None:
        """Make a server ready once its view converged; admit its queue."""
        if server.owned and self._state.is_leaving(server.name):
            self._move_prefixes(server)
        if server.owned and not server.ready and self._is_view_converged():
            await self._probe(server)
            server.ready = server.owned and self._is_view_converged()
        self._admit_waiting(server)

    def _move_prefixes(self, server: slots.BackendState) -> None:
        """Start the transfer of cached prefixes from a leaving engine."""
        if server.kind == model.ENGINE and len(server.recent_chats):
            self._transfers.start(
                server.name, server.config, server.recent_chats
            )

    def _is_view_converged(self) -> bool:
        return self._state.is_converged and self._state.lease_left > 0

    def _owned_servers(self) -> list[slots.BackendState]:
        return [server for server in self._servers.values() if server.owned]

    def _acquire_ownership(self, name: str, backend: model.Backend) -> None:
        server = self._servers.get(name)
        if server is None:
            kind = self._state.bundle.services[backend.service].kind
            client = registry.create(kind, name, backend.address)
            recent_chats = prefix_transfer.RecentChats(
                self._state.bundle.limits.hot_chats
            )
            server = slots.BackendState(
                name, kind, backend, client, recent_chats, limit=backend.slots
            )
            self._servers[name] = server
        server.owned = True
        server.ready = False
        server.probed = False
        logs.emit(events.ENGINE_TAKEN, backend=name)

    def _release_ownership(self, server: slots.BackendState) -> None:
        if server.owned:
            server.owned = False
            server.ready = False
            logs.emit(events.ENGINE_LEFT, backend=server.name)
        while server.queue.resolve_next(granted=False):
            pass

    def _remove_server(self, server: slots.BackendState) -> None:
        if self._servers.get(server.name) is server:
            del self._servers[server.name]
            self._backoffs.retain(set(self._servers))
        if not server.running:
            server.client.close()

    async def _admit(
        self, call: exchange.Call, backend: str
    ) -> slots.BackendState:
        """Wait for a slot; return the server with the call counted in.

        :raises errors.NotReady: if this router may not admit calls, or does
            not own the backend server
        :raises errors.NotSent: if the backend server is down or leaving
        :raises errors.BackendFull: if the call's patience ended first
        :raises errors.Overloaded: if the call's deadline would pass first
        """
        while True:
            self._state.check_lease()
            server = self._servers.get(backend)
            if server is None or not server.owned:
                raise errors.NotReady(
                    f'{self._name} does not own {backend}',
                    retry_after=0.1,
                )
            if server.down or self._state.is_leaving(backend):
                raise errors.NotSent(f'{backend} accepts no new requests')
            if not len(server.queue) and self._take_slot(server):
                return server
            if call.queue_timeout_s <= 0:
                raise errors.BackendFull(f'{backend} is at its limit')
            if await self._wait_for_slot(server, call):
                return server

    async def _wait_for_slot(
        self, server: slots.BackendState, call: exchange.Call
    ) -> bool:
        """Queue a call, or refuse it if its expected wait is too long.

        :returns: whether a slot was granted; if not, the caller has to check
            the owner again
        """
        share = self._account_share(call.account)
        ahead_count = server.queue.count_ahead(call.account)
        wait_s = (
            (ahead_count + 1)
            * server.mean_duration_s
            / max(1, self._concurrency_limit(server))
        )
        now = asyncio.get_running_loop().time()
        wait_s += self._backoffs.remaining_s(server.name, now)
        is_queue_full = len(server.queue) >= self._state.bundle.limits.queue
        timeout_s = min(call.remaining_s(), call.queue_timeout_s)
        if call.queue_timeout_s < call.remaining_s() and (
            is_queue_full or wait_s > timeout_s
        ):
            raise errors.BackendFull(f'{server.name} is at its limit')
        if is_queue_full or wait_s > timeout_s:
            self._metrics.count('refused', service=call.service)
            raise errors.Overloaded(retry_after=max(wait_s, 0.1))
        self._report_soon()
        try:
            return await server.queue.wait(call.account, share, timeout_s)
        except errors.Overloaded:
            if timeout_s < call.remaining_s():
                raise errors.BackendFull(
                    f'{server.name} is at its limit'
                ) from None
            raise

    def _account_share(self, account: str) -> float:
        settings = self._state.bundle.accounts.get(account)
        return settings.share if settings else 1.0

    def _take_slot(self, server: slots.BackendState) -> bool:
        """Count one more request in, if the server may run it.

        :returns: whether it was counted in
        """
        if not server.ready or self._state.lease_left <= 0:
            return False
        now = asyncio.get_running_loop().time()
        if not self._backoffs.may_send(server.name, server.running, now):
            return False
        external_running = max(
            server.untracked_running,
            self._state.running_elsewhere_on(server.name),
        )
        limit = self._concurrency_limit(server)
        if server.running + external_running >= limit:
            return False
        self._log_admission(server, limit)
        server.running += 1
        return True

    def _log_admission(self, server: slots.BackendState, limit: int) -> None:
        """Log the loads from which the limit was computed."""
        service = server.config.service
        logs.emit(
            events.REQUEST_ADMITTED,
            backend=server.name,
            running=server.running,
            limit=limit,
            own=[
                self._own_load(service),
                *self._recent_service_loads(service),
            ],
            elsewhere=self._state.load_elsewhere(service),
            elsewhere_age_s=round(self._state.loads_age_s, 3),
        )

    def _concurrency_limit(self, server: slots.BackendState) -> int:
        """Return how many requests may run on a backend server now."""
        service = server.config.service
        backend_limit = max(1, int(min(server.limit, server.config.slots)))
        pool = self._state.pool(service)
        if pool.service.kind != model.ENGINE:
            return backend_limit
        count = len(self._state.usable(pool))
        fair_limit = hashing.load_bound(
            self._state.bundle.limits.bound,
            self._min_service_load(service),
            count,
        )
        return min(backend_limit, fair_limit)

    def _min_service_load(self, service: str) -> int:
        """Return a lower bound of a service's running and queued requests.

        Reports of other routers are delayed, and a request may have moved
        here since. The own part is therefore the minimum of the current load
        and the reports since the other routers' were written. Queued requests
        count as well: otherwise a limit that is too low would keep the total
        low, and thereby itself.
        """
        own_load = min(
            [self._own_load(service), *self._recent_service_loads(service)]
        )
        return self._state.load_elsewhere(service) + own_load

    def _own_load(self, service: str) -> int:
        """Return the running and queued requests of a service here."""
        return sum(
            server.running + len(server.queue)
            for server in self._servers.values()
            if server.config.service == service
        )

    def _recent_service_loads(self, service: str) -> list[int]:
        """Return the own loads of a service since the others were reported.

        A router's load is up to a report period old when control sends it.
        """
        age_s = (
            self._state.control_silence_s + self._state.timing.report_ms / 1000
        )
        now = asyncio.get_running_loop().time()
        return self._load_history.since(service, now - age_s)

    def _finish_request(
        self, server: slots.BackendState, duration_s: float
    ) -> None:
        server.running -= 1
        server.mean_duration_s += _DURATION_EWMA_WEIGHT * (
            duration_s - server.mean_duration_s
        )
        self._admit_waiting(server)

    def _admit_waiting(self, server: slots.BackendState) -> None:
        while len(server.queue) and self._take_slot(server):
            if not server.queue.resolve_next(granted=True):
                server.running -= 1
                return

    def _record_success(self, server: slots.BackendState) -> None:
        if server.down:
            logs.emit(events.BACKEND_UP, backend=server.name)
        server.failures = 0
        self._backoffs.record_answer(
            server.name, asyncio.get_running_loop().time()
        )
        server.limit = min(
            server.config.slots, server.limit + 1 / server.limit
        )

    def _handle_error(
        self,
        server: slots.BackendState,
        error: errors.HoneyportError,
        request: traits.Traits,
    ) -> None:
        if isinstance(error, errors.BackendLost | errors.AnswerCut):
            self._end_detector.record_broken(server, request)
        elif isinstance(error, errors.ConnectionRefused):
            self._end_detector.record_gone(
                server.name, witness.CONNECTION_REFUSED
            )
        if isinstance(error, errors.BackendFull):
            server.limit = max(1.0, server.limit * _LIMIT_DECREASE_FACTOR)
            if error.retry_after is not None:
                self._back_off(server, error.retry_after)
        elif isinstance(error, errors.NotSent | errors.BackendLost):
            self._record_failure(server)

    def _process_head(
        self, server: slots.BackendState, head: exchange.Head
    ) -> None:
        """Update the backend server's state from an answer's head."""
        if head.retry_after_s is not None:
            self._back_off(server, head.retry_after_s)
        else:
            self._record_success(server)

    def _back_off(
        self, server: slots.BackendState, requested_s: float
    ) -> None:
        """Send nothing to a backend server for its ``Retry-After`` time."""
        loop = asyncio.get_running_loop()
        backoff = self._backoffs.record_backoff(
            server.name, requested_s, loop.time()
        )
        if backoff.is_new:
            logs.emit(
                events.REST_ASKED,
                backend=server.name,
                address=server.address,
                asked_s=backoff.requested_s,
                rest_s=backoff.granted_s,
            )
        remaining_s = self._backoffs.remaining_s(server.name, loop.time())
        loop.call_later(remaining_s, self._admit_waiting, server)

    async def _check_connection(self, server: slots.BackendState) -> None:
        """Connect to a backend server for the end detector.

        :raises errors.NotSent: if it does not answer
        """
        try:
            await server.client.probe()
        except errors.BackendLost as error:
            raise errors.NotSent(error.detail) from None
        except (ValueError, KeyError):
            return  # an invalid answer still shows that it runs

    def _record_failure(self, server: slots.BackendState) -> None:
        server.failures += 1
        if server.failures == slots.DOWN_AFTER_FAILURES:
            logs.emit(events.BACKEND_DOWN, backend=server.name)
            self._report_soon()

    def _cancel_in_background(
        self,
        server: slots.BackendState,
        call: exchange.Call,
        started_at: float,
    ) -> None:
        """Cancel a call whose caller disconnected, then free its slot."""
        task = asyncio.create_task(self._cancel_call(server, call, started_at))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _cancel_call(
        self,
        server: slots.BackendState,
        call: exchange.Call,
        started_at: float,
    ) -> None:
        """Cancel a call, after the reconnect period if it has one.

        One that was resumed meanwhile goes on, also through another steward.
        """
        is_resumed = False
        if call.linger:
            await asyncio.sleep(self._state.timing.linger_ms / 1000)
            is_here = (server.name, call.request_id) in self._calls
            is_resumed = is_here or not server.owned
        if not is_resumed:
            with contextlib.suppress(errors.HoneyportError):
                await server.client.cancel(call.request_id)
        loop = asyncio.get_running_loop()
        self._finish_request(server, loop.time() - started_at)

    async def _probe(self, server: slots.BackendState) -> None:
        """Probe a server; its load includes requests of the last owner."""
        try:
            load = await server.client.probe()
        except (errors.HoneyportError, ValueError, KeyError):
            self._record_failure(server)
            return
        self._record_success(server)
        if server.kind == model.ENGINE and len(server.recent_chats):
            await self._remove_evicted_chats(server)
        if not server.probed:
            server.probed = True
            server.untracked_running = max(0, load.running - server.running)
        else:
            server.untracked_running = min(
                server.untracked_running, load.running
            )

    async def _remove_evicted_chats(self, server: slots.BackendState) -> None:
        """Forget the chats whose prefixes the engine has evicted."""
        client = typing.cast(engine.EngineClient, server.client)
        with contextlib.suppress(errors.HoneyportError, ValueError, KeyError):
            server.recent_chats.remove_evicted(
                await client.cache_events(server.recent_chats.last_event)
            )
