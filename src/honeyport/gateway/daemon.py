"""Assembly, start and shutdown of a gateway."""

import asyncio
import socket
import uuid

import grpc

from honeyport.bundle import model
from honeyport import errors
from honeyport.gateway import balancer
from honeyport.gateway import connectivity
from honeyport.gateway import crash_guard
from honeyport.gateway import detours
from honeyport.gateway import exchange_factory
from honeyport.gateway import forward
from honeyport.gateway import forwarded
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import instance_attempts
from honeyport.gateway import instance_signals
from honeyport.gateway import lease_gate
from honeyport.gateway import next_attempts
from honeyport.gateway import pool
from honeyport.gateway import queue_keeper
from honeyport.gateway import request_log
from honeyport.gateway import server
from honeyport.gateway import slot_queues
from honeyport.gateway import slot_session
from honeyport.gateway import stream_directory
from honeyport.gateway import withdrawals
from honeyport.ingress import held_bytes
from honeyport import machine
from honeyport.policy import activity
from honeyport.policy import addresses
from honeyport.policy import cold
from honeyport.policy import connection_room
from honeyport.policy import draining
from honeyport.policy import held_bytes as held_bytes_policy
from honeyport.policy import placement
from honeyport.policy import repeats
from honeyport.policy import traits
from honeyport.router import fleetstate
from honeyport.router import redirector
from honeyport.router import relay
from honeyport.router import session
from honeyport.router import suspects
from honeyport.router import witness
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_DRAIN_POLL_S = 0.05
# Time for all gateways to find out that they do not reach a service, and to
# report it. Those without requests learn it from the first that they forward.
_OTHERS_REPORT_S = 2.0
_REPORT_POLL_S = 0.1
# Timeout for opening a link to another gateway.
_LINK_CONNECT_TIMEOUT_S = 0.3
# A link is closed after this time without use.
_LINK_IDLE_S = 10.0
# Maximum number of instances in backoff that one report lists.
_MAX_BACKOFFS_REPORTED = 64
_BYTES_PER_MB = 1_000_000


