"""Stand-ins for the platform, servers, clients and the operator.

Only the standard library is used. The processes under test are started with
the command of ``deploy/system.toml`` and a settings file of the form that
``DEPLOY.md`` shows, on loopback addresses.
"""

import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ('python3', '-S', '-OO', 'launch.py')  # deploy/system.toml
METRICS_PORT = 9464  # deploy/system.toml
ZONES = ('sala-heredia', 'sala-cartago', 'sala-alajuela')
HOST = 'ficu95.example'
# Of the addresses: one for this process, and one for each installation.
_SECOND_OCTET = random.randint(64, 250)
_THIRD_OCTETS = itertools.count(1)
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
SETTINGS = """\
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
internal_port_range={ports[4]},{ports[4]}
seeds={seeds}
bootstrap={bootstrap}
fault_counted={counted}
limits.cpu_share=0.968
limits.cores=2
limits.memory_mb=300
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb={disk_mb}
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
cloud.rate_per_s=47.0
cloud.duties=
cloud.max_lag_ms=800
"""


class Record:
    """Writes ``record.txt``, with seconds since the start on each line."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._started_at = time.monotonic()

    def __call__(self, *words):
        at = time.monotonic() - self._started_at
        line = f'{at:8.3f} ' + ' '.join(str(word) for word in words)
        self._file.write(line + '\n')
        self._file.flush()


class Machine:
    """A machine of the system: its address, disk, settings and process."""

    def __init__(self, number, name, ip, zone, data, folder):
        self.number = number
        self.name = name
        self.ip = ip
        self.zone = zone
        self.data = data
        self.settings = folder / f'{name}.conf'
        self.log = folder / f'{name}.log'
        self.process = None

    @property
    def runs(self):
        return self.process is not None and self.process.poll() is None


class Site:
    """A small installation on loopback addresses.

    :param disks: how many machines have a disk
    :param others: how many have none
    """

    def __init__(self, record, disks=3, others=2, disk_mb=64):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.disk_mb = disk_mb
        self.net = f'127.{_SECOND_OCTET}.{next(_THIRD_OCTETS)}'
        self.ports = _free_ports(f'{self.net}.1', 5)
        self.machines = []
        self.servers = []
        self.list_entries = []
        self._tasks = set()
        for number in range(disks):
            self.add_machine(disk=True)
        for number in range(others):
            self.add_machine(disk=False)
        self.seeds = [machine.ip for machine in self.machines[:disks]][:3]

    # -- machines --------------------------------------------------------

    def add_machine(self, disk=True):
        number = len(self.machines) + 1
        zone = ZONES[(number - 1) % len(ZONES)]
        name = f'edge-{zone}-{number}'
        data = self.folder / f'data-{number}' if disk else None
        if data is not None:
            data.mkdir()
        machine = Machine(
            number, name, f'{self.net}.{number}', zone, data, self.folder
        )
        self.machines.append(machine)
        return machine

    def write_settings(self, machine, first=False):
        seeds = ','.join(f'{ip}:{self.ports[2]}' for ip in self.seeds)
        machine.settings.write_text(
            SETTINGS.format(
                name=machine.name,
                ip=machine.ip,
                zone=machine.zone,
                ports=self.ports,
                seeds=seeds,
                bootstrap=str(first).lower(),
                counted=str(machine.data is not None).lower(),
                data=machine.data or '',
                disk_mb=self.disk_mb if machine.data else 0,
                cloud=self.cloud,
            ),
            encoding='utf-8',
        )

    def launch(self, machine, first=False):
        self.write_settings(machine, first)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['HONEYPORT_BOOT'] = str(machine.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        machine.process = subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=machine.log.open('ab'),
            stderr=subprocess.STDOUT,
        )
        self.record('start', machine.name, machine.ip)

    def send_signal(self, machine, number):
        self.record('signal', signal.Signals(number).name, machine.name)
        machine.process.send_signal(number)
        if number == signal.SIGKILL:
            machine.process.wait()

    def lose_disk(self, machine):
        self.record('disk lost', machine.name)
        shutil.rmtree(machine.data)
        machine.data.mkdir()

    # -- the platform and servers ----------------------------------------

    async def start(self):
        server = await asyncio.start_server(
            self._serve_list, f'{self.net}.250', 0
        )
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        self.cloud = f'{host}:{port}'

    def start_machines(self):
        for machine in self.machines:
            self.launch(machine, first=True)

    async def stop(self):
        for machine in self.machines:
            if machine.runs:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        for server in self.servers:
            server.close()
        if os.environ.get('KEEP'):
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _serve_list(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                body = json.dumps(
                    {'instances': self.list_entries, 'next': None}
                ).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def add_server(self, service, number, handle=None, slots=8):
        """Start a server of a service and list it as ready."""
        server = Server(self, service, number, handle)
        listener = await asyncio.start_server(
            server.serve, f'{self.net}.{200 + number}', 0
        )
        self.servers.append(listener)
        host, port = listener.sockets[0].getsockname()[:2]
        server.address = f'{host}:{port}'
        self.list_entries.append(
            {
                'id': server.id,
                'service': service,
                'address': server.address,
                'zone': ZONES[number % len(ZONES)],
                'version': 'v1',
                'slots': slots,
                'state': 'ready',
                'cold_remaining_ms': 0,
            }
        )
        return server

    # -- clients and the operator ----------------------------------------

    async def ask(
        self, machine, port, method, path, body=None, headers=(), wait_s=2.0
    ):
        """Send one request on a new channel; return status, headers, body.

        Status 0: no connection, no complete answer or none in time.
        """
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(
                    machine.ip, self.ports[port]
                )
                try:
                    return await exchange(
                        reader, writer, method, path, body, headers
                    )
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, {}, b''
        except ValueError:
            return 0, {}, b''

    async def read_metric(self, machine, name):
        """Return a value of the metrics that the deploy file names."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    machine.ip, METRICS_PORT
                )
                _, _, body = await exchange(
                    reader, writer, 'GET', '/metrics', None, ()
                )
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        for line in body.decode().splitlines():
            if line.startswith('#'):
                continue
            key, _, value = line.rpartition(' ')
            if key.partition('{')[0].endswith(name):
                return float(value)
        return None

    async def order(self, machine, method, path, body=None, wait_s=1.0):
        """Send an order; follow a 307 twice."""
        for _ in range(3):
            status, headers, answer = await self.ask(
                machine, 2, method, path, body, wait_s=wait_s
            )
            if status != 307:
                return status, answer
            host = headers['location'].split('/')[2].partition(':')[0]
            machine = next(
                (each for each in self.machines if each.ip == host), machine
            )
        return status, answer

    async def replace(self, configuration, within_s=20.0, wait_s=2.0):
        """Send a configuration until it is acknowledged or refused."""
        body = json.dumps(configuration).encode()
        until = time.monotonic() + within_s
        number = 0
        while time.monotonic() < until:
            running = [each for each in self.machines if each.runs]
            machine = running[number % len(running)]
            number += 1
            status, _ = await self.order(
                machine, 'POST', '/api/configuration/replace', body, wait_s
            )
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(0.1)
        return 0

    async def read(self, within_s=4.0):
        """Ask all machines for the configuration until one answers 200."""
        until = time.monotonic() + within_s
        statuses = []
        while time.monotonic() < until:
            for machine in [each for each in self.machines if each.runs]:
                status, body = await self.order(
                    machine, 'GET', '/api/configuration/read'
                )
                statuses.append(status)
                if status == 200:
                    return json.loads(body)
            await asyncio.sleep(0.1)
        self.record(
            'read back: no answer with 200; by status',
            dict(collections.Counter(statuses)),
        )
        return None


