"""Assign stable hash positions (places) to the instances of a service.

Prefixes are hashed over places instead of instances, and each place is held
by one instance. A place is named after its first holder. An instance that
replaces another takes over its place, so that a rolling restart, or a crash
and a start under a new name, moves no prefixes of the other instances.
"""

import collections.abc

import attrs

# How long a new instance waits for a free place before it gets a new one; a
# replacement may start before the instance that it replaces leaves.
_INHERIT_WAIT_S = 3.0
# Free places that are kept, as a multiple of the number of instances.
_FREE_PLACES_PER_INSTANCE = 1.0


@attrs.frozen
class PlaceAssignment:
    """The holder of a place and its predecessor.

    :ivar holder: id of the latest instance that holds or held it
    :ivar former: id of the instance before, which may still be leaving, so
        that its successor can copy prefixes from it; ``''`` if none
    """

    service: str
    holder: str
    previous_holder: str = ''


PlaceAssignments = collections.abc.Mapping[str, PlaceAssignment]


@attrs.frozen
class ListedInstance:
    """An instance in the platform's list."""

    id: str
    service: str
    leaving: bool


@attrs.frozen
class Change:
    """The difference between two sets of holdings, by place.

    :ivar put: holdings that are new or changed
    :ivar removed: places that no longer exist
    """

    updated: dict[str, PlaceAssignment]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether both sets of holdings are equal."""
        return not self.updated and not self.removed


class Assigner:
    """Assigns places to the instances of all services.

    :param holdings: the current holdings, by place
    """

    def __init__(self, holdings: PlaceAssignments) -> None:
        self._holdings = dict(holdings)
        self._places = {
            holding.previous_holder: place
            for place, holding in holdings.items()
            if holding.previous_holder
        }
        self._places |= {
            holding.holder: place for place, holding in holdings.items()
        }
        self._first_seen: dict[str, float] = {}

    def assign(
        self, listed: collections.abc.Collection[ListedInstance], now: float
    ) -> dict[str, str]:
        """Assign places; return the place of each instance that has one.

        A leaving instance keeps its place while its successor has it as
        well.

        :param now: as loop time, in seconds
        """
        self._first_seen = {
            instance.id: self._first_seen.get(instance.id, now)
            for instance in listed
        }
        by_service: dict[str, list[ListedInstance]] = {}
        for instance in listed:
            by_service.setdefault(instance.service, []).append(instance)
        for service, instances in by_service.items():
            self._assign_service(service, instances, now)
        self._drop_replaced()
        return {
            instance.id: self._places[instance.id]
            for instance in listed
            if instance.id in self._places
        }

    def diff_from(self, before: PlaceAssignments) -> Change:
        """Return the change from earlier holdings to the current ones."""
        put = {
            place: holding
            for place, holding in self._holdings.items()
            if before.get(place) != holding
        }
        return Change(put, tuple(sorted(set(before) - set(self._holdings))))

    def _assign_service(
        self, service: str, instances: list[ListedInstance], now: float
    ) -> None:
        """Assign places to the instances of one service that have none."""
        service_places = [
            place
            for place, holding in self._holdings.items()
            if holding.service == service
        ]
        held = {
            self._places.get(instance.id)
            for instance in instances
            if not instance.leaving
        }
        free = [place for place in service_places if place not in held]
        for instance in instances:
            if instance.leaving or instance.id in self._places:
                continue
            if free:
                self._set_holder(free.pop(0), instance)
            elif (
                not service_places
                or now - self._first_seen[instance.id] >= _INHERIT_WAIT_S
            ):
                self._set_holder(instance.id, instance)
        surplus = len(free) - int(_FREE_PLACES_PER_INSTANCE * len(instances))
        for place in free[: max(0, surplus)]:
            del self._holdings[place]

    def _set_holder(self, place: str, instance: ListedInstance) -> None:
        # Popped so that the dict stays ordered by the time of assignment.
        previous = self._holdings.pop(place, None)
        former = previous.holder if previous else ''
        self._holdings[place] = PlaceAssignment(
            instance.service, instance.id, former
        )
        self._places[instance.id] = place

    def _drop_replaced(self) -> None:
        """Drop unlisted instances whose places have new holders."""
        holders = {holding.holder for holding in self._holdings.values()}
        self._places = {
            instance_id: place
            for instance_id, place in self._places.items()
            if instance_id in self._first_seen or instance_id in holders
        }
