"""Holds a request for the leader while a leader may become known soon."""

import asyncio
import collections.abc

from honeyport import errors

# Operators wait one second for an answer, and longer after each refusal.
_MAX_WAIT_S = 0.7
# Two rounds of votes and the introduction of the next leader take less. After
# a longer time there is no quorum, or this instance is cut off.
_MAX_ELECTION_S = 3.0
_POLL_INTERVAL_S = 0.02
_RETRY_AFTER_S = 0.5  # requested of operators while no leader is known

Find = collections.abc.Callable[[], str]


class LeaderWait:
    """The wait of one request; its time counts from the creation.

    It ends when an election would be over.

    :param find: returns the address of the leader, or ``''``
    :param silence_s: seconds without a leader until now
    """

    def __init__(self, find: Find, silence_s: float) -> None:
        self._find = find
        wait_s = min(_MAX_WAIT_S, _MAX_ELECTION_S - silence_s)
        self._deadline = _now() + wait_s

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
