"""Log lines that are written at a bounded rate."""

import collections
import typing

from honeyport.telemetry import events
from honeyport.telemetry import log as logs

_INTERVAL_S = 1.0


class Sampler:
    """Writes at most one line of each kind a second, and counts the others.

    Clients may cause any number of them.
    """

    def __init__(self) -> None:
        self._next_at: dict[str, float] = {}
        self._omitted: collections.Counter[str] = collections.Counter()

    def emit(
        self, event: events.Event, now: float, **fields: typing.Any
    ) -> None:
        """Write a line, or count it for the next one.

        :param now: loop time
        """
        if now < self._next_at.get(event.name, float('-inf')):
            self._omitted[event.name] += 1
            return
        self._next_at[event.name] = now + _INTERVAL_S
        omitted = self._omitted.pop(event.name, 0)
        logs.emit(event, **fields, omitted=omitted)
