"""The processes of one soak, the backend servers and the platform's list."""

import asyncio
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
_WITHOUT_DISK = 2
# Longer than a node takes to end what it does after SIGTERM (7 s) and less
# than a hang that must be seen.
_STOP_S = 12.0
# kind of request: path, route kind, resumable, service, attempts
_ROUTES = (
    ('app', 'idempotent', False, 'plain', 2),
    ('file', 'non_idempotent', False, 'plain', 1),
    ('chat', 'streaming', True, 'model', 2),
    ('talk', 'streaming', False, 'model', 1),
)
KINDS = tuple(route[0] for route in _ROUTES)


class Site(platform.Platform):
    """Nodes with and without disks, and the instances behind them."""

    def __init__(
        self,
        folder: pathlib.Path,
        found: soak_records.Records,
        chance: random.Random,
    ) -> None:
        super().__init__(folder)
        self.found = found
        self.chance = chance
        self.core = list(self.nodes)
        self.nodes += [
            self.make_node(len(self.core) + 1 + number, disk=False)
            for number in range(_WITHOUT_DISK)
        ]
        self.instances: list[backend.Instance] = []
        self.disk_lost = False
        self.busy: dict[str, bool] = {}
        self._count = 0

    async def start(self) -> None:
        """Start everything."""
        await super().start()
        for service, count in (('plain', 2), ('model', 3)):
            for _ in range(count):
                await self.add_instance(service)

    async def stop(self) -> None:
        """End our own processes and servers."""
        for node in self.nodes:
            if node.process is not None:
                node.process.send_signal(signal.SIGCONT)
        await super().stop()
        for instance in self.instances:
            await instance.stop()

    # -- instances -------------------------------------------------------

    async def add_instance(self, service: str) -> backend.Instance:
        """Start an instance and list it."""
        self._count += 1
        instance = backend.Instance(
            f'i-{service}-{self._count}', service, self.found, self.chance
        )
        await instance.start()
        self.instances.append(instance)
        self.tell()
        return instance

    async def remove_instance(self, instance: backend.Instance) -> None:
        """End an instance and take it off the list.

        Another fault may have ended it already.
        """
        if instance in self.instances:
            self.instances.remove(instance)
        self.tell()
        await instance.stop()

    def take_ended(self) -> list[backend.Instance]:
        """Return the instances that a request has ended since."""
        found = [one for one in self.instances if one.ended]
        for one in found:
            one.ended = False
        return found

    async def send_ending(self, node: platform.Node) -> None:
        """Send the request that ends instances, under a new id."""
        self._count += 1
        request_id = f'ending-{self._count}-1500'
        self.found.asked.add(request_id)
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {MAIN_KEY}',
            'Attempt-Id': request_id,
            'Deadline-Ms': '1500',
        }
        await self.request(node, 0, '/app/ending', backend.ENDING, headers)

    def tell(self) -> None:
        """Bring the platform's list up to date."""
        self.list_entries = [one.to_entry() for one in self.instances]

    # -- nodes -----------------------------------------------------------

    def kill(self, node: platform.Node) -> None:
        """End a process at once."""
        self.send_signal(node, signal.SIGKILL)

    def restart(self, node: platform.Node) -> None:
        """Start a process that has ended."""
        self.launch(node)

    def lose_disk(self, node: platform.Node) -> None:
        """Empty the data folder of a node whose process has ended."""
        assert node.data is not None
        self.disk_lost = True
        shutil.rmtree(node.data)
        node.data.mkdir()

    async def terminate(self, node: platform.Node) -> None:
        """Send SIGTERM and wait for the end; note it if there is none."""
        assert node.process is not None
        process = node.process
        self.send_signal(node, signal.SIGTERM)
        loop = asyncio.get_running_loop()
        until = loop.time() + _STOP_S
        while process.poll() is None and loop.time() < until:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.found.note(f'{node.name} did not stop after SIGTERM')
            self.kill(node)

    # -- configuration ---------------------------------------------------

    def configuration(self, version: int, salt: int) -> dict[str, typing.Any]:
        """Return a valid configuration; its key is its version's own.

        :param salt: makes the contents of one version differ
        """
        return {
            'version': version,
            'routes': [
                {
                    'name': f'r-{kind}',
                    'host': HOST,
                    'path_prefix': f'/{kind}/',
                    'route_kind': semantics,
                    'timeout_ms': 3000 + salt,
                    'target_latency_ms': 400,
                    'priority': 0,
                    'service': service,
                    'max_attempts': attempts,
                    'public': False,
                    'sticky': service == 'model',
                    'resumable': resumable,
                    'gap_target_ms': 300,
                }
                for kind, semantics, resumable, service, attempts in _ROUTES
            ],
            'services': [
                {'name': 'plain', 'health_path': '/h', 'max_connections': 99},
                {
                    'name': 'model',
                    'health_path': '/h',
                    'max_connections': 99,
                    'engine': {'slots': 64},
                },
            ],
            'limits': {'idle_timeout_ms': 15000},
            'tenants': [
                {'name': 'district', 'api_keys': [MAIN_KEY]},
                {'name': 'guest', 'api_keys': [f'key-{version}']},
            ],
        }