class Server:
    """A server that answers each request at once.

    :param handle: called with the server, the stream writer, the request's
        head as a dictionary and the answer's bytes; ``None`` to run the
        request and to write these
    """

    def __init__(self, site, service, number, handle):
        self.site = site
        self.service = service
        self.id = f'i-{service}-{number}'
        self.address = ''
        self.handle = handle
        self.ran = []

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self._answer(writer, head, body)
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    def runs(self, attempt, head):
        """Record that a request runs."""
        self.ran.append(attempt)
        self.site.record('runs', self.id, attempt, head['method'], head['path'])

    async def _answer(self, writer, head, body):
        attempt = head.get('attempt-id', '')
        expected = head.get('expected-instance', self.id)
        if head['path'].startswith('/health'):
            writer.write(
                b'HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n'
                b'Content-Length: 0\r\n\r\n' % self.id.encode()
            )
            await writer.drain()
            return
        if expected != self.id or not attempt:
            status = 421 if attempt else 400
            writer.write(
                b'HTTP/1.1 %d No\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n'
                b'Content-Length: 0\r\n\r\n' % (status, attempt.encode())
            )
            await writer.drain()
            return
        text = f'answer of {self.id} to {attempt}'.encode()
        answer = (
            b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n'
            b'Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s'
            % (attempt.encode(), attempt.encode(), len(text), text)
        )
        if self.handle is None:
            self.runs(attempt, head)
            writer.write(answer)
        else:
            await self.handle(self, writer, head, answer)
        await writer.drain()


