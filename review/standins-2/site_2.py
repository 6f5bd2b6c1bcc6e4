"""A small site on loopback: the project's processes and stand-ins.

Only the standard library is used. The processes are started with the command
of the deploy file; the platform's list, the replicas, the clients and the
operator are stand-ins that speak what the users' pages say.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import string
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('sala-heredia', 'sala-cartago', 'sala-alajuela')
REGION = 'valle-central'
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
COMMAND = ('python3', '-S', '-OO', 'launch.py')  # deploy/system.toml
# Values of the small deployment pmt-honeyport.
_SETTINGS = """\
node_name={name}
role=node
machine_class=edge
serves=edge,control,registry
ip={ip}
zone={zone}
region=valle-central
zones.sala-heredia=valle-central
zones.sala-cartago=valle-central
zones.sala-alajuela=valle-central
listen.frontend={ip}:{ports[0]}
listen.ready={ip}:{ports[1]}
listen.control_plane={ip}:{ports[2]}
listen.directory={ip}:{ports[3]}
internal_port_range={ports[4]},{last_port}
seeds={seeds}
bootstrap={bootstrap}
fault_counted={counted}
limits.cpu_share=0.968
limits.cores=2
limits.memory_mb=300
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=64
data_directory={data}
discovery=cloud_api
entry=registry
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=3000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.revocation_strict=true
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=58
bounds.recovery_s=12
bounds.pass_ms=120
bounds.reuse_window_s=10
bounds.load_imbalance_factor=2
bounds.ttl_max_s=5
config_mode=highest
cloud.address={cloud}
cloud.rate_per_s=50.0
cloud.duties=
cloud.max_lag_ms=800
"""


def name(length=7):
    """Return a random name, as the platform makes them."""
    letters = string.ascii_lowercase + string.digits
    return ''.join(random.choices(letters, k=length))


class Record:
    """The file ``record.txt``: one line for each event, with its time."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def add(self, text):
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Node:
    """One machine of the system."""

    def __init__(self, number, ip, folder, *, disk):
        self.number = number
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.name = f'edge-{self.zone}-{number}'
        self.ip = ip
        self.data = folder / f'data-{number}' if disk else None
        if self.data is not None:
            self.data.mkdir()
        self.settings = folder / f'local-{number}.conf'
        self.log_path = folder / f'{self.name}.log'
        self.process = None


