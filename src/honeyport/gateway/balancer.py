"""Load balancing of a gateway: instance state for :mod:`policy.placement`.

Tracks in-flight requests, the instance list and the load counts from the
control plane, and the observed health and cached prefixes of instances.
"""

import asyncio
import collections
import collections.abc
import contextlib
import typing

import attrs

from honeyport import errors
from honeyport.gateway import instance_signals
from honeyport.gateway import slot_limits
from honeyport.gateway import warmth
from honeyport.policy import brittle
from honeyport.policy import health
from honeyport.policy import placement
from honeyport.policy import prefixes
from honeyport.policy import stale
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

# Retry-After if there is no instance to try: the first pause after a failure.
_NO_INSTANCE_RETRY_S = 0.5
# Retry-After if only cold instances are left and all are at their quota.
# Another gateway may have a quota left: about the way there.
_ALL_COLD_RETRY_S = 0.1

NameSet = collections.abc.Set[str]
Instances = collections.abc.Iterable[placement.Instance]
Predicate = collections.abc.Callable[[placement.Instance], bool]


class Balancer:
    """Tracks the load of instances and chooses one for each request.

    :param name: name of this gateway
    :param domain: failure domain of this gateway
    :param regions: region of each failure domain
    :param signals: backoffs and departures that instances announced
    """

    def __init__(
        self,
        name: str,
        domain: str,
        regions: collections.abc.Mapping[str, str],
        signals: instance_signals.InstanceSignals,
    ) -> None:
        self._signals = signals
        self._domain = domain
        self._regions = regions
        self._evacuated: NameSet = frozenset()
        self._cold_start = warmth.ColdStartLimiter(name)
        self._slot_limits = slot_limits.SlotLimits(name, signals)
        self._list_number = 0
        self._instances_by_service: dict[str, list[placement.Instance]] = {}
        self._versions: dict[str, set[str]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._health = health.FailureTracker()
        self._fleet_unreachable: collections.abc.Set[str] = frozenset()
        self._remote_running: collections.abc.Mapping[str, int] = {}
        self._remote_counted_at = float('-inf')
        self._durations = stale.DurationMeans()
        self._prefix_holders = prefixes.Holders()
        self._listed_leaving_since: dict[str, float] = {}

    @property
    def running(self) -> collections.abc.Mapping[str, int]:
        """In-flight requests of this gateway, by instance id."""
        return self._running

    @property
    def versions(self) -> collections.abc.Mapping[str, NameSet]:
        """Listed software versions by service; replaced with each list."""
        return self._versions

    def set_cold_limits(self, limits: warmth.ColdLimits) -> None:
        """Set the limits of cold instances, by service."""
        self._cold_start.set_limits(limits)

    def set_evacuated(self, domains: NameSet) -> None:
        """Set the failure domains whose instances get no new requests.

        Instances of a restored domain are treated as cold, since they got no
        requests meanwhile.
        """
        restored = self._evacuated - domains
        self._evacuated = domains
        if not restored:
            return
        for instances in self._instances_by_service.values():
            for instance in instances:
                if instance.domain in restored:
                    self._cold_start.restart_cold_period(instance)

    def set_gateways(self, gateways: collections.abc.Collection[str]) -> None:
        """Set the names of the gateways that callers are sent to."""
        self._cold_start.set_gateways(gateways)
        self._slot_limits.set_gateways(gateways)

    def set_brittle(self, tolerances: brittle.Tolerances) -> None:
        """Set the services that are brittle by the reports of gateways."""
        self._slot_limits.set_reported(tolerances)

    @property
    def unreachable(self) -> list[str]:
        """Instances that this gateway recently failed to connect to."""
        return self._health.unreachable(_now())

    def set_fleet_unreachable(
        self, unreachable: collections.abc.Set[str]
    ) -> None:
        """Set the instances that several gateways cannot reach."""
        self._fleet_unreachable = unreachable

    def expected_reachable(self, service: str) -> list[placement.Instance]:
        """Return the instances of a service that other gateways reach.

        If they reach none, returns all that may get requests.
        """
        may_get_requests = [
            instance
            for instance in self._instances_by_service.get(service, ())
            if not self._is_leaving(instance)
            and instance.domain not in self._evacuated
        ]
        return [
            instance
            for instance in may_get_requests
            if instance.id not in self._fleet_unreachable
        ] or may_get_requests

    def forget_failures(self, service: str) -> None:
        """Drop the failures of all instances of a service.

        They are not the instances' while this gateway is cut off from all.
        """
        self._health.forget(
            instance.id
            for instance in self._instances_by_service.get(service, ())
        )

    def apply_instances(
        self,
        instances: pb.Instances,
        remote_running: collections.abc.Mapping[str, int],
        counted_at: float,
    ) -> set[str] | None:
        """Apply the latest instance list and the load of other gateways.

        :param instances: the instance list
        :param remote_running: requests in flight through other gateways, by
            instance id
        :param counted_at: loop time at which these were counted
        :returns: ids of the instances that are not leaving, or ``None`` if
            the list did not change
        """
        self._remote_running = remote_running
        self._remote_counted_at = counted_at
        if instances.number == self._list_number:
            return None
        had_list = self._list_number > 0
        self._list_number = instances.number
        self._instances_by_service = {}
        for listed in instances.instances:
            instance = placement.Instance(
                listed.id,
                listed.service,
                listed.address,
                listed.domain,
                listed.leaving,
                listed.slots,
                listed.place,
                listed.version,
            )
            self._instances_by_service.setdefault(listed.service, []).append(
                instance
            )
            if listed.cold_ms:
                self._cold_start.mark_cold(listed.id, listed.cold_ms / 1000)
        self._versions = {
            service: {instance.version for instance in group}
            for service, group in self._instances_by_service.items()
        }
        self._cold_start.drop_expired()
        not_leaving_ids = {
            instance.id
            for group in self._instances_by_service.values()
            for instance in group
            if not instance.leaving
        }
        self._update_listed_leaving_since(
            _now() if had_list else float('-inf')
        )
        self._health.retain(not_leaving_ids)
        listed_ids = {entry.id for entry in instances.instances}
        self._prefix_holders.retain(listed_ids)
        self._signals.retain(listed_ids)
        self._cold_start.retain(listed_ids)
        self._slot_limits.retain(listed_ids)
        logs.emit(
            events.INSTANCES_APPLIED,
            list_number=self._list_number,
            usable=len(not_leaving_ids),
        )
        return not_leaving_ids

    def choose(
        self,
        service: str,
        parts: prefixes.Parts,
        tried: collections.abc.Container[str],
        regions: NameSet | None = None,
        version: str | None = None,
        only: str | None = None,
    ) -> placement.Choice:
        """Choose an instance for a request.

        :param service: the service that the request is for
        :param parts: prompt parts, if the instances cache prefixes
        :param tried: ids of instances that already failed this request
        :param regions: regions in which it may run; ``None`` for any
        :param version: software version that began its stream; ``None`` for
            any
        :param only: id of the only instance to choose; ``None`` for any
        :raises errors.NoInstance: if no instance can take it now
        """
        candidates, counts = self._find_candidates(
            service, tried, regions, version, only
        )
        if not parts:
            return placement.choose_by_load(
                candidates.preferred, counts, self._domain
            )
        choice = placement.choose_by_prefix(
            parts, candidates, counts, self._domain
        )
        return self._with_cache_source(service, parts, choice, regions)

    def available_ids(
        self,
        service: str,
        tried: collections.abc.Container[str],
        regions: NameSet | None = None,
        version: str | None = None,
    ) -> frozenset[str]:
        """Return the ids of the instances that a request may be sent to now.

        The parameters are those of :meth:`choose`.

        :raises errors.NoInstance: if there is none
        """
        candidates, _ = self._find_candidates(service, tried, regions, version)
        return frozenset(instance.id for instance in candidates.preferred)

    def _find_candidates(
        self,
        service: str,
        tried: collections.abc.Container[str],
        regions: NameSet | None,
        version: str | None,
        only: str | None = None,
    ) -> tuple[placement.Candidates, stale.LoadCounts]:
        """Return the candidates for a request, and what runs there.

        :raises errors.NoInstance: if no instance can take it now
        """
        listed = self._instances_by_service.get(service, ())
        if only is not None:
            listed = [instance for instance in listed if instance.id == only]
        peers = self._signals.not_leaving(
            [instance for instance in listed if not instance.leaving]
        )
        eligible = self._eligible(peers, tried, regions, version)
        if not eligible:
            fallback = self._signals.recently_leaving(listed)
            peers = eligible = self._eligible(
                fallback, tried, regions, version
            )
        if not eligible:
            raise errors.NoInstance(
                f'no instance of {_describe(service, version)} left to try',
                retry_after=_NO_INSTANCE_RETRY_S,
            )
        not_in_backoff = self._signals.not_in_backoff(eligible)
        if not not_in_backoff:
            # They would turn requests away, which costs the retry budget.
            raise errors.NoInstance(
                f'all remaining instances of {service} are resting',
                retry_after=self._signals.retry_after_s(eligible),
            )
        counts = self._load_counts(service)
        within_limits = self._slot_limits.within_limits(
            service, not_in_backoff, counts
        )
        if not within_limits:
            raise errors.NoInstance(
                f'all remaining instances of {service} are brittle and full',
                retry_after=slot_limits.retry_after_s(counts.mean_duration_s),
            )
        candidates = self._candidates(within_limits, peers)
        if not candidates.preferred:
            raise errors.NoInstance(
                f'all remaining instances of {service} are cold',
                retry_after=_ALL_COLD_RETRY_S,
            )
        return candidates, counts

    def is_full(self, instance: placement.Instance) -> bool:
        """Whether all slots of an instance are likely taken."""
        counts = self._load_counts(instance.service)
        return 0 < instance.slots <= counts.total(instance.id)

    def _load_counts(self, service: str) -> stale.LoadCounts:
        return stale.LoadCounts(
            own=lambda name: self._running[name],
            others=lambda name: self._remote_running.get(name, 0),
            age_s=_now() - self._remote_counted_at,
            mean_duration_s=self._durations.mean_s(service),
        )

    def _eligible(
        self,
        instances: Instances,
        tried: collections.abc.Container[str],
        regions: NameSet | None,
        version: str | None,
    ) -> list[placement.Instance]:
        """Return the instances that a request may be sent to."""
        return [
            instance
            for instance in instances
            if instance.id not in tried
            and instance.domain not in self._evacuated
            and self._is_allowed(instance, regions)
            and version in (None, instance.version)
        ]

    def _is_leaving(self, instance: placement.Instance) -> bool:
        """Whether an instance is leaving, by the list or its own headers."""
        leaving_since = self._signals.leaving_since(instance.id)
        return instance.leaving or leaving_since is not None

    def count_excluded(
        self,
        service: str,
        tried: collections.abc.Container[str],
        regions: NameSet | None,
        version: str | None,
    ) -> dict[str, int]:
        """Count the instances that are excluded from choice, by reason."""
        now = _now()
        listed = self._instances_by_service.get(service, ())
        within_limits = {
            instance.id
            for instance in self._slot_limits.within_limits(
                service, listed, self._load_counts(service)
            )
        }
        reasons: tuple[tuple[str, Predicate], ...] = (
            ('tried', lambda instance: instance.id in tried),
            (
                'version',
                lambda instance: version not in (None, instance.version),
            ),
            ('leaving', self._is_leaving),
            ('evacuated', lambda instance: instance.domain in self._evacuated),
            (
                'region',
                lambda instance: not self._is_allowed(instance, regions),
            ),
            (
                'resting',
                lambda instance: (
                    self._signals.backoff_remaining_s(instance.id) > 0
                ),
            ),
            (
                'unreachable',
                lambda instance: instance.id in self._fleet_unreachable,
            ),
            (
                'failed',
                lambda instance: self._health.is_paused(instance.id, now),
            ),
            ('full', lambda instance: instance.id not in within_limits),
            ('cold', lambda instance: self._cold_start.is_cold(instance, now)),
        )
        counts = collections.Counter(
            next(
                (reason for reason, applies in reasons if applies(instance)),
                '',
            )
            for instance in listed
        )
        del counts['']
        return dict(counts)

    @contextlib.contextmanager
    def count_in_flight(
        self, instance: placement.Instance
    ) -> collections.abc.Iterator[None]:
        """Count a request as in flight on an instance."""
        self._running[instance.id] += 1
        started_at = _now()
        self._cold_start.record_sent(instance)
        self._slot_limits.record_sent(instance)
        try:
            yield
            # Only successful requests count.
            self._durations.add(instance.service, _now() - started_at)
        finally:
            self._running[instance.id] -= 1
            if not self._running[instance.id]:
                del self._running[instance.id]

    def record_answer(
        self,
        instance: placement.Instance,
        load: brittle.ReportedLoad | None,
        *,
        is_rejected: bool,
    ) -> None:
        """Record that an instance began to answer, or rejected a request.

        :param load: the load that it reported with the answer, if any
        """
        # The request that is answered still counts.
        running = self._load_counts(instance.service).total(instance.id) - 1
        self._slot_limits.record_answer(
            instance, load, running, is_rejected=is_rejected
        )

    def record_success(
        self, instance: placement.Instance, parts: prefixes.Parts
    ) -> None:
        """Record that an instance answered a prompt with these parts."""
        self._health.record_success(instance.id)
        self._signals.record_success(instance.id)
        for part in prefixes.shared_parts(parts):
            self._prefix_holders.add(part.id, instance.id)

    def record_failure(
        self,
        instance: placement.Instance,
        reason: str,
        *,
        connected: bool = True,
        confirmed: bool = True,
    ) -> None:
        """Record a failure of an instance and avoid it for a while.

        Unless the way to it may have failed, its known prefixes are
        forgotten: it may restart under the same id with an empty cache.

        :param reason: code of the error
        :param connected: whether a connection to it was established
        :param confirmed: whether the instance is known to be at fault;
            otherwise :meth:`confirm_failures` may follow
        """
        if confirmed:
            self._prefix_holders.forget_instance(instance.id)
        failure_pause = self._health.record_failure(
            instance.id, _now(), connected=connected, confirmed=confirmed
        )
        logs.emit(
            events.INSTANCE_AVOIDED,
            backend=instance.id,
            address=instance.address,
            reason=reason,
            failures=failure_pause.failures,
            pause_s=failure_pause.pause_s,
        )

    def confirm_failures(
        self, instance_ids: collections.abc.Iterable[str]
    ) -> None:
        """Record that instances failed although their service is reached."""
        for instance_id in instance_ids:
            self._prefix_holders.forget_instance(instance_id)
            self._health.confirm(instance_id)

    def _update_listed_leaving_since(self, since: float) -> None:
        """Update the time at which each leaving instance began to leave.

        :param since: loop time for instances that were not leaving in the
            previous list; ``-inf`` for the first list
        """
        self._listed_leaving_since = {
            instance.id: self._listed_leaving_since.get(instance.id, since)
            for group in self._instances_by_service.values()
            for instance in group
            if instance.leaving
        }

    def _is_allowed(
        self, instance: placement.Instance, regions: NameSet | None
    ) -> bool:
        """Whether the region of an instance is allowed for a request."""
        if regions is None:
            return True
        return self._regions.get(instance.domain) in regions

    def _candidates(
        self,
        eligible: list[placement.Instance],
        peers: list[placement.Instance],
    ) -> placement.Candidates:
        """Return the candidates for a request of this gateway.

        Cold instances are a reserve as long as warm ones are healthy.
        """
        now = _now()
        warm_instances: list[placement.Instance] = []
        cold_instances: list[placement.Instance] = []
        for instance in eligible:
            is_cold = self._cold_start.is_cold(instance, now)
            (cold_instances if is_cold else warm_instances).append(instance)
        healthy_warm = self._healthy(warm_instances)
        cold_with_capacity = [
            instance
            for instance in cold_instances
            if self._cold_start.may_send(
                instance, now, all_cold=not healthy_warm
            )
        ]
        healthy_cold = self._healthy(cold_with_capacity)
        if healthy_warm:
            return placement.Candidates(healthy_warm, healthy_cold, peers)
        return placement.Candidates(
            healthy_cold or warm_instances or cold_with_capacity, (), peers
        )

    def _is_cache_source(self, instance: placement.Instance) -> bool:
        """Whether prefixes may be copied from an instance now."""
        now = _now()
        if self._cold_start.is_cold(instance, now):
            return False  # its cache is nearly empty
        listed_since = self._listed_leaving_since.get(instance.id, now)
        signalled_since = self._signals.leaving_since(instance.id)
        return placement.is_available_source(
            now
            - (
                listed_since
                if signalled_since is None
                else min(signalled_since, listed_since)
            ),
            is_healthy=self._health.is_healthy(instance.id)
            and instance.id not in self._fleet_unreachable
            and not self._signals.backoff_remaining_s(instance.id),
        )

    def _healthy(
        self, instances: list[placement.Instance]
    ) -> list[placement.Instance]:
        """Return the healthy instances whose slow start allows a request."""
        now = _now()
        healthy = [
            instance
            for instance in instances
            if instance.id not in self._fleet_unreachable
            and not self._health.is_paused(instance.id, now)
        ]
        return self._signals.within_slow_start(healthy, self._running)

    def _with_cache_source(
        self,
        service: str,
        parts: prefixes.Parts,
        choice: placement.Choice,
        regions: NameSet | None,
    ) -> placement.Choice:
        """Add the instance to copy the prefix from to a choice."""
        sources = [
            instance
            for instance in self._instances_by_service[service]
            if instance.id != choice.instance.id
            and self._is_cache_source(instance)
            and self._is_allowed(instance, regions)
        ]
        source = placement.find_cache_source(
            parts, choice.instance, sources, self._prefix_holders
        )
        uncached = prefixes.uncached_tokens(
            parts, choice.instance.id, self._prefix_holders
        )
        return attrs.evolve(choice, source=source, uncached=uncached)


def _describe(service: str, version: str | None) -> str:
    return service if version is None else f'{service} {version}'


def log_fields(choice: placement.Choice) -> dict[str, typing.Any]:
    """Return the log fields that explain a choice."""
    return {
        'backend': choice.instance.id,
        'version': choice.instance.version,
        'rank': choice.rank,
        'load': choice.load,
        'bound': round(choice.bound, 1),
        'usable': choice.usable,
        'source': choice.source.id if choice.source else None,
        'uncached': choice.uncached,
    }


def _now() -> float:
    return asyncio.get_running_loop().time()
