"""A watch on an instance that may fall silent."""

import asyncio
import typing

from honeyport.policy import silence


class Watch:
    """A timeout that starts again whenever an instance says something.

    :param limits: ``None`` for a request that stays where it is
    """

    def __init__(self, limits: silence.Patience | None) -> None:
        self._limits = limits
        first_s = limits.first_s if limits else None
        self._timeout = asyncio.timeout(first_s)

    async def __aenter__(self) -> 'Watch':
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *raised: typing.Any) -> bool | None:
        return await self._timeout.__aexit__(*raised)

    def hear(self) -> None:
        """Note that the instance said something."""
        if self._limits is None:
            return
        now = asyncio.get_running_loop().time()
        self._timeout.reschedule(now + self._limits.gap_s)
