"""Supervision of the tasks of a process.

Tasks start in the order in which they are added and stop in the reverse
order. A task that raises an exception is restarted after a pause that
doubles with each failure. Each task cleans up its own resources.
"""

import asyncio
import collections.abc

from tornado import httpserver

from honeyport.telemetry import events
from honeyport.telemetry import log

_RESTART_PAUSE_MIN_S = 0.1
_RESTART_PAUSE_MAX_S = 5.0
_CANCEL_RETRY_S = 0.5

Run = collections.abc.Callable[[], collections.abc.Awaitable[None]]
Stop = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Supervisor:
    """Runs a set of tasks and restarts those that fail.

    :param name: name of the process, as a prefix in log lines
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: list[tuple[str, asyncio.Task[None]]] = []
        self._stop_hooks: list[tuple[str, Stop]] = []

    @property
    def names(self) -> list[str]:
        """The names of the tasks, in the order of their start."""
        return [name for name, _ in self._tasks]

    def start_task(self, name: str, run: Run) -> None:
        """Start a task that runs until it returns or is stopped.

        :param name: name of the task, for log lines
        :param run: called again after each failure
        """
        task = asyncio.create_task(
            self._run_with_restarts(name, run), name=name
        )
        self._tasks.append((name, task))
        self._stop_hooks.append((name, lambda: _cancel(task)))

    def on_stop(self, name: str, stop: Stop) -> None:
        """Register a function that ``stop`` calls, in reverse order."""
        self._stop_hooks.append((name, stop))

    async def stop(self) -> None:
        """Stop all tasks and call all hooks, the last added first."""
        while self._stop_hooks:
            _, stop = self._stop_hooks.pop()
            await stop()
        self._tasks.clear()

    async def _run_with_restarts(self, name: str, run: Run) -> None:
        pause_s = _RESTART_PAUSE_MIN_S
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                log.emit(
                    events.CHILD_FAILED,
                    child=f'{self._name}/{name}',
                    error=repr(error),
                    exc_info=True,
                )
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, _RESTART_PAUSE_MAX_S)


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended.

    The cancellation is repeated: ``asyncio.wait_for`` of Python 3.11 swallows
    one that arrives together with the result.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=_CANCEL_RETRY_S)


def close_hook(server: httpserver.HTTPServer) -> Stop:
    """Return a stop hook that closes an HTTP server and its connections."""

    async def close() -> None:
        server.stop()
        await server.close_all_connections()

    return close
