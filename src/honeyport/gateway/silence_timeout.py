"""Timeout for instances that stop sending."""

import asyncio
import typing

from honeyport.policy import silence


class SilenceTimeout:
    """A timeout that restarts whenever bytes of an instance arrive.

    :param limits: ``None`` for no timeout
    """

    def __init__(self, limits: silence.Timeouts | None) -> None:
        self._limits = limits
        first_s = limits.first_byte_s if limits else None
        self._timeout = asyncio.timeout(first_s)

    async def __aenter__(self) -> 'SilenceTimeout':
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> bool | None:
        return await self._timeout.__aexit__(*exc_info)

    def pause(self) -> None:
        """Wait without a limit until the next reset."""
        self._timeout.reschedule(None)

    def reset(self) -> None:
        """Restart the timeout after bytes arrived."""
        if self._limits is None:
            return
        now = asyncio.get_running_loop().time()
        self._timeout.reschedule(now + self._limits.gap_s)
