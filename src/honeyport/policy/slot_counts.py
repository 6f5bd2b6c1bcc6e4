"""Exact counts of the requests at the instances of one service.

Answers the load of a service whose requests last less than a report of loads:
the keeper of its queue counts what it granted until the gateway releases it,
and what gateways have there without a grant.
"""

import collections
import collections.abc
import random

import attrs

# Requests granted to each instance beyond its slots. The next one is under
# way while a slot's end is reported and its next grant travels back.
EXTRA_REQUESTS = 1
# A request that is not released ends at its deadline, when its gateway closes
# the connection to the instance. Until the instance has noticed:
_END_DELAY_S = 0.25
# Requests of which nothing but their number is known end within the longest
# time that a granted one had left; if there was none, within:
_DEFAULT_LIFETIME_S = 5.0


@attrs.frozen
class Holder:
    """A run of a gateway.

    :ivar incarnation: differs from that of its other runs
    """

    gateway: str
    incarnation: str


@attrs.frozen
class _Grant:
    """A slot that was granted, until it is released or over."""

    instance: str
    until: float


@attrs.frozen
class _Held:
    """Requests without a grant.

    :ivar until: when they have ended, if their gateway reports no change
    """

    running: dict[str, int]
    until: float


class SlotCounts:
    """The requests at each instance of a service, and its free slots."""

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._grants: dict[Holder, dict[int, _Grant]] = {}
        self._held: dict[Holder, _Held] = {}
        self._longest_s = 0.0
        self._next_end = float('inf')

    @property
    def slots(self) -> int:
        """Slots of all instances."""
        return sum(self._slots.values())

    @property
    def taken(self) -> int:
        """Requests at all listed instances."""
        return sum(self._running[instance] for instance in self._slots)

    @property
    def granted(self) -> int:
        """Grants that are not released."""
        return sum(map(len, self._grants.values()))

    @property
    def has_room(self) -> bool:
        """Whether any instance may get one more request."""
        return any(map(self._has_room, self._slots))

    def running(self, instance: str) -> int:
        """Return the requests at an instance."""
        return self._running[instance]

    def set_slots(self, slots: collections.abc.Mapping[str, int]) -> None:
        """Set the slots of the instances that may get requests, by id."""
        self._slots = dict(slots)

    def is_listed(self, instances: collections.abc.Iterable[str]) -> bool:
        """Whether any of some instances may get requests."""
        return any(instance in self._slots for instance in instances)

    def find_free(
        self, allowed: collections.abc.Collection[str]
    ) -> str | None:
        """Return the instance that has the most free slots, if any is free.

        :param allowed: ids of the instances to choose from
        """
        free = [
            instance
            for instance in allowed
            if instance in self._slots and self._has_room(instance)
        ]
        if not free:
            return None
        return min(
            free,
            key=lambda instance: (
                self._running[instance] / self._slots[instance],
                random.random(),
            ),
        )

    def grant(
        self,
        holder: Holder,
        number: int,
        instance: str,
        deadline_at: float,
        now: float,
    ) -> None:
        """Count a request at an instance until it is released.

        :param number: unique among those of its holder
        :param deadline_at: when its gateway gives up
        """
        self._longest_s = max(self._longest_s, deadline_at - now)
        until = deadline_at + _END_DELAY_S
        self._grants.setdefault(holder, {})[number] = _Grant(instance, until)
        self._running[instance] += 1
        self._next_end = min(self._next_end, until)

    def release(self, holder: Holder, number: int) -> bool:
        """Count a granted request no longer; return whether it was."""
        grant = self._grants.get(holder, {}).pop(number, None)
        if grant is None:
            return False
        self._running[grant.instance] -= 1
        if not self._grants[holder]:
            del self._grants[holder]
        return True

    def set_held(
        self,
        holder: Holder,
        running: collections.abc.Mapping[str, int],
        now: float,
    ) -> None:
        """Set the requests of a holder without a grant, by instance.

        They count until it reports them again, or until their deadlines.
        """
        self._drop_held(holder)
        if running:
            until = now + (self._longest_s or _DEFAULT_LIFETIME_S)
            self._held[holder] = _Held(dict(running), until)
            self._running.update(running)
            self._next_end = min(self._next_end, until)

    def forget(self, holder: Holder) -> None:
        """Drop all counts of a holder, which reports them anew."""
        self._drop_held(holder)
        for grant in self._grants.pop(holder, {}).values():
            self._running[grant.instance] -= 1

    def held_by(self, holder: Holder) -> int:
        """Return how many requests of a holder count."""
        granted = len(self._grants.get(holder, {}))
        held = self._held.get(holder)
        return granted + (sum(held.running.values()) if held else 0)

    def expire(self, now: float) -> None:
        """Drop the requests whose deadlines have passed."""
        if now < self._next_end:
            return
        for holder, held in list(self._held.items()):
            if held.until <= now:
                self._drop_held(holder)
        for holder, grants in list(self._grants.items()):
            for number, grant in list(grants.items()):
                if grant.until <= now:
                    self.release(holder, number)
        self._next_end = min(self._iter_ends(), default=float('inf'))

    def _iter_ends(self) -> collections.abc.Iterator[float]:
        for held in self._held.values():
            yield held.until
        for grants in self._grants.values():
            for grant in grants.values():
                yield grant.until

    def _has_room(self, instance: str) -> bool:
        limit = self._slots[instance] + EXTRA_REQUESTS
        return self._running[instance] < limit

    def _drop_held(self, holder: Holder) -> None:
        held = self._held.pop(holder, None)
        if held is not None:
            self._running.subtract(held.running)
