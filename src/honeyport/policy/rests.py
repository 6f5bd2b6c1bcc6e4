"""Backoffs that instances requested with ``Retry-After``."""

import random

import attrs

# The longest backoff that is granted, so that an instance that requests days
# by mistake is tried again.
MAX_BACKOFF_S = 60.0
# Maximum random delay after a backoff, as a share of it and in seconds.
# Many gateways were asked for the same backoff at the same time.
_JITTER_SHARE = 0.2
_MAX_JITTER_S = 1.0
# Slow start after a backoff: the first and the largest limit of concurrent
# requests from this gateway. The limit doubles with each answer; once it would
# exceed the largest, the slow start ends and there is no limit.
# All the requests that were kept from it at once would make it refuse again.
_SLOW_START_REQUESTS = 1
_SLOW_START_MAX_REQUESTS = 16


@attrs.frozen
class Backoff:
    """A backoff that an instance requested.

    :ivar requested_s: the requested duration, in seconds
    :ivar granted_s: the granted duration, in seconds
    :ivar is_new: whether no earlier backoff was in effect
    """

    requested_s: float
    granted_s: float
    is_new: bool


@attrs.define
class _BackoffRecord:
    """A backoff that is in effect, or followed by its slow start.

    :ivar started_at: as loop time
    :ivar until: as loop time
    :ivar max_running: the limit of concurrent requests after it
    """

    started_at: float
    until: float
    max_running: int = _SLOW_START_REQUESTS


class Backoffs:
    """The backoffs and slow starts of all instances.

    Only time ends a backoff: answers to requests that were sent before it do
    not, and a shorter one that is requested later does not replace it.
    """

    def __init__(self) -> None:
        self._records: dict[str, _BackoffRecord] = {}

    def __bool__(self) -> bool:
        """Whether any instance is in backoff or in slow start."""
        return bool(self._records)

    def record_backoff(
        self, instance: str, requested_s: float, now: float
    ) -> Backoff:
        """Record that an instance requested a backoff.

        :param requested_s: its duration, in seconds
        :param now: as loop time, in seconds
        """
        granted_s = min(requested_s, MAX_BACKOFF_S)
        max_jitter_s = min(granted_s * _JITTER_SHARE, _MAX_JITTER_S)
        until = now + granted_s + random.uniform(0.0, max_jitter_s)
        record = self._records.get(instance)
        is_new = record is None or record.until <= now
        if record is None or is_new:
            self._records[instance] = _BackoffRecord(now, until)
        else:
            record.until = max(record.until, until)
        return Backoff(requested_s, granted_s, is_new)

    def record_answer(self, instance: str, now: float) -> None:
        """Record an answer, which raises the limit of the slow start."""
        record = self._records.get(instance)
        if record is None or record.until > now:
            return
        record.max_running *= 2
        if record.max_running > _SLOW_START_MAX_REQUESTS:
            del self._records[instance]

    def may_send(self, instance: str, running: int, now: float) -> bool:
        """Whether this gateway may send one more request to an instance.

        :param running: the requests of this gateway that run there
        """
        record = self._records.get(instance)
        if record is None:
            return True
        return record.until <= now and running < record.max_running

    def remaining_s(self, instance: str, now: float) -> float:
        """Return the remaining time of a backoff, in seconds; 0 if none."""
        record = self._records.get(instance)
        return 0.0 if record is None else max(0.0, record.until - now)

    def elapsed_s(self, instance: str, at: float) -> float | None:
        """Return how long a backoff had lasted at a time.

        :param at: as loop time
        :returns: seconds, or ``None`` if none was in effect
        """
        record = self._records.get(instance)
        if record is None or not record.started_at < at < record.until:
            return None
        return at - record.started_at

    def active(self, now: float) -> list[str]:
        """Return the ids of the instances that are in backoff."""
        return [
            instance
            for instance, record in self._records.items()
            if record.until > now
        ]

    def retain(self, listed_ids: set[str]) -> None:
        """Drop the instances that are not listed."""
        for instance in self._records.keys() - listed_ids:
            del self._records[instance]
