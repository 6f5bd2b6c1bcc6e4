"""How fast a leader sends what is large to hundreds of routers.

The load this answers: all gateways come back at once, and each needs the list
of 3,000 instances: 51 kB, 300 times. Sent at once, that fills a link of 100
Mbit/s for 1.2 s; the leader's heartbeats wait behind it, its followers elect
another one, and that one does the same: three leaders within 5 s, and no end.
"""

# Of the link; the rest is for heartbeats, leases and callers.
_SHARE = 0.5
# How much may go out at once, in seconds of that share: two ticks of a leader.
# A follower waits for a heartbeat for 0.6 s at least.
_BURST_S = 0.1
_BITS = 8


class TokenBucket:
    """What may still be sent now: a token bucket.

    :param bytes_per_s: of the link
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._rate = bytes_per_s * _SHARE
        self._most = self._rate * _BURST_S
        self._left = self._most
        self._at = float('-inf')

    def may_send(self, size: int, now: float) -> bool:
        """Take a message out of what may be sent; return whether it fits.

        One that is larger than all that may go out at once goes out when
        nothing else did for a while.

        :param size: in bytes
        """
        if now > self._at:
            earned = self._rate * (now - max(self._at, now - _BURST_S))
            self._left = min(self._most, self._left + earned)
            self._at = now
        if size > self._left and self._left < self._most:
            return False
        self._left -= size
        return True


def for_link(megabits_per_s: float) -> TokenBucket:
    """Return the pace for a link."""
    return TokenBucket(megabits_per_s * 1e6 / _BITS)
