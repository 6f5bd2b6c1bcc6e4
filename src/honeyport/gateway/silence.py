"""How long an instance may say nothing before a request goes elsewhere.

Only a request that may run once more is taken away from a silent instance:
any other one has its route's timeout. The limits lie above what is still of
use to a caller in time, so that an instance that is slow keeps its work, and
below the time after which callers leave (four times the objective, or eight
times the pause between events).
"""

import asyncio
import typing

import attrs

from honeyport.bundle import model

# Of the objective, until the first byte of an answer. Callers leave at four
# times the objective; what is left is enough for another instance.
_FIRST_SHARE = 2.5
# Of the pause between two events that a caller still counts as on time.
_GAP_SHARE = 4.0


@attrs.frozen
class Patience:
    """Limits on silence, in seconds.

    :ivar first_s: until the first byte of an answer
    :ivar gap_s: between two parts of it
    """

    first_s: float
    gap_s: float


def patience(route: model.Route) -> Patience:
    """Return the limits for a request of a route."""
    return Patience(
        first_s=route.objective_ms / 1000 * _FIRST_SHARE,
        gap_s=route.gap_ms / 1000 * _GAP_SHARE,
    )


class Watch:
    """A timeout that starts again whenever an instance says something.

    :param limits: ``None`` for a request that stays where it is
    """

    def __init__(self, limits: Patience | None) -> None:
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
