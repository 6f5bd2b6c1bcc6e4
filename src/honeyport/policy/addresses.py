"""Select the gateways that a caller may connect to, and the list's lifetime.

A caller fetches a new list when its own has expired. While gateways drain,
the lifetime is shorter, so that callers switch to other gateways before the
draining ones refuse connections.
"""

import collections.abc
import random

from honeyport.wire import honeyport_pb2 as pb

MAX_ADDRESSES = 64
# With fewer gateways in the caller's failure domain, those of its region are
# listed: if one more were lost, the rest could not take the callers' load.
_MIN_LOCAL_GATEWAYS = 2
# Lifetime of a list, and while gateways drain.
_LIFETIME_S = 5.0
_LIFETIME_WHILE_DRAINING_S = 1.0
# Time after a gateway was last draining until the normal lifetime applies.
# Gateways are stopped one after the other, a few seconds apart.
_DRAINING_ENDS_AFTER_S = 6.0
# Without contact to control for this long, a gateway is no longer listed by
# the others, and so not by itself: three report periods and a tick. It may be
# cut off, and then refuses all requests once its lease has ended.
_ISOLATED_AFTER_S = 0.8


def is_isolated(silence_s: float) -> bool:
    """Whether a gateway counts as cut off, and is left out of its own lists.

    :param silence_s: seconds since its last message from control
    """
    return silence_s > _ISOLATED_AFTER_S


def choose(
    members: list[pb.Member],
    domain: str,
    regions: collections.abc.Mapping[str, str],
) -> list[str]:
    """Return the addresses for a caller, those in its domain if sufficient.

    Otherwise returns all in its region, since requests may have to stay
    there, or all gateways if there is none in the region.

    :param members: the gateways that accept callers
    :param domain: the caller's failure domain, or ``''``
    :param regions: the region of each failure domain
    """
    selected = [member for member in members if member.domain == domain]
    if len(selected) < _MIN_LOCAL_GATEWAYS:
        region = regions.get(domain, '')
        selected = [
            member
            for member in members
            if region and regions.get(member.domain) == region
        ]
    selected = selected or members
    addresses = [member.address for member in selected]
    if len(addresses) > MAX_ADDRESSES:
        addresses = random.sample(addresses, MAX_ADDRESSES)
    return sorted(addresses)


class ListLifetime:
    """The lifetime of address lists, shorter while gateways drain."""

    def __init__(self) -> None:
        self._last_draining_at = float('-inf')

    def record_draining(
        self, draining: collections.abc.Sized, now: float
    ) -> None:
        """Record whether gateways drain now.

        :param draining: the gateways that drain
        :param now: as loop time, in seconds
        """
        if draining:
            self._last_draining_at = now

    def lifetime_s(self, now: float) -> float:
        """Return the lifetime of a list that is sent now, in seconds."""
        if now - self._last_draining_at < _DRAINING_ENDS_AFTER_S:
            return _LIFETIME_WHILE_DRAINING_S
        return _LIFETIME_S
