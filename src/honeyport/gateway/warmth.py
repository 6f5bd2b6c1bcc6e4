"""Limits on requests to cold instances, whose caches are empty."""

import asyncio
import collections.abc

from honeyport.policy import cold
from honeyport.policy import placement

ColdLimits = collections.abc.Mapping[str, cold.ColdLimit]


class ColdStartLimiter:
    """Tracks cold instances and this gateway's quotas for them.

    :param name: name of this gateway
    """

    def __init__(self, name: str) -> None:
        self._limits: ColdLimits = {}
        self._cold_periods = cold.ColdPeriods()
        self._quotas = cold.SendQuotas(name)

    def set_limits(self, limits: ColdLimits) -> None:
        """Set the limits of cold instances, by service."""
        self._limits = limits

    def set_gateways(self, gateways: collections.abc.Collection[str]) -> None:
        """Set the names of the gateways that the limits are divided among."""
        self._quotas.set_gateways(gateways, _now())

    def mark_cold(self, instance: str, cold_s: float) -> None:
        """Treat an instance as cold from now on.

        :param cold_s: remaining duration, in seconds
        """
        self._cold_periods.extend(instance, _now() + cold_s)

    def restart_cold_period(self, instance: placement.Instance) -> None:
        """Treat an instance as cold for the full period of its service."""
        self.mark_cold(instance.id, self._limit(instance).cold_s)

    def is_cold(self, instance: placement.Instance, now: float) -> bool:
        """Whether an instance is cold at a loop time."""
        return self._cold_periods.is_cold(instance.id, now)

    def may_send(
        self, instance: placement.Instance, now: float, *, all_cold: bool
    ) -> bool:
        """Whether this gateway may send a request to a cold instance.

        :param now: loop time
        :param all_cold: whether all usable instances are cold
        """
        max_requests = self._limit(instance).max_requests
        return self._quotas.may_send(
            instance.id, max_requests, now, all_cold=all_cold
        )

    def record_sent(self, instance: placement.Instance) -> None:
        """Count a request against the quota if its instance is cold."""
        now = _now()
        if self.is_cold(instance, now):
            self._quotas.record_sent(instance.id, now)

    def drop_expired(self) -> None:
        """Drop the cold periods that are over."""
        self._cold_periods.drop_expired(_now())

    def retain(self, listed_ids: set[str]) -> None:
        """Drop the counts of instances that are no longer listed."""
        self._quotas.retain(listed_ids)

    def _limit(self, instance: placement.Instance) -> cold.ColdLimit:
        return self._limits.get(instance.service, cold.ColdLimit())


def _now() -> float:
    return asyncio.get_running_loop().time()
