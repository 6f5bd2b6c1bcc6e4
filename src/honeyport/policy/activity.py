"""Which instances are sending, by the bytes that a gateway gets from them."""

import collections.abc

import attrs


@attrs.define
class _Record:
    """The requests of this gateway at an instance.

    :ivar running: requests in flight there
    :ivar busy_since: when the first of them was sent
    :ivar heard_at: when the last bytes arrived from the instance
    """

    running: int = 0
    busy_since: float = float('-inf')
    heard_at: float = float('-inf')


class ActivityTracker:
    """The times at which instances sent something.

    All times are loop times, in seconds.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_sent(self, instance: str, now: float) -> None:
        """Record that a request was sent to an instance."""
        record = self._records.setdefault(instance, _Record())
        if not record.running:
            record.busy_since = now
        record.running += 1

    def record_ended(self, instance: str) -> None:
        """Record that such a request is no longer in flight."""
        self._records[instance].running -= 1

    def record_bytes(self, instance: str, now: float) -> None:
        """Record that bytes arrived from an instance."""
        self._records[instance].heard_at = now

    def mute(
        self,
        instances: collections.abc.Iterable[str],
        now: float,
        limit_s: float,
    ) -> frozenset[str]:
        """Return the instances with requests that sent nothing for a time."""
        return frozenset(
            instance
            for instance, record in self._find(instances)
            if record.running
            and now - max(record.heard_at, record.busy_since) > limit_s
        )

    def heard(
        self,
        instances: collections.abc.Iterable[str],
        now: float,
        limit_s: float,
    ) -> frozenset[str]:
        """Return the instances from which bytes arrived within a time."""
        return frozenset(
            instance
            for instance, record in self._find(instances)
            if now - record.heard_at <= limit_s
        )

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the idle instances that are not listed."""
        for instance, record in list(self._records.items()):
            if not record.running and instance not in listed_ids:
                del self._records[instance]

    def _find(
        self, instances: collections.abc.Iterable[str]
    ) -> collections.abc.Iterator[tuple[str, _Record]]:
        for instance in instances:
            record = self._records.get(instance)
            if record is not None:
                yield instance, record
