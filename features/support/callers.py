"""A model of callers that keep address lists; no sockets, no waiting.

Time goes in steps. A caller whose list has run out asks up to three gateways
in its own order and waits a second for each dead one; a request goes to one
address of its list that has not failed it, and a dead one costs a second.
"""

import collections.abc
import random

import attrs

_STEP_S = 0.05
_DEAD_S = 1.0  # what a caller waits for an address that says nothing
_ASKED = 3  # gateways that one look-up may ask
_SEEN_S = 0.75  # until the others know that a gateway is dead

Lifetime = collections.abc.Callable[[float], float]


@attrs.define
class Gateway:
    """When a gateway is dead and when it leaves: pairs of times."""

    dead: tuple[float, float] = (0.0, 0.0)
    leaving: tuple[float, float] = (0.0, 0.0)

    def is_dead(self, now: float) -> bool:
        """Whether it says nothing."""
        return self.dead[0] <= now < self.dead[1]

    def is_listed(self, now: float) -> bool:
        """Whether others name it to callers."""
        silent = self.dead[0] + _SEEN_S <= now < self.dead[1]
        return not silent and not self.is_leaving(now)

    def is_leaving(self, now: float) -> bool:
        """Whether it leaves or is not back yet."""
        return self.leaving[0] <= now < self.leaving[1]

    def refuses(self, now: float) -> bool:
        """Whether it takes no requests any more."""
        begin, end = self.leaving
        return begin + 3.3 <= now < end


@attrs.define
class Result:
    """What callers lost.

    :ivar waited_s: for dead addresses, all callers together
    :ivar refused: requests sent to a gateway that had left
    """

    waited_s: float = 0.0
    refused: int = 0


@attrs.define
class _Caller:
    order: list[int]
    addresses: list[int]
    until: float
    busy_until: float = 0.0
    failed: set[int] = attrs.field(factory=set)


def simulate(
    gateways: list[Gateway],
    count: int,
    per_s: float,
    lifetime: Lifetime,
    length_s: float,
) -> Result:
    """Let callers send requests for a while; return what they lost."""
    chance = random.Random(1)
    result = Result()
    numbers = list(range(len(gateways)))
    callers = [
        _Caller(
            chance.sample(numbers, len(numbers)),
            list(numbers),
            chance.random() * lifetime(0.0),
        )
        for _ in range(count)
    ]
    for step in range(int(length_s / _STEP_S)):
        now = step * _STEP_S
        for caller in callers:
            if now < caller.busy_until or chance.random() > per_s * _STEP_S:
                continue
            spent_s = _look_up(caller, gateways, now, lifetime)
            spent_s += _send(caller, gateways, now + spent_s, chance, result)
            caller.busy_until = now + spent_s
            result.waited_s += spent_s
    return result


def _look_up(
    caller: _Caller, gateways: list[Gateway], now: float, lifetime: Lifetime
) -> float:
    """Get a new list if the old one has run out; return the time spent."""
    if now < caller.until:
        return 0.0
    spent_s = 0.0
    for number in caller.order[:_ASKED]:
        if gateways[number].is_dead(now + spent_s):
            spent_s += _DEAD_S
            continue
        if gateways[number].refuses(now):
            continue
        at = now + spent_s
        caller.addresses = [
            number
            for number, gateway in enumerate(gateways)
            if gateway.is_listed(at)
        ]
        caller.failed.clear()
        caller.until = at + lifetime(at)
        break
    return spent_s


def _send(
    caller: _Caller,
    gateways: list[Gateway],
    now: float,
    chance: random.Random,
    result: Result,
) -> float:
    """Send one request; return the time spent on a dead address."""
    left = [one for one in caller.addresses if one not in caller.failed]
    if not left:
        return 0.0
    number = chance.choice(left)
    if gateways[number].is_dead(now):
        caller.failed.add(number)
        return _DEAD_S
    if gateways[number].refuses(now):
        caller.failed.add(number)
        result.refused += 1
    return 0.0
