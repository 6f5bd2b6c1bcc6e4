"""Which instances are left alone for a while after failures.

The load this answers: an instance that cannot be reached takes a connect
timeout (0.3 s) from each request that tries it, so that one failure keeps
all others away for a time that doubles with each further one.
"""

import attrs

# How long an instance gets nothing after its first failure, and at the most,
# in seconds. The first is the time in which a process starts anew; the most
# is what callers lose at worst after an instance is back.
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 8.0
# How long a gateway says of an instance that it could not connect to it, in
# seconds, though it may try again: in a large fleet the next gateway that
# tries does so a second later.
_TOLD_S = 1.5


@attrs.frozen
class Pause:
    """What follows from a failure.

    :ivar failures: in a row
    :ivar pause_s: how long the instance is left alone, in seconds
    """

    failures: int
    pause_s: float


@attrs.define
class _Record:
    failures: int = 0
    avoided_until: float = 0.0
    was_reached: bool = True
    failed_at: float = 0.0


class Health:
    """The failures of instances that are not made good yet."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, instance: str) -> None:
        """Note that an instance answered."""
        self._records.pop(instance, None)

    def record_failure(
        self, instance: str, now: float, *, was_reached: bool = True
    ) -> Pause:
        """Note that an instance could not be used.

        :param was_reached: whether it took the connection
        """
        record = self._records.setdefault(instance, _Record())
        pause_s = min(_FIRST_PAUSE_S * 2**record.failures, _LONGEST_PAUSE_S)
        record.failures += 1
        record.was_reached = was_reached
        record.failed_at = now
        record.avoided_until = now + pause_s
        return Pause(record.failures, pause_s)

    def is_healthy(self, instance: str) -> bool:
        """Whether an instance has not failed since it last answered."""
        return instance not in self._records

    def is_paused(self, instance: str, now: float) -> bool:
        """Whether an instance gets nothing now if there are others."""
        record = self._records.get(instance)
        return record is not None and record.avoided_until > now

    def unreachable(self, now: float) -> list[str]:
        """Return those that did not take a connection lately."""
        return [
            instance
            for instance, record in self._records.items()
            if not record.was_reached and record.failed_at + _TOLD_S > now
        ]

    def retain(self, present: set[str]) -> None:
        """Forget the instances that are gone."""
        for name in set(self._records) - present:
            del self._records[name]
