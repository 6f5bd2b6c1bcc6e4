"""Which requests may be why instances end, and what becomes of them.

The load this answers: a request that ends each instance that runs it comes
again and again, at any gateway. Every end costs seconds of an instance and
all that ran there: some 10 to 50 other requests, which are under the end just
as well. So an end is no proof against any of them; several are, as long as
the request never ran to its end:

- after one end a request is sent as any other;
- after two it runs one at a time in the whole fleet, so that a third end is
  known before a fourth can come;
- after three it is refused everywhere. It may be an innocent one still, so
  that it is tried again after a while: three times at the most, in pauses
  that grow. Whoever serves it to its end clears it.

The leader decides; the gateways tell what they saw.
"""

import collections.abc

import attrs

# Ends under a request from which on it runs one at a time.
PERMIT_MIN_ENDS = 2
# Ends under a request from which on it is refused. What operators tolerate.
BAR_MIN_ENDS = 3
# From its latest end until a refused request is tried once more, in seconds:
# one instance lost in a minute, in ten, in an hour and three quarters, and
# none after that until an operator clears it.
_PAUSES_S = (60.0, 600.0, 6000.0)
# An end is seen by several gateways within this, in seconds, lost packets
# included. No instance is back sooner.
_SAME_END_S = 1.0
# How many requests are remembered. One that ends instances takes 50 others
# with it each time, so that 80 ends fit; those under several ends go last.
_MOST = 4096
# How many of those under several ends: these go to the disks and to all
# gateways, 20 bytes each.
_MOST_WATCHED = 512
# A good answer clears a request if it came no longer than this before the
# first end, in seconds. A request that many send at once is under several ends
# when several instances end together, and would be refused for it. Longer
# ago, instances may have had another version.
_SERVED_BEFORE_S = 30.0
# When a request may come back that waits for another copy, in seconds: about
# the time that the copy takes.
_BUSY_S = 0.5

Alive = collections.abc.Callable[[str], bool]


@attrs.frozen(kw_only=True)
class Suspect:
    """A request that gateways are told of.

    :ivar request: its fingerprint
    :ivar ends: how many instances ended under it
    :ivar since: when the first one did, as loop time
    :ivar until: loop time until which it is refused; minus infinity if it
        may run, infinity if only an operator may clear it
    """

    request: str
    ends: int
    first_end_at: float
    barred_until: float

    def is_barred(self, now: float) -> bool:
        """Whether the request is refused now."""
        return self.barred_until > now


@attrs.frozen(kw_only=True)
class PermitDecision:
    """Whether a request may be sent now.

    :ivar back_s: if not, when it may come back, in seconds; ``None`` if
        nobody knows
    :ivar barred: whether too many instances ended under it
    """

    granted: bool
    retry_after_s: float | None = None
    barred: bool = False


@attrs.define
class _Record:
    """One request: its ends, by instance and time, and who may run it."""

    ends: list[tuple[str, float]] = attrs.field(factory=list)
    holder: str = ''

    @property
    def since(self) -> float:
        return min(at for _, at in self.ends)

    @property
    def latest(self) -> float:
        return max(at for _, at in self.ends)

    @property
    def until(self) -> float:
        """When it may be tried again; in the past if it never was barred."""
        trials = len(self.ends) - BAR_MIN_ENDS
        if trials < 0:
            return float('-inf')
        if trials >= len(_PAUSES_S):
            return float('inf')
        return self.latest + _PAUSES_S[trials]

    def has(self, instance: str, at: float, known_until: float) -> bool:
        """Whether an end is counted already.

        :param known_until: an end before this under the same name is one
            that was counted before
        """
        return any(
            name == instance
            and (abs(at - when) < _SAME_END_S or at <= known_until)
            for name, when in self.ends
        )


class EndRegister:
    """The requests under suspicion, as the leader knows them.

    :param noted: those that were written down before, with the instances
        that ended under each
    :param now: when this leader began; pauses begin anew
    """

    def __init__(
        self,
        noted: collections.abc.Mapping[str, collections.abc.Iterable[str]],
        now: float,
    ) -> None:
        self._began = now
        self._records = {
            request: _Record([(instance, now) for instance in instances])
            for request, instances in noted.items()
        }

    def __len__(self) -> int:
        return len(self._records)

    def record_end(self, request: str, instance: str, at: float) -> int:
        """Count an instance that ended under a request.

        :param at: when that was seen, as loop time
        :returns: how many ends there are now; 0 if it was counted before
        """
        record = self._records.setdefault(request, _Record())
        if record.has(instance, at, self._began):
            return 0
        record.ends.append((instance, at))
        self._forget(_MOST)
        return len(record.ends)

    def clear(self, request: str) -> bool:
        """Forget a request; return whether it was known."""
        return self._records.pop(request, None) is not None

    def request_permit(
        self, request: str, holder: str, now: float, alive: Alive
    ) -> PermitDecision:
        """Say whether a gateway may send a request now; one at a time may.

        :param holder: who asks; it gives back what it got
        :param alive: tells whether a former holder may still be running it
        """
        record = self._records.get(request)
        if record is None or len(record.ends) < PERMIT_MIN_ENDS:
            return PermitDecision(granted=True)
        if record.until > now:
            left_s = record.until - now
            back_s = None if left_s == float('inf') else left_s
            return PermitDecision(
                granted=False, retry_after_s=back_s, barred=True
            )
        if record.holder and alive(record.holder):
            return PermitDecision(granted=False, retry_after_s=_BUSY_S)
        record.holder = holder
        return PermitDecision(granted=True)

    def release_permit(self, request: str, holder: str) -> None:
        """Note that a gateway no longer runs a request."""
        record = self._records.get(request)
        if record is not None and record.holder == holder:
            record.holder = ''

    def suspects(self) -> list[Suspect]:
        """Return what gateways are told of: requests under several ends."""
        found = [
            Suspect(
                request=request,
                ends=len(record.ends),
                first_end_at=record.since,
                barred_until=record.until,
            )
            for request, record in self._records.items()
            if len(record.ends) >= PERMIT_MIN_ENDS
        ]
        found.sort(key=lambda one: one.first_end_at)
        return found[-_MOST_WATCHED:]

    def ended_instances(self, request: str) -> tuple[str, ...]:
        """Return the instances that ended under a request."""
        record = self._records.get(request)
        return tuple(name for name, _ in record.ends) if record else ()

    def _forget(self, most: int) -> None:
        """Drop the oldest; requests under several ends only if need be."""
        if len(self._records) <= most:
            return
        for request, record in self._records.items():
            if len(record.ends) < PERMIT_MIN_ENDS:
                del self._records[request]
                return
        del self._records[next(iter(self._records))]


def is_cleared(served: float | None, first_end: float) -> bool:
    """Whether a good answer shows that a request is harmless.

    :param served: when the latest one came, if any did
    :param first_end: when the first instance ended under it
    """
    return served is not None and served > first_end - _SERVED_BEFORE_S
