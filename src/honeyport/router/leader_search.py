"""The tries to find the leading control replica, for whoever asks why.

Without them, a router that asks at the wrong addresses looks the same as
one that is turned away, and as one that does not ask at all.
"""

import collections

from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# A router that finds nobody tries some ten times a second: one line for each
# address and reason, and then one in so many, about every five seconds.
_LINE_EVERY = 50

SILENT = 'silent'
REDIRECTED = 'redirected'
NO_LEADER = 'no_leader'
ENDED = 'ended'


class LeaderSearch:
    """What became of each address that was asked for the leader.

    :param counters: count all tries by what came of them
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._is_open = False
        self._failed: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record_opened(self, address: str) -> None:
        """Note that a stream stands."""
        self._is_open = True
        self._failed.clear()
        self._counters.count('control_tries', outcome='opened')
        logs.emit(events.SESSION_OPENED, leader=address)

    def record_ended(self, address: str, reason: str) -> None:
        """Note that a stream ended, or that there was none to be had.

        :param reason: one of the names above, a gRPC status in small
            letters, or the code of an error
        """
        if self._is_open:
            self._is_open = False
            logs.emit(events.SESSION_LOST, leader=address, reason=reason)
            return
        self._counters.count('control_tries', outcome=reason)
        if reason == REDIRECTED:
            return  # not a failure: the next try follows at once
        self._failed[address, reason] += 1
        tries = self._failed[address, reason]
        if tries == 1 or tries % _LINE_EVERY == 0:
            logs.emit(
                events.SESSION_FAILED,
                address=address,
                reason=reason,
                tries=tries,
            )
