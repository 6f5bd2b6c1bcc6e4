"""When a follower may stand for election, and when it may give a vote."""

import asyncio
import random

# Between which shares of the election timeout a follower waits: Raft's
# own, and while nobody can hold a lease but who would say so.
_SHARES = (1.0, 2.0)
_EARLY_SHARES = (0.1, 0.5)
_NEVER = float('-inf')


class ElectionTimer:
    """What a replica last heard of leaders, and how long it waits.

    :param election_s: the election timeout
    :param seed: for the random part of a wait
    """

    def __init__(self, election_s: float, seed: int) -> None:
        self._election_s = election_s
        self._random = random.Random(seed)
        self._heard = _NEVER  # from a leader
        self._waited = _NEVER  # when a wait began
        self._started = _NEVER

    @property
    def hears_leader(self) -> bool:
        """Whether a leader was heard within an election timeout."""
        return _now() - self._heard < self._election_s

    @property
    def is_early(self) -> bool:
        """Whether a vote given before a restart may still be fresh.

        A leader that we answered before the restart may still hold its
        lease, so no vote is given for an election timeout. But if all
        voters vote for the same candidate, or say that they may not vote,
        there is no such leader.
        """
        return _now() - self._started < self._election_s

    def start(self) -> None:
        """Note that this replica has just started."""
        self._started = self._waited = _now()

    def hear(self) -> None:
        """Note that a leader was heard."""
        self._heard = _now()

    def wait_again(self) -> None:
        """Begin a new wait: a vote was given, or an election is over."""
        self._waited = _now()

    async def expire(self) -> bool:
        """Sleep through one wait; return whether nothing was heard."""
        shares = _EARLY_SHARES if self.is_early else _SHARES
        timeout = self._election_s * self._random.uniform(*shares)
        left = max(self._heard, self._waited) + timeout - _now()
        if left <= 0:
            return True
        await asyncio.sleep(left)
        return False


def _now() -> float:
    return asyncio.get_running_loop().time()