class Gateway:
    """A gateway: builds its components, starts and stops them."""

    def __init__(
        self,
        settings: roles.Router,
        names: gateway_headers.HeaderNames,
        drain_times: draining.DrainTimes,
        allowance: repeats.Allowance,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._drain_times = drain_times
        self._metrics = counters
        self._state = fleetstate.FleetState()
        self._signals = instance_signals.InstanceSignals(
            names, counters, lambda name: self._end_detector.mark_leaving(name)
        )
        self._balancer = balancer.Balancer(
            settings.name, settings.domain, settings.regions, self._signals
        )
        self._pool = pool.Pool()
        self._gate = lease_gate.LeaseGate(self._state)
        self._suspects = suspects.SuspectTracker(counters)
        self._end_detector = witness.EndDetector(
            self._pool.probe, self._on_end, self._has_ended
        )
        self._links = relay.PeerLinks(
            0.0, _LINK_CONNECT_TIMEOUT_S, _LINK_IDLE_S
        )
        self._detours = detours.Detours(
            settings.name,
            settings.domain,
            settings.regions,
            self._state,
            names,
            self._links,
            counters,
        )
        self._streams = stream_directory.StreamDirectory(
            settings.name, self._state, self._links, counters
        )
        self._connectivity = connectivity.ConnectivityMonitor(
            self._pool,
            self._balancer.expected_reachable,
            self._detours.reached_by,
            self._on_connectivity_changed,
            self._balancer.confirm_failures,
            counters,
        )
        self._queue_keeper = queue_keeper.QueueKeeper(
            settings.name, self._state, counters
        )
        self._slot_queues = slot_queues.SlotQueues(
            settings.shared_queues,
            settings.shared_queues_if_uneven,
            settings.name,
            uuid.uuid4().hex[:12],
            self._state,
            self._queue_keeper,
            self._open_slots,
            self._balancer.running,
            counters,
        )
        self._activity = activity.ActivityTracker()
        self._forwarder = self._create_forwarder(names, allowance)
        resources = machine.read_resources()
        self._held_bytes = held_bytes.HeldBytes(
            settings.held_max_mb * _BYTES_PER_MB
            or held_bytes_policy.max_held_bytes(resources.memory_bytes),
            counters,
            settings.responses_max_mb * _BYTES_PER_MB,
        )
        self._caller_server = server.CallerServer(
            self._forwarder,
            names,
            self._held_bytes,
            settings.max_connections
            or connection_room.max_for_callers(
                resources.file_descriptors, resources.memory_bytes
            ),
            counters,
        )
        self._forwarded = forwarded.ForwardedRequests(
            self._forwarder,
            names,
            lambda: self._caller_server.refusing,
            self._held_bytes,
        )
        self._session = session.Session(
            settings,
            self._state,
            self._fill_report,
            None,
            self.apply_state,
            self._suspects,
            counters,
        )
        self._version = 0
        self._lifetime = addresses.ListLifetime()
        self._started_at = float('-inf')
        self._register_gauges(counters)

    def _create_forwarder(
        self, names: gateway_headers.HeaderNames, allowance: repeats.Allowance
    ) -> forward.Forwarder:
        budgets = repeats.RetryBudgets(
            allowance, lambda: len(self._state.serving_routers)
        )
        factory = exchange_factory.ExchangeFactory(
            self._state, self._gate, budgets, self._streams
        )
        guard = crash_guard.CrashGuard(self._end_detector, self._suspects)
        log = request_log.RequestLog(self._state, self._metrics)
        attempts = instance_attempts.InstanceAttempts(
            self._gate,
            names,
            self._balancer,
            self._signals,
            self._pool,
            factory,
            guard,
            withdrawals.Withdrawals(self._suspects),
            log,
            self._slot_queues,
            self._activity,
        )
        preparation = next_attempts.NextAttempts(
            attempts,
            budgets,
            self._connectivity,
            self._detours,
            self._balancer,
            self._activity,
            guard,
            log,
        )
        return forward.Forwarder(
            self._gate,
            names,
            factory,
            attempts,
            budgets,
            guard,
            preparation,
            self._detours,
            log,
        )

    @property
    def kept_queues(self) -> queue_keeper.QueueKeeper:
        """The queues that this gateway keeps."""
        return self._queue_keeper

    @property
    def shared_queues(self) -> slot_queues.SlotQueues:
        """The shared queues that requests of this gateway wait in."""
        return self._slot_queues

    @property
    def state(self) -> fleetstate.FleetState:
        """This instance's view of the fleet."""
        return self._state

    @property
    def suspects(self) -> suspects.SuspectTracker:
        """The suspect requests that this gateway knows of."""
        return self._suspects

    @property
    def leader(self) -> str:
        """Address of the leading control replica, or ``''``.

        A leader that no longer answers is not named.
        """
        return self._session.control_location().leader

    @property
    def leader_silence_s(self) -> float:
        """Seconds since a leader last answered, or since the start."""
        now = asyncio.get_running_loop().time()
        return min(self._state.control_silence_s, now - self._started_at)

    @property
    def not_ready_reason(self) -> str:
        """Reason why callers should use another gateway, or ``''``."""
        if self._caller_server.closing:
            return 'leaving'
        try:
            self._state.check_lease()
        except errors.NotReady as error:
            return error.detail
        # Without the list, requests would be refused for want of instances.
        if not self._state.instances.number:
            return 'no list of instances yet'
        return ''

    @property
    def cut_off(self) -> list[str]:
        """Names of the services that this gateway cannot reach."""
        return self._connectivity.cut_off

    @property
    def list_lifetime_s(self) -> float:
        """Lifetime of a list of gateways at callers, in seconds."""
        return self._lifetime.lifetime_s(asyncio.get_running_loop().time())

    def addresses(self, domain: str) -> list[str]:
        """Return the gateway addresses for a caller in a failure domain."""
        routers = self._state.serving_routers
        if addresses.is_isolated(self._state.control_silence_s):
            routers = [
                router
                for router in routers
                if router.address != self._settings.listen
            ]
        return addresses.choose(routers, domain, self._settings.regions)

    def set_control_addresses(self, control: tuple[str, ...]) -> None:
        """Set the addresses at which control is contacted."""
        self._session.set_control_addresses(control)

    def register(self, server: grpc.aio.Server) -> None:
        """Add the services for leaders and for other gateways.

        A leader makes itself known; if none is attached, it is tried next.

        :param server: the gRPC server of the control replica in this process
        """
        redirector.register(server, self._session, beside_replica=True)
        self._register_peer_service(server)

    async def start(
        self,
        process_supervisor: supervisor.Supervisor,
        listener: socket.socket | None = None,
    ) -> None:
        """Start serving under a supervisor.

        :param listener: socket that listens already; ``None`` to open one
        """
        self._started_at = asyncio.get_running_loop().time()
        if listener is None:
            host, port = roles.split_address(self._settings.listen)
            self._caller_server.listen(host, port)
        else:
            self._caller_server.add_listener(listener)
        self._gate.start()
        if not self._settings.replica:  # its replica listens there already
            await redirector.serve(
                self._settings.peer_listen,
                self._session,
                process_supervisor,
                self._register_peer_service,
            )
        process_supervisor.on_stop('connections', self._close)
        process_supervisor.start_task('session', self._session.run)
        process_supervisor.start_task('held-bytes', self._held_bytes.run)
        process_supervisor.on_stop('drain', self._drain)

    async def _drain(self) -> None:
        """Leave the view, serve for a while, refuse, and finish requests."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._caller_server.start_closing()
        self._session.announce_leaving()
        self._streams.hand_over()
        await asyncio.sleep(self._drain_times.refuse_after_s)
        self._caller_server.start_refusing()
        while loop.time() - started_at < self._drain_times.stop_after_s:
            if not self._forwarder.running:
                return
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _close(self) -> None:
        await self._caller_server.stop()
        self._connectivity.close()
        self._slot_queues.close()
        self._queue_keeper.close()
        self._streams.close()
        await self._links.close()
        self._end_detector.close()
        self._suspects.close()
        self._pool.close()

    def _fill_report(self, report: pb.Report) -> None:
        """Add in-flight requests and instance states to a report."""
        for instance_id, running in self._balancer.running.items():
            report.residuals.add(backend=instance_id, running=running)
        report.down.extend(self._balancer.unreachable)
        report.cut_off.extend(self._connectivity.cut_off)
        for service, rejections in self._signals.rejection_tolerances.items():
            report.brittle.add(service=service, rejections=rejections)
        report.resting.extend(
            self._signals.in_backoff[:_MAX_BACKOFFS_REPORTED]
        )

    def apply_state(self) -> None:
        """Apply the fleet state to balancer, connections and limits."""
        self._gate.update()
        now = asyncio.get_running_loop().time()
        self._lifetime.record_draining(self._state.draining_routers, now)
        # Before set_evacuated, which uses the cold limits of the services.
        if self._state.version != self._version:
            self._version = self._state.version
            self._apply_configuration(self._state.bundle)
        self._balancer.set_evacuated(self._state.evacuated)
        self._balancer.set_gateways(
            [router.router for router in self._state.serving_routers]
        )
        self._balancer.set_fleet_unreachable(self._state.unreachable)
        self._balancer.set_brittle(self._state.rejection_tolerances)
        not_leaving_ids = self._balancer.apply_instances(
            self._state.instances,
            self._state.running_elsewhere,
            now - self._state.loads_age_s,
        )
        if not_leaving_ids is not None:
            self._pool.retain(not_leaving_ids)
            self._activity.retain(not_leaving_ids)
            self._connectivity.on_list_changed()
            self._update_end_detector()
        self._slot_queues.apply_state()
        if self._state.instances.number:
            self._streams.observe(self._balancer.versions)

    def _register_peer_service(self, server: grpc.aio.Server) -> None:
        rpc.add_PeerServicer_to_server(
            relay.PeerServicer(
                self._forwarded.answer,
                coalesce_s=0.0,
                records=self._streams,
                open_slots=self._queue_keeper.open,
            ),
            server,
        )

    async def _open_slots(
        self, member: pb.Member, receive: relay.ReceiveSlots
    ) -> slot_session.Streams:
        """Open the asking side of a link to the keeper of a queue."""
        return await self._links.get(member.peer_address).open_slots(receive)

    def _on_connectivity_changed(self, service: str) -> None:
        self._balancer.forget_failures(service)
        self._session.report_soon()

    def _apply_configuration(self, bundle: model.Bundle) -> None:
        """Apply the limits of a new configuration."""
        self._caller_server.set_limits(bundle.requests)
        self._balancer.set_cold_limits(
            {
                name: cold.cold_limit(
                    service.cold_s,
                    service.cold_rate,
                    multiple=self._settings.cold_multiple,
                    extra=self._settings.cold_extra,
                )
                for name, service in bundle.services.items()
            }
        )

    def _update_end_detector(self) -> None:
        """Pass a new list of instances to the end detector."""
        listed = self._state.instances.instances
        self._end_detector.apply_listing(
            {instance.id for instance in listed},
            {
                instance.id
                for instance in listed
                if instance.leaving
                or self._signals.leaving_since(instance.id) is not None
            },
        )

    async def _has_ended(self, instance: placement.Instance) -> bool:
        """Whether an instance that refuses connections has ended.

        If this gateway is cut off, it has ended if the others are, too.
        """
        if await self._connectivity.reaches(instance.service):
            return True
        loop = asyncio.get_running_loop()
        until = loop.time() + _OTHERS_REPORT_S
        while loop.time() < until:
            if not self._detours.reached_by(instance.service):
                return True
            await asyncio.sleep(_REPORT_POLL_S)
        return False

    def _on_end(
        self, instance: str, requests: frozenset[traits.Traits], at: float
    ) -> None:
        """Count and report an instance that ended with requests running."""
        self._metrics.count('instances_ended')
        self._metrics.count('requests_under_ends', len(requests))
        self._suspects.record_end(instance, requests, at)

    def _register_gauges(self, counters: metrics.Metrics) -> None:
        counters.gauge('config_version', lambda: self._state.version)
        counters.gauge('view', lambda: self._state.view)
        counters.gauge('lease_left_seconds', lambda: self._state.lease_left)
        counters.gauge('requests_running', lambda: self._forwarder.running)
        counters.gauge('peer_links', lambda: len(self._links))
