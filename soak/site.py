"""The nodes, the instances and the platform's instance list of a soak."""

import asyncio
import collections
import pathlib
import random
import shutil
import signal
import typing

from features.support import platform
from soak import backend
from soak import records as soak_records

HOST = 'yard.example'
MAIN_KEY = 'key-main'
_DISKLESS_NODES = 2
# Slots of each instance, by service; all others have more than are used.
_SLOTS = {'desk': 2}
_MANY_SLOTS = 64
_SMALL_INSTANCES = 2
ROUTE_TIMEOUT_MS = 3000
MEMORY_MB = 100  # of each machine, if there are slow readers
SMALL_SLOTS = _SLOTS['desk'] * _SMALL_INSTANCES
# Above the shutdown timeout of a node; a longer shutdown is a violation.
_SHUTDOWN_LIMIT_S = 12.0
# (path segment, route kind, resumable, service, maximum attempts)
_ROUTES = (
    ('app', 'idempotent', False, 'plain', 2),
    ('file', 'non_idempotent', False, 'plain', 1),
    ('chat', 'streaming', True, 'model', 2),
    ('talk', 'streaming', False, 'model', 1),
)
KINDS = tuple(route[0] for route in _ROUTES)
# Routes of a site that has a service with fewer slots than nodes.
_SMALL_ROUTES = (
    ('desk', 'non_idempotent', False, 'desk', 1),
    ('report', 'idempotent', False, 'plain', 2),
)


