"""What a router knows of the fleet: bundle, view, loads and its lease."""

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

# From a start to the first configuration while control starts as well, in
# seconds.
_FIRST_CONFIG_S = 2.0
# Periods between two reports after which the others' loads count as none.
# With the leader's own limit (3 periods and a tick of 50 ms) this is how
# old a load may be that raises the mean.
_FRESH_REPORTS = 2
_DRIFT = 0.9  # of a lease: room for a clock that runs slow


@attrs.frozen
class Pool:
    """The backend servers of one service."""

    service: model.Service
    names: tuple[str, ...]


class FleetState:
    """The latest of everything; changed by the session alone."""

    def __init__(self) -> None:
        self._version = 0
        self._digest = ''
        self._contents = bundle_entries.EntrySet({})
        self._bundle: model.Bundle | None = None
        self._pools: dict[str, Pool] = {}
        self._view = pb.View()
        self._settled = 0
        self._settled_version = 0
        self._stewards: dict[str, str] = {}
        self._members: dict[str, pb.Member] = {}
        self._near: dict[str, list[str]] = {}
        self._backends_revision = 0
        self._lease_until = float('-inf')
        self._heard_as_of = float('-inf')
        self._peer_loads = peer_loads.PeerLoads()
        self._down: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._instances = pb.Instances()
        self._evacuated: frozenset[str] = frozenset()
        self._present: list[pb.Member] = []
        self._departing: list[str] = []

    @property
    def version(self) -> int:
        """The version in force here; 0 before the first."""
        return self._version

    @property
    def digest(self) -> str:
        """The digest of that version."""
        return self._digest

    @property
    def bundle(self) -> model.Bundle:
        """The bundle in force here.

        :raises errors.NotReady: before the first
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
        """Whether every router with a lease has our view and version.

        Only then has each given up what went to another.
        """
        return (
            self._settled >= self._view.number > 0
            and self._settled_version >= self._version
        )

    @property
    def members(self) -> dict[str, pb.Member]:
        """The routers of the view that may be stewards, by name."""
        return self._members

    @property
    def peers(self) -> set[str]:
        """The peer addresses of all routers with a lease."""
        return {member.peer_address for member in self._view.members}

    @property
    def serving_routers(self) -> list[pb.Member]:
        """The routers that callers may be sent to."""
        return self._present

    @property
    def draining_routers(self) -> list[str]:
        """The names of the routers that leave in an orderly way."""
        return self._departing

    @property
    def instances(self) -> pb.Instances:
        """The latest list of the backend servers' instances."""
        return self._instances

    @property
    def unreachable(self) -> set[str]:
        """The instances that gateways of several domains cannot reach."""
        return self._peer_loads.unreachable

    @property
    def evacuated(self) -> frozenset[str]:
        """The failure domains whose instances get nothing new."""
        return self._evacuated

    @property
    def backends_revision(self) -> int:
        """Counts the changes to services and backend servers."""
        return self._backends_revision

    @property
    def lease_left(self) -> float:
        """Seconds until this router must stop taking work."""
        return self._lease_until - asyncio.get_running_loop().time()

    @property
    def control_silence_s(self) -> float:
        """Seconds since the report that control answered last."""
        return asyncio.get_running_loop().time() - self._heard_as_of

    @property
    def loads_age_s(self) -> float:
        """How old the others' loads are on average, in seconds.

        They were reported within a period before control answered us.
        """
        return self.control_silence_s + self.timing.report_ms / 1000 / 2

    @property
    def timing(self) -> model.Timing:
        """Periods and leases; the defaults before the first bundle."""
        return self._bundle.timing if self._bundle else model.Timing()

    @property
    def may_serve(self) -> bool:
        """Whether there is a configuration and the lease stands."""
        return self._bundle is not None and self.lease_left > 0

    def check_lease(self) -> None:
        """Raise :class:`errors.NotReady` if new work may not start."""
        if self._bundle is None:
            raise errors.NotReady(
                'no configuration yet', retry_after=_FIRST_CONFIG_S
            )
        if self.lease_left <= 0:
            raise errors.NotReady(
                'cut off from control', retry_after=self._lease_s()
            )

    def pool(self, service: str) -> Pool:
        """Return a service's backend servers.

        :raises errors.UnknownService: if the bundle does not name it
        """
        if self._bundle is None:
            raise errors.NotReady('no configuration yet', retry_after=1.0)
        found = self._pools.get(service)
        if found is None:
            raise errors.UnknownService(f'no service {service!r}')
        return found

    def usable(self, pool: Pool) -> list[str]:
        """Return the pool's backend servers that may get new work."""
        if not self._down and not self._leaving and not self._evacuated:
            return list(pool.names)
        return [
            name
            for name in pool.names
            if name not in self._down and not self.is_leaving(name)
        ]

    def is_leaving(self, backend: str) -> bool:
        """Whether a backend server gets no new work any more."""
        return backend in self._leaving or self._is_evacuated(backend)

    def owner(self, backend: str) -> str:
        """Return the router that stewards a backend server, or ``''``.

        A router of the same failure domain goes first, so that losing a
        domain moves few backend servers of the others.
        """
        found = self._stewards.get(backend)
        if found is None:
            found = self._choose_steward(backend)
            self._stewards[backend] = found
        return found

    def is_owner(self, name: str, backend: str) -> bool:
        """Whether a router stewards a backend server."""
        if name not in self._members:
            return False
        candidates = self._candidates(backend)
        return name in candidates and hashing.is_top_ranked(
            name, backend, candidates
        )

    def load_elsewhere(self, service: str) -> int:
        """Return what recent_minimum runs or waits at all other routers.

        It is the lesser of the last two things heard, and none where that
        was too long ago: a mean that has fallen since must not be believed.
        """
        fresh_s = _FRESH_REPORTS * self.timing.report_ms / 1000
        now = asyncio.get_running_loop().time()
        if now - self._heard_as_of > fresh_s:
            return 0
        return self._peer_loads.recent_minimum(service)

    @property
    def running_elsewhere(self) -> dict[str, int]:
        """What other routers have running, by backend server."""
        return self._peer_loads.by_backend

    def running_elsewhere_on(self, backend: str) -> int:
        """Return what former stewards still have running there."""
        return self._peer_loads.by_backend.get(backend, 0)

    def apply_config(self, config: pb.Config) -> bool:
        """Take a version; return whether it is in force now.

        A lower version than the one in force is never taken.

        :raises errors.ConfigUnusable: if it does not follow ours, or its
            digest does not match its entries
        """
        if config.version <= self._version:
            logs.emit(
                events.CONFIG_STALE, version=config.version, has=self._version
            )
            return False
        if config.snapshot:
            entries = packed.unpack_snapshot(config.snapshot)
            contents = bundle_entries.EntrySet(entries)
            changed: collections.abc.Iterable[str] = entries
        else:
            delta = packed.unpack_delta(config)
            contents = self._contents.apply(delta)
            changed = (*delta.put, *delta.removed)
        follows = config.snapshot or config.base == self._version
        if not follows or contents.digest(config.version) != config.digest:
            raise errors.ConfigUnusable(
                f'version {config.version} from {config.base} does not fit '
                f'version {self._version}'
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
        if config.snapshot or any(map(_moves_work, changed)):
            self._pools = _pools(self._bundle)
            self._stewards.clear()
            self._backends_revision += 1
        logs.emit(events.CONFIG_APPLIED, version=self._version)
        return True

    def apply_view(self, view: pb.View) -> bool:
        """Take a view; return whether it is newer."""
        if view.number <= self._view.number:
            return False
        self._view = view
        self._members = {
            member.router: member
            for member in view.members
            if not member.leaving
        }
        self._near = {}
        for member in self._members.values():
            self._near.setdefault(member.domain, []).append(member.router)
        self._stewards.clear()
        return True

    def apply_loads(self, loads: pb.Loads) -> None:
        """Take the loads of all routers, or what changed of them.

        :raises errors.ListUnusable: if they are those of another list
        """
        self._peer_loads.take(loads, self._instances)
        self._settled = loads.settled
        self._settled_version = loads.settled_version
        self._down = frozenset(loads.down)
        self._leaving = frozenset(loads.leaving)

    def apply_own_report(self, report: pb.Report) -> None:
        """Take the report of ours that the loads of all contain."""
        self._peer_loads.apply_own_report(report)

    def apply_presence(self, presence: pb.Presence) -> None:
        """Take the routers that callers may be sent to, or what changed."""
        found = {}
        if presence.is_change:
            found = {one.router: one for one in self._present}
        for name in presence.removed:
            found.pop(name, None)
        found |= {one.router: one for one in presence.members}
        self._present = list(found.values())
        self._departing = list(presence.leaving)

    def apply_instances(self, instances: pb.Instances) -> None:
        """Take a list of instances, if it is newer."""
        if instances.number > self._instances.number:
            self._instances = instances

    def apply_evacuations(self, evacuations: pb.Evacuations) -> None:
        """Take the failure domains whose instances get nothing new."""
        found = frozenset(evacuations.domains)
        if found != self._evacuated:
            logs.emit(events.EVACUATIONS_APPLIED, domains=sorted(found))
        self._evacuated = found

    def renew_lease(self, sent: float, lease_ms: int) -> None:
        """Take a lease that counts from the sending of the report.

        The leader's loads are as of then, too: it sends them with the
        answer where they differ from those it sent before.
        """
        until = sent + lease_ms / 1000 * _DRIFT
        self._heard_as_of = max(self._heard_as_of, sent)
        self._lease_until = max(self._lease_until, until)

    def _lease_s(self) -> float:
        return self.timing.lease_ms / 1000

    def _is_evacuated(self, backend: str) -> bool:
        if not self._evacuated or self._bundle is None:
            return False
        found = self._bundle.backends.get(backend)
        return found is not None and found.domain in self._evacuated

    def _choose_steward(self, backend: str) -> str:
        best = hashing.rank(backend, self._candidates(backend), 1)
        return best[0] if best else ''

    def _candidates(self, backend: str) -> list[str]:
        """Return the routers that may steward a backend server."""
        if self._bundle is None or backend not in self._bundle.backends:
            return []
        domain = self._bundle.backends[backend].domain
        return self._near.get(domain) or list(self._members)


def _moves_work(key: str) -> bool:
    """Whether an entry says which backend servers there are."""
    return key.startswith(('backends/', 'services/'))


def _pools(bundle: model.Bundle) -> dict[str, Pool]:
    names: dict[str, list[str]] = {name: [] for name in bundle.services}
    for name, backend in bundle.backends.items():
        names[backend.service].append(name)
    return {
        service: Pool(bundle.services[service], tuple(sorted(found)))
        for service, found in names.items()
    }
