"""A honeyport process on the platform.

Every instance runs a gateway. An instance with a disk also runs a control
replica in the same process.
"""

import asyncio
import os
import pathlib
import sys

import attrs

from honeyport import errors
from honeyport.gateway import daemon as gateway_daemon
from honeyport import machine
from honeyport.platform import boot
from honeyport.platform import early
from honeyport.platform import names
from honeyport.platform import pages
from honeyport.policy import connection_room
from honeyport.policy import draining
from honeyport.policy import held_bytes
from honeyport.policy import repeats
from honeyport import process
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

_POLL_INTERVAL_S = 2.0  # between checks of the settings file
_BYTES_PER_MB = 1_000_000


def main() -> None:
    """Run the process until a signal stops it."""
    path = pathlib.Path(os.environ.get(early.PATH_VARIABLE, ''))
    # Taken before the read, so that a later change triggers a reload.
    modified_ns = _modified_ns(path)
    try:
        settings = boot.load(path)
    except errors.SettingsInvalid as error:
        sys.exit(f'honeyport: {error.code}: {error.detail}')
    node = Node(settings, path, modified_ns)
    process.run(node.router_settings, node.start, node.reload)


class Node:
    """Starts the components of a process and reloads its settings.

    :param settings: the settings read at the start
    :param path: the settings file
    :param modified_ns: its modification time, in nanoseconds since the epoch
    """

    def __init__(
        self, settings: boot.Settings, path: pathlib.Path, modified_ns: int
    ) -> None:
        self._boot_settings = settings
        self._path = path
        self._modified_ns = modified_ns
        self._counters = metrics.Metrics()
        self._gateway: gateway_daemon.Gateway | None = None

    @property
    def router_settings(self) -> roles.Router:
        """The gateway's part of the settings."""
        return roles.Router(
            name=self._boot_settings.name,
            domain=self._boot_settings.domain,
            listen=self._boot_settings.caller_address,
            peer_listen=self._boot_settings.internal_address,
            control=self._boot_settings.control_addresses,
            replica=self._boot_settings.replica_address,
            regions=self._boot_settings.regions,
            cold_multiple=self._boot_settings.cold_multiple,
            cold_extra=self._boot_settings.cold_extra,
            shared_queues=self._boot_settings.uneven_load,
            max_connections=connection_room.max_for_callers(
                self._resources.file_descriptors,
                self._resources.memory_bytes,
            ),
            **self._memory_settings(),
        )

    def _memory_settings(self) -> dict[str, float]:
        """Return the settings that the machine's memory calls for."""
        held_mb = (
            held_bytes.max_held_bytes(self._resources.memory_bytes)
            / _BYTES_PER_MB
        )
        return {'responses_max_mb': held_mb, 'held_max_mb': held_mb}

    @property
    def _resources(self) -> machine.Resources:
        """What the machine grants this process."""
        settings = self._boot_settings
        found = machine.read_resources()
        return machine.Resources(
            memory_bytes=settings.memory_mb * _BYTES_PER_MB
            or found.memory_bytes,
            file_descriptors=settings.file_descriptors
            or found.file_descriptors,
        )

    async def start(
        self, settings: roles.Router, tree: supervisor.Supervisor
    ) -> None:
        """Start all components under a supervisor."""
        logs.emit(events.SETTINGS_READ, control=settings.control)
        self._gateway = gateway = gateway_daemon.Gateway(
            settings,
            names.HEADERS,
            draining.drain_times(self._boot_settings.grace_s),
            repeats.Allowance(
                ratio=self._boot_settings.retry_ratio,
                extra=self._boot_settings.retry_extra,
                window_s=self._boot_settings.retry_window_s,
            ),
            self._counters,
        )
        operator_services = None
        if self._boot_settings.replica_address:
            from honeyport.platform import replica

            operator_services = await replica.start(
                self._boot_settings, tree, gateway, self._counters
            )
        components = pages.Components(
            settings=self._boot_settings,
            gateway=gateway,
            counters=self._counters,
            operator_services=operator_services,
        )
        for server in pages.serve(components, self._resources, tree):
            tree.on_stop('pages', supervisor.close_hook(server))
        await gateway.start(
            tree, early.take_socket(self._boot_settings.caller_address)
        )
        tree.start_task('settings', self._poll_settings)

    def reload(self) -> None:
        """Reload the settings file; an invalid file changes nothing."""
        self._modified_ns = _modified_ns(self._path)
        try:
            new_settings = boot.load(self._path)
        except errors.SettingsInvalid as error:
            logs.emit(events.RELOAD_FAILED, detail=error.detail)
            return
        changed = [
            field.name
            for field in attrs.fields(boot.Settings)
            if getattr(new_settings, field.name)
            != getattr(self._boot_settings, field.name)
        ]
        self._boot_settings = new_settings
        if self._gateway is not None:
            self._gateway.set_control_addresses(new_settings.control_addresses)
        logs.emit(
            events.RELOADED,
            changed=changed,
            control=new_settings.control_addresses,
        )

    async def _poll_settings(self) -> None:
        """Reload the settings file when it changes without a signal."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if _modified_ns(self._path) != self._modified_ns:
                self.reload()


def _modified_ns(path: pathlib.Path) -> int:
    """Return a file's modification time in ns, or 0 if it is missing."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
