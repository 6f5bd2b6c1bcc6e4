"""A fleet of honeyport processes for one scenario."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

import yaml

from features.support import relay
from honeyport.bundle import entries
from honeyport.bundle import files
from honeyport.bundle import signing
from honeyport import local

DOMAINS = ('thu-duc', 'tan-binh', 'binh-chanh')
TIMING = {
    'report_ms': 60,
    'lease_ms': 800,
    'probe_ms': 200,
    'linger_ms': 1500,
    'orders_ms': 100,
}
_READY_TIMEOUT_S = 30.0
_EXIT_TIMEOUT_S = 10.0


class World:
    """Processes of a fleet, their settings and their logs.

    :param folder: holds settings, data folders and logs
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, dict[str, typing.Any]] = {}
        self.relays: dict[str, relay.Relay] = {}
        self.backends: dict[str, dict[str, typing.Any]] = {}
        self.accounts: dict[str, dict[str, float]] = {'district-1': {}}
        self.limits: dict[str, typing.Any] = {'bound': 1.25}
        self.timing: dict[str, typing.Any] = dict(TIMING)
        self.version = 0
        self.model: dict[str, typing.Any] = {'version': '1'}
        self.public_key = signing.write_new_key(str(folder / 'keys'), 'ops')
        self.control: dict[str, str] = {}
        self.tasks: list[asyncio.Task[typing.Any]] = []

    @property
    def executions_path(self) -> pathlib.Path:
        """Path of the execution log that all stand-ins append to."""
        return self.folder / 'executions.jsonl'

    @property
    def routers(self) -> list[str]:
        """The names of the routers that were started."""
        return [name for name in self.settings if name.startswith('router')]

    def address(self, name: str) -> str:
        """Return the address at which a process serves callers."""
        return self.settings[name]['listen']

    def executions_logged(
        self, event: str = 'start'
    ) -> list[dict[str, typing.Any]]:
        """Return the execution log's lines of an event."""
        if not self.executions_path.exists():
            return []
        lines = self.executions_path.read_text().splitlines()
        records = [json.loads(line) for line in lines if line.endswith('}')]
        return [record for record in records if record['event'] == event]

    def log_lines(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the parsed log lines of a process."""
        path = self.folder / f'{name}.log'
        lines = path.read_text().splitlines() if path.exists() else []
        return [
            json.loads(line) for line in lines if line.startswith('{"number')
        ]

    # -- processes --------------------------------------------------------

    def start(self, name: str, *command: str) -> None:
        """Start a honeyport process with its settings."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(self.settings[name]))
        log = open(self.folder / f'{name}.log', 'ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, '-m', 'honeyport', *command, str(path)],
            stderr=log,
            stdout=log,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )

    def start_control(self, count: int, **options: typing.Any) -> None:
        """Start control replicas."""
        names = [f'control-{number}' for number in range(1, count + 1)]
        self.control = {name: local.free_address() for name in names}
        for number, name in enumerate(names):
            self.settings[name] = self._control_settings(
                name, number, **options
            )
            self.start(name, 'control')

    def _control_settings(
        self, name: str, number: int, **options: typing.Any
    ) -> dict[str, typing.Any]:
        return {
            'name': name,
            'domain': DOMAINS[number % 3],
            'listen': self.control[name],
            'http_listen': local.free_address(),
            'data': str(self.folder / f'data-{name}'),
            'members': dict(self.control),
            'signers': {'ops': self.public_key},
            'election_ms': 250,
            'heartbeat_ms': 50,
            **options,
        }

    def start_router(self, name: str, **options: typing.Any) -> None:
        """Start a router; a second call restarts it."""
        number = int(name.rpartition('-')[2]) - 1
        self.settings.setdefault(
            name,
            {
                'name': name,
                'domain': DOMAINS[number % 3],
                'listen': local.free_address(),
                'peer_listen': local.free_address(),
                'control': list(self.control.values()),
                'log_level': 'debug',
                **options,
            },
        )
        self.start(name, 'router')

    def start_engine(self, name: str, **options: typing.Any) -> None:
        """Start a stand-in engine; a second call restarts it."""
        self._start_backend(name, 'draft-llm', 'engine', options)

    def start_service(self, name: str, **options: typing.Any) -> None:
        """Start a stand-in plain service; a second call restarts it."""
        self._start_backend(name, 'field-app', 'service', options)

    def _start_backend(
        self,
        name: str,
        service: str,
        kind: str,
        options: dict[str, typing.Any],
    ) -> None:
        number = int(name.rpartition('-')[2]) - 1
        domain = DOMAINS[number % 3]
        is_relayed = name in self.relays
        slots = options.get('slots', 8)
        self.settings.setdefault(
            name,
            {
                'name': name,
                'domain': domain,
                'listen': local.free_address(),
                'executions': str(self.executions_path),
                **options,
            },
        )
        self.backends[name] = {
            'service': service,
            'address': (
                self.relays[name].address if is_relayed else self.address(name)
            ),
            'domain': domain,
            'slots': slots,
        }
        self.start(name, 'standin', kind)

    # -- the bundle -------------------------------------------------------

    def bundle(self, version: int | None = None) -> dict[str, typing.Any]:
        """Return the next bundle as a mapping.

        :param version: replaces the next version number
        """
        return {
            'version': version or self.version + 1,
            'signers': {'threshold': 1, 'keys': {'ops': self.public_key}},
            'models': {'draft': self.model},
            'services': {
                'draft-llm': {'kind': 'engine', 'model': 'draft'},
                'field-app': {'kind': 'service'},
            },
            'backends': self.backends,
            'accounts': self.accounts,
            'timing': self.timing,
            'limits': self.limits,
        }

    def sign(self, bundle: dict[str, typing.Any], name: str) -> str:
        """Write a signed bundle; return its path."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(bundle))
        loaded = files.load(path)
        signed = signing.Signed(loaded.version, entries.to_entries(loaded), {})
        signed = signing.sign(signed, str(self.folder / 'keys' / 'ops.pem'))
        signed_path = self.folder / f'{name}.json'
        signed_path.write_text(signed.to_json())
        return str(signed_path)

    async def roll_out(self, *, wait: bool = True) -> None:
        """Sign and submit the next version of the bundle."""
        path = self.sign(self.bundle(), f'bundle-{self.version + 1}')
        await self.submit(path, wait=wait)
        self.version += 1

    async def submit(self, path: str, *, wait: bool = True) -> str:
        """Submit a signed bundle through the command line."""
        flags = ['--wait'] if wait else []
        return await self.run_command(
            'bundle', 'submit', path, ','.join(self.control.values()), *flags
        )

    async def run_command(self, *arguments: str) -> str:
        """Run a honeyport command; return its output.

        :raises AssertionError: if it fails, with its output
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'honeyport',
            *arguments,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        stdout, stderr = await process.communicate()
        if process.returncode:
            raise AssertionError((stdout + stderr).decode())
        return stdout.decode()

    # -- failures ---------------------------------------------------------

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.processes[name].kill()
        await self.wait_exit(name)

    async def wait_exit(self, name: str) -> int:
        """Wait for a process to end; return its exit code."""
        process = self.processes[name]
        async with asyncio.timeout(_EXIT_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
        return process.returncode

    async def start_relay(self, name: str, target: str) -> relay.Relay:
        """Start a relay to an address, whose connections can be cut."""
        new_relay = relay.Relay(target)
        await new_relay.start()
        self.relays[name] = new_relay
        return new_relay

    # -- waiting ----------------------------------------------------------

    async def wait_until(
        self,
        check: typing.Callable[[], typing.Any],
        condition: str,
        timeout_s: float = _READY_TIMEOUT_S,
    ) -> typing.Any:
        """Wait until a check, plain or asynchronous, returns a true value.

        :param condition: what is awaited, for the error message
        :returns: the value
        """
        result = None
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    result = check()
                    if asyncio.iscoroutine(result):
                        result = await result
                    if result:
                        return result
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(
                f'timed out waiting until {condition}'
            ) from None

    async def stop(self) -> None:
        """Stop all tasks, processes and relays."""
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for started_relay in self.relays.values():
            await started_relay.stop()
