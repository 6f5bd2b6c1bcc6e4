"""What this gateway knows of the instances, for :mod:`policy.placement`.

It counts what runs where, takes the lists and counts that control sends,
and keeps what it saw of the instances' health and cached prefixes.
"""

import asyncio
import collections
import collections.abc
import contextlib
import typing

import attrs

from honeyport import errors
from honeyport.gateway import instance_signals
from honeyport.gateway import warmth
from honeyport.policy import health
from honeyport.policy import placement
from honeyport.policy import prefixes
from honeyport.policy import stale
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

# When an instance may be there again that was not, in seconds: the first
# pause after a failure.
_COME_BACK_S = 0.5
# When a gateway may send to a cold instance again, in seconds: another one
# may at once, so that this is about the way to there.
_ELSEWHERE_S = 0.1

Domains = collections.abc.Set[str]
Instances = collections.abc.Iterable[placement.Instance]
Judge = collections.abc.Callable[[placement.Instance], bool]


class Balancer:
    """Counts what runs where, and chooses.

    :param name: of our gateway
    :param domain: our failure domain
    :param regions: the region of each failure domain
    :param asked: how the instances want to be treated
    """

    def __init__(
        self,
        name: str,
        domain: str,
        regions: collections.abc.Mapping[str, str],
        asked: instance_signals.InstanceSignals,
    ) -> None:
        self._wishes = asked
        self._domain = domain
        self._regions = regions
        self._evacuated: Domains = frozenset()
        self._warmth = warmth.Warmth(name)
        self._number = 0
        self._services: dict[str, list[placement.Instance]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._health = health.Health()
        self._unreachable: collections.abc.Set[str] = frozenset()
        self._others: collections.abc.Mapping[str, int] = {}
        self._others_at = float('-inf')
        self._stays = stale.Stays()
        self._holders = prefixes.Holders()
        self._leaving_since: dict[str, float] = {}

    @property
    def running(self) -> collections.abc.Mapping[str, int]:
        """Requests of this gateway in flight, by instance."""
        return self._running

    def set_cold_limits(self, tolerances: warmth.Tolerances) -> None:
        """Take what cold instances tolerate, by service."""
        self._warmth.tolerate(tolerances)

    def set_evacuated(self, domains: Domains) -> None:
        """Take the failure domains whose instances get nothing new.

        The instances of one that is taken back may have turned cold.
        """
        ended = self._evacuated - domains
        self._evacuated = domains
        if not ended:
            return
        for found in self._services.values():
            for one in found:
                if one.domain in ended:
                    self._warmth.turn_cold(one)

    def set_gateways(self, gateways: collections.abc.Collection[str]) -> None:
        """Take the names of the gateways that callers are sent to."""
        self._warmth.meet(gateways)

    @property
    def unreachable(self) -> list[str]:
        """The instances that this gateway could not connect to lately."""
        return self._health.unreachable(_now())

    def set_unreachable(self, unreachable: collections.abc.Set[str]) -> None:
        """Take the instances that several gateways cannot reach."""
        self._unreachable = unreachable

    def update(
        self,
        instances: pb.Instances,
        others: collections.abc.Mapping[str, int],
        counted_at: float,
    ) -> set[str] | None:
        """Take the latest list, and what runs through other gateways.

        :param counted_at: when that was so, as loop time
        :returns: the instances that may be used, if the list is new
        """
        self._others = others
        self._others_at = counted_at
        if instances.number == self._number:
            return None
        had_list = self._number > 0
        self._number = instances.number
        self._services = {}
        for listed in instances.instances:
            instance = placement.Instance(
                listed.id,
                listed.service,
                listed.address,
                listed.domain,
                listed.leaving,
                listed.slots,
                listed.place,
            )
            self._services.setdefault(listed.service, []).append(instance)
            if listed.cold_ms:
                self._warmth.note_cold(listed.id, listed.cold_ms / 1000)
        self._warmth.forget_over()
        usable = {
            instance.id
            for found in self._services.values()
            for instance in found
            if not instance.leaving
        }
        self._note_leaving(_now() if had_list else float('-inf'))
        self._health.forget_others(usable)
        present = {one.id for one in instances.instances}
        self._holders.retain(present)
        self._wishes.forget_others(present)
        self._warmth.forget_others(present)
        logs.emit(
            events.INSTANCES_APPLIED,
            list_number=self._number,
            usable=len(usable),
        )
        return usable

    def choose(
        self,
        service: str,
        parts: prefixes.Parts,
        tried: collections.abc.Container[str],
        regions: Domains | None = None,
    ) -> placement.Choice:
        """Return the instance that takes a request.

        :param parts: the parts of its prompt, if instances cache them
        :param tried: instances that failed it already
        :param regions: the only ones in which it may run; ``None`` for any
        :raises errors.NoInstance: if there is none left
        """
        listed = self._services.get(service, ())
        peers = self._wishes.staying(
            [one for one in listed if not one.leaving]
        )
        found = self._usable(peers, tried, regions)
        if not found:
            last = self._wishes.last_resort(listed)
            peers = found = self._usable(last, tried, regions)
        if not found:
            raise errors.NoInstance(
                f'no instance of {service} is left to try',
                retry_after=_COME_BACK_S,
            )
        awake = self._wishes.awake(found)
        if not awake:
            # Taken all the same, they would turn it away, and the callers
            # behind it would pay for that with the allowance.
            raise errors.NoInstance(
                f'all instances of {service} that are left rest',
                retry_after=self._wishes.come_back_s(found),
            )
        among = self._among(awake, peers)
        if not among.preferred:
            raise errors.NoInstance(
                f'all instances of {service} that are left are cold',
                retry_after=_ELSEWHERE_S,
            )
        counts = stale.Counts(
            own=lambda name: self._running[name],
            others=lambda name: self._others.get(name, 0),
            age_s=_now() - self._others_at,
            stay_s=self._stays.of(service),
        )
        if not parts:
            return placement.choose_by_load(
                among.preferred, counts, self._domain
            )
        choice = placement.choose_by_prefix(parts, among, counts, self._domain)
        return self._with_source(service, parts, choice, regions)

    def _usable(
        self,
        instances: Instances,
        tried: collections.abc.Container[str],
        regions: Domains | None,
    ) -> list[placement.Instance]:
        """Return those that a request may be offered to."""
        return [
            one
            for one in instances
            if one.id not in tried
            and one.domain not in self._evacuated
            and self._is_allowed(one, regions)
        ]

    def _leaves(self, instance: placement.Instance) -> bool:
        """Whether an instance leaves, by the list or by its own word."""
        said = self._wishes.leaving_since(instance.id)
        return instance.leaving or said is not None

    def left_out(
        self,
        service: str,
        tried: collections.abc.Container[str],
        regions: Domains | None,
    ) -> dict[str, int]:
        """Return how many instances get no request now, by the reason."""
        now = _now()
        reasons: tuple[tuple[str, Judge], ...] = (
            ('tried', lambda one: one.id in tried),
            ('leaving', self._leaves),
            ('evacuated', lambda one: one.domain in self._evacuated),
            ('region', lambda one: not self._is_allowed(one, regions)),
            ('resting', lambda one: self._wishes.rest_left_s(one.id) > 0),
            ('unreachable', lambda one: one.id in self._unreachable),
            ('failed', lambda one: self._health.is_avoided(one.id, now)),
            ('cold', lambda one: self._warmth.is_cold(one, now)),
        )
        found = collections.Counter(
            next((name for name, holds in reasons if holds(one)), '')
            for one in self._services.get(service, ())
        )
        del found['']
        return dict(found)

    @contextlib.contextmanager
    def track(
        self, instance: placement.Instance
    ) -> collections.abc.Iterator[None]:
        """Count a request while it runs on an instance."""
        self._running[instance.id] += 1
        began = _now()
        self._warmth.note_sent(instance)
        try:
            yield
            # Not where it failed: that took more time, or none at all.
            self._stays.note(instance.service, _now() - began)
        finally:
            self._running[instance.id] -= 1
            if not self._running[instance.id]:
                del self._running[instance.id]

    def record_success(
        self, instance: placement.Instance, parts: prefixes.Parts
    ) -> None:
        """Note that an instance answered a prompt with these parts."""
        self._health.succeeded(instance.id)
        self._wishes.answered(instance.id)
        for part in prefixes.shared_parts(parts):
            self._holders.add(part.id, instance.id)

    def record_failure(
        self,
        instance: placement.Instance,
        reason: str,
        *,
        was_reached: bool = True,
    ) -> None:
        """Note that an instance cannot be used; it is left alone a while.

        It may come back under its name and hold nothing: a prefix that it
        was seen to hold is copied to it again, which costs nothing where it
        is still there.
        """
        self._holders.forget_instance(instance.id)
        pause = self._health.failed(
            instance.id, _now(), was_reached=was_reached
        )
        logs.emit(
            events.INSTANCE_AVOIDED,
            backend=instance.id,
            address=instance.address,
            reason=reason,
            failures=pause.failures,
            pause_s=pause.pause_s,
        )

    def _note_leaving(self, since: float) -> None:
        """Remember since when each instance that leaves does so.

        :param since: when those that are new among them began to; long ago
            for all we know if this is our first list
        """
        self._leaving_since = {
            one.id: self._leaving_since.get(one.id, since)
            for found in self._services.values()
            for one in found
            if one.leaving
        }

    def _is_allowed(
        self, instance: placement.Instance, regions: Domains | None
    ) -> bool:
        """Whether a request may run on an instance, by where that is."""
        if regions is None:
            return True
        return self._regions.get(instance.domain) in regions

    def _among(
        self,
        found: list[placement.Instance],
        peers: list[placement.Instance],
    ) -> placement.Candidates:
        """Return those that may get a request of this gateway now.

        Cold ones are left alone while others are there that have not failed
        lately, and have room.
        """
        now = _now()
        warm: list[placement.Instance] = []
        cold_ones: list[placement.Instance] = []
        for one in found:
            is_cold = self._warmth.is_cold(one, now)
            (cold_ones if is_cold else warm).append(one)
        sound = self._sound(warm)
        spared = [
            one
            for one in cold_ones
            if self._warmth.may_take(one, now, is_last=not sound)
        ]
        ready = self._sound(spared)
        if sound:
            return placement.Candidates(sound, ready, peers)
        return placement.Candidates(ready or warm or spared, (), peers)

    def _may_be_copied(self, instance: placement.Instance) -> bool:
        now = _now()
        if self._warmth.is_cold(instance, now):
            return False  # it holds next to nothing yet
        listed = self._leaving_since.get(instance.id, now)
        said = self._wishes.leaving_since(instance.id)
        return placement.can_be_copied_from(
            now - (listed if said is None else min(said, listed)),
            is_sound=self._health.is_sound(instance.id)
            and instance.id not in self._unreachable
            and not self._wishes.rest_left_s(instance.id),
        )

    def _sound(
        self, found: list[placement.Instance]
    ) -> list[placement.Instance]:
        """Return those that did not fail lately, nor come back from a rest."""
        now = _now()
        sound = [
            one
            for one in found
            if one.id not in self._unreachable
            and not self._health.is_avoided(one.id, now)
        ]
        return self._wishes.back(sound, self._running)

    def _with_source(
        self,
        service: str,
        parts: prefixes.Parts,
        choice: placement.Choice,
        regions: Domains | None,
    ) -> placement.Choice:
        """Add to a choice where its instance may copy the prefix from."""
        others = [
            one
            for one in self._services[service]
            if one.id != choice.instance.id
            and self._may_be_copied(one)
            and self._is_allowed(one, regions)
        ]
        source = placement.find_cache_source(
            parts, choice.instance, others, self._holders
        )
        return attrs.evolve(choice, source=source)


def to_fields(choice: placement.Choice) -> dict[str, typing.Any]:
    """Return the fields of a log line that say why one was taken."""
    return {
        'backend': choice.instance.id,
        'rank': choice.rank,
        'load': choice.load,
        'bound': round(choice.bound, 1),
        'usable': choice.usable,
        'source': choice.source.id if choice.source else None,
    }


def _now() -> float:
    return asyncio.get_running_loop().time()
