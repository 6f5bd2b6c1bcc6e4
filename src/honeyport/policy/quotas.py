"""Divide a limit among the gateways without communication.

Rendezvous hashing selects the gateways that get a part of the limit of an
instance, and each of them has a quota. Gateways with the same members have
quotas that add up to the limit.
"""

import collections.abc

from honeyport.policy import hashing

# How long an unlisted gateway still counts when the quotas are divided.
# A new leader lists few gateways at first; if these alone counted, others than
# before would be selected, each with a larger quota.
_REMEMBER_GATEWAY_S = 5.0

GatewayNames = collections.abc.Collection[str]


class GatewayQuotas:
    """This gateway's quotas of limits that all gateways share.

    :param name: the name of this gateway in the lists of members
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._members: GatewayNames = ()
        self._unlisted_since: dict[str, float] = {}  # loop time
        # Members and recently unlisted gateways.
        self._gateways: GatewayNames = ()
        self._ranked_gateways: dict[str, list[str]] = {}  # by instance

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
        self._gateways = {*members, *self._unlisted_since}
        self._ranked_gateways.clear()

    def quota(self, instance: str, limit: int) -> int:
        """Return this gateway's part of an instance's limit."""
        ranked = self._rank(instance, limit)
        if self._name not in ranked:
            return 0
        quota, remainder = divmod(limit, len(ranked))
        return quota + (ranked.index(self._name) < remainder)

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the instances that are not listed."""
        for instance in [
            known for known in self._ranked_gateways if known not in listed_ids
        ]:
            del self._ranked_gateways[instance]

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
        """Return the gateways that share the limit of an instance."""
        ranked = self._ranked_gateways.get(instance)
        if ranked is None or len(ranked) < min(limit, len(self._gateways)):
            ranked = hashing.rank(instance, self._gateways, limit)
            self._ranked_gateways[instance] = ranked
        return ranked[:limit]
