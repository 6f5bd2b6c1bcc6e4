"""Detect requests that crash instances, and restrict them.

When an instance ends, each request that ran there may be the cause, but most
are not. The number of instances that ended under a request decides, as long
as the request was never answered:

- after one end it is sent as any other request;
- after two it needs a permit, which one gateway at a time holds, so that the
  next end is known before the request is sent again;
- after three it is barred, that is, refused by all gateways. It may still be
  harmless, so it is tried again up to three times, after growing pauses.

A complete answer clears a request. The leader decides from the reports of all
gateways.

Requests that instances have when they are barred, running or waiting, are
withdrawn if no answer to such requests is known. Others may be barred by
mistake, and then their answers show it.

Requests that have prompt parts in common are restricted in the same way, as a
set, once these parts explain several ends
(:mod:`honeyport.policy.part_suspicion`).
"""

import collections.abc

import attrs

from honeyport.policy import traits

# Ends under a request from which on it needs a permit.
PERMIT_MIN_ENDS = 2
# Ends under a request from which on it is barred.
BAR_MIN_ENDS = 3
# Pauses after the latest end before a barred request is tried again. After
# the last one only an operator can clear it.
_BAR_PAUSES_S = (60.0, 600.0, 6000.0)
# Reports of one instance's end within this time are about the same end.
_SAME_END_MAX_S = 1.0
# A single request is not blamed for an end that a set of requests explains, if
# it was reported at most this long before or after.
_EXPLAINED_MAX_S = 5.0
# Maximum number of requests that are remembered; those that need no permit are
# dropped first.
_MAX_RECORDS = 4096
# Maximum number of suspects that are stored and sent to all gateways.
_MAX_SUSPECTS = 512
# A complete answer clears a request if it came at most this long before the
# first end.
_CLEARED_BY_ANSWER_BEFORE_S = 30.0
# Retry delay while another gateway holds the permit.
_PERMIT_HELD_RETRY_S = 0.5

IsActive = collections.abc.Callable[[str], bool]


@attrs.frozen(kw_only=True)
class Suspect:
    """A request, or set of requests, that needs a permit to be sent.

    :ivar request: its fingerprint, or the key of the set
    :ivar ends: how many instances ended under it
    :ivar first_end_at: loop time of the first end
    :ivar barred_until: loop time until which it is refused; minus infinity
        if it may run, infinity if only an operator can clear it
    :ivar part_set: the requests, if it is a set of them
    :ivar is_unanswered: whether no complete answer to such a request is known
    """

    request: str
    ends: int
    first_end_at: float
    barred_until: float
    part_set: traits.PartSet | None = None
    is_unanswered: bool = False

    def is_barred(self, now: float) -> bool:
        """Whether the request is refused at this time."""
        return self.barred_until > now

    def is_withdrawn(self, now: float) -> bool:
        """Whether such requests are withdrawn from instances."""
        return self.is_unanswered and self.is_barred(now)


@attrs.frozen
class StoredSuspect:
    """What is kept of a suspect across leaders and restarts.

    :ivar instances: the ids of the instances that ended under it
    :ivar part_set: the requests, if it is a set of them
    :ivar trials: permits that were given for a set
    """

    instances: tuple[str, ...]
    part_set: traits.PartSet | None = None
    trials: int = 0


@attrs.frozen(kw_only=True)
class PermitDecision:
    """The answer to a request for a permit.

    :ivar granted: whether the request may be sent now
    :ivar retry_after_s: the retry delay if not, in seconds; ``None`` if
        unknown
    :ivar barred: whether it is refused because too many instances ended
        under it
    """

    granted: bool
    retry_after_s: float | None = None
    barred: bool = False


