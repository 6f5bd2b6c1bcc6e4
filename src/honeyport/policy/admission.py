"""What happens to a request while this gateway may not send any.

A gateway sends on a lease alone. Two loads meet it without one:

- It is cut off from control while callers still reach it. The others serve,
  so whoever comes is sent there at once. Told to wait for a lease (4 s), 116
  of 500 requests were late in four seconds in which 4 of 18 gateways were cut
  off.
- All processes start anew, and callers come before the first lease. Nobody
  else serves either, and a lease is due within a few tenths of a second: who
  has the time waits for it, all others are told when to come back.
"""

import attrs

# From a start to the first lease after a loss of all processes, in seconds:
# usually, and at the most (0.2 to 0.65 on machines of half a core, the start
# of the last replica included). Who leaves before the first is refused.
_USUAL_S = 0.4
_LONGEST_S = 0.7
# How long before it leaves a caller that waited gets its refusal, and when
# one may come back that was refused shortly before the lease is due.
_SOON_S = 0.1
# When the first lease is later than that, there is no quorum yet; replicas
# take about so long to come back one by one.
_NO_QUORUM_S = 1.0
# Another gateway can serve at once; a round trip is about so long, in seconds.
_ELSEWHERE_S = 0.02


@attrs.frozen(kw_only=True)
class StartState:
    """What a gateway without a lease knows of itself.

    :ivar started: when it began to take connections
    :ivar has_served: whether it held a lease since then
    """

    started: float
    has_served: bool


def lease_wait_deadline(
    standing: StartState, until: float, now: float
) -> float | None:
    """Return until when a request waits for the lease.

    :param until: when its caller leaves
    :returns: a time, or ``None`` if it is refused at once
    """
    last = standing.started + _LONGEST_S
    if standing.has_served or now >= last:
        return None
    if until <= max(now, standing.started + _USUAL_S):
        return None
    return min(last, until - _SOON_S)


def retry_after_s(standing: StartState, now: float) -> float:
    """Return when a refused caller may come back, in seconds."""
    if standing.has_served:
        return _ELSEWHERE_S
    if now >= standing.started + _LONGEST_S:
        return _NO_QUORUM_S
    return max(_SOON_S, standing.started + _USUAL_S - now)
