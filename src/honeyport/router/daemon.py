"""The process of a router."""

import asyncio
import contextlib

from tornado import httpserver
from tornado import web

from honeyport.backend import engine
from honeyport.backend import plain
from honeyport import exchange
from honeyport.ingress import guard
from honeyport.ingress import held_bytes
from honeyport import machine
from honeyport.policy import connection_room
from honeyport.policy import held_bytes as held_bytes_policy
from honeyport.router import chat
from honeyport.router import claims
from honeyport.router import discovery
from honeyport.router import dispatch
from honeyport.router import edge
from honeyport.router import fleetstate
from honeyport.router import redirector
from honeyport.router import relay
from honeyport.router import services
from honeyport.router import session
from honeyport.router import steward
from honeyport.router import suspects
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.telemetry import status
from honeyport.telemetry import traces
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2_grpc as rpc

# Imported because they register clients and handlers.
REGISTERED = (engine, plain, chat, discovery, services)

_MAX_REQUEST_BYTES = 16 * 1024 * 1024
_MAX_HEADER_BYTES = 64 * 1024
_HEADER_TIMEOUT_S = 30.0
_BODY_TIMEOUT_S = 600.0
_IDLE_TIMEOUT_S = 3600.0
_BYTES_PER_MB = 1_000_000
_STOP_GRACE_S = 0.2
_DRAIN_POLL_S = 0.02


class Router:
    """Creates the parts of a router, and starts and stops them."""

    def __init__(self, settings: roles.Router) -> None:
        self._settings = settings
        self._counters = metrics.Metrics()
        self._state = fleetstate.FleetState()
        self._links = relay.PeerLinks()
        self._gate = edge.Gate()
        self._tracer = traces.create(settings.traces, settings.name)
        self._suspects = suspects.SuspectTracker(self._counters)
        self._admission = steward.AdmissionController(
            settings.name,
            self._state,
            self._counters,
            self._report_soon,
            self._suspects,
        )
        self._session = session.Session(
            settings,
            self._state,
            self._admission.add_loads,
            self._on_view,
            self._on_message,
            self._suspects,
            self._counters,
        )
        self._dispatcher = dispatch.Dispatcher(
            settings.name,
            self._state,
            self._admission,
            self._links,
            self._counters,
        )
        self._idempotency_guard = claims.IdempotencyGuard(
            settings.name, self._state, self._session
        )
        resources = machine.read_resources()
        self._held_bytes = held_bytes.HeldBytes(
            settings.held_max_mb * _BYTES_PER_MB
            or held_bytes_policy.max_held_bytes(resources.memory_bytes),
            self._counters,
        )
        self._backends_revision = 0

    @property
    def state(self) -> fleetstate.FleetState:
        """The state of the fleet as known here."""
        return self._state

    @property
    def counters(self) -> metrics.Metrics:
        """The metrics of this router."""
        return self._counters

    async def start(self, tree: supervisor.Supervisor) -> None:
        """Start all tasks and servers under a supervisor."""
        peers = channels.server()
        rpc.add_PeerServicer_to_server(
            relay.PeerServicer(self._serve_peer), peers
        )
        redirector.register(peers, self._session, beside_replica=False)
        peers.add_insecure_port(self._settings.peer_listen)
        await peers.start()
        tree.on_stop('links', self._links.close)
        tree.on_stop('peers', lambda: peers.stop(_STOP_GRACE_S))
        tree.start_task('session', self._session.run)
        tree.on_stop('steward', self._close_steward)
        tree.start_task('settle', self._admission.run_admission)
        tree.start_task('probes', self._admission.run_probes)
        tree.start_task('held-bytes', self._held_bytes.run)
        server = self._listen()
        tree.on_stop('http', supervisor.close_hook(server))
        tree.on_stop('drain', self._drain)
        self._register_gauges()

    def _listen(self) -> httpserver.HTTPServer:
        handler_services = edge.Services(
            name=self._settings.name,
            state=self._state,
            dispatcher=self._dispatcher,
            guard=self._idempotency_guard,
            tracer=self._tracer,
            counters=self._counters,
            gate=self._gate,
        )
        application = web.Application(
            [
                *edge.routes(handler_services),
                *status.routes(self._counters, self._not_ready_reason),
            ],
            log_function=lambda _: None,
        )
        host, port = roles.split_address(self._settings.listen)
        resources = machine.read_resources()
        server = guard.create_server(
            application,
            self._held_bytes,
            max_bytes=lambda start_line: _MAX_REQUEST_BYTES,
            body_timeout_s=_BODY_TIMEOUT_S,
            header_timeout_s=_HEADER_TIMEOUT_S,
            idle_timeout_s=_IDLE_TIMEOUT_S,
            max_header_bytes=_MAX_HEADER_BYTES,
            parser_max_bytes=_MAX_REQUEST_BYTES,
            max_connections=self._settings.max_connections
            or connection_room.max_for_callers(
                resources.file_descriptors, resources.memory_bytes
            ),
            counters=self._counters,
        )
        server.listen(port, host)
        return server

    async def _drain(self) -> None:
        """Refuse new requests, finish the others, hand over backend servers.

        Gives up after the drain time of the settings.
        """
        self._gate.close()
        self._session.announce_leaving()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_s):
                await self._gate.wait_idle()
                await self._idempotency_guard.finish()
                await self._wait_handed_over()

    async def _wait_handed_over(self) -> None:
        """Wait until no request runs and the view excludes this router."""
        while self._admission.running or (
            self._session.attached
            and self._settings.name in self._state.members
            and len(self._state.members) > 1
        ):
            await asyncio.sleep(_DRAIN_POLL_S)
        await asyncio.sleep(self._state.timing.report_ms / 1000)

    async def _serve_peer(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Serve a call from a peer."""
        with self._tracer.span('steward', call.traceparent, backend=backend):
            answer = self._admission.answer(call, backend)
            async with contextlib.aclosing(answer):
                async for frame in answer:
                    yield frame

    async def _close_steward(self) -> None:
        self._admission.close()

    def _on_message(self) -> None:
        """Apply a message from control to the backend servers owned here."""
        if self._backends_revision != self._state.backends_revision:
            self._backends_revision = self._state.backends_revision
            self._admission.sync_servers()
        self._admission.on_state_changed()

    def _on_view(self, is_consecutive: bool) -> None:
        self._admission.on_view_applied(is_consecutive)
        task = asyncio.create_task(self._links.retain(self._state.peers))
        self._close_links_task = task

    def _report_soon(self) -> None:
        self._session.report_soon()

    def _not_ready_reason(self) -> str:
        if self._gate.is_closed:
            return 'leaving'
        if not self._state.version:
            return 'no configuration yet'
        return '' if self._state.lease_left > 0 else 'no valid lease'

    def _register_gauges(self) -> None:
        gauge = self._counters.gauge
        gauge('config_version', lambda: self._state.version)
        gauge('view', lambda: self._state.view)
        gauge('lease_left_seconds', lambda: self._state.lease_left)
        gauge('requests_running', lambda: self._gate.running)


async def start(settings: roles.Router, tree: supervisor.Supervisor) -> Router:
    """Create a router, start it under a supervisor and return it."""
    router = Router(settings)
    await router.start(tree)
    return router
