"""Limit the request rate to instances that are cold.

An instance is cold for some seconds after its start or after its failure
domain is restored, and then accepts only a limited request rate. The limit is
divided among the gateways (:mod:`honeyport.policy.quotas`); one without a
quota for an instance uses its next choice.

The quotas add up to less than the limit, because gateways may see different
sets of members while these change.
"""

import collections
import collections.abc
import math

import attrs

from honeyport.policy import quotas

# The window of the rate limit, in seconds.
_WINDOW_S = 1.0
# Share of the limit that the quotas add up to. Two sets of gateways without a
# common member still keep to the limit.
_QUOTA_SHARE = 0.5
# The same while all usable instances are cold, so that fewer requests are
# refused then.
_QUOTA_SHARE_ALL_COLD = 0.8


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
        self._quotas = quotas.GatewayQuotas(name)
        self._sent_at: dict[str, collections.deque[float]] = {}

    def set_gateways(self, members: quotas.GatewayNames, now: float) -> None:
        """Set the names of the gateways that the limits are divided among.

        :param now: as loop time, in seconds
        """
        self._quotas.set_gateways(members, now)

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
        own_quota = self._quotas.quota(instance, total_quota)
        return own_quota > 0 and self._count_recent(instance, now) < own_quota

    def record_sent(self, instance: str, now: float) -> None:
        """Count a request that is sent to a cold instance."""
        self._sent_at.setdefault(instance, collections.deque()).append(now)

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the instances that are not listed."""
        self._quotas.retain(listed_ids)
        for instance in [
            known for known in self._sent_at if known not in listed_ids
        ]:
            del self._sent_at[instance]

    def _count_recent(self, instance: str, now: float) -> int:
        """Return the number of requests sent within the window."""
        sent_at = self._sent_at.get(instance)
        if sent_at is None:
            return 0
        while sent_at and sent_at[0] <= now - _WINDOW_S:
            sent_at.popleft()
        return len(sent_at)