@attrs.define
class _Record:
    """The ends under one request, or set, and the holder of its permit.

    :ivar ends: instance ids and loop times
    :ivar holder: the gateway that may send it, or ``''``
    :ivar part_set: the requests, if it is a set of them
    :ivar trials: permits that were given for a set; several of its requests
        may still be running when it is barred, so that ends do not count them
    :ivar is_unanswered: whether no complete answer to such a request is known
    """

    ends: list[tuple[str, float]] = attrs.field(factory=list)
    holder: str = ''
    part_set: traits.PartSet | None = None
    trials: int = 0
    is_unanswered: bool = False

    @property
    def needs_permit(self) -> bool:
        return self.part_set is not None or len(self.ends) >= PERMIT_MIN_ENDS

    @property
    def first_end_at(self) -> float:
        return min(at for _, at in self.ends)

    @property
    def latest_end_at(self) -> float:
        return max(at for _, at in self.ends)

    @property
    def barred_until(self) -> float:
        """Loop time until which it is barred; minus infinity if it is not."""
        bar_index = len(self.ends) - BAR_MIN_ENDS
        if self.part_set is not None:
            bar_index = self.trials
        if bar_index < 0:
            return float('-inf')
        if bar_index >= len(_BAR_PAUSES_S):
            return float('inf')
        return self.latest_end_at + _BAR_PAUSES_S[bar_index]

    def has_end(self, instance: str, at: float, restored_at: float) -> bool:
        """Whether an end is counted already.

        :param restored_at: any end of the same instance before this is
            contained in the restored records
        """
        return any(
            name == instance
            and (abs(at - known_at) < _SAME_END_MAX_S or at <= restored_at)
            for name, known_at in self.ends
        )


