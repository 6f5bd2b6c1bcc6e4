"""Which instances are cold, and what this gateway may send them."""

import asyncio
import collections.abc

from honeyport.policy import cold
from honeyport.policy import placement

Tolerances = collections.abc.Mapping[str, cold.Tolerance]


class Warmth:
    """The cold instances, and this gateway's share of what they tolerate.

    :param name: of our gateway
    """

    def __init__(self, name: str) -> None:
        self._tolerances: Tolerances = {}
        self._spells = cold.Spells()
        self._shares = cold.Shares(name)

    def tolerate(self, tolerances: Tolerances) -> None:
        """Take what cold instances tolerate, by service."""
        self._tolerances = tolerances

    def meet(self, gateways: collections.abc.Collection[str]) -> None:
        """Take the names of the gateways that callers are sent to."""
        self._shares.regard(gateways, _now())

    def note_cold(self, instance: str, seconds: float) -> None:
        """Note how much longer an instance is cold, in seconds."""
        self._spells.note(instance, _now() + seconds)

    def turn_cold(self, instance: placement.Instance) -> None:
        """Note that an instance may have turned cold just now."""
        self.note_cold(instance.id, self._tolerance(instance).cold_s)

    def is_cold(self, instance: placement.Instance, now: float) -> bool:
        """Whether an instance is cold now."""
        return self._spells.is_cold(instance.id, now)

    def may_take(
        self, instance: placement.Instance, now: float, *, is_last: bool
    ) -> bool:
        """Whether a cold instance may get a request of this gateway.

        :param is_last: whether nothing but cold instances is left
        """
        most = self._tolerance(instance).most
        return self._shares.may_take(instance.id, most, now, is_last=is_last)

    def note_sent(self, instance: placement.Instance) -> None:
        """Count a request to an instance if that is cold."""
        now = _now()
        if self.is_cold(instance, now):
            self._shares.note_sent(instance.id, now)

    def forget_over(self) -> None:
        """Forget the spells that are over."""
        self._spells.forget_over(_now())

    def forget_others(self, present: set[str]) -> None:
        """Forget what was sent to instances that are gone."""
        self._shares.forget_others(present)

    def _tolerance(self, instance: placement.Instance) -> cold.Tolerance:
        return self._tolerances.get(instance.service, cold.Tolerance())


def _now() -> float:
    return asyncio.get_running_loop().time()
