"""Timer after which a follower starts an election."""

import asyncio
import random

# Range of the random wait, in election timeouts. Just after a start the wait
# is shorter, since a candidate then needs the answers of all voters.
_WAIT_FACTORS = (1.0, 2.0)
_STARTUP_WAIT_FACTORS = (0.1, 0.5)
_NEVER = float('-inf')


class ElectionTimer:
    """Randomised election timer of a replica.

    :param election_s: election timeout in seconds
    :param seed: seed of the random waits
    """

    def __init__(self, election_s: float, seed: int) -> None:
        self._election_s = election_s
        self._random = random.Random(seed)
        self._leader_contact_at = _NEVER
        self._wait_started_at = _NEVER
        self._started_at = _NEVER

    @property
    def has_recent_leader(self) -> bool:
        """Whether a leader sent a message within the election timeout."""
        return _now() - self._leader_contact_at < self._election_s

    @property
    def leader_silence_s(self) -> float:
        """Seconds since a leader's last message, or since the start."""
        return _now() - max(self._leader_contact_at, self._started_at)

    @property
    def recently_started(self) -> bool:
        """Whether the replica started within the last election timeout.

        A leader that it answered before the restart may still hold its
        lease, so it grants no vote meanwhile, except to a candidate that
        needs all voters to grant their votes or to be not admitted: then
        no other leader can hold a lease.
        """
        return _now() - self._started_at < self._election_s

    def start(self) -> None:
        """Start the first wait of this replica."""
        self._started_at = self._wait_started_at = _now()

    def record_leader_contact(self) -> None:
        """Record a message of a leader, which starts a new wait."""
        self._leader_contact_at = _now()

    def restart(self) -> None:
        """Start a new wait, after granting a vote or after an election."""
        self._wait_started_at = _now()

    async def wait_for_timeout(self) -> bool:
        """Sleep until the wait ends, unless it has ended.

        :returns: ``True`` without sleeping if the wait has ended; ``False``
            after sleeping, since the wait may have been restarted meanwhile
        """
        factors = (
            _STARTUP_WAIT_FACTORS if self.recently_started else _WAIT_FACTORS
        )
        wait_s = self._election_s * self._random.uniform(*factors)
        remaining_s = (
            max(self._leader_contact_at, self._wait_started_at)
            + wait_s
            - _now()
        )
        if remaining_s <= 0:
            return True
        await asyncio.sleep(remaining_s)
        return False


def _now() -> float:
    return asyncio.get_running_loop().time()
