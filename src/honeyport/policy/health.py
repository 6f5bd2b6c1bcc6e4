"""Pause instances after failures, with exponential backoff.

A paused instance gets requests only if no other instance is available.
"""

import collections.abc

import attrs

# Pause after the first failure, about the restart of a process, and the
# longest one, which is what callers lose at most after an instance is back.
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 8.0
# How long an instance is reported as unreachable after a failed connection.
# In a large fleet the next gateway that tries does so about a second later.
_REPORT_UNREACHABLE_S = 1.5


@attrs.frozen
class FailurePause:
    """The pause of an instance after a failure.

    :ivar failures: the number of consecutive failures
    :ivar pause_s: its duration, in seconds
    """

    failures: int
    pause_s: float


@attrs.define
class _FailureRecord:
    failures: int = 0
    next_pause_s: float = _FIRST_PAUSE_S
    paused_until: float = 0.0
    connected: bool = True
    failed_at: float = 0.0
    is_confirmed: bool = True


class FailureTracker:
    """The consecutive failures of instances since their last answer."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def record_success(self, instance: str) -> None:
        """Record that an instance answered, which resets its failures."""
        self._records.pop(instance, None)

    def record_failure(
        self,
        instance: str,
        now: float,
        *,
        connected: bool = True,
        confirmed: bool = True,
    ) -> FailurePause:
        """Record a failure of an instance.

        :param now: as loop time, in seconds
        :param connected: whether it accepted the connection
        :param confirmed: whether the instance is known to be at fault, rather
            than the way to it
        """
        record = self._records.setdefault(instance, _FailureRecord())
        pause_s = record.next_pause_s
        record.next_pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        record.failures += 1
        record.connected = connected
        record.failed_at = now
        record.is_confirmed = confirmed
        record.paused_until = now + pause_s
        return FailurePause(record.failures, pause_s)

    def forget(self, instances: collections.abc.Iterable[str]) -> None:
        """Drop the failures of instances."""
        for instance in instances:
            self._records.pop(instance, None)

    def confirm(self, instance: str) -> None:
        """Record that the failures of an instance are its own."""
        record = self._records.get(instance)
        if record is not None:
            record.is_confirmed = True

    def is_healthy(self, instance: str) -> bool:
        """Whether an instance has not failed since it last answered."""
        return instance not in self._records

    def is_paused(self, instance: str, now: float) -> bool:
        """Whether an instance is used only if there are no others."""
        record = self._records.get(instance)
        return record is not None and record.paused_until > now

    def unreachable(self, now: float) -> list[str]:
        """Return the instances that recently failed to accept a connection.

        Failures that may be those of the way to them are left out.
        """
        return [
            instance
            for instance, record in self._records.items()
            if not record.connected
            and record.is_confirmed
            and record.failed_at + _REPORT_UNREACHABLE_S > now
        ]

    def retain(self, listed_ids: set[str]) -> None:
        """Drop the instances that are not listed."""
        for instance in set(self._records) - listed_ids:
            del self._records[instance]
