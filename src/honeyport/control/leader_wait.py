"""Holds a request for the leader until a leader is known."""

import asyncio
import collections.abc

from honeyport import errors

# Operators wait one second for an answer, and longer after each refusal.
MAX_WAIT_S = 0.7
_POLL_INTERVAL_S = 0.02
_RETRY_AFTER_S = 0.5  # requested of operators while no leader is known

Find = collections.abc.Callable[[], str]


class LeaderWait:
    """The wait of one request; its time counts from the creation.

    :param find: returns the address of the leader, or ``''``
    """

    def __init__(self, find: Find) -> None:
        self._find = find
        self._deadline = _now() + MAX_WAIT_S

    async def leader(self) -> str:
        """Return the address of the leader, once it is known.

        :raises errors.ControlUnavailable: if it is not known in time
        """
        while not (leader := self._find()):
            if _now() >= self._deadline:
                raise errors.ControlUnavailable(
                    'no leader is known', retry_after=_RETRY_AFTER_S
                )
            await asyncio.sleep(_POLL_INTERVAL_S)
        return leader


def _now() -> float:
    return asyncio.get_running_loop().time()
