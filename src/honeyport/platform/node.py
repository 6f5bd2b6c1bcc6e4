"""One process of honeyport on the platform.

Every instance runs a gateway; one with a disk runs a control replica
beside it, in the same process.
"""

import asyncio
import os
import pathlib
import sys

import attrs

from honeyport import errors
from honeyport.gateway import daemon as gateway_daemon
from honeyport.platform import boot
from honeyport.platform import early
from honeyport.platform import names
from honeyport.platform import pages
from honeyport.policy import draining
from honeyport.policy import repeats
from honeyport import process
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

_WATCH_S = 2.0  # between two looks at the settings file


def main() -> None:
    """Run the process until it is told to stop."""
    path = pathlib.Path(os.environ.get(early.PATH_VARIABLE, ''))
    # Before it is read: a change after this is noticed by the watch.
    changed_at = _changed_at(path)
    try:
        settings = boot.load(path)
    except errors.SettingsInvalid as error:
        sys.exit(f'honeyport: {error.code}: {error.detail}')
    node = Node(settings, path, changed_at)
    process.run(node.router_settings, node.start, node.reload)


class Node:
    """The parts of one process.

    :param settings: what it was told at its start
    :param path: where that came from, and where changes will stand
    :param changed_at: when that was written, in nanoseconds since the epoch
    """

    def __init__(
        self, settings: boot.Boot, path: pathlib.Path, changed_at: int
    ) -> None:
        self._boot = settings
        self._path = path
        self._changed_at = changed_at
        self._counters = metrics.Metrics()
        self._gateway: gateway_daemon.Gateway | None = None

    @property
    def router_settings(self) -> roles.Router:
        """The settings of the gateway."""
        return roles.Router(
            name=self._boot.name,
            domain=self._boot.domain,
            listen=self._boot.callers,
            peer_listen=self._boot.internal,
            control=self._boot.control,
            replica=self._boot.replica,
            regions=self._boot.regions,
            cold_multiple=self._boot.cold_multiple,
            cold_extra=self._boot.cold_extra,
        )

    async def start(
        self, settings: roles.Router, tree: supervisor.Supervisor
    ) -> None:
        """Start all parts under a supervisor."""
        logs.emit(events.SETTINGS_READ, control=settings.control)
        self._gateway = gateway = gateway_daemon.Gateway(
            settings,
            names.HEADERS,
            draining.drain_times(self._boot.grace_s),
            repeats.Allowance(
                ratio=self._boot.retry_ratio,
                extra=self._boot.retry_extra,
                window_s=self._boot.retry_window_s,
            ),
            self._counters,
        )
        desks = None
        if self._boot.replica:
            from honeyport.platform import replica

            desks = await replica.start(
                self._boot, tree, gateway, self._counters
            )
        parts = pages.Parts(
            settings=self._boot,
            gateway=gateway,
            counters=self._counters,
            desks=desks,
        )
        for server in pages.serve(parts):
            tree.on_stop('pages', supervisor.closer(server))
        await gateway.start(tree, early.take(self._boot.callers))
        tree.task('settings', self._watch_settings)

    def reload(self) -> None:
        """Read the settings again; invalid ones change nothing."""
        self._changed_at = _changed_at(self._path)
        try:
            fresh = boot.load(self._path)
        except errors.SettingsInvalid as error:
            logs.emit(events.RELOAD_FAILED, detail=error.detail)
            return
        changed = [
            field.name
            for field in attrs.fields(boot.Boot)
            if getattr(fresh, field.name) != getattr(self._boot, field.name)
        ]
        self._boot = fresh
        if self._gateway is not None:
            self._gateway.set_control_addresses(fresh.control)
        logs.emit(events.RELOADED, changed=changed, control=fresh.control)

    async def _watch_settings(self) -> None:
        """Notice changes of the file that no signal tells of."""
        while True:
            await asyncio.sleep(_WATCH_S)
            if _changed_at(self._path) != self._changed_at:
                self.reload()


def _changed_at(path: pathlib.Path) -> int:
    """Return when a file was changed, in nanoseconds; 0 if it is gone."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
