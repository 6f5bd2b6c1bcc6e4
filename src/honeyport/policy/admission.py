"""Decide whether a request waits for the gateway's lease or is refused.

A gateway may send requests only while it holds a lease from control. There
are two reasons to have none:

- The gateway is cut off from control. Other gateways serve, so the request
  is refused at once and the caller tries another one.
- All processes have just started. No gateway serves, and the first lease is
  due shortly, so the request waits for it if its deadline allows that.
"""

import attrs

# Time from the start of a gateway to its first lease when all processes
# start together: expected and maximum, with the start of the last replica.
_FIRST_LEASE_EXPECTED_S = 0.4
_FIRST_LEASE_MAX_S = 0.7
# How long before its deadline a waiting request is refused, and the shortest
# retry delay while the first lease is due.
_REFUSAL_MARGIN_S = 0.1
# Retry delay while control has no quorum: about the time in which replicas
# return one after the other.
_NO_QUORUM_RETRY_S = 1.0
# Retry delay if other gateways serve: a round trip.
_OTHER_GATEWAY_RETRY_S = 0.02


@attrs.frozen(kw_only=True)
class StartState:
    """The history of a gateway that has no lease.

    :ivar started: when it began to accept connections, as loop time
    :ivar has_held_lease: whether it has held a lease since then
    """

    started: float
    has_held_lease: bool


def lease_wait_deadline(
    start_state: StartState, deadline: float, now: float
) -> float | None:
    """Return until when a request waits for the first lease.

    :param deadline: the deadline of the request, as loop time
    :param now: as loop time, in seconds
    :returns: loop time, or ``None`` if it is refused at once
    """
    latest_lease_at = start_state.started + _FIRST_LEASE_MAX_S
    if start_state.has_held_lease or now >= latest_lease_at:
        return None
    if deadline <= max(now, start_state.started + _FIRST_LEASE_EXPECTED_S):
        return None
    return min(latest_lease_at, deadline - _REFUSAL_MARGIN_S)


def retry_after_s(start_state: StartState, now: float) -> float:
    """Return the retry delay for a refused caller, in seconds."""
    if start_state.has_held_lease:
        return _OTHER_GATEWAY_RETRY_S
    if now >= start_state.started + _FIRST_LEASE_MAX_S:
        return _NO_QUORUM_RETRY_S
    return max(
        _REFUSAL_MARGIN_S, start_state.started + _FIRST_LEASE_EXPECTED_S - now
    )
