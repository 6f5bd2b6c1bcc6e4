"""Limit the request rate to instances that are cold.

An instance is cold for some seconds after its start or after its failure
domain is restored, and then accepts only a limited request rate. The limit is
divided among the gateways without communication: rendezvous hashing selects
the gateways that may send to a cold instance, and each of them has a quota.
The others use their next choice.

The quotas add up to less than the limit, because gateways may see different
sets of members while these change.
"""

import collections
import collections.abc
import math

import attrs

from honeyport.policy import hashing

# The window of the rate limit, in seconds.
_WINDOW_S = 1.0
# Share of the limit that the quotas add up to. Two sets of gateways without a
# common member still keep to the limit.
_QUOTA_SHARE = 0.5
# The same while all usable instances are cold, so that fewer requests are
# refused then.
_QUOTA_SHARE_ALL_COLD = 0.8
# How long an unlisted gateway still counts when the quotas are divided.
# A new leader lists few gateways at first; if these alone counted, others than
# before would be selected, each with a larger quota.
_REMEMBER_GATEWAY_S = 5.0

GatewayNames = collections.abc.Collection[str]


@attrs.frozen(kw_only=True)
class ColdLimit:
    """The rate limit of a cold instance of one service.

    :ivar cold_s: how long it is cold after a start, in seconds
    :ivar max_requests: requests of all gateways within one second; infinite
        if instances of the service are never cold
    """

    cold_s: float = 0.0
    max_requests: float = math.inf


def cold_limit(
    cold_s: float, rate: float, *, multiple: float, extra: float
) -> ColdLimit:
    """Return the rate limit of a service from its settings.

    :param cold_s: seconds after a start; 0 if its instances are never cold
    :param rate: requests per second that a cold instance is designed for
    :param multiple: tolerated multiple of the rate
    :param extra: further tolerated requests within one second
    """
    if cold_s <= 0:
        return ColdLimit()
    return ColdLimit(cold_s=cold_s, max_requests=rate * multiple + extra)


class ColdPeriods:
    """The loop time until which each instance is cold."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def extend(self, instance: str, until: float, same_s: float = 0.0) -> bool:
        """Extend the cold period of an instance; return whether it changed.

        A period is never shortened: the one in the instance list may end
        before the one that a gateway started for a restored failure domain.

        :param until: loop time of the new end
        :param same_s: a new end that is later by no more than this many
            seconds is the same
        """
        if until <= self._until.get(instance, -math.inf) + same_s:
            return False
        self._until[instance] = until
        return True

    def remaining_s(self, instance: str, now: float) -> float:
        """Return how long an instance stays cold, in seconds."""
        return max(0.0, self._until.get(instance, now) - now)

    def is_cold(self, instance: str, now: float) -> bool:
        """Whether an instance is cold."""
        return self._until.get(instance, now) > now

    def drop_expired(self, now: float) -> None:
        """Drop the periods that have ended."""
        for instance, until in list(self._until.items()):
            if until <= now:
                del self._until[instance]


class SendQuotas:
    """This gateway's quotas for requests to cold instances.

    :param name: the name of this gateway in the lists of members
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._members: GatewayNames = ()
        self._unlisted_since: dict[str, float] = {}  # loop time
        # Members and recently unlisted gateways.
        self._quota_gateways: GatewayNames = ()
        self._ranked_gateways: dict[str, list[str]] = {}  # by instance
        self._sent_at: dict[str, collections.deque[float]] = {}

    def set_gateways(self, members: GatewayNames, now: float) -> None:
        """Set the names of the gateways that the limits are divided among.

        :param now: as loop time, in seconds
        """
        if members == self._members and not self._drop_unlisted(now):
            return
        for name in self._members:
            self._unlisted_since.setdefault(name, now)
        for name in members:
            self._unlisted_since.pop(name, None)
        self._members = members
        self._quota_gateways = {*members, *self._unlisted_since}
        self._ranked_gateways.clear()

    def may_send(
        self, instance: str, max_requests: float, now: float, *, all_cold: bool
    ) -> bool:
        """Whether this gateway may send one more request to an instance.

        :param max_requests: the instance's limit for all gateways within
            one second
        :param all_cold: whether all usable instances are cold
        """
        if math.isinf(max_requests):
            return True
        total_quota = int(
            max_requests
            * (_QUOTA_SHARE_ALL_COLD if all_cold else _QUOTA_SHARE)
        )
        ranked = self._rank(instance, total_quota)
        if self._name not in ranked:
            return False
        own_quota, remainder = divmod(total_quota, len(ranked))
        if ranked.index(self._name) < remainder:
            own_quota += 1
        return self._count_recent(instance, now) < own_quota

    def record_sent(self, instance: str, now: float) -> None:
        """Count a request that is sent to a cold instance."""
        self._sent_at.setdefault(instance, collections.deque()).append(now)

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the instances that are not listed."""
        for by_instance in (self._sent_at, self._ranked_gateways):
            for instance in [
                known for known in by_instance if known not in listed_ids
            ]:
                del by_instance[instance]

    def _drop_unlisted(self, now: float) -> bool:
        """Drop gateways unlisted for long; return whether there were any."""
        expired = [
            name
            for name, since in self._unlisted_since.items()
            if since < now - _REMEMBER_GATEWAY_S
        ]
        for name in expired:
            del self._unlisted_since[name]
        return bool(expired)

    def _rank(self, instance: str, limit: int) -> list[str]:
        """Return the gateways that may send to an instance, in order."""
        ranked = self._ranked_gateways.get(instance)
        if ranked is None or len(ranked) < min(
            limit, len(self._quota_gateways)
        ):
            ranked = hashing.rank(instance, self._quota_gateways, limit)
            self._ranked_gateways[instance] = ranked
        return ranked[:limit]

    def _count_recent(self, instance: str, now: float) -> int:
        """Return the number of requests sent within the window."""
        sent_at = self._sent_at.get(instance)
        if sent_at is None:
            return 0
        while sent_at and sent_at[0] <= now - _WINDOW_S:
            sent_at.popleft()
        return len(sent_at)