class Site(platform.Platform):
    """Runs the nodes of a soak and the instances behind them.

    :ivar core: the nodes that have a disk
    :ivar has_small_service: whether one has fewer slots than there are nodes
    :ivar versions: software version of the latest instance, by service
    :ivar disk_lost: whether a node has already lost its disk
    :ivar reserved: node names that a fault has reserved
    """

    def __init__(
        self,
        folder: pathlib.Path,
        records: soak_records.Records,
        rng: random.Random,
        *,
        has_small_service: bool = False,
    ) -> None:
        super().__init__(folder)
        self.has_small_service = has_small_service
        if has_small_service:
            self.contracts = 'pressure'
            self.memory_mb = MEMORY_MB
        self.records = records
        self.rng = rng
        self.core = list(self.nodes)
        self.nodes += [
            self.make_node(len(self.core) + 1 + number, disk=False)
            for number in range(_DISKLESS_NODES)
        ]
        self.instances: list[backend.Instance] = []
        self.versions = collections.defaultdict(lambda: 'v1')
        self.disk_lost = False
        self.reserved: dict[str, bool] = {}
        self._last_id = 0

    async def start(self) -> None:
        """Start the nodes and the first instances."""
        await super().start()
        small = _SMALL_INSTANCES if self.has_small_service else 0
        for service, count in (('plain', 2), ('model', 3), ('desk', small)):
            for _ in range(count):
                await self.add_instance(service)

    async def stop(self) -> None:
        """Stop all nodes, also suspended ones, and all instances."""
        for node in self.nodes:
            if node.process is not None:
                node.process.send_signal(signal.SIGCONT)
        await super().stop()
        for instance in self.instances:
            await instance.stop()

    # -- instances -------------------------------------------------------

    async def add_instance(
        self, service: str, version: str = ''
    ) -> backend.Instance:
        """Start an instance and add it to the platform's list.

        :param version: its software version; by default that of the latest
            instance of the service
        """
        self._last_id += 1
        self.versions[service] = version or self.versions[service]
        instance = backend.Instance(
            f'i-{service}-{self._last_id}',
            service,
            self.records,
            self.rng,
            self.versions[service],
            _SLOTS.get(service, _MANY_SLOTS),
        )
        await instance.start()
        self.instances.append(instance)
        self.publish_list()
        return instance

    async def remove_instance(self, instance: backend.Instance) -> None:
        """Remove an instance from the platform's list and stop it.

        Another fault may have removed it already.
        """
        if instance in self.instances:
            self.instances.remove(instance)
        self.publish_list()
        await instance.stop()

    def take_crashed(self) -> list[backend.Instance]:
        """Return the instances that crashed since the last call."""
        crashed = [instance for instance in self.instances if instance.crashed]
        for instance in crashed:
            instance.crashed = False
        return crashed

    async def send_fatal_request(
        self, node: platform.Node, part: str = ''
    ) -> None:
        """Send a request that crashes instances, under a new id.

        :param part: the id of the prompt part that crashes them; otherwise
            its body does
        """
        self._last_id += 1
        request_id = f'ending-{self._last_id}-1500'
        self.records.sent_request_ids.add(request_id)
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {MAIN_KEY}',
            'Attempt-Id': request_id,
            'Deadline-Ms': '1500',
        }
        body = backend.FATAL_BODY
        if part:
            headers['Prompt-Prefix'] = (
                f'a1:500,{part}:200,b{self._last_id % 8}:300,'
                f'c{self._last_id}:20'
            )
            body = request_id.encode()
        await self.request(node, 0, '/app/ending', body, headers)

    def count_running(self, version: str) -> int:
        """Return how many instances of engines have a software version."""
        return sum(
            instance.service == 'model'
            and instance.version == version
            and instance.state == 'ready'
            and not instance.failure_mode
            and not instance.retry_after_s
            and not instance.announces_shutdown
            for instance in self.instances
        )

    def publish_list(self) -> None:
        """Update the platform's list from the current instances."""
        self.list_entries = [
            instance.to_entry() for instance in self.instances
        ]

    # -- nodes -----------------------------------------------------------

    def kill(self, node: platform.Node) -> None:
        """Send SIGKILL to a node's process."""
        self.send_signal(node, signal.SIGKILL)

    def restart(self, node: platform.Node) -> None:
        """Start a node whose process has ended."""
        self.launch(node)

    def lose_disk(self, node: platform.Node) -> None:
        """Delete the data of a node whose process has ended."""
        assert node.data is not None
        self.disk_lost = True
        shutil.rmtree(node.data)
        node.data.mkdir()

    async def terminate(self, node: platform.Node) -> None:
        """Send SIGTERM and wait; record a violation if the process hangs."""
        assert node.process is not None
        process = node.process
        self.send_signal(node, signal.SIGTERM)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _SHUTDOWN_LIMIT_S
        while process.poll() is None and loop.time() < deadline:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.records.add_violation(
                f'{node.name} did not stop after SIGTERM'
            )
            self.kill(node)

    # -- configuration ---------------------------------------------------

    def make_configuration(
        self, version: int, salt: int
    ) -> dict[str, typing.Any]:
        """Return a valid configuration with an API key of its version.

        :param salt: distinguishes two contents of the same version
        """
        routes, small_services = _ROUTES, []
        if self.has_small_service:
            routes += _SMALL_ROUTES
            small_services = [
                {'name': 'desk', 'health_path': '/h', 'max_connections': 99}
            ]
        return {
            'version': version,
            'routes': [
                {
                    'name': f'r-{kind}',
                    'host': HOST,
                    'path_prefix': f'/{kind}/',
                    'route_kind': route_kind,
                    'timeout_ms': ROUTE_TIMEOUT_MS + salt,
                    'target_latency_ms': 400,
                    'priority': 0,
                    'service': service,
                    'max_attempts': attempts,
                    'public': False,
                    'sticky': service == 'model',
                    'resumable': resumable,
                    'gap_target_ms': 300,
                }
                for kind, route_kind, resumable, service, attempts in routes
            ],
            'services': [
                {'name': 'plain', 'health_path': '/h', 'max_connections': 99},
                {
                    'name': 'model',
                    'health_path': '/h',
                    'max_connections': 99,
                    'engine': {'slots': 64},
                },
                *small_services,
            ],
            'limits': {'idle_timeout_ms': 15000},
            'tenants': [
                {'name': 'district', 'api_keys': [MAIN_KEY]},
                {'name': 'guest', 'api_keys': [f'key-{version}']},
            ],
        }
