"""Reconciles the engines with the bundle: model version, adapters and role.

Only the leader does this. It reads the state of each engine, compares it with
the accepted bundle and sends an order for what differs; orders are idempotent.
Every order carries the leader's term as fencing number. An engine that ignores
the number may carry out the delayed order of a former leader; the next reading
detects that, and the order is sent again.

The number of engines that load at the same time is limited: the weight store
is rate-limited, and an engine does not serve while it loads.
"""

import asyncio
import json
import math
import typing

import attrs

from honeyport.backend import http
from honeyport.bundle import model
from honeyport.control import replica
from honeyport.control import sessions
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

_TIMEOUT_S = 2.0  # of one HTTP request to an engine
_POLL_INTERVAL_S = 0.2  # between checks whether this replica leads
_MAX_CONCURRENT_READS = 16


@attrs.frozen
class DesiredState:
    """The state that the bundle prescribes for an engine.

    The fields are those of an order's JSON body.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


@attrs.frozen
class ObservedState:
    """The state that an engine reports.

    :ivar models: loaded versions by model
    :ivar loading: whether it carries out an order now
    """

    models: dict[str, str]
    adapters: tuple[str, ...]
    role: str
    loading: bool

    def matches(self, desired: DesiredState) -> bool:
        """Whether the engine is in the desired state."""
        return (
            self.models == {desired.model: desired.version}
            and set(self.adapters) == set(desired.adapters)
            and self.role == desired.role
        )


class EngineReconciler:
    """Brings all engines to the state that the bundle prescribes."""

    def __init__(
        self,
        node: replica.Replica,
        routers: sessions.Sessions,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._sessions = routers
        self._metrics = counters
        self._pools: dict[str, http.Pool] = {}
        counters.gauge('orders_unmet', lambda: self._unmet_count)
        self._unmet_count = 0

    async def run(self) -> None:
        """Reconcile while this replica leads, until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            bundle = self._sessions.bundle
            if bundle is None or not self._may_send_orders():
                continue
            await self._reconcile(bundle)
            await asyncio.sleep(bundle.timing.orders_ms / 1000)

    async def _reconcile(self, bundle: model.Bundle) -> None:
        """Read all engines, then send the orders that are allowed now."""
        desired = _desired_states(bundle)
        readings = await self._read_all(bundle, list(desired))
        loading = [name for name, state in readings.items() if state.loading]
        pending = [
            name
            for name, state in readings.items()
            if not state.loading and not state.matches(desired[name])
        ]
        self._unmet_count = len(pending) + len(loading)
        for name in pending:
            if _may_load(bundle, name, loading) and self._may_send_orders():
                await self._send_order(bundle, name, desired[name])
                loading.append(name)

    def _may_send_orders(self) -> bool:
        """Whether this replica leads and leases of former leaders ended."""
        return self._node.leads and self._sessions.fleet.has_view

    async def _read_all(
        self, bundle: model.Bundle, names: list[str]
    ) -> dict[str, ObservedState]:
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)

        async def read_engine(name: str) -> tuple[str, ObservedState | None]:
            async with semaphore:
                return name, await self._read(bundle.backends[name].address)

        pairs = await asyncio.gather(*(read_engine(name) for name in names))
        return {name: state for name, state in pairs if state is not None}

    async def _read(self, address: str) -> ObservedState | None:
        request = http.Request(method='GET', path='/orders')
        try:
            start, body = await http.read(
                self._pool(address), request, _TIMEOUT_S
            )
            state = json.loads(body)
            return ObservedState(
                state['models'],
                tuple(state['adapters']),
                state['role'],
                state['loading'],
            )
        except (errors.HoneyportError, ValueError, KeyError, TypeError):
            return None

    async def _send_order(
        self, bundle: model.Bundle, name: str, desired: DesiredState
    ) -> None:
        body = json.dumps({'fence': self._node.term, **attrs.asdict(desired)})
        request = http.Request(
            method='POST', path='/orders', body=body.encode()
        )
        pool = self._pool(bundle.backends[name].address)
        try:
            start, _ = await http.read(pool, request, _TIMEOUT_S)
        except errors.HoneyportError:
            return
        self._metrics.count('orders', status=str(start.status))
        event = events.ORDER_SENT
        if start.status != 200:
            event = events.ORDER_REFUSED
        logs.emit(event, backend=name, fence=self._node.term)

    def _pool(self, address: str) -> http.Pool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = http.Pool(address)
        return pool


def _desired_states(bundle: model.Bundle) -> dict[str, DesiredState]:
    """Return the desired state of each engine of the bundle."""
    desired = {}
    for name, backend in bundle.backends.items():
        service = bundle.services[backend.service]
        if service.kind != model.ENGINE or service.model is None:
            continue
        loaded = bundle.models[service.model]
        desired[name] = DesiredState(
            service.model, loaded.version, loaded.adapters, backend.role
        )
    return desired


def _may_load(
    bundle: model.Bundle, name: str, loading: typing.Sequence[str]
) -> bool:
    """Whether another engine may load now.

    The engines that still serve must be able to take the load of all within
    the bound: with a bound of c times the mean, at most 1 - 1/c of a
    service's engines may load at the same time.
    """
    if len(loading) >= bundle.limits.loads_at_once:
        return False
    service = bundle.backends[name].service
    total = sum(
        backend.service == service for backend in bundle.backends.values()
    )
    loading_count = sum(
        bundle.backends[engine].service == service for engine in loading
    )
    max_loading = math.floor(total * (1 - 1 / bundle.limits.bound))
    return loading_count < max(1, max_loading)
