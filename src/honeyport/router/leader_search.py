"""Logs and metrics about the attempts to find the leading control replica."""

import collections

from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Attempts with the same address and reason between two log lines: about five
# seconds of a router that finds no leader.
_ATTEMPTS_PER_LOG_LINE = 50

SILENT = 'silent'
REDIRECTED = 'redirected'
NO_LEADER = 'no_leader'
ENDED = 'ended'


class LeaderSearch:
    """Records the outcome of each attempt to attach to the leader.

    :param counters: count the attempts by outcome
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._is_open = False
        self._failure_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record_opened(self, address: str) -> None:
        """Record that a stream to the leader was opened."""
        self._is_open = True
        self._failure_counts.clear()
        self._counters.count('control_tries', outcome='opened')
        logs.emit(events.SESSION_OPENED, leader=address)

    def record_ended(self, address: str, reason: str) -> None:
        """Record that a stream ended or could not be opened.

        :param reason: one of the constants above, a gRPC status in lower
            case, or the code of an error
        """
        if self._is_open:
            self._is_open = False
            logs.emit(events.SESSION_LOST, leader=address, reason=reason)
            return
        self._counters.count('control_tries', outcome=reason)
        if reason == REDIRECTED:
            return  # not a failure; the leader is tried next
        self._failure_counts[address, reason] += 1
        tries = self._failure_counts[address, reason]
        if tries == 1 or tries % _ATTEMPTS_PER_LOG_LINE == 0:
            logs.emit(
                events.SESSION_FAILED,
                address=address,
                reason=reason,
                tries=tries,
            )
