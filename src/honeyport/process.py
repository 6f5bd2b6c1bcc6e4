"""The life of a process: start, wait for a signal, stop in order."""

import asyncio
import signal
import typing

from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import events
from honeyport.telemetry import log as logs

S = typing.TypeVar('S', bound=roles.Common)

Start = typing.Callable[
    [S, supervisor.Supervisor], typing.Awaitable[typing.Any]
]


def run(settings: S, start: Start[S]) -> None:
    """Run a role until SIGTERM or SIGINT."""
    logs.configure(settings.log_level, instance=settings.name)
    asyncio.run(_run(settings, start))


async def _run(settings: S, start: Start[S]) -> None:
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    tree = supervisor.Supervisor(settings.name)
    try:
        await start(settings, tree)
        logs.emit(events.STARTED)
        await asked.wait()
        logs.emit(events.STOPPING)
    finally:
        await tree.stop()
        logs.emit(events.STOPPED)
