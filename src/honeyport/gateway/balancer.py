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

Domains = collections.abc.Set[str]


class Balancer:
    """Counts what runs where, and chooses.

    :param domain: our failure domain
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._evacuated: Domains = frozenset()
        self._number = 0
        self._services: dict[str, list[placement.Instance]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._health = health.Health()
        self._others: collections.abc.Mapping[str, int] = {}
        self._others_at = float('-inf')
        self._stays = stale.Stays()
        self._holders = prefixes.Holders()
        self._leaving_since: dict[str, float] = {}

    @property
    def running(self) -> collections.abc.Mapping[str, int]:
        """Requests of this gateway in flight, by instance."""
        return self._running

    def evacuate(self, domains: Domains) -> None:
        """Take the failure domains whose instances get nothing new."""
        self._evacuated = domains

    def regard(
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
        usable = {
            instance.id
            for found in self._services.values()
            for instance in found
            if not instance.leaving
        }
        self._note_leaving(_now() if had_list else float('-inf'))
        self._health.forget_others(usable)
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
        parts: prefixes.Parts,
        tried: collections.abc.Container[str],
    ) -> placement.Choice:
        """Return the instance that takes a request.

        :param parts: the parts of its prompt, if instances cache them
        :param tried: instances that failed it already
        :raises errors.NoInstance: if there is none left
        """
        found = [
            instance
            for instance in self._services.get(service, ())
            if not instance.leaving
            and instance.id not in tried
            and instance.domain not in self._evacuated
        ]
        if not found:
            raise errors.NoInstance(
                f'no instance of {service} is left to try',
                retry_after=_COME_BACK_S,
            )
        usable = self._sound(found) or found
        counts = stale.Counts(
            own=lambda name: self._running[name],
            others=lambda name: self._others.get(name, 0),
            age_s=_now() - self._others_at,
            stay_s=self._stays.of(service),
        )
        if not parts:
            return placement.by_load(usable, counts, self._domain)
        choice = placement.by_prefix(parts, usable, counts, self._domain)
        return self._with_source(service, parts, choice)

    @contextlib.contextmanager
    def hold(
        self, instance: placement.Instance
    ) -> collections.abc.Iterator[None]:
        """Count a request while it runs on an instance."""
        self._running[instance.id] += 1
        began = _now()
        try:
            yield
            # Not where it failed: that took more time, or none at all.
            self._stays.note(instance.service, _now() - began)
        finally:
            self._running[instance.id] -= 1
            if not self._running[instance.id]:
                del self._running[instance.id]

    def succeeded(
        self, instance: placement.Instance, parts: prefixes.Parts
    ) -> None:
        """Note that an instance answered a prompt with these parts."""
        self._health.succeeded(instance.id)
        for part in prefixes.shared(parts):
            self._holders.note(part.id, instance.id)

    def failed(self, instance: placement.Instance, reason: str) -> None:
        """Note that an instance cannot be used; it is left alone a while.

        It may come back under its name and hold nothing: a prefix that it
        was seen to hold is copied to it again, which costs nothing where it
        is still there.
        """
        self._holders.forget(instance.id)
        pause = self._health.failed(instance.id, _now())
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

    def _may_be_copied(self, instance: placement.Instance) -> bool:
        now = _now()
        return placement.may_be_copied(
            now - self._leaving_since.get(instance.id, now),
            is_sound=self._health.is_sound(instance.id),
        )

    def _sound(
        self, found: list[placement.Instance]
    ) -> list[placement.Instance]:
        """Return those that have not failed lately."""
        now = _now()
        return [
            one for one in found if not self._health.is_avoided(one.id, now)
        ]

    def _with_source(
        self, service: str, parts: prefixes.Parts, choice: placement.Choice
    ) -> placement.Choice:
        """Add to a choice where its instance may copy the prefix from."""
        others = [
            one
            for one in self._services[service]
            if one.id != choice.instance.id and self._may_be_copied(one)
        ]
        source = placement.source(
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
