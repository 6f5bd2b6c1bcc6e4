"""Limits on requests to brittle instances, by this gateway's counts."""

import asyncio
import collections.abc
import random

from honeyport.gateway import instance_signals
from honeyport.policy import brittle
from honeyport.policy import placement
from honeyport.policy import quotas
from honeyport.policy import stale

# Bounds of Retry-After if all instances are at their limits: about the time
# until a request ends. Then as much again at random, since all are refused at
# the same time.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 1.0


class SlotLimits:
    """Chooses the brittle instances that may get one more request.

    :param name: name of this gateway
    :param signals: announcements of the instances
    """

    def __init__(
        self, name: str, signals: instance_signals.InstanceSignals
    ) -> None:
        self._signals = signals
        self._limiter = brittle.SlotLimiter(name)
        self._rooms = brittle.RoomEstimates()
        self._reported: brittle.Tolerances = {}

    def set_gateways(self, gateways: quotas.GatewayNames) -> None:
        """Set the names of the gateways that share the instances."""
        self._limiter.set_gateways(gateways, _now())

    def set_reported(self, tolerances: brittle.Tolerances) -> None:
        """Set the services that are brittle by the reports of gateways."""
        self._reported = tolerances

    def tolerance(self, service: str) -> int | None:
        """Return the rejections within one second that instances survive.

        :returns: ``None`` if the service is not brittle
        """
        known = [
            tolerances[service]
            for tolerances in (
                self._signals.rejection_tolerances,
                self._reported,
            )
            if service in tolerances
        ]
        return min(known, default=None)

    def within_limits(
        self,
        service: str,
        instances: collections.abc.Sequence[placement.Instance],
        counts: stale.LoadCounts,
    ) -> collections.abc.Sequence[placement.Instance]:
        """Return the instances that may get one more request."""
        tolerance = self.tolerance(service)
        if tolerance is None:
            return instances
        now = _now()
        return [
            instance
            for instance in instances
            if not instance.slots
            or self._limiter.may_send(
                instance.id,
                slots=self._rooms.room(instance.id, instance.slots, now),
                own=counts.own(instance.id),
                others=counts.others(instance.id),
                tolerance=tolerance,
                now=now,
            )
        ]

    def record_sent(self, instance: placement.Instance) -> None:
        """Record a request that is sent to an instance."""
        if self.tolerance(instance.service) is not None:
            self._limiter.record_sent(instance.id, _now())

    def record_answer(
        self,
        instance: placement.Instance,
        load: brittle.ReportedLoad | None,
        running: int,
        *,
        is_rejected: bool,
    ) -> None:
        """Record that an instance answered or rejected a request.

        :param load: the load that it reported with the answer, if any
        :param running: the requests there, as far as is known here
        """
        if self.tolerance(instance.service) is None:
            return
        now = _now()
        self._limiter.record_answer(instance.id, now, is_rejected=is_rejected)
        if is_rejected:
            self._rooms.record_rejection(
                instance.id,
                instance.slots,
                running if load is None else load.running,
                now,
            )
        elif load is not None:
            self._rooms.record_load(instance.id, instance.slots, load, now)

    def retain(self, listed_ids: set[str]) -> None:
        """Drop the counts of instances that are no longer listed."""
        self._limiter.retain(listed_ids)
        self._rooms.retain(listed_ids)


def retry_after_s(mean_duration_s: float) -> float:
    """Return when to try brittle instances again, in seconds.

    :param mean_duration_s: of a request
    """
    until_free_s = min(max(mean_duration_s, _MIN_RETRY_S), _MAX_RETRY_S)
    return until_free_s + random.uniform(0.0, until_free_s)


def _now() -> float:
    return asyncio.get_running_loop().time()
