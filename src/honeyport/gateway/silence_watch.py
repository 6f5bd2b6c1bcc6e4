"""Watch over an attempt: what happens while its instance sends nothing."""

import asyncio
import collections.abc
import typing

import attrs

from honeyport.policy import obstacles
from honeyport.policy import silence
from honeyport.telemetry import events
from honeyport.telemetry import log as logs


@attrs.frozen
class Silence:
    """The silence of an attempt.

    :ivar limit_s: the timeout that has passed, in seconds
    :ivar obstacle: why the attempt was not given up when it was last looked
        at; ``None`` the first time
    """

    limit_s: float
    obstacle: obstacles.Obstacle | None


# Reserves the next attempt of a silent request, or returns why there is none.
Seek = collections.abc.Callable[
    [Silence], collections.abc.Awaitable[obstacles.Obstacle | None]
]


class SilenceWatch:
    """Gives a silent attempt up once another one can follow.

    The attempt goes on while the next one is sought. If bytes arrive
    meanwhile, the search ends.

    :param timeouts: the idle timeouts; ``None`` if no attempt may follow
    :param seek: reserves the next attempt, or returns why there is none
    """

    def __init__(self, timeouts: silence.Timeouts | None, seek: Seek) -> None:
        self._timeouts = timeouts
        self._seek = seek
        self._limit_s = timeouts.first_byte_s if timeouts else 0.0
        self._is_given_up = False
        self._quiet_since = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._search: asyncio.Task[None] | None = None
        # Expires when the attempt is given up.
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> 'SilenceWatch':
        await self._timeout.__aenter__()
        if self._timeouts is not None:
            self._restart(self._timeouts.first_byte_s)
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> bool | None:
        search = self._search
        self.stop()
        try:
            return await self._timeout.__aexit__(*exc_info)
        finally:
            if search is not None and not search.done():
                await asyncio.wait([search])

    def pause(self) -> None:
        """Wait without a limit until the next reset."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._stop_search()

    def stop(self) -> None:
        """Wait without a limit from now on: no attempt may follow."""
        self._timeouts = None
        self.pause()

    def reset(self) -> None:
        """Start anew after bytes arrived."""
        if self._timeouts is None or self._is_given_up:
            return
        self._stop_search()
        self._restart(self._timeouts.gap_s)

    def _restart(self, limit_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._limit_s = limit_s
        self._quiet_since = loop.time()
        due = self._quiet_since + limit_s
        if self._timer is not None and self._timer.when() > due:
            self._timer.cancel()
            self._timer = None
        # An earlier timer finds that it is not due.
        if self._timer is None:
            self._timer = loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        loop = asyncio.get_running_loop()
        due = self._quiet_since + self._limit_s
        if loop.time() < due:
            self._timer = loop.call_at(due, self._on_timer)
            return
        self._timer = None
        self._search = asyncio.create_task(self._search_next())

    def _stop_search(self) -> None:
        if self._search is not None and not self._is_given_up:
            self._search.cancel()
            self._search = None

    async def _search_next(self) -> None:
        """Look for the next attempt until there is one."""
        obstacle: obstacles.Obstacle | None = None
        while True:
            obstacle = await self._try_seek(Silence(self._limit_s, obstacle))
            if obstacle is None:
                self._is_given_up = True
                now = asyncio.get_running_loop().time()
                self._timeout.reschedule(now)
                return
            await asyncio.sleep(silence.recheck_s(self._limit_s))

    async def _try_seek(self, state: Silence) -> obstacles.Obstacle | None:
        try:
            return await self._seek(state)
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            return obstacles.Obstacle.CANNOT_BE_PREPARED
