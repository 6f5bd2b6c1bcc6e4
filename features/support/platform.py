"""A test double of the platform, with honeyport processes on loopback."""

import asyncio
import contextlib
import copy
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import time
import typing

import attrs
from tornado import httpclient
from tornado import simple_httpclient
from tornado import web

from features.support import redirected
from features.support import suspendable
from honeyport import local

_ROOT = pathlib.Path(__file__).parent.parent.parent
_SUSPENDABLE = pathlib.Path(__file__).with_name('suspendable.py')
_REDIRECTED = pathlib.Path(__file__).with_name('redirected.py')
_SETTINGS = """\
node_name={name}
zone={zone}
region=hcm
zones.thu-duc=hcm
zones.tan-binh=hcm
zones.binh-chanh=hcm
ip={ip}
listen.frontend={ip}:{ports[0]}
listen.ready={ip}:{ports[1]}
listen.control_plane={ip}:{ports[2]}
listen.directory={ip}:{ports[3]}
internal_port_range={ports[4]},{ports[4]}
seeds={seeds}
bootstrap={bootstrap}
data_directory={data}
fault_counted=true
fault_tolerance.machines={losses}
cloud.address={cloud}
bounds.revocation_ms=5000
bounds.grace_period_s=8
bounds.ttl_max_s=5
contracts={contracts}
limits.memory_mb={memory_mb}
limits.file_descriptors={file_descriptors}
"""
_ZONES = ('thu-duc', 'tan-binh', 'binh-chanh')
_WITH_DISKS = (1, 2, 3)
_WITHOUT_DISK = 9
_REQUEST_TIMEOUT_S = 2.0
KEY = 'key-of-district'
CONFIGURATION: dict[str, typing.Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'yard.example',
            'path_prefix': '/app/',
            'route_kind': 'idempotent',
            'timeout_ms': 2000,
            'target_latency_ms': 300,
            'priority': 0,
            'service': 'app',
            'max_attempts': 2,
            'public': False,
        }
    ],
    'services': [
        {'name': 'app', 'health_path': '/health', 'max_connections': 99}
    ],
    'limits': {'idle_timeout_ms': 15000},
    'tenants': [{'name': 'district', 'api_keys': [KEY]}],
    'unknown_field': {'kept': True},
}


@attrs.define
class Node:
    """An instance of honeyport: its addresses, files and process.

    :ivar data: the data folder, or ``None`` without a disk
    :ivar suspended_s: how long its machine was suspended in all, in seconds
    """

    number: int
    name: str
    zone: str
    ip: str
    data: pathlib.Path | None
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    suspended_s: float = 0.0

    @property
    def suspended_file(self) -> pathlib.Path:
        """The file that contains ``suspended_s``."""
        return self.settings.with_suffix('.suspended')

    @property
    def redirects_file(self) -> pathlib.Path:
        """The file with the addresses that its connections go to."""
        return self.settings.with_suffix('.redirects')


class _InstanceListHandler(web.RequestHandler):
    def initialize(self, platform: 'Platform') -> None:
        self._platform = platform

    def get(self) -> None:
        if not self._platform.list_available:
            self.send_error(500)
            return
        self.write({'instances': self._platform.list_entries, 'next': None})


class _ServiceHandler(web.RequestHandler):
    """The only instance of the service ``app``."""

    def initialize(self, platform: 'Platform') -> None:
        self._platform = platform

    def post(self) -> None:
        self.get()

    def get(self) -> None:
        headers = self.request.headers
        self._platform.executed_ids.append(headers['Attempt-Id'])
        self.set_header('Attempt-Id', headers['Attempt-Id'])
        self.set_header('Response-Signature', 'd1')
        self.write('done for ' + headers['Tenant'])


