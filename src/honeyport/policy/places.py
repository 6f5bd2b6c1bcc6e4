"""Assign stable hash positions (places) to the instances of a service.

Prefixes are hashed over places instead of instances, and each place is
assigned to one instance, its holder. A place is named after its first holder.
A new instance takes over a free place, so that a rolling restart, or a restart
under a new id, moves no prefixes of the other instances.
"""

import collections.abc

import attrs

# How long a new instance waits for a free place before it gets a new one; a
# replacement may start before the instance that it replaces leaves.
_FREE_PLACE_WAIT_S = 3.0
# Free places that are kept, as a multiple of the number of instances.
# All of them may be gone at once and return under other ids.
_FREE_PLACES_PER_INSTANCE = 1.0


@attrs.frozen
class PlaceAssignment:
    """The current and the previous holder of a place.

    :ivar holder: id of the latest instance that the place was assigned to
    :ivar previous_holder: id of the holder before, which may still be leaving
        and then serves as a cache source; ``''`` if none
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
    """The difference between two sets of assignments, by place.

    :ivar updated: assignments that are new or changed
    :ivar removed: places that no longer exist
    """

    updated: dict[str, PlaceAssignment]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether both sets of assignments are equal."""
        return not self.updated and not self.removed


class Assigner:
    """Assigns places to the instances of all services.

    :param assignments: the current assignments, by place
    """

    def __init__(self, assignments: PlaceAssignments) -> None:
        self._assignments = dict(assignments)
        self._places = {
            assignment.previous_holder: place
            for place, assignment in assignments.items()
            if assignment.previous_holder
        }
        self._places |= {
            assignment.holder: place
            for place, assignment in assignments.items()
        }
        self._first_seen: dict[str, float] = {}

    def assign(
        self, listed: collections.abc.Collection[ListedInstance], now: float
    ) -> dict[str, str]:
        """Assign places; return the place of each instance that has one.

        A leaving instance keeps its place while the new holder has it as
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
        self._drop_unlisted_holders()
        return {
            instance.id: self._places[instance.id]
            for instance in listed
            if instance.id in self._places
        }

    def diff_from(self, before: PlaceAssignments) -> Change:
        """Return the change from earlier assignments to the current ones."""
        put = {
            place: assignment
            for place, assignment in self._assignments.items()
            if before.get(place) != assignment
        }
        return Change(put, tuple(sorted(set(before) - set(self._assignments))))

    def _assign_service(
        self, service: str, instances: list[ListedInstance], now: float
    ) -> None:
        """Assign places to the instances of one service that have none."""
        service_places = [
            place
            for place, assignment in self._assignments.items()
            if assignment.service == service
        ]
        assigned_places = {
            self._places.get(instance.id)
            for instance in instances
            if not instance.leaving
        }
        free_places = [
            place for place in service_places if place not in assigned_places
        ]
        for instance in instances:
            if instance.leaving or instance.id in self._places:
                continue
            if free_places:
                self._set_holder(free_places.pop(0), instance)
            elif (
                not service_places
                or now - self._first_seen[instance.id] >= _FREE_PLACE_WAIT_S
            ):
                self._set_holder(instance.id, instance)
        surplus = len(free_places) - int(
            _FREE_PLACES_PER_INSTANCE * len(instances)
        )
        for place in free_places[: max(0, surplus)]:
            del self._assignments[place]

    def _set_holder(self, place: str, instance: ListedInstance) -> None:
        # Popped so that the dict stays ordered by the time of assignment.
        replaced_assignment = self._assignments.pop(place, None)
        former = replaced_assignment.holder if replaced_assignment else ''
        self._assignments[place] = PlaceAssignment(
            instance.service, instance.id, former
        )
        self._places[instance.id] = place

    def _drop_unlisted_holders(self) -> None:
        """Drop unlisted instances that are no longer the holder of a place."""
        holders = {
            assignment.holder for assignment in self._assignments.values()
        }
        self._places = {
            instance_id: place
            for instance_id, place in self._places.items()
            if instance_id in self._first_seen or instance_id in holders
        }
