"""Which gateways a caller may connect to, and how long it keeps the list.

The load this answers: callers ask the nearest gateways for a new list when
theirs has run out, and wait for each one that is dead (a second, as a rule)
before they ask the next. While gateways are dead or cut off, every list that
runs out early costs some of its callers that wait, again and again. A list
that lives long costs one failed connection a caller and dead gateway, once.
Gateways that leave in an orderly way turn this round: they answer look-ups
to the end and then refuse, so that a short list sends nobody there.
"""

import collections.abc
import random

from honeyport.wire import honeyport_pb2 as pb

MAX_ADDRESSES = 64
# Fewer gateways than this in the caller's failure domain could not take
# its callers' load if one more is lost; then all are named.
_FEWEST_NEAR = 2
# How long callers keep a list, in seconds: as a rule, and while gateways
# leave in an orderly way.
_KEPT_S = 5.0
_KEPT_WHILE_LEAVING_S = 1.0
# Gateways leave one after the other, a few seconds apart; so long after the
# last sign of one, in seconds, no other is expected.
_LEAVING_S = 6.0
# Without word from control for so long, in seconds, a gateway is no longer
# named by the others (three reports and a tick), and so not by itself: it may
# be cut off, and then refuses all that comes once its lease ends.
_OUT_OF_TOUCH_S = 0.8


def is_isolated(silence_s: float) -> bool:
    """Whether a gateway leaves itself out of the lists that it gives.

    :param silence_s: for how long it has not heard from control
    """
    return silence_s > _OUT_OF_TOUCH_S


def choose(
    members: list[pb.Member],
    domain: str,
    regions: collections.abc.Mapping[str, str],
) -> list[str]:
    """Return the addresses for a caller, those of its domain if enough.

    Otherwise all of its region, if any is there: what a caller sends may not
    be allowed to leave that.

    :param members: the gateways that take callers
    :param domain: the caller's failure domain, or ``''``
    :param regions: the region of each failure domain
    """
    found = [member for member in members if member.domain == domain]
    if len(found) < _FEWEST_NEAR:
        region = regions.get(domain, '')
        found = [
            member
            for member in members
            if region and regions.get(member.domain) == region
        ]
    found = found or members
    addresses = [member.address for member in found]
    if len(addresses) > MAX_ADDRESSES:
        addresses = random.sample(addresses, MAX_ADDRESSES)
    return sorted(addresses)


class ListLifetime:
    """How long callers may keep a list, by who has been leaving."""

    def __init__(self) -> None:
        self._left = float('-inf')

    def record_leaving(
        self, leaving: collections.abc.Sized, now: float
    ) -> None:
        """Take the gateways that are leaving now."""
        if leaving:
            self._left = now

    def lifetime_s(self, now: float) -> float:
        """Return how long a list that is given out now may be kept."""
        if now - self._left < _LEAVING_S:
            return _KEPT_WHILE_LEAVING_S
        return _KEPT_S