class Platform:
    """Runs nodes with and without disks, an instance list and a service.

    :ivar executed_ids: ids of the requests that the service ran
    :ivar list_entries: the entries of the instance list
    :ivar configurations: the acknowledged configurations by version
    :ivar contracts: names of the contracts in the settings
    :ivar memory_mb: memory of each machine in the settings
    :ivar file_descriptors: file descriptors of each process, by the settings
        and its resource limit; 0 for those of this process
    :ivar seeds: the IP addresses of the seeds in the settings
    :ivar target_node: the node that gets all operator requests, or ``None``
        for each node in turn
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )
        self.executed_ids: list[str] = []
        self.list_entries: list[dict[str, typing.Any]] = []
        self.list_available = True
        self.tolerated_losses = 1
        self.suspendable = False
        self.redirected = False
        self.contracts = ''
        self.memory_mb = 200
        self.file_descriptors = 0
        self.configurations: dict[int, typing.Any] = {}
        self.ports = _free_ports(5)
        self.nodes = [self.make_node(number) for number in _WITH_DISKS]
        self.seeds = [node.ip for node in self.nodes]
        self._operator_requests = 0
        self.target_node: Node | None = None

    def node(self, number: int) -> Node:
        """Return the node with a number."""
        return next(node for node in self.nodes if node.number == number)

    def add_node_without_disk(self, number: int = _WITHOUT_DISK) -> None:
        """Add a node without a disk, before the start."""
        self.nodes.append(self.make_node(number, disk=False))

    async def start(self) -> None:
        """Start the servers and the processes of all nodes."""
        self._list_address = local.free_address()
        service_address = local.free_address()
        self.list_entries = [
            {
                'id': 'i-1',
                'service': 'app',
                'address': service_address,
                'zone': _ZONES[0],
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_remaining_ms': 0,
            }
        ]
        options = {'platform': self}
        self._servers = [
            _listen(
                self._list_address,
                [('/instances', _InstanceListHandler, options)],
            ),
            _listen(service_address, [('/app/.*', _ServiceHandler, options)]),
        ]
        for node in self.nodes:
            self.launch(node, first=True)

    async def stop(self) -> None:
        """Kill the processes of all nodes and stop the servers."""
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        for server in self._servers:
            server.stop()

    def set_seeds(self, nodes: list[Node]) -> None:
        """Change the seeds in all settings, and make all nodes reload them."""
        self.seeds = [node.ip for node in nodes]
        for node in self.nodes:
            self.reload_settings(node)

    def reload_settings(self, node: Node) -> None:
        """Write a node's settings again, and send it SIGHUP."""
        self._write_settings(node, first=False)
        self.send_signal(node, signal.SIGHUP)

    def launch(self, node: Node, *, first: bool = False) -> None:
        """Start a node's process.

        :param first: whether the whole system starts for the first time
        """
        self._write_settings(node, first=first)
        program = [str(_ROOT / 'launch.py')]
        environment = {'HONEYPORT_BOOT': str(node.settings)}
        if self.suspendable:
            program.insert(0, str(_SUSPENDABLE))
            environment[suspendable.PATH_VARIABLE] = str(node.suspended_file)
            self._write_suspended(node)
        if self.redirected:
            program.insert(0, str(_REDIRECTED))
            environment[redirected.PATH_VARIABLE] = str(node.redirects_file)
            if not node.redirects_file.exists():
                node.redirects_file.write_text('{}', encoding='utf-8')
        node.process = subprocess.Popen(
            [sys.executable, *program],
            env={**os.environ, **environment},
            stdout=node.log.open('ab'),
            stderr=subprocess.STDOUT,
        )
        if self.file_descriptors:
            resource.prlimit(
                node.process.pid,
                resource.RLIMIT_NOFILE,
                (self.file_descriptors, self.file_descriptors),
            )

    def suspend(self, node: Node) -> None:
        """Suspend a node's machine."""
        self.send_signal(node, signal.SIGSTOP)
        node.suspended_s -= time.monotonic()

    def resume(self, node: Node) -> None:
        """Resume a node's machine."""
        node.suspended_s += time.monotonic()
        self._write_suspended(node)
        self.send_signal(node, signal.SIGCONT)

    def _write_suspended(self, node: Node) -> None:
        # Written in place, because the process has the file mapped.
        mode = 'r+b' if node.suspended_file.exists() else 'wb'
        with node.suspended_file.open(mode) as file:
            file.write(suspendable.DURATION_S.pack(node.suspended_s))

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a node's process; after SIGKILL await its end."""
        assert node.process is not None
        node.process.send_signal(number)
        if number == signal.SIGKILL:
            node.process.wait()

    async def wait_for_port(self, node: Node) -> None:
        """Wait until a node listens for callers."""
        while True:
            try:
                _, writer = await asyncio.open_connection(
                    node.ip, self.ports[0]
                )
            except OSError:
                await asyncio.sleep(0.001)
                continue
            writer.close()
            return

    async def replace_configuration(
        self, changes: dict[str, typing.Any]
    ) -> int:
        """Send a configuration until it is acknowledged or refused.

        :param changes: the fields that differ from ``CONFIGURATION``
        :returns: the HTTP status
        """
        configuration = {**copy.deepcopy(CONFIGURATION), **changes}
        while True:
            node = (
                self.target_node
                or self.nodes[self._operator_requests % len(self.nodes)]
            )
            self._operator_requests += 1
            status, _ = await self.request(
                node, 2, '/api/configuration/replace', configuration
            )
            if status in (200, 400):
                if status == 200:
                    self.configurations.setdefault(
                        configuration['version'], configuration
                    )
                return status
            await asyncio.sleep(0.05)

    async def order_evacuation(self, domain: str, verb: str) -> int:
        """Send an evacuation order until it is acknowledged or refused.

        :returns: the HTTP status
        """
        path = f'/api/evacuations/{domain}/{verb}'
        while True:
            node = (
                self.target_node
                or self.nodes[self._operator_requests % len(self.nodes)]
            )
            self._operator_requests += 1
            status, _ = await self.request(node, 2, path, b'')
            if 0 < status < 500:
                return status
            await asyncio.sleep(0.05)

    async def request(
        self,
        node: Node,
        port: int,
        path: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a request to a port of a node.

        :param port: the port's index in ``ports``
        :returns: status and body; status 0 without a response
        """
        url = f'http://{node.ip}:{self.ports[port]}{path}'
        response = await self.fetch(url, body, headers, redirects=2)
        if response is None:
            return 0, b''
        return response.code, response.body

    async def fetch(
        self,
        url: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
        *,
        redirects: int = 0,
    ) -> httpclient.HTTPResponse | None:
        """Return the response to a request, or ``None`` without one."""
        request = httpclient.HTTPRequest(
            url,
            method='POST' if body is not None else 'GET',
            body=_to_bytes(body),
            headers=headers or {},
            request_timeout=_REQUEST_TIMEOUT_S,
            connect_timeout=_REQUEST_TIMEOUT_S,
            follow_redirects=redirects > 0,
            max_redirects=redirects,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return None

    async def send_request(
        self,
        node: Node,
        name: str,
        path: str = '/app/x',
        text: str = '',
        *,
        parts: typing.Sequence[str] = (),
    ) -> tuple[int, bytes]:
        """Send a caller's request to a node; POST if it has a text.

        :param name: the id of the attempt
        :param parts: ids of the parts of its prompt
        :returns: status and body; status 0 without a response
        """
        headers = {
            'Host': 'yard.example',
            'Authorization': f'Bearer {KEY}',
            'Attempt-Id': name,
            'Deadline-Ms': '2000',
        }
        if parts:
            prompt = ','.join(f'{part}:100' for part in parts)
            headers['Prompt-Prefix'] = prompt
        return await self.request(
            node, 0, path, text.encode() or None, headers=headers
        )

    def make_node(self, number: int, *, disk: bool = True) -> Node:
        """Return a new node, without starting its process."""
        zone = _ZONES[(number - 1) % len(_ZONES)]
        name = f'edge-{zone}-{number}'
        octet = local.HOST.rpartition('.')[2]
        data = self._folder / f'data-{number}' if disk else None
        if data is not None:
            data.mkdir()
        return Node(
            number,
            name,
            zone,
            f'127.0.{octet}.{number}',
            data,
            self._folder / f'boot-{number}',
            self._folder / f'{name}.log',
        )

    def _write_settings(self, node: Node, *, first: bool) -> None:
        seeds = ','.join(f'{ip}:{self.ports[2]}' for ip in self.seeds)
        node.settings.write_text(
            _SETTINGS.format(
                name=node.name,
                zone=node.zone,
                ip=node.ip,
                ports=self.ports,
                seeds=seeds,
                bootstrap=str(first).lower(),
                data=node.data or '',
                cloud=self._list_address,
                losses=self.tolerated_losses,
                contracts=self.contracts,
                memory_mb=self.memory_mb,
                file_descriptors=self.file_descriptors
                or resource.getrlimit(resource.RLIMIT_NOFILE)[0],
            )
        )


def _to_bytes(body: typing.Any) -> bytes | None:
    """Return a body as bytes, encoded as JSON unless it is bytes."""
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def _listen(address: str, routes: list[typing.Any]) -> typing.Any:
    host, _, port = address.rpartition(':')
    application = web.Application(routes, log_function=lambda _: None)
    return application.listen(int(port), host)


def _free_ports(count: int) -> list[int]:
    """Return free ports, chosen by the operating system."""
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((local.HOST, 0))
            ports.append(probe.getsockname()[1])
        return ports
