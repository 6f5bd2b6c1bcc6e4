"""The life of a process: start, wait for a signal, stop in order."""

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
    """Run a role until SIGTERM or SIGINT.

    :param reload: called on SIGHUP; without it the signal changes nothing
    """
    _spare_imports()
    logs.configure(settings.log_level, instance=settings.name)
    with asyncio.Runner(loop_factory=clock.new_loop) as runner:
        runner.run(_run(settings, start, reload or _keep_settings))


def _spare_imports() -> None:
    """Leave what the imports made out of all collections of garbage.

    Some 40,000 objects that stay for good: looking through them stops the
    process for 20 ms each time (one collection, medians of three starts).
    """
    gc.freeze()
    gc.enable()


def _keep_settings() -> None:
    logs.emit(events.RELOADED, changed=[])


async def _run(settings: S, start: Start[S], reload: Reload) -> None:
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    tree = supervisor.Supervisor(settings.name)
    try:
        await start(settings, tree)
        logs.emit(events.STARTED)
        await asked.wait()
        logs.emit(events.STOPPING)
    finally:
        await tree.stop()
        logs.emit(events.STOPPED)
