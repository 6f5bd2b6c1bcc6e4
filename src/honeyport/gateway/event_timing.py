"""Times between the events of a stream, for the log."""

import typing

import attrs


@attrs.define
class EventTiming:
    """The longest pause of a stream, and what delayed its caller's reads.

    :ivar longest_pause_s: between two consecutive arrivals of events
    :ivar pause_after: number of the last event before that pause, from 1
    :ivar pause_ended_at: loop time of its end
    :ivar longest_write_s: longest time that the caller took to read events
    """

    longest_pause_s: float | None = None
    pause_after: int = 0
    pause_ended_at: float = 0.0
    longest_write_s: float = 0.0
    _events: int = 0
    _arrived_at: float | None = None

    def record_events(self, total: int, now: float) -> None:
        """Record that events arrived.

        :param total: events of the stream so far
        :param now: as loop time, in seconds
        """
        if total == self._events:
            return
        if self._arrived_at is not None:
            pause_s = now - self._arrived_at
            if self.longest_pause_s is None or pause_s > self.longest_pause_s:
                self.longest_pause_s = pause_s
                self.pause_after = self._events
                self.pause_ended_at = now
        self._events = total
        self._arrived_at = now

    def record_write(self, duration_s: float) -> None:
        """Record how long the caller took to read events."""
        self.longest_write_s = max(self.longest_write_s, duration_s)

    def log_fields(self, received: float) -> dict[str, typing.Any]:
        """Return the log fields; none before the first event.

        :param received: loop time of the request's arrival
        """
        if not self._events:
            return {}
        fields: dict[str, typing.Any] = {'events': self._events}
        if self.longest_pause_s is not None:
            fields['pause_ms'] = _to_ms(self.longest_pause_s)
            fields['pause_after'] = self.pause_after
            fields['pause_at_ms'] = _to_ms(self.pause_ended_at - received)
        fields['write_ms'] = _to_ms(self.longest_write_s)
        return fields


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
