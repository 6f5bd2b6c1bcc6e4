"""Rests known to each gateway alone, or told to all: a comparison.

Instances turn all away for a while and ask for rest. Played on a virtual
clock, with the choice and the allowance of the product; by hand:
``python -m bench.rests``.
"""

import asyncio
import random
import statistics

import attrs
import structlog
from tornado import httputil

from features.support import choices
from features.support import simulation
from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import balancer
from honeyport.gateway import headers
from honeyport.gateway import instance_signals
from honeyport.policy import prefixes
from honeyport.policy import repeats
from honeyport.telemetry import metrics

_DOMAINS = ('d-0', 'd-1', 'd-2')
_SEEDS = (1, 2, 3, 4, 5)
_REST_S = 3
_SHEDS_S = 6.0
_PLAYED_S = 10.0
_STEP_S = 0.005
# A report's period, the leader's tick and the way back.
_LAG_S = 0.3
_RUNS_S = 0.3  # a request that is served
_MOST_OFFERS = 3
_HOT = 30  # prompts that share their first parts


@attrs.frozen
class Way:
    """How rests are known.

    :ivar told: whether control tells them to all gateways
    """

    name: str
    told: bool


@attrs.frozen(kw_only=True)
class Load:
    """A fleet and its load.

    :ivar shedding: how many instances turn all away
    """

    gateways: int
    instances: int
    shedding: int
    per_s: float


@attrs.define
class Seen:
    """What came of one play."""

    requests: int = 0
    refused: int = 0
    rejections: int = 0
    in_rest: int = 0


_WAYS = (Way('each alone', False), Way('told to all', True))
_LOADS = (
    Load(gateways=9, instances=6, shedding=2, per_s=90),
    Load(gateways=9, instances=6, shedding=5, per_s=90),
    Load(gateways=83, instances=93, shedding=10, per_s=700),
)


class _Gateway:
    """A gateway's choice, its wishes and its allowance."""

    def __init__(self, name: str, domain: str, gateways: int) -> None:
        self.wishes = instance_signals.InstanceSignals(
            headers.HeaderNames(), metrics.Metrics()
        )
        self.balancer = balancer.Balancer(name, domain, {}, self.wishes)
        self.budgets = repeats.RetryBudgets(
            repeats.Allowance(), lambda: gateways
        )


class _Play:
    """One play of one load."""

    def __init__(self, load: Load, way: Way, seed: int) -> None:
        random.seed(seed)
        self._load = load
        self._way = way
        self._random = random.Random(seed)
        self._domains = {
            f'i-{number:03}': _DOMAINS[number % len(_DOMAINS)]
            for number in range(load.instances)
        }
        self._shedding = set(list(self._domains)[: load.shedding])
        self._gateways = [
            _Gateway(
                f'g-{number}',
                _DOMAINS[number % len(_DOMAINS)],
                load.gateways,
            )
            for number in range(load.gateways)
        ]
        self._asked: dict[tuple[int, str], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.seen = Seen()

    async def run(self) -> None:
        """Play the load to its end."""
        listed = choices.instance_list(self._domains)
        for one in self._gateways:
            one.balancer.update(listed, {}, 0.0)
        while _now() < _PLAYED_S:
            await asyncio.sleep(_STEP_S)
            for number in range(len(self._gateways)):
                share = self._load.per_s / self._load.gateways
                if self._random.random() < share * _STEP_S:
                    self._start(number)
        for task in self._tasks:
            task.cancel()

    def _start(self, number: int) -> None:
        self.seen.requests += 1
        gateway = self._gateways[number]
        gateway.budgets.record_request(choices.SERVICE, _now())
        tried: set[str] = set()
        parts = self._parts()
        for offer in range(_MOST_OFFERS):
            if offer and not gateway.budgets.try_spend(
                choices.SERVICE, _now()
            ):
                break
            try:
                chosen = gateway.balancer.choose(
                    choices.SERVICE, parts, tried
                ).instance
            except errors.NoInstance:
                break
            if chosen.id not in self._shedding or _now() > _SHEDS_S:
                task = asyncio.create_task(self._serve(gateway, chosen))
                self._tasks.add(task)
                return
            tried.add(chosen.id)
            self._reject(number, chosen)
        self.seen.refused += 1

    def _parts(self) -> tuple[prefixes.Part, ...]:
        subject = f's-{self._random.randrange(_HOT)}'
        own = f'o-{self._random.randrange(10**6)}'
        return prefixes.Part(subject, 6000), prefixes.Part(own, 500)

    async def _serve(self, gateway: _Gateway, chosen) -> None:
        with gateway.balancer.track(chosen):
            await asyncio.sleep(_RUNS_S)
        gateway.balancer.record_success(chosen, ())

    def _reject(self, number: int, chosen) -> None:
        self.seen.rejections += 1
        now = _now()
        asked = self._asked.setdefault((number, chosen.id), now)
        if 0.5 < now - asked < _REST_S:
            self.seen.in_rest += 1
        if now - asked >= _REST_S:
            self._asked[number, chosen.id] = now
        head = attempt.Head(
            503, '', httputil.HTTPHeaders({'Retry-After': str(_REST_S)})
        )
        self._gateways[number].wishes.observe(chosen, head, now)
        if self._way.told:
            loop = asyncio.get_running_loop()
            loop.call_later(_LAG_S, self._tell, chosen.id)

    def _tell(self, name: str) -> None:
        """Have all gateways leave an instance alone while others are there."""
        loop = asyncio.get_running_loop()
        for one in self._gateways:
            one.balancer.set_unreachable(one.balancer._unreachable | {name})
        loop.call_later(_REST_S - _LAG_S, self._let_go, name)

    def _let_go(self, name: str) -> None:
        for one in self._gateways:
            one.balancer.set_unreachable(one.balancer._unreachable - {name})


def main() -> None:
    """Play all loads both ways, and print what came of them."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for load in _LOADS:
        print(load)
        for way in _WAYS:
            plays = [_Play(load, way, seed) for seed in _SEEDS]
            for play in plays:
                simulation.run(play.run())
            print(f'  {way.name:12}', _summary([play.seen for play in plays]))


def _summary(seen: list[Seen]) -> str:
    parts = []
    for field in attrs.fields(Seen):
        values = [getattr(one, field.name) for one in seen]
        mean = statistics.mean(values)
        spread = statistics.stdev(values)
        parts.append(f'{field.name} {mean:.1f} ({spread:.1f})')
    return ', '.join(parts)


def _now() -> float:
    return asyncio.get_running_loop().time()


if __name__ == '__main__':
    main()
