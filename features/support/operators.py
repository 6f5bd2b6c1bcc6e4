"""Operators who send configurations to simulated instances.

The instances run control replicas on a virtual clock and the handlers of the
platform's HTTP API; the streams of gateways to the leader are modelled.
"""

import asyncio
import collections.abc
import copy
import itertools
import json
import typing
import urllib.parse

import attrs
from tornado import httputil

from features.support import platform as platforms
from features.support import simulation
from honeyport.control import evacuations
from honeyport.control import replacement
from honeyport.control import replica
from honeyport.platform import pages
from honeyport.platform import replica as platform_replica
from honeyport.policy import addresses

_INTERNAL_PORT = 7340
_OPERATOR_PORT = 8229
_REPLACE_PATH = '/api/configuration/replace'
_DOMAIN = 'thu-duc'
EVACUATION_PATHS = (
    f'/api/evacuations/{_DOMAIN}/begin',
    f'/api/evacuations/{_DOMAIN}/finish',
)
_REVOCATION_S = 5.0
_MAX_NETWORK_DELAY_S = 0.005
# The operator's patience for one attempt, and its pauses between attempts.
_ATTEMPT_TIMEOUT_S = 1.0
_FIRST_BACKOFF_S = 0.25
_BACKOFF_FACTOR = 1.5
_MAX_REDIRECTS = 2
# A gateway's stream: pause between attempts, and the silence after which a
# leader that does not answer is given up.
_RECONNECT_DELAY_S = 0.1
_STREAM_TIMEOUT_S = 2.0
_POLL_S = 0.02
# The group counts as stable if nothing happened to it for this time.
_SETTLE_S = 4.0


class Gateway:
    """Model of a gateway's stream to the leader."""

    def __init__(self, site: 'Site', name: str) -> None:
        self._site = site
        self._name = name
        self._leader_name = ''
        self._answered_at = float('-inf')

    @property
    def leader(self) -> str:
        """The address that the gateway names as the leader's."""
        if not self._leader_name or addresses.is_isolated(self._silence_s):
            return ''
        return _internal_address(self._leader_name)

    @property
    def leader_silence_s(self) -> float:
        """Seconds since a leader last answered."""
        return self._silence_s

    @property
    def _silence_s(self) -> float:
        return _now() - self._answered_at

    async def run(self) -> None:
        """Keep a stream to the leader."""
        for name in itertools.cycle(self._site.group.names):
            for asked in (name, self._redirect(name)):
                if self._is_answered_by(asked):
                    await self._follow(asked)
            await asyncio.sleep(_RECONNECT_DELAY_S)

    def _redirect(self, name: str) -> str:
        """Return the leader that a replica names, or ``''``."""
        node = self._site.group.nodes.get(name)
        if node is None or not self._site.can_reach(self._name, name):
            return ''
        return node.leader_address.partition(':')[0]

    async def _follow(self, name: str) -> None:
        self._leader_name = name
        self._answered_at = _now()
        while self._silence_s < _STREAM_TIMEOUT_S:
            await asyncio.sleep(_POLL_S)
            if self._is_answered_by(name):
                self._answered_at = _now()
            elif self._site.can_reach(self._name, name):
                break
        self._leader_name = ''

    def _is_answered_by(self, name: str) -> bool:
        node = self._site.group.nodes.get(name)
        reachable = self._site.can_reach(self._name, name)
        return reachable and node is not None and node.leads


@attrs.define
class Order:
    """A request that an operator sends until it is acknowledged.

    :ivar attempts: for each attempt, when it began, the instance that was
        asked first, and the status of the last answer; 0 without one
    """

    path: str
    body: bytes
    sent_at: float
    acknowledged_at: float = float('inf')
    attempts: list[tuple[float, str, int]] = attrs.field(factory=list)


