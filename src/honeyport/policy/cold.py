"""How many requests an instance gets while it is cold.

An instance is cold for some seconds after its start, after its failure domain
comes back, and at times without notice. Meanwhile it takes few requests in a
second and ends under many more.

The load this answers: a failure domain comes back together, a hot prefix has
its place on a cold instance, and hundreds of gateways know each other's counts
a quarter of a second late. Each sends less than three requests a second in
all, so that no gateway sees by itself how much one instance gets: 24 reached
one in a second where 19.4 were tolerated.

So only a few gateways send to a cold instance: those that rendezvous hashing
names for it, each at a small rate of its own. The sum holds without a word
between them. All others take their next choice, as does one whose rate is
used up. Half of what is tolerated is given out, since two gateways may see the
members of the fleet differently while these change; more where all instances
are cold and there is no next choice.
"""

import collections
import collections.abc
import math

import attrs

from honeyport.policy import hashing

# The window in which operators count, in seconds.
_WINDOW_S = 1.0
# Of what is tolerated in a window, what is given out: two sets of gateways
# that overlap in none still keep to it.
_SHARE = 0.5
# The same where nothing but cold instances is left: of 223 requests a second
# to 45 cold instances, 2.8 in 100 are refused then in place of 13.8 (replay of
# 3 s, mean of three seeds, ``features/policy/cold.feature``).
_SHARE_OF_LAST = 0.8
# For how long gateways count that are listed no longer, in seconds. A new
# leader has met few of them at first; if these alone counted, each of them
# would be one of few, and others than before.
_REMEMBERED_S = 5.0

Names = collections.abc.Collection[str]


@attrs.frozen(kw_only=True)
class Tolerance:
    """What an instance of one service takes while it is cold.

    :ivar cold_s: for how long it is cold after a start, in seconds
    :ivar most: requests of all gateways within one second; infinite if
        instances of the service do not turn cold
    """

    cold_s: float = 0.0
    max_requests: float = math.inf


def tolerance(
    cold_s: float, rate: float, *, multiple: float, extra: float
) -> Tolerance:
    """Return the tolerance of a service from what its operator states.

    :param cold_s: 0 if its instances do not turn cold
    :param rate: requests a second that a cold instance is made for
    :param multiple: of these, as operators tolerate it
    :param extra: how many more in one second
    """
    if cold_s <= 0:
        return Tolerance()
    return Tolerance(cold_s=cold_s, max_requests=rate * multiple + extra)


class ColdPeriods:
    """Until when instances are cold: points in time, by instance."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def extend(self, instance: str, until: float, same_s: float = 0.0) -> bool:
        """Take it that an instance is cold; return whether that is news.

        What was heard before is never shortened: it may come from who knew
        more, and a spell ends by itself.

        :param same_s: ends that are no further apart are the same one
        """
        if until <= self._until.get(instance, -math.inf) + same_s:
            return False
        self._until[instance] = until
        return True

    def remaining_s(self, instance: str, now: float) -> float:
        """Return for how much longer an instance is cold, in seconds."""
        return max(0.0, self._until.get(instance, now) - now)

    def is_cold(self, instance: str, now: float) -> bool:
        """Whether an instance is cold."""
        return self._until.get(instance, now) > now

    def drop_expired(self, now: float) -> None:
        """Forget what is over."""
        for instance, until in list(self._until.items()):
            if until <= now:
                del self._until[instance]


class SendQuotas:
    """This gateway's part of what cold instances get.

    :param name: of this gateway, as the others know it
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._members: Names = ()
        self._gone: dict[str, float] = {}  # since when they are not listed
        self._known: Names = ()  # both
        self._ranked: dict[str, list[str]] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def set_gateways(self, members: Names, now: float) -> None:
        """Take the names of the gateways that callers are sent to."""
        if members == self._members and not self._has_forgotten(now):
            return
        for name in self._members:
            self._gone.setdefault(name, now)
        for name in members:
            self._gone.pop(name, None)
        self._members = members
        self._known = {*members, *self._gone}
        self._ranked.clear()

    def may_send(
        self, instance: str, most: float, now: float, *, is_last: bool
    ) -> bool:
        """Whether this gateway may send one more request to an instance.

        :param most: what it tolerates of all gateways within one second
        :param is_last: whether nothing but cold instances is left
        """
        if math.isinf(most):
            return True
        given = int(most * (_SHARE_OF_LAST if is_last else _SHARE))
        ranked = self._rank(instance, given)
        if self._name not in ranked:
            return False
        own, rest = divmod(given, len(ranked))
        if ranked.index(self._name) < rest:
            own += 1
        return self._recent(instance, now) < own

    def record_sent(self, instance: str, now: float) -> None:
        """Count a request that is sent to a cold instance."""
        self._sent.setdefault(instance, collections.deque()).append(now)

    def retain(self, present: collections.abc.Container[str]) -> None:
        """Forget the instances that are gone."""
        for kept in (self._sent, self._ranked):
            for instance in [one for one in kept if one not in present]:
                del kept[instance]

    def _has_forgotten(self, now: float) -> bool:
        """Forget who is gone for long; return whether any was."""
        over = [
            name
            for name, since in self._gone.items()
            if since < now - _REMEMBERED_S
        ]
        for name in over:
            del self._gone[name]
        return bool(over)

    def _rank(self, instance: str, most: int) -> list[str]:
        """Return the gateways that may send to an instance, in order."""
        ranked = self._ranked.get(instance)
        if ranked is None or len(ranked) < min(most, len(self._known)):
            ranked = hashing.rank(instance, self._known, most)
            self._ranked[instance] = ranked
        return ranked[:most]

    def _recent(self, instance: str, now: float) -> int:
        """Return how many were sent to an instance within the window."""
        sent = self._sent.get(instance)
        if sent is None:
            return 0
        while sent and sent[0] <= now - _WINDOW_S:
            sent.popleft()
        return len(sent)
