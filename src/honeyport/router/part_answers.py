"""When requests with certain prompt parts were answered.

A complete answer shows that none of the prompt's parts crashes instances.
Nothing is sent until the leader asks about a part; then answers with it are
reported as they come, at a limited rate.
"""

import asyncio
import collections
import collections.abc
import math

from honeyport.policy import traits
from honeyport.wire import honeyport_pb2 as pb

# Each takes about 200 bytes.
_MAX_PARTS = 2048
# Minimum time between two reports.
_REPORT_PERIOD_S = 0.25

# A service and the id of a part.
Key = tuple[str, str]
Send = collections.abc.Callable[[pb.RouterItem], bool]


class PartAnswers:
    """The latest complete answers with prompt parts at this router.

    :param send: sends an item to the leader; returns whether a stream is open
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        # Loop time at which the request of the latest answer was sent.
        self._began_at: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )
        self._watched: frozenset[Key] = frozenset()
        self._unreported: set[Key] = set()
        self._next_report_at = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._began_at)

    def record(self, request: traits.Traits, began_at: float) -> None:
        """Record a complete answer to a request.

        :param began_at: loop time at which the request was sent
        """
        for part in request.parts:
            key = (request.service, part)
            began_before = self._began_at.pop(key, -math.inf)
            self._began_at[key] = max(began_at, began_before)
            if key in self._watched:
                self._unreported.add(key)
        while len(self._began_at) > _MAX_PARTS:
            self._began_at.popitem(last=False)
        if self._unreported:
            self._schedule_report()

    def watch(self, keys: collections.abc.Iterable[Key]) -> None:
        """Report answers with these parts only, from now on.

        The latest answers with parts that are new among them are reported at
        once.
        """
        watched = frozenset(keys)
        self._unreported &= watched
        self._unreported |= {
            key for key in watched - self._watched if key in self._began_at
        }
        self._watched = watched
        if self._unreported:
            self._report()

    def is_watched(self, request: traits.Traits) -> bool:
        """Whether a request has a part that is watched."""
        return bool(self._watched) and any(
            (request.service, part) in self._watched for part in request.parts
        )

    def close(self) -> None:
        """Report nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_report(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_at(
                self._next_report_at, self._report
            )

    def _report(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = asyncio.get_running_loop().time()
        self._next_report_at = now + _REPORT_PERIOD_S
        answers = [
            pb.PartAnswer(
                service=key[0],
                part=key[1],
                age_ms=max(0, int((now - self._began_at[key]) * 1000)),
            )
            for key in sorted(self._unreported)
            if key in self._began_at
        ]
        # Without a stream, the next leader asks again.
        self._unreported.clear()
        if answers:
            self._send(
                pb.RouterItem(part_answers=pb.PartAnswers(answers=answers))
            )
