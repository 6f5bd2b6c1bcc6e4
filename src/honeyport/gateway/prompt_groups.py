"""Places of long and of short prompts, from the counts of all gateways."""

import asyncio
import collections
import collections.abc
import contextlib

import attrs

from honeyport.bundle import model
from honeyport.policy import placement
from honeyport.policy import prefixes
from honeyport.policy import prompt_load
from honeyport.telemetry import events
from honeyport.telemetry import log as logs

Counts = collections.abc.Mapping[str, int]
Instances = collections.abc.Iterable[placement.Instance]


@attrs.define
class _Service:
    """The places of a service.

    :ivar places: in the order in which they get long prompts
    :ivar long_places: those that prefer long prompts
    :ivar slots: slots of all instances
    """

    places: list[str] = attrs.field(factory=list)
    long_places: frozenset[str] = frozenset()
    slots: int = 0
    shares: prompt_load.LoadShares = attrs.field(
        factory=prompt_load.LoadShares
    )


class PromptGroups:
    """Decides which places of a service a prompt prefers."""

    def __init__(self) -> None:
        self._gaps: dict[str, float] = {}
        self._running_long: collections.Counter[str] = collections.Counter()
        self._fleet_running_long: Counts = {}
        self._services: dict[str, _Service] = {}

    @property
    def running_long(self) -> Counts:
        """This gateway's requests in flight with long prompts, by service."""
        return self._running_long

    def set_gaps(self, gaps: collections.abc.Mapping[str, float]) -> None:
        """Set the shortest accepted pause of streams, by service.

        :param gaps: in seconds, of services that cache prefixes
        """
        self._gaps = dict(gaps)

    def set_fleet_running_long(self, running_long: Counts) -> None:
        """Set the requests in flight with long prompts of all gateways.

        :param running_long: by service
        """
        self._fleet_running_long = running_long

    def set_instances(
        self, instances: collections.abc.Mapping[str, Instances]
    ) -> None:
        """Set the instances that are not leaving, by service."""
        for service in self._services.keys() - instances.keys():
            del self._services[service]
        for service, group in instances.items():
            state = self._services.setdefault(service, _Service())
            places = {instance.place for instance in group if instance.place}
            state.places = prompt_load.rank_places(places)
            state.slots = sum(instance.slots for instance in group)
            number = len(state.long_places)
            state.long_places = frozenset(state.places[:number])

    def update(self, service: str, running: int) -> None:
        """Update the places of long prompts of a service.

        :param running: requests in flight there, through all gateways
        """
        state = self._services[service]
        state.shares.add(
            self._fleet_running_long.get(service, 0),
            running,
            asyncio.get_running_loop().time(),
        )
        number = prompt_load.count_long_places(
            len(state.places), state.shares, state.slots
        )
        if number != len(state.long_places):
            state.long_places = frozenset(state.places[:number])
            logs.emit(
                events.PROMPT_GROUPS_CHANGED,
                service=service,
                long_places=number,
                places=len(state.places),
                long_share=round(state.shares.long_share, 3),
            )

    def is_long(self, service: str, parts: prefixes.Parts) -> bool:
        """Whether a prompt counts as long."""
        gap_s = self._gaps.get(service)
        if not parts or gap_s is None:
            return False
        return prompt_load.is_long(parts, gap_s)

    def select(
        self,
        service: str,
        parts: prefixes.Parts,
        instances: Instances,
    ) -> list[placement.Instance]:
        """Return the instances that hold places of the prompt's group.

        :returns: none if the service is not divided
        """
        state = self._services.get(service)
        if state is None or not state.long_places:
            return []
        is_long = self.is_long(service, parts)
        return [
            instance
            for instance in instances
            if (instance.place in state.long_places) == is_long
        ]

    @contextlib.contextmanager
    def count_in_flight(
        self, service: str, parts: prefixes.Parts
    ) -> collections.abc.Iterator[None]:
        """Count a request as in flight if its prompt is long."""
        if not self.is_long(service, parts):
            yield
            return
        self._running_long[service] += 1
        try:
            yield
        finally:
            self._running_long[service] -= 1
            if not self._running_long[service]:
                del self._running_long[service]


def shortest_gaps(bundle: model.Bundle) -> dict[str, float]:
    """Return the shortest accepted pause of streams, by service.

    :returns: in seconds, of the services that cache prefixes
    """
    gaps: dict[str, float] = {}
    for route in bundle.routes.values():
        if route.semantics != model.STREAMING or not route.prefix_cached:
            continue
        for service in route.weights:
            gap_s = route.gap_ms / 1000
            gaps[service] = min(gap_s, gaps.get(service, gap_s))
    return gaps
