"""A gateway as part of a process."""

import asyncio
import socket

import grpc

from honeyport.bundle import model
from honeyport import errors
from honeyport.gateway import balancer
from honeyport.gateway import forward
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import instance_signals
from honeyport.gateway import lease_gate
from honeyport.gateway import pool
from honeyport.gateway import server
from honeyport.policy import addresses
from honeyport.policy import cold
from honeyport.policy import draining
from honeyport.policy import retry_budgets
from honeyport.router import end_detector
from honeyport.router import fleetstate
from honeyport.router import redirector
from honeyport.router import session
from honeyport.router import suspects
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

_POLL_S = 0.05
# Instances at rest that one report names: a report stays short also where
# hundreds rest.
_MOST_TOLD = 64


class Gateway:
    """The parts of one gateway, and the order in which they stop."""

    def __init__(
        self,
        settings: roles.Router,
        names: gateway_headers.HeaderNames,
        leaving: draining.DrainTimes,
        allowance: retry_budgets.Allowance,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._leaving = leaving
        self._metrics = counters
        self._state = fleetstate.FleetState()
        self._wishes = instance_signals.InstanceSignals(
            names, counters, lambda name: self._witness.mark_leaving(name)
        )
        self._balancer = balancer.Balancer(
            settings.name, settings.domain, settings.regions, self._wishes
        )
        self._pool = pool.Pool()
        self._gate = lease_gate.LeaseGate(self._state)
        self._suspects = suspects.SuspectTracker(counters)
        self._witness = end_detector.EndDetector(
            self._pool.probe, self._on_end
        )
        self._forwarder = forward.Forwarder(
            self._state,
            self._gate,
            names,
            self._balancer,
            self._wishes,
            self._pool,
            retry_budgets.RetryBudgets(
                allowance, lambda: len(self._state.serving_routers)
            ),
            self._witness,
            self._suspects,
            counters,
        )
        self._entry = server.Entry(self._forwarder, names)
        self._session = session.Session(
            settings,
            self._state,
            self._fill,
            None,
            self.apply_state,
            self._suspects,
            counters,
        )
        self._version = 0
        self._lifetime = addresses.ListLifetime()
        self._expose(counters)

    @property
    def state(self) -> fleetstate.FleetState:
        """What this instance knows of the fleet."""
        return self._state

    @property
    def leader(self) -> str:
        """The address of the leading control replica, or ``''``."""
        return self._session.leader

    @property
    def not_ready_reason(self) -> str:
        """Why callers should go elsewhere, or ``''``."""
        if self._entry.closing:
            return 'leaving'
        try:
            self._state.check_lease()
        except errors.NotReady as error:
            return error.detail
        if not self._state.instances.number:
            # Ready before it, one refused what came in the 50 ms between.
            return 'no list of instances yet'
        return ''

    @property
    def list_lifetime_s(self) -> float:
        """How long callers may keep a list of gateways, in seconds."""
        return self._lifetime.lifetime_s(asyncio.get_running_loop().time())

    def addresses(self, domain: str) -> list[str]:
        """Return where a caller from a failure domain may connect."""
        found = self._state.serving_routers
        if addresses.is_isolated(self._state.control_silence_s):
            found = [
                member
                for member in found
                if member.address != self._settings.listen
            ]
        return addresses.choose(found, domain, self._settings.regions)

    def set_control_addresses(self, control: tuple[str, ...]) -> None:
        """Look for control at other addresses from now on."""
        self._session.set_control_addresses(control)

    def register(self, server: grpc.aio.Server) -> None:
        """Let the server of the replica beside us take a leader's call."""
        redirector.register(server, self._session, beside_replica=True)

    async def start(
        self,
        tree: supervisor.Supervisor,
        opened: socket.socket | None = None,
    ) -> None:
        """Start serving under a supervisor.

        :param opened: a listening socket on which callers may wait already
        """
        if opened is None:
            host, port = roles.split(self._settings.listen)
            self._entry.listen(host, port)
        else:
            self._entry.adopt(opened)
        self._gate.start()
        if not self._settings.replica:  # its replica listens there already
            await redirector.serve(
                self._settings.peer_listen, self._session, tree
            )
        tree.on_stop('connections', self._close)
        tree.task('session', self._session.run)
        tree.on_stop('drain', self._drain)

    async def _drain(self) -> None:
        """Leave: out of the view, serve whoever still comes, finish."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._entry.leave()
        self._session.announce_leaving()
        await asyncio.sleep(self._leaving.refuse_after_s)
        self._entry.refuse()
        while loop.time() - began < self._leaving.stop_after_s:
            if not self._forwarder.running:
                return
            await asyncio.sleep(_POLL_S)

    async def _close(self) -> None:
        await self._entry.stop()
        self._witness.close()
        self._pool.close()

    def _fill(self, report: pb.Report) -> None:
        """Add what runs on each instance to a report."""
        for name, running in self._balancer.running.items():
            report.residuals.add(backend=name, running=running)
        report.down.extend(self._balancer.unreachable)
        report.resting.extend(self._wishes.resting[:_MOST_TOLD])

    def apply_state(self) -> None:
        """Bring choice, connections and limits in line with the state."""
        self._gate.update()
        now = asyncio.get_running_loop().time()
        self._lifetime.record_leaving(self._state.draining_routers, now)
        # Before the list: it is read with the services' tolerances.
        if self._state.version != self._version:
            self._version = self._state.version
            self._take_configuration(self._state.bundle)
        self._balancer.set_evacuated(self._state.evacuated)
        self._balancer.set_gateways(
            [one.router for one in self._state.serving_routers]
        )
        self._balancer.set_unreachable(self._state.unreachable)
        usable = self._balancer.update(
            self._state.instances,
            self._state.running_elsewhere,
            now - self._state.loads_age_s,
        )
        if usable is not None:
            self._pool.retain(usable)
            self._regard_list()

    def _take_configuration(self, bundle: model.Bundle) -> None:
        """Take the limits of a new configuration."""
        self._entry.limit(bundle.requests)
        self._balancer.set_cold_limits(
            {
                name: cold.tolerance(
                    service.cold_s,
                    service.cold_rate,
                    multiple=self._settings.cold_multiple,
                    extra=self._settings.cold_extra,
                )
                for name, service in bundle.services.items()
            }
        )

    def _regard_list(self) -> None:
        """Show the witness a new list of instances."""
        listed = self._state.instances.instances
        self._witness.apply_listing(
            {one.id for one in listed},
            {
                one.id
                for one in listed
                if one.leaving
                or self._wishes.leaving_since(one.id) is not None
            },
        )

    def _on_end(self, instance: str, requests: frozenset[str]) -> None:
        """Tell of an instance that ended under requests of this gateway."""
        self._metrics.count('instances_ended')
        self._metrics.count('requests_under_ends', len(requests))
        self._suspects.record_end(instance, requests)

    def _expose(self, counters: metrics.Metrics) -> None:
        counters.gauge('config_version', lambda: self._state.version)
        counters.gauge('view', lambda: self._state.view)
        counters.gauge('lease_left_seconds', lambda: self._state.lease_left)
        counters.gauge('requests_running', lambda: self._forwarder.running)
