"""A discrete-time simulation of callers that cache address lists.

A caller whose list has expired asks up to three gateways in its own order
and waits a second for each dead one. A request goes to a random address of
the list that has not failed before; a dead address costs a second.
"""

import collections.abc
import random

import attrs

_STEP_S = 0.05
_TIMEOUT_S = 1.0  # until a caller gives up on a dead gateway
_LOOKUP_ATTEMPTS_MAX = 3  # gateways asked in one look-up
_DETECTION_S = 0.75  # until other gateways have detected a dead one

Lifetime = collections.abc.Callable[[float], float]


@attrs.define
class Gateway:
    """Schedule of a gateway's failure and shutdown.

    :ivar dead: start and end of the failure, in seconds
    :ivar leaving: start and end of the shutdown, in seconds
    """

    dead: tuple[float, float] = (0.0, 0.0)
    leaving: tuple[float, float] = (0.0, 0.0)

    def is_dead(self, now: float) -> bool:
        """Return whether the gateway does not respond."""
        return self.dead[0] <= now < self.dead[1]

    def is_listed(self, now: float) -> bool:
        """Return whether the other gateways list its address."""
        is_detected = self.dead[0] + _DETECTION_S <= now < self.dead[1]
        return not is_detected and not self.is_leaving(now)

    def is_leaving(self, now: float) -> bool:
        """Return whether it is shutting down or not restarted yet."""
        return self.leaving[0] <= now < self.leaving[1]

    def refuses(self, now: float) -> bool:
        """Return whether it refuses requests, 3.3 s into the shutdown."""
        start, end = self.leaving
        return start + 3.3 <= now < end


@attrs.define
class Result:
    """Cost of failures, summed over all callers.

    :ivar waited_s: seconds spent on dead addresses
    :ivar refused: requests sent to a gateway that refused them
    """

    waited_s: float = 0.0
    refused: int = 0


@attrs.define
class _Caller:
    order: list[int]
    addresses: list[int]
    expires_at: float
    busy_until: float = 0.0
    failed: set[int] = attrs.field(factory=set)


def simulate(
    gateways: list[Gateway],
    count: int,
    per_s: float,
    lifetime: Lifetime,
    duration_s: float,
) -> Result:
    """Simulate callers; return the cost of failures.

    :param count: number of callers
    :param per_s: requests per second and caller
    :param lifetime: list lifetime in seconds at a time
    """
    generator = random.Random(1)
    result = Result()
    numbers = list(range(len(gateways)))
    callers = [
        _Caller(
            generator.sample(numbers, len(numbers)),
            list(numbers),
            generator.random() * lifetime(0.0),
        )
        for _ in range(count)
    ]
    for step in range(int(duration_s / _STEP_S)):
        now = step * _STEP_S
        for caller in callers:
            if now < caller.busy_until or generator.random() > per_s * _STEP_S:
                continue
            spent_s = _look_up(caller, gateways, now, lifetime)
            spent_s += _send(
                caller, gateways, now + spent_s, generator, result
            )
            caller.busy_until = now + spent_s
            result.waited_s += spent_s
    return result


def _look_up(
    caller: _Caller, gateways: list[Gateway], now: float, lifetime: Lifetime
) -> float:
    """Renew an expired list; return the time spent in seconds."""
    if now < caller.expires_at:
        return 0.0
    spent_s = 0.0
    for number in caller.order[:_LOOKUP_ATTEMPTS_MAX]:
        if gateways[number].is_dead(now + spent_s):
            spent_s += _TIMEOUT_S
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
        caller.expires_at = at + lifetime(at)
        break
    return spent_s


def _send(
    caller: _Caller,
    gateways: list[Gateway],
    now: float,
    generator: random.Random,
    result: Result,
) -> float:
    """Send one request; return the seconds spent on a dead address."""
    candidates = [
        address for address in caller.addresses if address not in caller.failed
    ]
    if not candidates:
        return 0.0
    number = generator.choice(candidates)
    if gateways[number].is_dead(now):
        caller.failed.add(number)
        return _TIMEOUT_S
    if gateways[number].refuses(now):
        caller.failed.add(number)
        result.refused += 1
    return 0.0
