"""Signals of instances in response headers.

An instance requests a backoff with ``Retry-After``, announces its departure
with the ``leaving`` header, and with the ``brittle`` header that it crashes if
it rejects too many requests.
"""

import asyncio
import collections.abc
import random

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import headers as gateway_headers
from honeyport.policy import brittle
from honeyport.policy import placement
from honeyport.policy import rests
from honeyport.policy import retry_after
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Maximum random delay that is added to Retry-After if all instances are in
# backoff.
_RETRY_JITTER_MAX_S = 0.5
# Time after its first leaving header in which an instance still gets requests
# if no other is available: its replacement is listed a little later. Well
# under the time for which a leaving instance goes on serving.
_RECENTLY_LEAVING_S = 1.0
# Values of the leaving header that mean "not leaving".
_FALSE_VALUES = frozenset(('', '0', 'false'))


Instances = collections.abc.Sequence[placement.Instance]
Running = collections.abc.Mapping[str, int]
# Called with the id of an instance on its first leaving header.
LeaveCallback = collections.abc.Callable[[str], None]


class InstanceSignals:
    """Tracks what instances announced.

    Backoffs and brittle services are reported to control, which passes them on
    to other gateways; departures are not, as every answer of a leaving
    instance announces them.

    :param names: header names
    :param counters: metrics registry
    :param on_leave: called once for each instance that starts to leave
    """

    def __init__(
        self,
        names: gateway_headers.HeaderNames,
        counters: metrics.Metrics,
        on_leave: LeaveCallback = lambda _: None,
    ) -> None:
        self._names = names
        self._on_leave = on_leave
        self._metrics = counters
        self._rests = rests.Backoffs()
        self._leaving_since: dict[str, float] = {}
        self._brittle = brittle.BrittleServices()
        counters.gauge('instances_resting', lambda: len(self.in_backoff))

    @property
    def in_backoff(self) -> list[str]:
        """Ids of the instances that are in backoff now."""
        return self._rests.active(_now()) if self._rests else []

    @property
    def rejection_tolerances(self) -> brittle.Tolerances:
        """Tolerated rejections within one second, by brittle service."""
        return self._brittle.tolerances(_now()) if self._brittle else {}

    def observe(
        self, instance: placement.Instance, head: attempt.Head, sent_at: float
    ) -> None:
        """Process the signal headers of a response.

        :param instance: the instance that answered
        :param head: status and headers of the response
        :param sent_at: loop time at which the request was sent
        """
        self._log_if_resting(instance, sent_at)
        self._record_brittle(instance, head)
        leaving = head.headers.get(self._names.leaving, '')
        if leaving.strip().lower() not in _FALSE_VALUES:
            self._start_leaving(instance)
        retry_after_value = head.headers.get('Retry-After', '')
        asked_s = retry_after.requested_backoff_s(
            head.status, retry_after_value
        )
        if asked_s is not None:
            self._start_rest(instance, head.status, asked_s)

    def backoff_remaining_s(self, instance: str) -> float:
        """Return the remaining backoff of an instance, in seconds."""
        return self._rests.remaining_s(instance, _now())

    def record_success(self, instance: str) -> None:
        """Record that an instance answered a request."""
        if self._rests:
            self._rests.record_answer(instance, _now())

    def not_in_backoff(self, instances: Instances) -> Instances:
        """Return the instances that are not in backoff."""
        if not self._rests:
            return instances
        now = _now()
        return [
            instance
            for instance in instances
            if not self._rests.remaining_s(instance.id, now)
        ]

    def within_slow_start(
        self, instances: Instances, running: Running
    ) -> Instances:
        """Return the instances whose slow start allows a request.

        :param running: in-flight requests of this gateway, by instance id
        """
        if not self._rests:
            return instances
        now = _now()
        return [
            instance
            for instance in instances
            if self._rests.may_send(
                instance.id, running.get(instance.id, 0), now
            )
        ]

    def not_leaving(self, instances: Instances) -> Instances:
        """Return the instances that have not announced their departure."""
        if not self._leaving_since:
            return instances
        return [
            instance
            for instance in instances
            if instance.id not in self._leaving_since
        ]

    def recently_leaving(self, instances: Instances) -> Instances:
        """Return instances that began to leave and still serve.

        Instances that are listed as leaving are excluded.
        """
        cutoff = _now() - _RECENTLY_LEAVING_S
        return [
            instance
            for instance in instances
            if not instance.leaving
            and self._leaving_since.get(instance.id, cutoff) > cutoff
        ]

    def leaving_since(self, instance: str) -> float | None:
        """Return the loop time of an instance's first leaving header."""
        return self._leaving_since.get(instance)

    def check_not_in_backoff(self, instance: placement.Instance) -> None:
        """Check that an instance is not in backoff.

        :raises errors.InstanceRests: if it is
        """
        remaining_s = self.backoff_remaining_s(instance.id)
        if remaining_s:
            raise errors.InstanceRests(
                f'{instance.id} is resting', retry_after=remaining_s
            )

    def retry_after_s(
        self, instances: collections.abc.Iterable[placement.Instance]
    ) -> float:
        """Return after how long a caller should retry, in seconds.

        :param instances: instances in backoff that it may use; not empty
        """
        remaining_s = min(
            self.backoff_remaining_s(instance.id) for instance in instances
        )
        return remaining_s + random.uniform(0.0, _RETRY_JITTER_MAX_S)

    def retain(self, listed_ids: set[str]) -> None:
        """Drop the state of instances that are no longer listed."""
        self._rests.retain(listed_ids)
        for instance_id in self._leaving_since.keys() - listed_ids:
            del self._leaving_since[instance_id]

    def _log_if_resting(
        self, instance: placement.Instance, sent_at: float
    ) -> None:
        """Log and count a request sent to an instance in backoff."""
        rested_s = self._rests.elapsed_s(instance.id, sent_at)
        if rested_s is None:
            return
        self._metrics.count('resting_used')
        logs.emit(
            events.RESTING_USED,
            backend=instance.id,
            address=instance.address,
            rested_s=round(rested_s, 3),
        )

    def _record_brittle(
        self, instance: placement.Instance, head: attempt.Head
    ) -> None:
        value = head.headers.get(self._names.brittle)
        tolerance = None if value is None else _parse_tolerance(value)
        if self._brittle.record_answer(instance.service, tolerance, _now()):
            logs.emit(
                events.SERVICE_BRITTLE
                if tolerance is not None
                else events.SERVICE_NOT_BRITTLE,
                service=instance.service,
                backend=instance.id,
                tolerance=tolerance,
            )

    def _start_leaving(self, instance: placement.Instance) -> None:
        if instance.id in self._leaving_since:
            return
        self._leaving_since[instance.id] = _now()
        logs.emit(
            events.INSTANCE_LEAVES,
            backend=instance.id,
            address=instance.address,
            is_listed=instance.leaving,
        )
        self._on_leave(instance.id)

    def _start_rest(
        self, instance: placement.Instance, status: int, asked_s: float
    ) -> None:
        rest = self._rests.record_backoff(instance.id, asked_s, _now())
        self._metrics.count('rests_asked')
        if rest.is_new:
            logs.emit(
                events.REST_ASKED,
                backend=instance.id,
                address=instance.address,
                status=status,
                asked_s=rest.requested_s,
                rest_s=rest.granted_s,
            )


def _parse_tolerance(value: str) -> int:
    """Return the rejections that an instance survives; 0 if unreadable."""
    return gateway_headers.parse_count(value.strip()) or 0


def _now() -> float:
    return asyncio.get_running_loop().time()
