"""Detection that this gateway is cut off from the instances of a service.

After a failed connection, other instances are tried until one accepts, or
until :mod:`honeyport.policy.connectivity` has seen enough. While the gateway
is cut off, one instance after the other is tried, so that the number of
attempts does not grow with that of the requests.
"""

import asyncio
import collections.abc
import contextlib
import random

from honeyport import errors
from honeyport.gateway import pool
from honeyport.policy import connectivity
from honeyport.policy import placement
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Time for the failed request itself to connect to another instance.
_OWN_RETRY_S = 0.02
# Instances that are tried at once to find out whether any is reached.
_MAX_CONCURRENT_PROBES = 7
# Pause between two attempts while the gateway is cut off.
_PROBE_INTERVAL_S = 0.25
_MAX_LOGGED_NAMES = 20  # in one field of a log line

# Returns the instances of a service that a gateway should reach.
Candidates = collections.abc.Callable[
    [str], collections.abc.Sequence[placement.Instance]
]
# Returns the names of the other gateways that reach a service.
ReachedBy = collections.abc.Callable[[str], list[str]]
# Called with a service when the gateway is cut off or connected again.
OnChange = collections.abc.Callable[[str], None]
# Called with the ids of instances that failed while another one of their
# service accepted a connection.
OnFailed = collections.abc.Callable[[frozenset[str]], None]


class ConnectivityMonitor:
    """The services whose instances this gateway reaches, or not.

    :param connection_pool: opens the connections
    :param candidates: returns the instances that it should reach
    :param reached_by: returns which other gateways reach a service
    :param on_change: called after a change for a service
    :param on_failed: called with instances that are known to have failed
    """

    def __init__(
        self,
        connection_pool: pool.Pool,
        candidates: Candidates,
        reached_by: ReachedBy,
        on_change: OnChange,
        on_failed: OnFailed,
        counters: metrics.Metrics,
    ) -> None:
        self._pool = connection_pool
        self._candidates = candidates
        self._reached_by = reached_by
        self._on_change = on_change
        self._on_failed = on_failed
        self._metrics = counters
        self._connectivity = connectivity.Connectivity()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._list_changed = asyncio.Event()
        connection_pool.set_observer(self._observe)
        counters.gauge('services_cut_off', lambda: len(self.cut_off))

    @property
    def cut_off(self) -> list[str]:
        """Names of the services that this gateway is cut off from."""
        return self._connectivity.cut_off

    def is_cut_off(self, service: str) -> bool:
        """Whether this gateway is cut off from a service."""
        return self._connectivity.is_cut_off(service)

    def is_direct(self, service: str) -> bool:
        """Whether to send the next request for a service directly.

        That is not so while the gateway is cut off, and for some requests
        shortly after.
        """
        share = self._connectivity.direct_share(service, _now())
        return share >= 1.0 or random.random() < share

    def has_connection(self, instance: placement.Instance) -> bool:
        """Whether an idle connection to an instance probably works."""
        since = self._connectivity.trusted_since(instance.service)
        return self._pool.has_idle(instance, since)

    async def reaches(self, service: str) -> bool:
        """Whether this gateway is not cut off; waits until that is known."""
        while service in self._tasks:
            if self._connectivity.is_cut_off(service):
                return False
            await asyncio.sleep(_OWN_RETRY_S)
        return True

    def on_list_changed(self) -> None:
        """Try new instances at once while the gateway is cut off."""
        self._list_changed.set()

    def close(self) -> None:
        """Cancel all attempts to connect."""
        for task in list(self._tasks.values()):
            task.cancel()

    def _observe(
        self, instance: placement.Instance, error: errors.NotSent | None
    ) -> None:
        """Record the result of an attempt to connect."""
        service = instance.service
        if error is None:
            connected = self._connectivity.record_connected(
                service, instance.id, _now()
            )
            if connected.failed:
                self._on_failed(connected.failed)
            if connected.was_cut_off:
                logs.emit(
                    events.SERVICE_REACHED,
                    service=service,
                    backend=instance.id,
                )
                self._on_change(service)
            return
        is_refused = isinstance(error, errors.ConnectionRefused)
        self._connectivity.record_failed(
            service, instance.id, _now(), refused=is_refused
        )
        if service not in self._tasks:
            self._tasks[service] = asyncio.create_task(self._watch(service))

    async def _watch(self, service: str) -> None:
        try:
            await self._detect(service)
        finally:
            # At once, so that the next failure starts a new task.
            del self._tasks[service]

    async def _detect(self, service: str) -> None:
        """Find out whether the gateway is cut off, and until when."""
        await asyncio.sleep(_OWN_RETRY_S)
        concurrent_probes = 1
        while self._connectivity.is_suspected(service):
            candidates = self._candidates(service)
            by_id = {instance.id: instance for instance in candidates}
            if self._connectivity.try_declare_cut_off(service, by_id):
                self._log_cut_off(service, list(by_id))
                self._on_change(service)
            if self._connectivity.is_cut_off(service):
                await self._wait_for_next_probe()
                concurrent_probes = 1
                candidates = self._candidates(service)
                by_id = {instance.id: instance for instance in candidates}
            untested = self._connectivity.untested(service, by_id)
            chosen = untested or list(by_id)
            if not chosen and not self._connectivity.is_cut_off(service):
                return
            await self._probe_some(
                [by_id[name] for name in chosen], concurrent_probes
            )
            concurrent_probes = _MAX_CONCURRENT_PROBES

    async def _wait_for_next_probe(self) -> None:
        self._list_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PROBE_INTERVAL_S):
                await self._list_changed.wait()

    async def _probe_some(
        self, instances: list[placement.Instance], count: int
    ) -> None:
        chosen = random.sample(instances, min(count, len(instances)))
        await asyncio.gather(*map(self._probe, chosen))

    async def _probe(self, instance: placement.Instance) -> None:
        self._metrics.count('connectivity_probes')
        # The pool's observer has recorded the failure.
        with contextlib.suppress(errors.NotSent):
            await self._pool.probe(instance)

    def _log_cut_off(self, service: str, instances: list[str]) -> None:
        failing_s = self._connectivity.failing_s(service, _now())
        logs.emit(
            events.SERVICE_CUT_OFF,
            service=service,
            instances=sorted(instances)[:_MAX_LOGGED_NAMES],
            count=len(instances),
            failing_s=round(failing_s, 3),
            reached_by=self._reached_by(service)[:_MAX_LOGGED_NAMES],
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
