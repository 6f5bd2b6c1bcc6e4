"""Orders to engines: load a model's version and adapters, take a role.

Only the leader orders. It reads an engine's state, compares it with what
the accepted bundle wants, and orders what is missing; an order may be
repeated without harm. Every order carries the leader's term as fencing
number. An engine that ignores the number may still carry out the order of
a former leader that was frozen on the way; the next reading finds that,
and the order is given anew.

Loads are few at a time: the weight store is rate-limited, and engines
that load do not serve.
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

_TIMEOUT_S = 2.0
_PAUSE_S = 0.2
_READERS = 16  # engines read at once


@attrs.frozen
class Wanted:
    """What an engine should be."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


@attrs.frozen
class Reading:
    """What an engine says it is."""

    models: dict[str, str]
    adapters: tuple[str, ...]
    role: str
    loading: bool

    def meets(self, wanted: Wanted) -> bool:
        """Whether nothing is left to order."""
        return (
            self.models == {wanted.model: wanted.version}
            and set(self.adapters) == set(wanted.adapters)
            and self.role == wanted.role
        )


class EngineReconciler:
    """Keeps all engines as the bundle wants them."""

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
        counters.gauge('orders_unmet', lambda: self._unmet)
        self._unmet = 0

    async def run(self) -> None:
        """Read and order while leading, until cancelled."""
        while True:
            await asyncio.sleep(_PAUSE_S)
            bundle = self._sessions.bundle
            if bundle is None or not self._in_charge():
                continue
            await self._round(bundle)
            await asyncio.sleep(bundle.timing.orders_ms / 1000)

    async def _round(self, bundle: model.Bundle) -> None:
        """Read all engines, then order what may be ordered now."""
        wanted = _wanted(bundle)
        readings = await self._read_all(bundle, list(wanted))
        loading = [name for name, found in readings.items() if found.loading]
        unmet = [
            name
            for name, found in readings.items()
            if not found.loading and not found.meets(wanted[name])
        ]
        self._unmet = len(unmet) + len(loading)
        for name in unmet:
            if _may_load(bundle, name, loading) and self._in_charge():
                await self._order(bundle, name, wanted[name])
                loading.append(name)

    def _in_charge(self) -> bool:
        """Whether we lead, and no former leader's lease still stands."""
        return self._node.leads and self._sessions.fleet.has_view

    async def _read_all(
        self, bundle: model.Bundle, names: list[str]
    ) -> dict[str, Reading]:
        room = asyncio.Semaphore(_READERS)

        async def one(name: str) -> tuple[str, Reading | None]:
            async with room:
                return name, await self._read(bundle.backends[name].address)

        pairs = await asyncio.gather(*(one(name) for name in names))
        return {name: found for name, found in pairs if found is not None}

    async def _read(self, address: str) -> Reading | None:
        request = http.Request(method='GET', path='/orders')
        try:
            start, body = await http.read(
                self._pool(address), request, _TIMEOUT_S
            )
            found = json.loads(body)
            return Reading(
                found['models'],
                tuple(found['adapters']),
                found['role'],
                found['loading'],
            )
        except (errors.HoneyportError, ValueError, KeyError, TypeError):
            return None

    async def _order(
        self, bundle: model.Bundle, name: str, wanted: Wanted
    ) -> None:
        body = json.dumps({'fence': self._node.term, **attrs.asdict(wanted)})
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


def _wanted(bundle: model.Bundle) -> dict[str, Wanted]:
    """Return what each engine of the bundle should be."""
    wanted = {}
    for name, backend in bundle.backends.items():
        service = bundle.services[backend.service]
        if service.kind != model.ENGINE or service.model is None:
            continue
        loaded = bundle.models[service.model]
        wanted[name] = Wanted(
            service.model, loaded.version, loaded.adapters, backend.role
        )
    return wanted


def _may_load(
    bundle: model.Bundle, name: str, loading: typing.Sequence[str]
) -> bool:
    """Whether one more engine may load now.

    The engines that go on serving must be able to carry the load of all
    within the bound: with a bound of c times the mean, no more than
    1 - 1/c of a service's engines may be away at once.
    """
    if len(loading) >= bundle.limits.loads_at_once:
        return False
    service = bundle.backends[name].service
    count = sum(one.service == service for one in bundle.backends.values())
    away = sum(bundle.backends[one].service == service for one in loading)
    spare = math.floor(count * (1 - 1 / bundle.limits.bound))
    return away < max(1, spare)
