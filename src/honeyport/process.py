"""Lifecycle of a process: start, wait for a signal, shut down."""

import asyncio
import gc
import signal
import typing

from honeyport import clock
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import events
from honeyport.telemetry import log as logs

S = typing.TypeVar('S', bound=roles.Common)

Start = typing.Callable[
    [S, supervisor.Supervisor], typing.Awaitable[typing.Any]
]


Reload = typing.Callable[[], None]


def run(settings: S, start: Start[S], reload: Reload | None = None) -> None:
    """Run a process until SIGTERM or SIGINT.

    :param start: starts all components under a supervisor
    :param reload: called on SIGHUP; by default the signal is only logged
    """
    _freeze_imported_objects()
    logs.configure(settings.log_level, instance=settings.name)
    with asyncio.Runner(loop_factory=clock.new_loop) as runner:
        runner.run(_run(settings, start, reload or _log_no_changes))


def _freeze_imported_objects() -> None:
    """Exclude the objects that imports created from garbage collection.

    They are never freed, and scanning them would pause the process.
    """
    gc.freeze()
    gc.enable()


def _log_no_changes() -> None:
    logs.emit(events.RELOADED, changed=[])


async def _run(settings: S, start: Start[S], reload: Reload) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    tree = supervisor.Supervisor(settings.name)
    try:
        await start(settings, tree)
        logs.emit(events.STARTED)
        await stop_requested.wait()
        logs.emit(events.STOPPING)
    finally:
        await tree.stop()
        logs.emit(events.STOPPED)