class Site:
    """The processes of a small deployment, and the platform's list."""

    def __init__(self, record, *, core=3, others=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.ports = _free_ports(5)
        net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        self.net = net
        self.nodes = [
            Node(number, f'{net}.{number}', self.folder, disk=number <= core)
            for number in range(1, core + others + 1)
        ]
        self.core = self.nodes[:core]
        self.cloud = f'{net}.200:{self.ports[0]}'
        self.replicas = []
        self._servers = []

    async def start(self):
        """Start the platform's list and all processes."""
        host, _, port = self.cloud.rpartition(':')
        self._servers.append(
            await asyncio.start_server(self._serve_list, host, int(port))
        )
        for node in self.nodes:
            self.launch(node, first=True)

    async def stop(self):
        """End all processes, and remove the folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for server in self._servers:
            server.close()
        for replica in self.replicas:
            replica.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def launch(self, node, *, first=False):
        """Start the process of a machine."""
        node.settings.write_text(
            _SETTINGS.format(
                name=node.name,
                ip=node.ip,
                zone=node.zone,
                ports=self.ports,
                last_port=self.ports[4] + 15,
                seeds=','.join(
                    f'{member.ip}:{self.ports[2]}' for member in self.core
                ),
                bootstrap=str(first).lower(),
                counted=str(node.data is not None).lower(),
                data=node.data or '',
                cloud=self.cloud,
            ),
            encoding='utf-8',
        )
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['HONEYPORT_BOOT'] = str(node.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with node.log_path.open('ab') as log:
            node.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f'started {node.name} pid {node.process.pid}')

    def kill(self, node):
        """Kill the process of a machine."""
        node.process.kill()
        node.process.wait()
        self.record.add(f'killed {node.name}')

    def signal(self, node, number):
        node.process.send_signal(number)
        self.record.add(f'sent {signal.Signals(number).name} to {node.name}')

    async def add_replica(self, replica):
        """Start a replica and list it."""
        replica.address = await replica.listen(
            f'{self.net}.{100 + len(self.replicas)}'
        )
        self.replicas.append(replica)

    async def _serve_list(self, reader, writer):
        try:
            while await read_message(reader):
                entries = [
                    replica.entry() for replica in self.replicas
                    if replica.is_listed
                ]
                body = json.dumps({'instances': entries, 'next': None})
                writer.write(response(200, body.encode()))
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    # -- the operator ------------------------------------------------------

    async def control(self, node, method, path, body=b'', timeout_s=1.0):
        """Call a node as the operator does, and follow a 307 twice.

        :returns: status and body; status 0 without a response
        """
        address = f'{node.ip}:{self.ports[2]}'
        for _ in range(3):
            try:
                status, headers, answer = await asyncio.wait_for(
                    call(address, method, path, {}, body), timeout_s
                )
            except (OSError, asyncio.IncompleteReadError, ValueError):
                return 0, b''
            except asyncio.TimeoutError:
                return 0, b''
            if status != 307:
                return status, answer
            location = headers['location'].removeprefix('http://')
            address, _, rest = location.partition('/')
            path = '/' + rest
        return status, answer

    async def replace(self, configuration, deadline_s=20.0, timeout_s=4.0):
        """Send a configuration until it is acknowledged or refused."""
        body = json.dumps(configuration).encode()
        end = time.monotonic() + deadline_s
        pause_s = 0.05
        while time.monotonic() < end:
            node = random.choice(self.core)
            status, _ = await self.control(
                node, 'POST', '/api/configuration/replace', body, timeout_s
            )
            if status in (200, 400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.5)
        return 0

    async def ready(self, node):
        try:
            status, _, _ = await asyncio.wait_for(
                call(
                    f'{node.ip}:{self.ports[1]}', 'GET', '/api/readiness', {}
                ),
                1.0,
            )
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all machines are ready; return whether they are."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            states = [await self.ready(node) for node in self.nodes]
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, node, path, headers=None, body=b'', method='GET',
                      deadline_ms=3000):
        """Send a client's request on a new channel.

        :returns: id, status, headers, body; status 0 for a closed channel
        """
        attempt_id = name(16)
        sent = {
            'Host': HOST,
            'Attempt-Id': attempt_id,
            'Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
            **(headers or {}),
        }
        try:
            status, answer_headers, answer = await asyncio.wait_for(
                call(
                    f'{node.ip}:{self.ports[0]}', method, path, sent, body
                ),
                deadline_ms / 1000 + 1.0,
            )
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return attempt_id, 0, {}, b''
        except asyncio.TimeoutError:
            return attempt_id, 0, {}, b''
        return attempt_id, status, answer_headers, answer


class Replica:
    """A replica of a plain service; subclasses change how it answers."""

    slots = 6

    def __init__(self, record, service, zone=ZONES[0], work_s=0.02):
        self.record = record
        self.id = f'i-{name(8)}'
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.address = ''
        self.state = 'ready'
        self.is_listed = True
        self.ran = []
        self._server = None
        self._writers = set()

    def entry(self):
        return {
            'id': self.id,
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
        }

    async def listen(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        return '%s:%d' % self._server.sockets[0].getsockname()[:2]

    def close(self):
        """Stop listening and reset all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                await self.answer(message, writer)
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, message, writer):
        method, path, headers, body = message
        attempt_id = headers.get('attempt-id', '')
        if path == '/health':
            writer.write(response(200, b'', {'Instance-Id': self.id}))
            return
        if headers.get('expected-instance', self.id) != self.id:
            writer.write(response(
                421, b'', {'Attempt-Id': attempt_id, 'Not-Executed': '1'}
            ))
            return
        self.ran.append(attempt_id)
        await self.run(message, writer)

    async def run(self, message, writer):
        attempt_id = message[2].get('attempt-id', '')
        await asyncio.sleep(self.work_s)
        writer.write(self.success(attempt_id, b'done ' + attempt_id.encode()))

    def success(self, attempt_id, body, headers=None):
        return response(200, body, {
            'Attempt-Id': attempt_id,
            'Response-Signature': f'sig.{attempt_id}',
            **(headers or {}),
        })


def configuration(version, routes, services, keys=(KEY,)):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {'name': TENANT, 'api_keys': list(keys), 'priority': 1}
        ],
    }


def route(prefix, service, kind, **fields):
    return {
        'name': f'r-{name()}',
        'host': HOST,
        'path_prefix': prefix,
        'route_kind': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 300,
        **fields,
    }


def service(service_name, connections=110):
    return {
        'name': service_name,
        'health_path': '/health',
        'max_connections': connections,
        'protocol': 'h1',
        'tls': False,
    }


# -- HTTP/1.1 ---------------------------------------------------------------


async def read_message(reader):
    """Read a request with a body of known length; ``None`` at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode('latin1').split(' ', 2)
    headers = await read_headers(reader)
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return method, path, headers, body


async def read_headers(reader):
    headers = {}
    while (line := await reader.readline()) not in (b'\r\n', b''):
        key, _, value = line.decode('latin1').partition(':')
        headers[key.strip().lower()] = value.strip()
    return headers


def response(status, body, headers=None):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{key}: {value}' for key, value in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin1') + body


def request(method, path, headers, body=b''):
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{key}: {value}' for key, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin1') + body


async def read_response(reader):
    """Read a whole response.

    :raises asyncio.IncompleteReadError: if it is not whole
    """
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b'', None)
    status = int(line.split()[1])
    headers = await read_headers(reader)
    body = b''
    if headers.get('transfer-encoding') == 'chunked':
        while True:
            size_line = await reader.readline()
            if not size_line:
                raise asyncio.IncompleteReadError(body, None)
            size = int(size_line, 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return status, headers, body


async def call(address, method, path, headers, body=b''):
    """Send a request on a new channel, and read the response."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=2**26
    )
    try:
        sent = {'Host': address, **headers, 'Connection': 'close'}
        writer.write(request(method, path, sent, body))
        return await read_response(reader)
    finally:
        writer.close()


def reset(writer):
    """Close a channel with a reset."""
    writer.transport.abort()


def _free_ports(count):
    """Return free ports; the last one is the first of 16 free ones."""
    probes = []
    ports = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(('127.0.0.1', 0))
        probes.append(probe)
        ports.append(probe.getsockname()[1])
    for probe in probes:
        probe.close()
    return ports
