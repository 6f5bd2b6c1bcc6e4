"""Which instances are sending, by the bytes that a gateway gets from them."""

import collections.abc

import attrs


@attrs.define(eq=False)
class Attempt:
    """A request of this gateway that an instance has.

    :ivar quiet_since: when it was sent, or its last bytes arrived
    :ivar limit_s: how long it may be quiet before it is overdue
    """

    instance: str
    quiet_since: float
    limit_s: float


@attrs.define
class _Record:
    """The requests of this gateway at an instance.

    :ivar service: the service of the instance
    :ivar heard_at: when the last bytes arrived from the instance
    """

    service: str
    attempts: set[Attempt] = attrs.field(factory=set)
    heard_at: float = float('-inf')


class ActivityTracker:
    """The times at which instances sent something.

    All times are loop times, in seconds.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_sent(
        self, service: str, instance: str, now: float, limit_s: float
    ) -> Attempt:
        """Record that a request was sent to an instance.

        :param limit_s: how long it may be quiet before it is overdue
        """
        attempt = Attempt(instance, now, limit_s)
        record = self._records.setdefault(instance, _Record(service))
        record.attempts.add(attempt)
        return attempt

    def record_ended(self, attempt: Attempt) -> None:
        """Record that a request is no longer in flight."""
        self._records[attempt.instance].attempts.discard(attempt)

    def record_bytes(
        self, attempt: Attempt, limit_s: float, now: float
    ) -> None:
        """Record that bytes of a response arrived.

        :param limit_s: how long it may be quiet from now on
        """
        attempt.quiet_since = now
        attempt.limit_s = limit_s
        self._records[attempt.instance].heard_at = now

    def mute(self, service: str, now: float) -> frozenset[str]:
        """Return the instances all of whose requests are overdue."""
        return frozenset(
            instance
            for instance, record in self._records.items()
            if record.service == service and self._is_mute(record, now)
        )

    def heard(
        self, service: str, now: float, limit_s: float
    ) -> frozenset[str]:
        """Return the instances from which bytes arrived within a time."""
        return frozenset(
            instance
            for instance, record in self._records.items()
            if record.service == service and now - record.heard_at <= limit_s
        )

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the idle instances that are not listed."""
        for instance, record in list(self._records.items()):
            if not record.attempts and instance not in listed_ids:
                del self._records[instance]

    def _is_mute(self, record: _Record, now: float) -> bool:
        return bool(record.attempts) and all(
            now - attempt.quiet_since > attempt.limit_s
            for attempt in record.attempts
        )
