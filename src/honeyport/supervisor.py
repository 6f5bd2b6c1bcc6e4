"""The supervisor tree of a process.

Children start in the order they were added and stop in the reverse
order. A child whose task ends with an error is started again after a
growing pause; what a child owns, it cleans up itself.
"""

import asyncio
import collections.abc

from tornado import httpserver

from honeyport.telemetry import events
from honeyport.telemetry import log

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 5.0
_CANCEL_AGAIN_S = 0.5

Run = collections.abc.Callable[[], collections.abc.Awaitable[None]]
Stop = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Supervisor:
    """Keeps a set of tasks running until it is stopped."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._children: list[tuple[str, asyncio.Task[None]]] = []
        self._stops: list[tuple[str, Stop]] = []

    @property
    def names(self) -> list[str]:
        """The names of the children in starting order."""
        return [name for name, _ in self._children]

    def start_task(self, name: str, run: Run) -> None:
        """Start a child that runs until it is cancelled."""
        child = asyncio.create_task(self._keep(name, run), name=name)
        self._children.append((name, child))
        self._stops.append((name, lambda: _cancel(child)))

    def on_stop(self, name: str, stop: Stop) -> None:
        """Register a step of the orderly stop."""
        self._stops.append((name, stop))

    async def stop(self) -> None:
        """Stop all children, the last one started first."""
        while self._stops:
            _, stop = self._stops.pop()
            await stop()
        self._children.clear()

    async def _keep(self, name: str, run: Run) -> None:
        pause = _FIRST_PAUSE_S
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
            await asyncio.sleep(pause)
            pause = min(pause * 2, _LONGEST_PAUSE_S)


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task until it has ended.

    Python 3.11 loses a cancellation that comes while ``wait_for`` takes
    its result, so one may not be enough.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=_CANCEL_AGAIN_S)


def close_hook(server: httpserver.HTTPServer) -> Stop:
    """Return the stop step of an HTTP server."""

    async def close() -> None:
        server.stop()
        await server.close_all_connections()

    return close