class EndRegister:
    """The leader's record of instance ends, by request.

    :param stored: the stored suspects
    :param now: loop time at which this leader starts; pauses start again
    """

    def __init__(
        self,
        stored: collections.abc.Mapping[str, StoredSuspect],
        now: float,
    ) -> None:
        self._restored_at = now
        self._records = {
            request: _Record(
                [(instance, now) for instance in suspect.instances],
                part_set=suspect.part_set,
                trials=suspect.trials,
            )
            for request, suspect in stored.items()
        }
        # Loop times of the ends that sets explain, by instance.
        self._explained_ends: dict[str, list[float]] = {}
        self._update_explained_ends()

    def __len__(self) -> int:
        return len(self._records)

    def record_end(self, request: str, instance: str, at: float) -> int:
        """Count an instance that ended while it ran a request.

        :param at: loop time at which the end was observed
        :returns: the number of ends, or 0 if this one is counted already or
            a set of requests explains it
        """
        if self._is_explained(instance, at):
            return 0
        record = self._records.setdefault(request, _Record(is_unanswered=True))
        if record.has_end(instance, at, self._restored_at):
            return 0
        record.ends.append((instance, at))
        self._evict(_MAX_RECORDS)
        return len(record.ends)

    def clear(self, request: str) -> bool:
        """Drop the record of a request; return whether there was one."""
        record = self._records.pop(request, None)
        if record is not None and record.part_set is not None:
            self._update_explained_ends()
        return record is not None

    def request_permit(
        self, request: str, holder: str, now: float, is_active: IsActive
    ) -> PermitDecision:
        """Decide whether a gateway may send a request now.

        :param holder: the gateway that requests the permit
        :param is_active: whether a holder may still be running the request
        """
        record = self._records.get(request)
        if record is None or not record.needs_permit:
            return PermitDecision(granted=True)
        if record.barred_until > now:
            remaining_s = record.barred_until - now
            retry_after_s = (
                None if remaining_s == float('inf') else remaining_s
            )
            return PermitDecision(
                granted=False, retry_after_s=retry_after_s, barred=True
            )
        if record.holder and is_active(record.holder):
            return PermitDecision(
                granted=False, retry_after_s=_PERMIT_HELD_RETRY_S
            )
        record.holder = holder
        record.trials += record.part_set is not None
        return PermitDecision(granted=True)

    def release_permit(self, request: str, holder: str) -> None:
        """Release the permit for a request if a gateway holds it."""
        record = self._records.get(request)
        if record is not None and record.holder == holder:
            record.holder = ''

    def suspects(self) -> list[Suspect]:
        """Return the requests that need a permit, the latest ones last."""
        suspects = [
            Suspect(
                request=request,
                ends=len(record.ends),
                first_end_at=record.first_end_at,
                barred_until=record.barred_until,
                part_set=record.part_set,
                is_unanswered=record.is_unanswered,
            )
            for request, record in self._records.items()
            if record.needs_permit
        ]
        suspects.sort(key=lambda suspect: suspect.first_end_at)
        return suspects[-_MAX_SUSPECTS:]

    def to_stored(self, request: str) -> StoredSuspect:
        """Return what to store of a suspect."""
        record = self._records[request]
        return StoredSuspect(
            tuple(name for name, _ in record.ends),
            record.part_set,
            record.trials,
        )

    def ends(self, request: str) -> tuple[tuple[str, float], ...]:
        """Return the ends under a request: instance ids and loop times."""
        record = self._records.get(request)
        return tuple(record.ends) if record else ()

    def ended_instances(self, request: str) -> tuple[str, ...]:
        """Return the instances that ended under a request."""
        record = self._records.get(request)
        return tuple(name for name, _ in record.ends) if record else ()

    # -- sets of requests ------------------------------------------------

    def part_sets(self) -> list[tuple[traits.PartSet, float]]:
        """Return the sets, and the loop time of the latest end under each."""
        return [
            (record.part_set, record.latest_end_at)
            for record in self._records.values()
            if record.part_set is not None
        ]

    def has_part_set(self, part_set: traits.PartSet) -> bool:
        """Whether a set is restricted."""
        return part_set.key in self._records

    def set_part_ends(
        self,
        part_set: traits.PartSet,
        ends: collections.abc.Iterable[tuple[str, float]],
        *,
        is_unanswered: bool = False,
    ) -> bool:
        """Restrict a set of requests, or update the ends under it.

        :param ends: instance ids and loop times
        :param is_unanswered: whether no complete answer to a request with the
            part that explains the ends is known
        :returns: whether the set is new
        """
        is_new = not self.has_part_set(part_set)
        record = self._records.setdefault(
            part_set.key, _Record(part_set=part_set)
        )
        record.is_unanswered = is_unanswered
        known_ends, record.ends = record.ends, list(ends)
        if record.ends != known_ends:
            self._update_explained_ends()
            self._drop_explained_ends()
            self._evict(_MAX_RECORDS)
        return is_new

    def replace_parts(
        self, part_set: traits.PartSet, successor: traits.PartSet
    ) -> None:
        """Restrict another set instead, with the same ends and trials."""
        record = self._records.pop(part_set.key)
        known = self._records.get(successor.key)
        if known is not None:
            record.trials = max(record.trials, known.trials)
        record.part_set = successor
        self._records[successor.key] = record

    def _drop_explained_ends(self) -> None:
        """Drop the ends of single requests that sets explain."""
        for request, record in list(self._records.items()):
            if record.part_set is not None:
                continue
            record.ends = [
                (name, at)
                for name, at in record.ends
                if not self._is_explained(name, at)
            ]
            if not record.ends:
                del self._records[request]

    def _is_explained(self, instance: str, at: float) -> bool:
        """Whether a set of requests explains an end."""
        return any(
            abs(at - known_at) < _EXPLAINED_MAX_S or at <= self._restored_at
            for known_at in self._explained_ends.get(instance, ())
        )

    def _update_explained_ends(self) -> None:
        self._explained_ends = {}
        for record in self._records.values():
            if record.part_set is None:
                continue
            for instance, at in record.ends:
                self._explained_ends.setdefault(instance, []).append(at)

    def _evict(self, max_records: int) -> None:
        """Drop the oldest record above a limit; suspects only if necessary."""
        if len(self._records) <= max_records:
            return
        for request, record in self._records.items():
            if not record.needs_permit:
                del self._records[request]
                return
        del self._records[next(iter(self._records))]


def is_cleared(served_at: float | None, first_end_at: float) -> bool:
    """Whether a complete answer shows that a request is harmless.

    :param served_at: loop time of the latest complete answer, if any
    :param first_end_at: loop time of the first end under the request
    """
    return (
        served_at is not None
        and served_at > first_end_at - _CLEARED_BY_ANSWER_BEFORE_S
    )