class Site:
    """Instances with and without control replicas, and an operator.

    :param gateway_count: number of instances without a replica
    :ivar unreachable: names of instances that answer nobody
    """

    def __init__(self, gateway_count: int, seed: int) -> None:
        self.group = simulation.Group(5, seed, replica.Options())
        self.group.initial_members = {
            name: _internal_address(name) for name in self.group.names
        }
        self.random = self.group.random
        names = [f'g{number}' for number in range(gateway_count)]
        self.names = self.group.names + names
        self.unreachable: set[str] = set()
        self._cut: set[str] = set()
        self._cut_gateways: set[str] = set()
        self.orders: list[Order] = []
        self._replica_events: list[tuple[float, bool]] = []
        self._gateways = {name: Gateway(self, name) for name in self.names}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all instances and wait for a leader."""
        for name in self.group.names:
            self.group.start(name)
        for gateway in self._gateways.values():
            self._tasks.append(asyncio.create_task(gateway.run()))
        await self.group.converge()
        self._record_event()

    async def stop(self) -> None:
        """Stop all instances and orders."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.group.stop()

    def can_reach(self, source: str, target: str) -> bool:
        """Whether packets between two instances arrive."""
        is_cut = (source, target) in self.group.cut_links or (
            source in self._cut_gateways and target in self.group.names
        )
        return not is_cut and not self.unreachable & {source, target}

    @property
    def leader(self) -> str:
        """The name of the replica that leads, or ``''``."""
        for node in self.group.nodes.values():
            if node.leads and node.name not in self.unreachable:
                return node.name
        return ''

    @property
    def lost_replicas(self) -> set[str]:
        """The replicas that are killed or cut off."""
        killed = set(self.group.names) - set(self.group.nodes)
        return killed | (self.unreachable & set(self.group.names)) | self._cut

    async def kill(self, name: str) -> None:
        """Kill the process of a replica."""
        await self.group.kill(name)
        self._record_event()

    def restart(self, name: str) -> None:
        """Start the process of a replica that was killed."""
        self.group.start(name)
        self._record_event()

    def disconnect(self, *names: str) -> None:
        """Cut instances off from all others, as without power."""
        self.unreachable |= set(names)
        self._update_links(names)

    def reconnect(self, *names: str) -> None:
        """Connect instances again, with the state they had."""
        self.unreachable -= set(names)
        self._update_links(names)

    def cut(self, name: str) -> None:
        """Cut a replica off from the others; gateways reach all of them."""
        self._cut.add(name)
        self._update_links([name])

    def heal(self, name: str) -> None:
        """Connect a replica to the others again."""
        self._cut.discard(name)
        self._update_links([name])

    def cut_gateway(self, name: str) -> None:
        """Cut an instance without a replica off from all replicas."""
        self._cut_gateways.add(name)

    def _update_links(self, names: collections.abc.Iterable[str]) -> None:
        self.group.heal()
        for name in self.group.names:
            if name in self.unreachable | self._cut:
                self.group.isolate(name)
        if set(names) & set(self.group.names):
            self._record_event()

    def _record_event(self) -> None:
        """Record that something happened to a replica or its links."""
        running = [
            name
            for name in self.group.names
            if name in self.group.nodes and name not in self.unreachable
        ]
        is_sound = len(running) > 2 and not self._cut
        self._replica_events.append((_now(), is_sound))

    def send_configuration(self, version: int, first: str = '') -> Order:
        """Send a configuration until it is acknowledged.

        :param first: the instance that is asked first; by default any
        """
        return self._start(_REPLACE_PATH, _document(version), first)

    async def ask(self, name: str) -> tuple[int, float]:
        """Send a configuration to one instance, and follow no redirect.

        :returns: the status of its answer, and the seconds until then
        """
        order = Order(_REPLACE_PATH, _document(1), _now())
        response = await self._request(name, order)
        return response.status, _now() - order.sent_at

    def send_evacuation(self, path: str, first: str = '') -> Order:
        """Send an order to evacuate a domain until it is acknowledged.

        :param path: one of ``EVACUATION_PATHS``
        :param first: the instance that is asked first; by default any
        """
        return self._start(path, b'', first)

    def _start(self, path: str, body: bytes, first: str) -> Order:
        order = Order(path, body, _now())
        self.orders.append(order)
        self._tasks.append(asyncio.create_task(self._send(order, first)))
        return order

    def stable_periods(self) -> list[tuple[float, float]]:
        """Return when the group was stable, as start and end.

        It is stable while most of the replicas run and are connected, from
        some time after the last event on.
        """
        ends = [at for at, _ in self._replica_events[1:]] + [_now()]
        return [
            (event_at + _SETTLE_S, end)
            for (event_at, is_sound), end in zip(
                self._replica_events, ends, strict=True
            )
            if is_sound and end > event_at + _SETTLE_S
        ]

    def is_stable(self, at: float) -> bool:
        """Whether the group was stable at a loop time."""
        return any(start <= at < end for start, end in self.stable_periods())

    def stable_wait_s(self, order: Order) -> float:
        """Return the longest wait for an acknowledgement in a stable time."""
        return max(
            (
                min(end, order.acknowledged_at) - max(start, order.sent_at)
                for start, end in self.stable_periods()
            ),
            default=0.0,
        )

    async def _send(self, order: Order, first: str) -> None:
        backoff_s = _FIRST_BACKOFF_S
        while True:
            name = first or self.random.choice(self.names)
            first = ''
            started_at = _now()
            try:
                async with asyncio.timeout(_ATTEMPT_TIMEOUT_S):
                    status = await self._attempt(name, order)
            except (OSError, TimeoutError):
                status = 0
            order.attempts.append((started_at, name, status))
            if status == 200:
                order.acknowledged_at = _now()
                return
            await asyncio.sleep(backoff_s)
            backoff_s *= _BACKOFF_FACTOR

    async def _attempt(self, name: str, order: Order) -> int:
        """Send an order to an instance, and follow redirects."""
        for _ in range(_MAX_REDIRECTS + 1):
            response = await self._request(name, order)
            if response.status != 307:
                break
            url = urllib.parse.urlsplit(response.headers['Location'])
            name = typing.cast(str, url.hostname)
        return response.status

    async def _request(self, name: str, order: Order) -> pages.Response:
        await self._transmit(name)
        node = self.group.nodes.get(name)
        if name in self.group.names and node is None:
            raise ConnectionRefusedError(name)
        request = httputil.HTTPServerRequest(
            method='POST', uri=order.path, body=order.body
        )
        response = await pages.respond(self._components(name, node), request)
        if self.group.nodes.get(name) is not node:
            raise ConnectionResetError(name)
        await self._transmit(name)
        return response

    async def _transmit(self, name: str) -> None:
        delay_s = self.random.uniform(0, _MAX_NETWORK_DELAY_S)
        await asyncio.sleep(delay_s)
        if name in self.unreachable:
            await asyncio.sleep(_ATTEMPT_TIMEOUT_S)
            raise TimeoutError(name)

    def _components(
        self, name: str, node: replica.Replica | None
    ) -> pages.Components:
        services = None
        if node is not None:
            services = platform_replica.OperatorServices(
                configurations=replacement.Replacements(node),
                evacuations=evacuations.Evacuations(node, lambda _: []),
                node=node,
            )
        return pages.Components(
            settings=typing.cast(typing.Any, _Settings(name)),
            gateway=typing.cast(typing.Any, self._gateways[name]),
            counters=typing.cast(typing.Any, None),
            operator_services=services,
        )


@attrs.frozen
class _Settings:
    """The settings that the handlers of operators' requests use."""

    name: str
    revocation_s: float = _REVOCATION_S
    regions: dict[str, str] = attrs.field(factory=lambda: {_DOMAIN: 'hcm'})

    @property
    def internal_address(self) -> str:
        return _internal_address(self.name)

    @property
    def operator_address(self) -> str:
        return f'{self.name}:{_OPERATOR_PORT}'


def _internal_address(name: str) -> str:
    return f'{name}:{_INTERNAL_PORT}'


def _document(version: int) -> bytes:
    configuration = {**copy.deepcopy(platforms.CONFIGURATION)}
    configuration['version'] = version
    return json.dumps(configuration).encode()


def _now() -> float:
    return asyncio.get_running_loop().time()
