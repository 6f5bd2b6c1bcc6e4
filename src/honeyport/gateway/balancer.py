"""Which instance of a service takes a request.

Every gateway decides alone, from its own exact counts and the others'
counts, which arrive with the loads of the control stream and are a
report's period late. Requests that share a prompt prefix rank the
instances by rendezvous hashing and take the first one whose load is under
a bound (consistent hashing with bounded loads; Mirrokni, Thorup and
Zadimoghaddam, 2016), so a prefix stays where it is cached until its
instance is over the bound. All others take the least loaded instance.
"""

import asyncio
import collections
import collections.abc
import contextlib
import random
import typing

import attrs

from honeyport import errors
from honeyport.gateway import affinity
from honeyport.gateway import prefixes
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

# The most load of an instance as a multiple of the mean, and what is
# allowed on top while the mean is small. Under the limit that platforms
# set (2 times the mean, and 3), since the others' counts are late.
_BOUND = 1.8
_BOUND_EXTRA = 1
# An instance that failed gets nothing for this long, twice as long after
# each further failure in a row, in seconds.
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 8.0


@attrs.frozen
class Instance:
    """One running instance of a service."""

    id: str
    service: str
    address: str
    domain: str
    leaving: bool
    slots: int
    place: str


@attrs.frozen
class Choice:
    """An instance, and what decided for it.

    :ivar rank: its position among those that suit the prompt, or -1 if
        the least loaded one was taken
    :ivar load: what ran there, through any gateway
    :ivar bound: the load it had to be under; 0 if none
    :ivar usable: how many instances there were to choose from
    :ivar source: an instance that likely holds more of the prompt's prefix
    """

    instance: Instance
    rank: int
    load: int
    bound: float
    usable: int
    source: Instance | None = None

    def to_fields(self) -> dict[str, typing.Any]:
        """Return the fields of a log line that say why it was taken."""
        return {
            'backend': self.instance.id,
            'rank': self.rank,
            'load': self.load,
            'bound': round(self.bound, 1),
            'usable': self.usable,
            'source': self.source.id if self.source else None,
        }


@attrs.define
class _Health:
    failures: int = 0
    avoided_until: float = 0.0


