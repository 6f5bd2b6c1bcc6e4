"""A router as a process."""

import asyncio
import contextlib

from tornado import httpserver
from tornado import web

from honeyport.backend import engine
from honeyport.backend import plain
from honeyport import exchange
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

# Imported for what they register.
REGISTERED = (engine, plain, chat, discovery, services)

_LARGEST_REQUEST = 16 * 1024 * 1024
_STOP_GRACE_S = 0.2
_POLL_S = 0.02


class Router:
    """The parts of one router, and the order in which they stop."""

    def __init__(self, settings: roles.Router) -> None:
        self._settings = settings
        self._counters = metrics.Metrics()
        self._state = fleetstate.FleetState()
        self._links = relay.PeerLinks()
        self._gate = edge.Gate()
        self._tracer = traces.create(settings.traces, settings.name)
        self._suspects = suspects.SuspectTracker(self._counters)
        self._steward = steward.AdmissionController(
            settings.name,
            self._state,
            self._counters,
            self._report_soon,
            self._suspects,
        )
        self._session = session.Session(
            settings,
            self._state,
            self._steward.add_loads,
            self._on_view,
            self._on_news,
            self._suspects,
            self._counters,
        )
        self._dispatcher = dispatch.Dispatcher(
            settings.name,
            self._state,
            self._steward,
            self._links,
            self._counters,
        )
        self._guard = claims.IdempotencyGuard(
            settings.name, self._state, self._session
        )
        self._backends_revision = 0

    @property
    def state(self) -> fleetstate.FleetState:
        """What this router knows of the fleet."""
        return self._state

    @property
    def counters(self) -> metrics.Metrics:
        """What this router counts."""
        return self._counters

    async def start(self, tree: supervisor.Supervisor) -> None:
        """Start serving under a supervisor."""
        peers = channels.server()
        rpc.add_PeerServicer_to_server(relay.PeerServicer(self._serve), peers)
        redirector.register(peers, self._session, beside_replica=False)
        peers.add_insecure_port(self._settings.peer_listen)
        await peers.start()
        tree.on_stop('links', self._links.close)
        tree.on_stop('peers', lambda: peers.stop(_STOP_GRACE_S))
        tree.task('session', self._session.run)
        tree.on_stop('steward', self._close_steward)
        tree.task('settle', self._steward.run_admission)
        tree.task('probes', self._steward.run_probes)
        server = self._listen()
        tree.on_stop('http', supervisor.closer(server))
        tree.on_stop('drain', self._drain)
        self._expose()

    def _listen(self) -> httpserver.HTTPServer:
        parts = edge.Services(
            name=self._settings.name,
            state=self._state,
            dispatcher=self._dispatcher,
            guard=self._guard,
            tracer=self._tracer,
            counters=self._counters,
            gate=self._gate,
        )
        application = web.Application(
            [
                *edge.routes(parts),
                *status.routes(self._counters, self._ready),
            ],
            log_function=lambda _: None,
        )
        host, port = roles.split(self._settings.listen)
        return application.listen(port, host, max_body_size=_LARGEST_REQUEST)

    async def _drain(self) -> None:
        """Leave: no new work, finish what runs, hand engines over."""
        self._gate.close()
        self._session.announce_leaving()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_s):
                await self._gate.wait_idle()
                await self._guard.finish()
                await self._handed_over()

    async def _handed_over(self) -> None:
        """Wait until the fleet has a view without us, and all is done."""
        while self._steward.running or (
            self._session.attached
            and self._settings.name in self._state.members
            and len(self._state.members) > 1
        ):
            await asyncio.sleep(_POLL_S)
        await asyncio.sleep(self._state.timing.report_ms / 1000)

    async def _serve(
        self, call: exchange.Call, backend: str
    ) -> exchange.Answer:
        """Answer a call from a peer."""
        with self._tracer.span('steward', call.parent, backend=backend):
            answer = self._steward.answer(call, backend)
            async with contextlib.aclosing(answer):
                async for frame in answer:
                    yield frame

    async def _close_steward(self) -> None:
        self._steward.close()

    def _on_news(self) -> None:
        """Bring slots in line with what control said."""
        if self._backends_revision != self._state.backends_revision:
            self._backends_revision = self._state.backends_revision
            self._steward.sync_servers()
        self._steward.on_state_changed()

    def _on_view(self, followed: bool) -> None:
        self._steward.on_view_applied(followed)
        task = asyncio.create_task(self._links.retain(self._state.peers))
        self._closing = task

    def _report_soon(self) -> None:
        self._session.report_soon()

    def _ready(self) -> str:
        if self._gate.is_closed:
            return 'leaving'
        if not self._state.version:
            return 'no configuration yet'
        return '' if self._state.lease_left > 0 else 'cut off from control'

    def _expose(self) -> None:
        gauge = self._counters.gauge
        gauge('config_version', lambda: self._state.version)
        gauge('view', lambda: self._state.view)
        gauge('lease_left_seconds', lambda: self._state.lease_left)
        gauge('requests_running', lambda: self._gate.running)


async def start(settings: roles.Router, tree: supervisor.Supervisor) -> Router:
    """Start a router under a supervisor."""
    router = Router(settings)
    await router.start(tree)
    return router
