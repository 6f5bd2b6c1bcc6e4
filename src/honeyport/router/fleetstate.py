"""A router's copy of the fleet's state: bundle, view, loads and lease."""

import asyncio
import collections.abc

import attrs

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.bundle import packed
from honeyport import errors
from honeyport.policy import hashing
from honeyport.router import peer_loads
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_FIRST_CONFIG_RETRY_S = 2.0
# Report periods after which loads are out of date. Together with the leader's
# limit, this bounds the age of a load that raises the mean.
_MAX_LOAD_AGE_PERIODS = 2
_CLOCK_DRIFT_FACTOR = (
    0.9  # of the lease period, since the local clock may be slow
)


@attrs.frozen
class Pool:
    """The backend servers of one service."""

    service: model.Service
    names: tuple[str, ...]


class FleetState:
    """The latest state that control sent; only the session changes it."""

    def __init__(self) -> None:
        self._version = 0
        self._digest = ''
        self._contents = bundle_entries.EntrySet({})
        self._bundle: model.Bundle | None = None
        self._pools: dict[str, Pool] = {}
        self._view = pb.View()
        self._converged_view = 0
        self._converged_version = 0
        self._owners: dict[str, str] = {}
        self._members: dict[str, pb.Member] = {}
        self._members_by_domain: dict[str, list[str]] = {}
        self._backends_revision = 0
        self._lease_until = float('-inf')
        self._answered_report_sent_at = float('-inf')
        self._peer_loads = peer_loads.PeerLoads()
        self._down: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._rejection_tolerances: dict[str, int] = {}
        self._instances = pb.Instances()
        self._evacuated: frozenset[str] = frozenset()
        self._serving_routers: list[pb.Member] = []
        self._draining_routers: list[str] = []

    @property
    def version(self) -> int:
        """The version of the bundle in force here; 0 before the first."""
        return self._version

    @property
    def digest(self) -> str:
        """The digest of the bundle in force here."""
        return self._digest

    @property
    def bundle(self) -> model.Bundle:
        """The bundle in force here.

        :raises errors.NotReady: if none was received yet
        """
        if self._bundle is None:
            raise errors.NotReady('no configuration yet', retry_after=1.0)
        return self._bundle

    @property
    def view(self) -> int:
        """The number of the latest view."""
        return self._view.number

    @property
    def is_converged(self) -> bool:
        """Whether every router with a lease has this view and version.

        Previous owners of backend servers have released them then.
        """
        return (
            self._converged_view >= self._view.number > 0
            and self._converged_version >= self._version
        )

    @property
    def members(self) -> dict[str, pb.Member]:
        """The routers of the view that may own backend servers, by name."""
        return self._members

    @property
    def peers(self) -> set[str]:
        """The peer addresses of all routers with a lease."""
        return {member.peer_address for member in self._view.members}

    @property
    def serving_routers(self) -> list[pb.Member]:
        """The routers that callers may be sent to."""
        return self._serving_routers

    @property
    def draining_routers(self) -> list[str]:
        """The names of the routers that are shutting down gracefully."""
        return self._draining_routers

    @property
    def instances(self) -> pb.Instances:
        """The latest list of the backend servers' instances."""
        return self._instances

    @property
    def unreachable(self) -> set[str]:
        """Instances that gateways of several failure domains can't reach."""
        return self._peer_loads.unreachable

    @property
    def rejection_tolerances(self) -> dict[str, int]:
        """Tolerated rejections within one second, by brittle service."""
        return self._rejection_tolerances

    @property
    def evacuated(self) -> frozenset[str]:
        """The failure domains whose instances get no new requests."""
        return self._evacuated

    @property
    def backends_revision(self) -> int:
        """A counter of changes to services and backend servers."""
        return self._backends_revision

    @property
    def lease_left(self) -> float:
        """Seconds until this router may not accept requests any more."""
        return self._lease_until - asyncio.get_running_loop().time()

    @property
    def control_silence_s(self) -> float:
        """Seconds since the last report that control answered was sent."""
        return (
            asyncio.get_running_loop().time() - self._answered_report_sent_at
        )

    @property
    def loads_age_s(self) -> float:
        """The mean age of the other routers' loads, in seconds.

        They were reported within the period before control's last answer.
        """
        return self.control_silence_s + self.timing.report_ms / 1000 / 2

    @property
    def timing(self) -> model.Timing:
        """Periods and leases; the defaults before the first bundle."""
        return self._bundle.timing if self._bundle else model.Timing()

    @property
    def may_serve(self) -> bool:
        """Whether there is a configuration and the lease is valid."""
        return self._bundle is not None and self.lease_left > 0

    def check_lease(self) -> None:
        """Check that this router may accept requests.

        :raises errors.NotReady: without a configuration or a valid lease
        """
        if self._bundle is None:
            raise errors.NotReady(
                'no configuration yet', retry_after=_FIRST_CONFIG_RETRY_S
            )
        if self.lease_left <= 0:
            raise errors.NotReady(
                'the lease from control has lapsed',
                retry_after=self._lease_s(),
            )

    def pool(self, service: str) -> Pool:
        """Return the pool of a service's backend servers.

        :raises errors.NotReady: if there is no configuration yet
        :raises errors.UnknownService: if the bundle has no such service
        """
        if self._bundle is None:
            raise errors.NotReady('no configuration yet', retry_after=1.0)
        pool = self._pools.get(service)
        if pool is None:
            raise errors.UnknownService(f'no service {service!r}')
        return pool

    def usable(self, pool: Pool) -> list[str]:
        """Return the pool's backend servers that may get new requests."""
        if not self._down and not self._leaving and not self._evacuated:
            return list(pool.names)
        return [
            name
            for name in pool.names
            if name not in self._down and not self.is_leaving(name)
        ]

    def is_leaving(self, backend: str) -> bool:
        """Whether a backend server is leaving or evacuated."""
        return backend in self._leaving or self._is_evacuated(backend)

    def owner(self, backend: str) -> str:
        """Return the router that owns a backend server, or ``''``.

        Routers of the same failure domain are preferred, so that the loss of
        a domain changes few owners in the others.
        """
        owner = self._owners.get(backend)
        if owner is None:
            owner = self._choose_owner(backend)
            self._owners[backend] = owner
        return owner

    def is_owner(self, name: str, backend: str) -> bool:
        """Whether a router owns a backend server."""
        if name not in self._members:
            return False
        candidates = self._candidates(backend)
        return name in candidates and hashing.is_top_ranked(
            name, backend, candidates
        )

    def load_elsewhere(self, service: str) -> int:
        """Return a lower bound of the requests at all other routers.

        It is the minimum of the last two loads received, and 0 if the last
        one is out of date. Running and queued requests count.
        """
        max_age_s = _MAX_LOAD_AGE_PERIODS * self.timing.report_ms / 1000
        now = asyncio.get_running_loop().time()
        if now - self._answered_report_sent_at > max_age_s:
            return 0
        return self._peer_loads.recent_minimum(service)

    @property
    def running_elsewhere(self) -> dict[str, int]:
        """Requests that other routers are running, by backend server."""
        return self._peer_loads.by_backend

    def running_elsewhere_on(self, backend: str) -> int:
        """Return the requests that other routers run on a backend server."""
        return self._peer_loads.by_backend.get(backend, 0)

    def apply_config(self, config: pb.Config) -> bool:
        """Apply a snapshot or delta; return whether it is now in force.

        A version that is not higher than the one in force is ignored.

        :raises errors.ConfigUnusable: if a delta has another base version, or
            the digest does not match the entries
        """
        if config.version <= self._version:
            logs.emit(
                events.CONFIG_STALE, version=config.version, has=self._version
            )
            return False
        if config.snapshot:
            entries = packed.unpack_snapshot(config.snapshot)
            contents = bundle_entries.EntrySet(entries)
            changed_keys: collections.abc.Iterable[str] = entries
        else:
            delta = packed.unpack_delta(config)
            contents = self._contents.apply(delta)
            changed_keys = (*delta.put, *delta.removed)
        is_applicable = config.snapshot or config.base == self._version
        if (
            not is_applicable
            or contents.digest(config.version) != config.digest
        ):
            raise errors.ConfigUnusable(
                f'version {config.version} based on {config.base} does not '
                f'apply to version {self._version}'
            )
        self._contents = contents
        if config.snapshot or self._bundle is None:
            self._bundle = bundle_entries.from_entries(
                config.version, contents.entries
            )
        else:
            self._bundle = bundle_entries.apply_delta(self._bundle, delta)
        self._version = config.version
        self._digest = config.digest
        if config.snapshot or any(map(_affects_backends, changed_keys)):
            self._pools = _pools(self._bundle)
            self._owners.clear()
            self._backends_revision += 1
        logs.emit(events.CONFIG_APPLIED, version=self._version)
        return True

    def apply_view(self, view: pb.View) -> bool:
        """Apply a view if it is newer; return whether it is."""
        if view.number <= self._view.number:
            return False
        self._view = view
        self._members = {
            member.router: member
            for member in view.members
            if not member.leaving
        }
        self._members_by_domain = {}
        for member in self._members.values():
            self._members_by_domain.setdefault(member.domain, []).append(
                member.router
            )
        self._owners.clear()
        return True

    def apply_loads(self, loads: pb.Loads) -> None:
        """Apply the loads of all routers, or changes to them.

        :raises errors.ListUnusable: if they refer to another list of instances
        """
        self._peer_loads.apply(loads, self._instances)
        self._converged_view = loads.settled
        self._converged_version = loads.settled_version
        self._down = frozenset(loads.down)
        self._leaving = frozenset(loads.leaving)
        self._rejection_tolerances = {
            entry.service: entry.rejections for entry in loads.brittle
        }

    def apply_own_report(self, report: pb.Report) -> None:
        """Apply the report of this router that the loads include."""
        self._peer_loads.apply_own_report(report)

    def apply_presence(self, presence: pb.Presence) -> None:
        """Apply the routers that callers may be sent to, or changes."""
        routers = {}
        if presence.is_change:
            routers = {
                member.router: member for member in self._serving_routers
            }
        for name in presence.removed:
            routers.pop(name, None)
        routers |= {member.router: member for member in presence.members}
        self._serving_routers = list(routers.values())
        self._draining_routers = list(presence.leaving)

    def apply_instances(self, instances: pb.Instances) -> None:
        """Apply a list of instances if it is newer."""
        if instances.number > self._instances.number:
            self._instances = instances

    def apply_evacuations(self, evacuations: pb.Evacuations) -> bool:
        """Apply the evacuated failure domains; return whether they changed."""
        domains = frozenset(evacuations.domains)
        if domains == self._evacuated:
            return False
        logs.emit(events.EVACUATIONS_APPLIED, domains=sorted(domains))
        self._evacuated = domains
        return True

    def renew_lease(self, sent_at: float, lease_ms: int) -> None:
        """Extend the lease, which counts from when the report was sent.

        The loads received are no older than that: the leader sends changes
        along with its answer.

        :param sent_at: when the report was sent, in loop time
        """
        lease_until = sent_at + lease_ms / 1000 * _CLOCK_DRIFT_FACTOR
        self._answered_report_sent_at = max(
            self._answered_report_sent_at, sent_at
        )
        self._lease_until = max(self._lease_until, lease_until)

    def _lease_s(self) -> float:
        return self.timing.lease_ms / 1000

    def _is_evacuated(self, backend: str) -> bool:
        if not self._evacuated or self._bundle is None:
            return False
        settings = self._bundle.backends.get(backend)
        return settings is not None and settings.domain in self._evacuated

    def _choose_owner(self, backend: str) -> str:
        ranked = hashing.rank(backend, self._candidates(backend), 1)
        return ranked[0] if ranked else ''

    def _candidates(self, backend: str) -> list[str]:
        """Return the routers that may own a backend server."""
        if self._bundle is None or backend not in self._bundle.backends:
            return []
        domain = self._bundle.backends[backend].domain
        return self._members_by_domain.get(domain) or list(self._members)


def _affects_backends(key: str) -> bool:
    """Whether an entry's key belongs to a backend server or a service."""
    return key.startswith(('backends/', 'services/'))


def _pools(bundle: model.Bundle) -> dict[str, Pool]:
    names: dict[str, list[str]] = {name: [] for name in bundle.services}
    for name, backend in bundle.backends.items():
        names[backend.service].append(name)
    return {
        service: Pool(bundle.services[service], tuple(sorted(backends)))
        for service, backends in names.items()
    }
