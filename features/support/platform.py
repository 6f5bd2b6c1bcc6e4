"""The users' platform as far as the adapter sees it, on loopback."""

import asyncio
import contextlib
import copy
import json
import os
import pathlib
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

from features.support import suspendable
from honeyport import local

_ROOT = pathlib.Path(__file__).parent.parent.parent
_SUSPENDABLE = pathlib.Path(__file__).with_name('suspendable.py')
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
"""
_ZONES = ('thu-duc', 'tan-binh', 'binh-chanh')
_WITH_DISKS = (1, 2, 3)
_WITHOUT_DISK = 9
_ASK_S = 2.0
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
    'of_tomorrow': {'kept': True},
}


@attrs.define
class Node:
    """One instance of the system, its addresses and its process."""

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
    def suspended(self) -> pathlib.Path:
        """The file that says for how long its machine was suspended."""
        return self.settings.with_suffix('.suspended')


class _Listing(web.RequestHandler):
    def initialize(self, platform: 'Platform') -> None:
        self._platform = platform

    def get(self) -> None:
        if not self._platform.list_available:
            self.send_error(500)
            return
        self.write({'instances': self._platform.list_entries, 'next': None})


class _Work(web.RequestHandler):
    """The one instance of the service ``app``."""

    def initialize(self, platform: 'Platform') -> None:
        self._platform = platform

    def get(self) -> None:
        headers = self.request.headers
        self._platform.runs.append(headers['Attempt-Id'])
        self.set_header('Attempt-Id', headers['Attempt-Id'])
        self.set_header('Response-Signature', 'd1')
        self.write('done for ' + headers['Tenant'])


class Platform:
    """Instances with and without disks, an instance list and a service."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )
        self.runs: list[str] = []
        self.list_entries: list[dict[str, typing.Any]] = []
        self.list_available = True
        self.losses = 1
        self.suspendable = False
        self.sent: dict[int, typing.Any] = {}
        self.ports = _free_ports(5)
        self.nodes = [self.make_node(number) for number in _WITH_DISKS]
        self.seeds = [node.ip for node in self.nodes]
        self._asked = 0
        self.only: Node | None = None

    def node(self, number: int) -> Node:
        """Return the node that a scenario names by its number."""
        return next(node for node in self.nodes if node.number == number)

    def add_gateway(self) -> None:
        """Have a node without a disk among those that start."""
        self.nodes.append(self.make_node(_WITHOUT_DISK, disk=False))

    async def start(self) -> None:
        """Start everything."""
        self._cloud = local.free_address()
        work = local.free_address()
        self.list_entries = [
            {
                'id': 'i-1',
                'service': 'app',
                'address': work,
                'zone': _ZONES[0],
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_remaining_ms': 0,
            }
        ]
        options = {'platform': self}
        self._servers = [
            _listen(self._cloud, [('/instances', _Listing, options)]),
            _listen(work, [('/app/.*', _Work, options)]),
        ]
        for node in self.nodes:
            self.launch(node, first=True)

    async def stop(self) -> None:
        """End our own processes."""
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        for server in self._servers:
            server.stop()

    def set_seeds(self, nodes: list[Node]) -> None:
        """Write other seeds into the settings of all, and say so."""
        self.seeds = [node.ip for node in nodes]
        for node in self.nodes:
            self.tell_settings(node)

    def tell_settings(self, node: Node) -> None:
        """Write the settings of a node anew, and say so."""
        self._write_settings(node, first=False)
        self.send_signal(node, signal.SIGHUP)

    def launch(self, node: Node, *, first: bool = False) -> None:
        """Start a node's process."""
        self._write_settings(node, first=first)
        program = [str(_ROOT / 'launch.py')]
        variables = {'HONEYPORT_BOOT': str(node.settings)}
        if self.suspendable:
            program.insert(0, str(_SUSPENDABLE))
            variables[suspendable.VARIABLE] = str(node.suspended)
            self._note_suspended(node)
        node.process = subprocess.Popen(
            [sys.executable, *program],
            env={**os.environ, **variables},
            stdout=node.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def suspend(self, node: Node) -> None:
        """Suspend a node's machine."""
        self.send_signal(node, signal.SIGSTOP)
        node.suspended_s -= time.monotonic()

    def resume(self, node: Node) -> None:
        """Wake a node's machine."""
        node.suspended_s += time.monotonic()
        self._note_suspended(node)
        self.send_signal(node, signal.SIGCONT)

    def _note_suspended(self, node: Node) -> None:
        # In place: the process has the file mapped.
        mode = 'r+b' if node.suspended.exists() else 'wb'
        with node.suspended.open(mode) as file:
            file.write(suspendable.SECONDS.pack(node.suspended_s))

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        assert node.process is not None
        node.process.send_signal(number)
        if number == signal.SIGKILL:
            node.process.wait()

    async def await_port(self, node: Node) -> None:
        """Return when a node listens for callers."""
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

    async def replace(self, change: dict[str, typing.Any]) -> int:
        """Send a configuration until there is a clear response."""
        tree = {**copy.deepcopy(CONFIGURATION), **change}
        while True:
            node = self.only or self.nodes[self._asked % len(self.nodes)]
            self._asked += 1
            status, _ = await self.request(
                node, 2, '/api/configuration/replace', tree
            )
            if status in (200, 400):
                if status == 200:
                    self.sent.setdefault(tree['version'], tree)
                return status
            await asyncio.sleep(0.05)

    async def evacuate(self, domain: str, verb: str) -> int:
        """Send an order for a failure domain until it is clear."""
        path = f'/api/evacuations/{domain}/{verb}'
        while True:
            node = self.only or self.nodes[self._asked % len(self.nodes)]
            self._asked += 1
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
        """Ask one port of a node; status 0 if nothing came."""
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
        """Return the answer to one call, or ``None`` if nothing came."""
        request = httpclient.HTTPRequest(
            url,
            method='POST' if body is not None else 'GET',
            body=_to_bytes(body),
            headers=headers or {},
            request_timeout=_ASK_S,
            connect_timeout=_ASK_S,
            follow_redirects=redirects > 0,
            max_redirects=redirects,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return None

    async def call(
        self, node: Node, name: str, path: str = '/app/x', text: str = ''
    ) -> tuple[int, bytes]:
        """Send a caller's request to a node; POST if it has a text."""
        headers = {
            'Host': 'yard.example',
            'Authorization': f'Bearer {KEY}',
            'Attempt-Id': name,
            'Deadline-Ms': '2000',
        }
        return await self.request(
            node, 0, path, text.encode() or None, headers=headers
        )

    def make_node(self, number: int, *, disk: bool = True) -> Node:
        """Return a node whose process is not started yet."""
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
                cloud=self._cloud,
                losses=self.losses,
            )
        )


def _to_bytes(body: typing.Any) -> bytes | None:
    """Return what is sent: bytes as they are, anything else as JSON."""
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def _listen(address: str, routes: list[typing.Any]) -> typing.Any:
    host, _, port = address.rpartition(':')
    application = web.Application(routes, log_function=lambda _: None)
    return application.listen(int(port), host)


def _free_ports(count: int) -> list[int]:
    """Return ports that the system chose, the same on all hosts."""
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((local.HOST, 0))
            ports.append(probe.getsockname()[1])
        return ports
