"""Which instance of a backend server keeps which prefixes.

Prefixes are hashed over places, and each place has one holder. A place is
named after its first holder; an instance that replaces another takes over
its place, so that prefixes move once, and only those of the one that went.

The load this answers: instances are replaced one after the other, crash and
come back under another name, and now and then all processes of ours start
anew while the instances keep what they have read. Hashed over the instances
that are there, every such event would move most prefixes.
"""

import collections.abc

import attrs

# How long a newcomer waits for the place of one that leaves, in seconds:
# a replacement starts a second or two before its predecessor leaves.
_SETTLE_S = 3.0
# Places without a holder that are kept for each instance of a service: all
# of its instances may be gone at once and come back under other names.
_FREE_SHARE = 1.0


@attrs.frozen
class Holding:
    """Who has a place.

    :ivar holder: the instance that had it last
    :ivar former: the one before, which may still be leaving: its successor
        copies prefixes from it, also under a new leader
    """

    service: str
    holder: str
    former: str = ''


Holdings = collections.abc.Mapping[str, Holding]


@attrs.frozen
class ListedInstance:
    """An instance as the platform lists it."""

    id: str
    service: str
    leaving: bool


@attrs.frozen
class Change:
    """What leads from some holdings to others."""

    put: dict[str, Holding]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to change."""
        return not self.put and not self.removed


class Assigner:
    """Gives places to the instances of all services.

    :param holdings: what was decided before, by place
    """

    def __init__(self, holdings: Holdings) -> None:
        self._holdings = dict(holdings)
        self._places = {
            holding.former: place
            for place, holding in holdings.items()
            if holding.former
        }
        self._places |= {
            holding.holder: place for place, holding in holdings.items()
        }
        self._first_seen: dict[str, float] = {}

    def assign(
        self, listed: collections.abc.Collection[ListedInstance], now: float
    ) -> dict[str, str]:
        """Return the place of each instance that has one.

        An instance that leaves keeps its place beside its successor.
        """
        self._first_seen = {
            one.id: self._first_seen.get(one.id, now) for one in listed
        }
        members: dict[str, list[ListedInstance]] = {}
        for one in listed:
            members.setdefault(one.service, []).append(one)
        for service, found in members.items():
            self._fill(service, found, now)
        self._forget_successors()
        return {
            one.id: self._places[one.id]
            for one in listed
            if one.id in self._places
        }

    def diff_from(self, before: Holdings) -> Change:
        """Return what leads from other holdings to the present ones."""
        put = {
            place: holding
            for place, holding in self._holdings.items()
            if before.get(place) != holding
        }
        return Change(put, tuple(sorted(set(before) - set(self._holdings))))

    def _fill(
        self, service: str, members: list[ListedInstance], now: float
    ) -> None:
        """Give places to the members of one service that have none."""
        known = [
            place
            for place, holding in self._holdings.items()
            if holding.service == service
        ]
        held = {self._places.get(one.id) for one in members if not one.leaving}
        free = [place for place in known if place not in held]
        for one in members:
            if one.leaving or one.id in self._places:
                continue
            if free:
                self._give(free.pop(0), one)
            elif not known or now - self._first_seen[one.id] >= _SETTLE_S:
                self._give(one.id, one)
        surplus = len(free) - int(_FREE_SHARE * len(members))
        for place in free[: max(0, surplus)]:
            del self._holdings[place]

    def _give(self, place: str, one: ListedInstance) -> None:
        before = self._holdings.pop(place, None)  # the latest stands last
        former = before.holder if before else ''
        self._holdings[place] = Holding(one.service, one.id, former)
        self._places[one.id] = place

    def _forget_successors(self) -> None:
        """Forget who is gone and whose place is another's by now."""
        holders = {holding.holder for holding in self._holdings.values()}
        self._places = {
            name: place
            for name, place in self._places.items()
            if name in self._first_seen or name in holders
        }
