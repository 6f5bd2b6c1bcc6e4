"""Limit the rate at which a leader sends large messages to routers.

After a restart of all gateways, the leader sends the list of instances to each
of them. The limit keeps these messages from delaying its heartbeats, which
would cause an election.
"""

# Share of the link's bandwidth at which the bucket is refilled; the rest is
# for heartbeats, leases and callers.
_LINK_SHARE = 0.5
# Time in which an empty bucket is refilled, which sets its capacity.
# Two ticks of the leader, and well under an election timeout.
_BURST_S = 0.1
_BITS_PER_BYTE = 8


class TokenBucket:
    """A token bucket for messages, in bytes.

    :param bytes_per_s: the bandwidth of the link
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._rate = bytes_per_s * _LINK_SHARE
        self._capacity = self._rate * _BURST_S
        self._tokens = self._capacity
        self._refilled_at = float('-inf')

    def try_consume(self, size: int, now: float) -> bool:
        """Spend the tokens for a message; return whether it may be sent.

        A message that is larger than the bucket may be sent when the bucket
        is full.

        :param size: in bytes
        :param now: as loop time, in seconds
        """
        if now > self._refilled_at:
            refilled = self._rate * (
                now - max(self._refilled_at, now - _BURST_S)
            )
            self._tokens = min(self._capacity, self._tokens + refilled)
            self._refilled_at = now
        if size > self._tokens and self._tokens < self._capacity:
            return False
        self._tokens -= size
        return True


def for_link(megabits_per_s: float) -> TokenBucket:
    """Return a full token bucket for a link."""
    return TokenBucket(megabits_per_s * 1e6 / _BITS_PER_BYTE)