async def read_head(reader):
    """Return the head of a request with lower-case names."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = text.split('\r\n')
    method, path, _ = lines[0].split(' ', 2)
    head = {'method': method, 'path': path}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            head[name.strip().lower()] = value.strip()
    return head


async def read_body(reader, head):
    return await reader.readexactly(int(head.get('content-length', '0')))


async def exchange(reader, writer, method, path, body, headers):
    """Send a request and read its answer."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if not any(name.lower() == 'host' for name, _ in headers):
        lines.append('Host: control')
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + (body or b''))
    await writer.drain()
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = text.split('\r\n')
    status = int(lines[0].split(' ')[1])
    answer = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            answer[name.strip().lower()] = value.strip()
    if answer.get('transfer-encoding') == 'chunked':
        chunks = b''
        while size := int(await reader.readline(), 16):
            chunks += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return status, answer, chunks
    length = int(answer.get('content-length', '0'))
    return status, answer, await reader.readexactly(length)


def configuration(version, extra_routes=0, **changes):
    """Return a configuration like that of a small deployment."""
    def route(name, prefix, kind, service, attempts):
        return {
            'name': name, 'host': HOST, 'path_prefix': prefix,
            'route_kind': kind, 'timeout_ms': 2000, 'target_latency_ms': 300,
            'priority': 2, 'service': service, 'max_attempts': attempts,
            'public': False, 'sticky': False, 'resumable': False,
            'gap_target_ms': 300,
        }

    draw = random.Random(7)
    letters = 'abcdefghijklmnopqrstuvwxyz0123456789'
    routes = [
        route('r-log', '/photo/', 'non_idempotent', 'app', 1),
        route('r-sync', '/visit/', 'idempotent', 'app', 2),
    ]
    for _ in range(extra_routes):
        word = ''.join(draw.choice(letters) for _ in range(7))
        routes.append(route(f'r-{word}', f'/{word}/', 'idempotent', 'app', 2))
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'app', 'health_path': '/health', 'max_connections': 110,
             'protocol': 'h1', 'tls': False},
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
        **changes,
    }


def request_headers(attempt, key=KEY, deadline_ms=2000):
    return [
        ('Host', HOST),
        ('Attempt-Id', attempt),
        ('Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {key}'),
    ]


def _free_ports(host, count):
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((host, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def main(folder, play, limit_s=110.0):
    """Run a case: exit 0 if the rule held, 1 if it broke, 2 if not run."""
    record = Record(pathlib.Path(folder))

    async def run():
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        broken = asyncio.run(run())
    except Exception as error:
        record('could not run:', repr(error))
        print('could not run:', repr(error))
        sys.exit(2)
    record('the rule', 'was broken: ' + broken if broken else 'held')
    print('broken: ' + broken if broken else 'held')
    sys.exit(1 if broken else 0)