class Balancer:
    """Counts what runs where, and chooses.

    :param domain: our failure domain
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._number = 0
        self._services: dict[str, list[Instance]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._health: dict[str, _Health] = {}
        self._others: collections.abc.Mapping[str, int] = {}
        self._holders = prefixes.Holders()

    @property
    def running(self) -> collections.abc.Mapping[str, int]:
        """Requests of this gateway in flight, by instance."""
        return self._running

    def regard(
        self,
        instances: pb.Instances,
        others: collections.abc.Mapping[str, int],
    ) -> set[str] | None:
        """Take the latest list, and what runs through other gateways.

        :returns: the instances that may be used, if the list is new
        """
        self._others = others
        if instances.number == self._number:
            return None
        self._number = instances.number
        self._services = {}
        for listed in instances.instances:
            instance = Instance(
                listed.id,
                listed.service,
                listed.address,
                listed.domain,
                listed.leaving,
                listed.slots,
                listed.place,
            )
            self._services.setdefault(listed.service, []).append(instance)
        usable = {
            instance.id
            for found in self._services.values()
            for instance in found
            if not instance.leaving
        }
        self._health = {
            name: health
            for name, health in self._health.items()
            if name in usable
        }
        self._holders.forget_others({one.id for one in instances.instances})
        logs.emit(
            events.INSTANCES_APPLIED,
            list_number=self._number,
            usable=len(usable),
        )
        return usable

    def choose(
        self,
        service: str,
        parts: affinity.Parts,
        tried: collections.abc.Container[str],
    ) -> Choice:
        """Return the instance that takes a request.

        :param parts: the parts of its prompt, if instances cache them
        :param tried: instances that failed it already
        :raises errors.NoInstance: if there is none left
        """
        found = [
            instance
            for instance in self._services.get(service, ())
            if not instance.leaving and instance.id not in tried
        ]
        if not found:
            raise errors.NoInstance(
                f'no instance of {service} is left to try', retry_after=0.5
            )
        now = asyncio.get_running_loop().time()
        sound = [one for one in found if not self._is_avoided(one.id, now)]
        if parts:
            choice = self._by_prefix(parts, sound or found)
            source = self._source(service, parts, choice, now)
            return attrs.evolve(choice, source=source)
        return self._least_loaded(sound or found)

    def load(self, instance: str) -> int:
        """Return what runs there, through any gateway."""
        return self._running[instance] + self._others.get(instance, 0)

    @contextlib.contextmanager
    def hold(self, instance: Instance) -> collections.abc.Iterator[None]:
        """Count a request while it runs on an instance."""
        self._running[instance.id] += 1
        try:
            yield
        finally:
            self._running[instance.id] -= 1
            if not self._running[instance.id]:
                del self._running[instance.id]

    def succeeded(self, instance: Instance, parts: affinity.Parts) -> None:
        """Note that an instance answered a prompt with these parts."""
        self._health.pop(instance.id, None)
        for part in affinity.shared(parts):
            self._holders.note(part.id, instance.id)

    def failed(self, instance: Instance, reason: str) -> None:
        """Note that an instance cannot be used; it is left alone a while."""
        health = self._health.setdefault(instance.id, _Health())
        pause = min(_FIRST_PAUSE_S * 2**health.failures, _LONGEST_PAUSE_S)
        health.failures += 1
        now = asyncio.get_running_loop().time()
        health.avoided_until = now + pause
        logs.emit(
            events.INSTANCE_AVOIDED,
            backend=instance.id,
            address=instance.address,
            reason=reason,
            failures=health.failures,
            pause_s=pause,
        )

    def _is_avoided(self, instance: str, now: float) -> bool:
        health = self._health.get(instance)
        return health is not None and health.avoided_until > now

    def _by_prefix(
        self, parts: affinity.Parts, found: list[Instance]
    ) -> Choice:
        total = sum(self.load(instance.id) for instance in found)
        bound = _BOUND * (total + 1) / len(found) + _BOUND_EXTRA
        by_place = {one.place: one for one in found if one.place}
        for rank, place in enumerate(affinity.order(parts, by_place)):
            instance = by_place[place]
            load = self.load(instance.id)
            if load < bound:
                return Choice(instance, rank, load, bound, len(found))
        return self._least_loaded(found)

    def _source(
        self,
        service: str,
        parts: affinity.Parts,
        choice: Choice,
        now: float,
    ) -> Instance | None:
        """Return where the chosen instance may copy the prefix from.

        Copying takes a fifth of the time of reading. The longest shared
        part decides: an instance that was seen to hold it, else the next
        best one for the prompt. That was the first choice if places moved
        lately, and likely holds the leading parts in any case.
        """
        shared = affinity.shared(parts)
        chosen = choice.instance
        if not shared or chosen.id in self._holders.of(shared[-1].id):
            return None
        others = {
            one.id: one
            for one in self._services[service]
            if one.id != chosen.id and not self._is_avoided(one.id, now)
        }
        for name in self._holders.of(shared[-1].id):
            if name in others:
                return others[name]
        return self._next_best(parts, others.values())

    def _next_best(
        self,
        parts: affinity.Parts,
        others: collections.abc.Iterable[Instance],
    ) -> Instance | None:
        """Return the first choice for a prompt among other instances.

        An instance that leaves goes before the one that took its place.
        """
        by_place: dict[str, Instance] = {}
        for one in others:
            if one.place and (one.leaving or one.place not in by_place):
                by_place[one.place] = one
        best = affinity.order(parts, by_place)[:1]
        return by_place[best[0]] if best else None

    def _least_loaded(self, found: list[Instance]) -> Choice:
        def cost(instance: Instance) -> tuple[int, bool, float]:
            far = instance.domain != self._domain
            return self.load(instance.id), far, random.random()

        best = min(found, key=cost)
        return Choice(best, -1, self.load(best.id), 0.0, len(found))
