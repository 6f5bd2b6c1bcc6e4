"""How instances ask this gateway to be treated, in the heads of answers."""

import asyncio
import collections.abc
import random

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import headers as gateway_headers
from honeyport.policy import placement
from honeyport.policy import rests
from honeyport.policy import retry_after
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Callers who are refused since all instances rest come back within so long
# after the first rest, in seconds: not all at its end.
_SPREAD_S = 0.5
# How long an instance that says that it leaves still takes requests if there
# is no other one, in seconds: its successor is listed a little later. Well
# under the time for which one that leaves goes on serving.
_LAST_RESORT_S = 1.0
# What an instance says that does not leave, where it says so at all.
_NO = frozenset(('', '0', 'false'))


Instances = collections.abc.Sequence[placement.Instance]
Running = collections.abc.Mapping[str, int]
# Called with the name of an instance that says for the first time that it
# leaves.
OnLeave = collections.abc.Callable[[str], None]


class InstanceSignals:
    """What the instances have asked of this gateway.

    Of rests all others are told, who leave these instances alone while others
    are there. That one leaves they are not told: each hears it in its first
    answer from there, which costs no caller anything.

    :param on_leave: called once for each instance that leaves
    """

    def __init__(
        self,
        names: gateway_headers.HeaderNames,
        counters: metrics.Metrics,
        on_leave: OnLeave = lambda _: None,
    ) -> None:
        self._names = names
        self._on_leave = on_leave
        self._metrics = counters
        self._rests = rests.Rests()
        self._leaving_since: dict[str, float] = {}
        counters.gauge('instances_resting', lambda: len(self.resting))

    @property
    def resting(self) -> list[str]:
        """The instances that asked this gateway for rest, not over yet."""
        return self._rests.resting(_now()) if self._rests else []

    def observe(
        self, instance: placement.Instance, head: attempt.Head, sent: float
    ) -> None:
        """Take what the head of an instance's answer says of itself.

        :param sent: when the request was sent there, as loop time
        """
        self._note_late(instance, sent)
        said = head.headers.get(self._names.leaving, '')
        if said.strip().lower() not in _NO:
            self._leave(instance)
        text = head.headers.get('Retry-After', '')
        asked_s = retry_after.asked_s(head.status, text)
        if asked_s is not None:
            self._rest(instance, head.status, asked_s)

    def rest_left_s(self, instance: str) -> float:
        """Return how much longer an instance wants nothing, in seconds."""
        return self._rests.left_s(instance, _now())

    def answered(self, instance: str) -> None:
        """Note that an instance took a request and answered it."""
        if self._rests:
            self._rests.answered(instance, _now())

    def awake(self, instances: Instances) -> Instances:
        """Return those that do not rest."""
        if not self._rests:
            return instances
        now = _now()
        return [
            one for one in instances if not self._rests.left_s(one.id, now)
        ]

    def back(self, instances: Instances, running: Running) -> Instances:
        """Return those that may get one more request, others being there.

        One that comes back from a rest gets little at first.

        :param running: the requests of this gateway that run on each
        """
        if not self._rests:
            return instances
        now = _now()
        return [
            one
            for one in instances
            if self._rests.is_back(one.id, running.get(one.id, 0), now)
        ]

    def staying(self, instances: Instances) -> Instances:
        """Return those that have not said that they leave."""
        if not self._leaving_since:
            return instances
        return [one for one in instances if one.id not in self._leaving_since]

    def last_resort(self, instances: Instances) -> Instances:
        """Return those that leave, and serve on if there is no other one.

        The list may not say so yet; where it does, their time is over.
        """
        latest = _now() - _LAST_RESORT_S
        return [
            one
            for one in instances
            if not one.leaving
            and self._leaving_since.get(one.id, latest) > latest
        ]

    def leaving_since(self, instance: str) -> float | None:
        """Return when an instance first said that it leaves, as loop time."""
        return self._leaving_since.get(instance)

    def check(self, instance: placement.Instance) -> None:
        """Raise an error unless a request may be sent to an instance now.

        :raises errors.InstanceRests: if it asked for rest meanwhile
        """
        left_s = self.rest_left_s(instance.id)
        if left_s:
            raise errors.InstanceRests(
                f'{instance.id} rests', retry_after=left_s
            )

    def come_back_s(
        self, instances: collections.abc.Iterable[placement.Instance]
    ) -> float:
        """Return when a caller finds one that rests no more, in seconds.

        :param instances: those that it may use, at least one
        """
        first_s = min(self.rest_left_s(one.id) for one in instances)
        return first_s + random.uniform(0.0, _SPREAD_S)

    def forget_others(self, present: set[str]) -> None:
        """Forget the instances that are gone."""
        self._rests.forget_others(present)
        for name in self._leaving_since.keys() - present:
            del self._leaving_since[name]

    def _note_late(self, instance: placement.Instance, sent: float) -> None:
        """Log a request that was sent to an instance in its rest."""
        passed_s = self._rests.passed_s(instance.id, sent)
        if passed_s is None:
            return
        self._metrics.count('resting_used')
        logs.emit(
            events.RESTING_USED,
            backend=instance.id,
            address=instance.address,
            rested_s=round(passed_s, 3),
        )

    def _leave(self, instance: placement.Instance) -> None:
        if instance.id in self._leaving_since:
            return
        self._leaving_since[instance.id] = _now()
        logs.emit(
            events.INSTANCE_LEAVES,
            backend=instance.id,
            address=instance.address,
            is_listed=instance.leaving,
        )
        self._on_leave(instance.id)

    def _rest(
        self, instance: placement.Instance, status: int, asked_s: float
    ) -> None:
        rest = self._rests.ask(instance.id, asked_s, _now())
        self._metrics.count('rests_asked')
        if rest.is_new:
            logs.emit(
                events.REST_ASKED,
                backend=instance.id,
                address=instance.address,
                status=status,
                asked_s=rest.asked_s,
                rest_s=rest.granted_s,
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
