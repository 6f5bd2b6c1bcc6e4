"""Compare backoffs known to one gateway with backoffs shared by all.

Instances reject all requests for a while and send ``Retry-After``. Runs on
a simulated clock with the balancer and the retry budgets of the gateway:
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
_RETRY_AFTER_S = 3
_OVERLOAD_S = 6.0
_SIMULATED_S = 10.0
_STEP_S = 0.005
# From a rejection until all gateways know of it.
_PROPAGATION_S = 0.3
_SERVICE_TIME_S = 0.3
_MAX_ATTEMPTS = 3
_SHARED_PREFIXES = 30


@attrs.frozen
class Variant:
    """How backoffs are distributed.

    :ivar shared: whether all gateways learn of a backoff
    """

    name: str
    shared: bool


@attrs.frozen(kw_only=True)
class Load:
    """A fleet and its load.

    :ivar overloaded: number of instances that reject all requests
    :ivar per_s: requests per second
    """

    gateways: int
    instances: int
    overloaded: int
    per_s: float


@attrs.define
class Counts:
    """Counts of one simulation.

    :ivar refused: requests that no instance served
    :ivar in_backoff: rejections by an instance in its backoff
    """

    requests: int = 0
    refused: int = 0
    rejections: int = 0
    in_backoff: int = 0


_VARIANTS = (Variant('each gateway', False), Variant('all gateways', True))
_LOADS = (
    Load(gateways=9, instances=6, overloaded=2, per_s=90),
    Load(gateways=9, instances=6, overloaded=5, per_s=90),
    Load(gateways=83, instances=93, overloaded=10, per_s=700),
)


class _Gateway:
    """Balancer, backoff signals and retry budgets of a gateway."""

    def __init__(self, name: str, domain: str, gateways: int) -> None:
        self.signals = instance_signals.InstanceSignals(
            headers.HeaderNames(), metrics.Metrics()
        )
        self.balancer = balancer.Balancer(name, domain, {}, self.signals)
        self.budgets = repeats.RetryBudgets(
            repeats.Allowance(), lambda: gateways
        )


class _Simulation:
    """One run of a load."""

    def __init__(self, load: Load, variant: Variant, seed: int) -> None:
        random.seed(seed)
        self._load = load
        self._variant = variant
        self._random = random.Random(seed)
        self._domains = {
            f'i-{number:03}': _DOMAINS[number % len(_DOMAINS)]
            for number in range(load.instances)
        }
        self._overloaded = set(list(self._domains)[: load.overloaded])
        self._gateways = [
            _Gateway(
                f'g-{number}',
                _DOMAINS[number % len(_DOMAINS)],
                load.gateways,
            )
            for number in range(load.gateways)
        ]
        self._backoff_starts: dict[tuple[int, str], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts = Counts()

    async def run(self) -> None:
        """Simulate the load to its end."""
        listed = choices.instance_list(self._domains)
        for gateway in self._gateways:
            gateway.balancer.apply_instances(listed, {}, 0.0)
        while _now() < _SIMULATED_S:
            await asyncio.sleep(_STEP_S)
            for number in range(len(self._gateways)):
                rate_per_s = self._load.per_s / self._load.gateways
                if self._random.random() < rate_per_s * _STEP_S:
                    self._start(number)
        for task in self._tasks:
            task.cancel()

    def _start(self, number: int) -> None:
        self.counts.requests += 1
        gateway = self._gateways[number]
        gateway.budgets.record_request(choices.SERVICE, _now())
        tried: set[str] = set()
        parts = self._parts()
        for attempt_number in range(_MAX_ATTEMPTS):
            if attempt_number and not gateway.budgets.try_spend(
                choices.SERVICE, _now()
            ):
                break
            try:
                instance = gateway.balancer.choose(
                    choices.SERVICE, parts, tried
                ).instance
            except errors.NoInstance:
                break
            if instance.id not in self._overloaded or _now() > _OVERLOAD_S:
                task = asyncio.create_task(self._serve(gateway, instance))
                self._tasks.add(task)
                return
            tried.add(instance.id)
            self._reject(number, instance)
        self.counts.refused += 1

    def _parts(self) -> tuple[prefixes.Part, ...]:
        prefix = f's-{self._random.randrange(_SHARED_PREFIXES)}'
        suffix = f'o-{self._random.randrange(10**6)}'
        return prefixes.Part(prefix, 6000), prefixes.Part(suffix, 500)

    async def _serve(self, gateway: _Gateway, instance) -> None:
        with gateway.balancer.count_in_flight(instance):
            await asyncio.sleep(_SERVICE_TIME_S)
        gateway.balancer.record_success(instance, ())

    def _reject(self, number: int, instance) -> None:
        self.counts.rejections += 1
        now = _now()
        backoff_start = self._backoff_starts.setdefault(
            (number, instance.id), now
        )
        if 0.5 < now - backoff_start < _RETRY_AFTER_S:
            self.counts.in_backoff += 1
        if now - backoff_start >= _RETRY_AFTER_S:
            self._backoff_starts[number, instance.id] = now
        head = attempt.Head(
            503, '', httputil.HTTPHeaders({'Retry-After': str(_RETRY_AFTER_S)})
        )
        self._gateways[number].signals.observe(instance, head, now)
        if self._variant.shared:
            loop = asyncio.get_running_loop()
            loop.call_later(_PROPAGATION_S, self._exclude, instance.id)

    def _exclude(self, name: str) -> None:
        """Make an instance unreachable on all gateways for its backoff."""
        loop = asyncio.get_running_loop()
        for gateway in self._gateways:
            gateway.balancer.set_fleet_unreachable(
                gateway.balancer._fleet_unreachable | {name}
            )
        loop.call_later(_RETRY_AFTER_S - _PROPAGATION_S, self._readmit, name)

    def _readmit(self, name: str) -> None:
        for gateway in self._gateways:
            gateway.balancer.set_fleet_unreachable(
                gateway.balancer._fleet_unreachable - {name}
            )


def main() -> None:
    """Simulate all loads in both variants and print the mean counts."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for load in _LOADS:
        print(load)
        for variant in _VARIANTS:
            runs = [_Simulation(load, variant, seed) for seed in _SEEDS]
            for run in runs:
                simulation.run(run.run())
            print(
                f'  {variant.name:12}', _summary([run.counts for run in runs])
            )


def _summary(counts: list[Counts]) -> str:
    parts = []
    for field in attrs.fields(Counts):
        values = [getattr(count, field.name) for count in counts]
        mean = statistics.mean(values)
        spread = statistics.stdev(values)
        parts.append(f'{field.name} {mean:.1f} ({spread:.1f})')
    return ', '.join(parts)


def _now() -> float:
    return asyncio.get_running_loop().time()


if __name__ == '__main__':
    main()
