"""A fleet of real processes, set up for one scenario."""

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
_READY_S = 30.0
_STOP_S = 10.0


class World:
    """Processes, their settings and what they logged.

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
        """The log of what the stand-ins ran."""
        return self.folder / 'executions.jsonl'

    @property
    def routers(self) -> list[str]:
        """The names of the routers that were started."""
        return [name for name in self.settings if name.startswith('router')]

    def address(self, name: str) -> str:
        """Return where a process serves callers."""
        return self.settings[name]['listen']

    def executions_logged(
        self, event: str = 'start'
    ) -> list[dict[str, typing.Any]]:
        """Return the executions that the stand-ins logged."""
        if not self.executions_path.exists():
            return []
        lines = self.executions_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.endswith('}')]
        return [line for line in found if line['event'] == event]

    def log_lines(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the log lines of a process."""
        path = self.folder / f'{name}.log'
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(x) for x in lines if x.startswith('{"number')]

    # -- starting ---------------------------------------------------------

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
            self.settings[name] = self._control(name, number, **options)
            self.start(name, 'control')

    def _control(
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
        """Start a router, or start it again."""
        number = int(name.rpartition('-')[2]) - 1
        self.settings.setdefault(
            name,
            {
                'name': name,
                'domain': DOMAINS[number % 3],
                'listen': local.free_address(),
                'peer_listen': local.free_address(),
                'control': list(self.control.values()),
                **options,
            },
        )
        self.start(name, 'router')

    def start_engine(self, name: str, **options: typing.Any) -> None:
        """Start a stand-in engine, or start it again."""
        self._start_backend(name, 'draft-llm', 'engine', options)

    def start_service(self, name: str, **options: typing.Any) -> None:
        """Start a stand-in plain service, or start it again."""
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
        relayed = name in self.relays
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
                self.relays[name].address if relayed else self.address(name)
            ),
            'domain': domain,
            'slots': slots,
        }
        self.start(name, 'standin', kind)

    # -- the bundle -------------------------------------------------------

    def bundle(self, version: int | None = None) -> dict[str, typing.Any]:
        """Return the next bundle as a mapping."""
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
        out = self.folder / f'{name}.json'
        out.write_text(signed.to_json())
        return str(out)

    async def roll_out(self, *, wait: bool = True) -> None:
        """Submit the next version."""
        path = self.sign(self.bundle(), f'bundle-{self.version + 1}')
        await self.submit(path, wait=wait)
        self.version += 1

    async def submit(self, path: str, *, wait: bool = True) -> str:
        """Submit a signed bundle through the command line."""
        extra = ['--wait'] if wait else []
        return await self.run_command(
            'bundle', 'submit', path, ','.join(self.control.values()), *extra
        )

    async def run_command(self, *arguments: str) -> str:
        """Run an operator's verb; return what it printed."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'honeyport',
            *arguments,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        out, err = await child.communicate()
        if child.returncode:
            raise AssertionError((out + err).decode())
        return out.decode()

    # -- failures ---------------------------------------------------------

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.processes[name].kill()
        await self.wait_exit(name)

    async def wait_exit(self, name: str) -> int:
        """Wait for a process to end; return its exit code."""
        process = self.processes[name]
        async with asyncio.timeout(_STOP_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
        return process.returncode

    async def start_relay(self, name: str, target: str) -> relay.Relay:
        """Put a relay, which can be cut, before an address."""
        made = relay.Relay(target)
        await made.start()
        self.relays[name] = made
        return made

    # -- waiting ----------------------------------------------------------

    async def wait_until(
        self,
        check: typing.Callable[[], typing.Any],
        what: str,
        seconds: float = _READY_S,
    ) -> typing.Any:
        """Wait until a check, plain or asynchronous, holds."""
        found = None
        try:
            async with asyncio.timeout(seconds):
                while True:
                    found = check()
                    if asyncio.iscoroutine(found):
                        found = await found
                    if found:
                        return found
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f'waited in vain until {what}') from None

    async def stop(self) -> None:
        """End everything that was started."""
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
        for one in self.relays.values():
            await one.stop()
