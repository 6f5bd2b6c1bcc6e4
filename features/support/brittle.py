"""Brittle instances and many gateways on a virtual clock.

The gateways are real balancers and learn of each other's load by periodic
reports. An instance runs as many requests as it has slots, queues a few and
rejects the others. It crashes if it rejects too many within one second, and
returns some seconds later.
"""

import asyncio
import collections
import random

import attrs
from tornado import httputil

from features.support import choices
from features.support import simulation
from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import balancer
from honeyport.gateway import headers
from honeyport.gateway import instance_signals
from honeyport.policy import placement
from honeyport.telemetry import metrics

NAMES = headers.HeaderNames()
_REPORT_PERIOD_S = 0.25
_WINDOW_S = 1.0
_MAX_OFFERS = 3
_MAX_CALLER_ATTEMPTS = 3
_DOWN_S = 3.0
# Standard deviation of the log-normal request durations.
_DURATION_SIGMA = 0.5
_OK = 200
_UNAVAILABLE = 503


@attrs.frozen(kw_only=True)
class Workload:
    """The fleet and its load; times in seconds.

    :ivar queue: requests that wait at an instance
    :ivar room: requests that its memory has room for, at most its slots
    :ivar reports_load: whether its answers report its load
    :ivar tolerated: rejections within one second that an instance survives
    :ivar duration_s: mean duration of a request
    :ivar overload: the arrivals of the burst, as a multiple of the capacity
    :ivar calm: the arrivals before it, likewise
    """

    gateways: int
    instances: int
    slots: int
    tolerated: int
    duration_s: float
    overload: float
    queue: int = 1
    room: int = 0
    reports_load: bool = False
    calm: float = 0.7
    calm_s: float = 3.0
    burst_s: float = 8.0

    @property
    def capacity(self) -> float:
        """Requests per second that all instances can run."""
        return self.instances * (self.room or self.slots) / self.duration_s


class Rejections:
    """The rejections of an instance within one second.

    :param tolerated: how many it survives
    """

    def __init__(self, tolerated: int) -> None:
        self._tolerated = tolerated
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> bool:
        """Add a rejection; return whether the instance survives it."""
        self._times.append(now)
        while self._times[0] <= now - _WINDOW_S:
            self._times.popleft()
        return len(self._times) <= self._tolerated

    def clear(self) -> None:
        """Forget all rejections."""
        self._times.clear()


class Instance:
    """An instance of a brittle service."""

    def __init__(self, load: Workload, rng: random.Random) -> None:
        self._load = load
        self._rng = rng
        self._running = 0
        self._queue: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._rejections = Rejections(load.tolerated)
        self._down_until = 0.0
        self._life = 0
        self.crashes = 0
        self.completed = 0

    async def run(self) -> attempt.Head:
        """Run a request; return the head of the response.

        :raises errors.ConnectionRefused: while it is down
        :raises errors.BackendLost: if it crashes meanwhile
        """
        loop = asyncio.get_running_loop()
        if loop.time() < self._down_until:
            raise errors.ConnectionRefused('down')
        life = self._life
        if self._running >= (self._load.room or self._load.slots):
            if len(self._queue) >= self._load.queue:
                if not self._rejections.add(loop.time()):
                    self._crash(loop.time())
                return self._head(_UNAVAILABLE, not_run='1')
            turn = loop.create_future()
            self._queue.append(turn)
            await turn
            self._check(life)
        else:
            self._running += 1
        factor = self._rng.lognormvariate(
            -(_DURATION_SIGMA**2) / 2, _DURATION_SIGMA
        )
        await asyncio.sleep(self._load.duration_s * factor)
        self._check(life)
        if self._queue:
            self._queue.popleft().set_result(None)
        else:
            self._running -= 1
        self.completed += 1
        return self._head(_OK)

    def _head(self, status: int, not_run: str = '') -> attempt.Head:
        fields = httputil.HTTPHeaders()
        fields[NAMES.brittle] = str(self._load.tolerated)
        if self._load.reports_load:
            load = (self._running, len(self._queue), self._load.slots)
            fields[NAMES.load] = ','.join(map(str, load))
        if not_run:
            fields[NAMES.not_run] = not_run
        return attempt.Head(status, '', fields)

    def _check(self, life: int) -> None:
        if life != self._life:
            raise errors.BackendLost('crashed')

    def _crash(self, now: float) -> None:
        self.crashes += 1
        self._life += 1
        self._down_until = now + _DOWN_S
        self._running = 0
        self._rejections.clear()
        while self._queue:
            self._queue.popleft().set_result(None)


@attrs.define
class Gateway:
    """A balancer and the state that it has received."""

    signals: instance_signals.InstanceSignals
    balancer: balancer.Balancer
    reported: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


@attrs.define
class Outcome:
    """The results of one run.

    :ivar offered: requests of callers in the burst
    :ivar served: those of them that were answered in the end
    :ivar crashes: ends of instances, also before and after the burst
    :ivar used: completed requests in the burst, as a share of the capacity
    :ivar retry_times: Retry-After of the refusals, in seconds
    """

    offered: int = 0
    served: int = 0
    crashes: int = 0
    used: float = 0.0
    retry_times: list[float] = attrs.field(factory=list)


class Fleet:
    """Gateways before brittle instances; requests arrive at random ones."""

    def __init__(self, load: Workload, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        random.seed(seed)  # the policy uses the global generator
        names = [f'i-{number:02}' for number in range(load.instances)]
        self._instances = {name: Instance(load, self._rng) for name in names}
        self._list = choices.instance_list(dict.fromkeys(names, 'thu-duc'))
        for listed in self._list.instances:
            listed.slots = load.slots
        self._outcome = Outcome()
        self._tasks: set[asyncio.Task[None]] = set()

    def play(self) -> Outcome:
        """Simulate calm and a burst on a virtual clock."""
        loop = simulation.VirtualLoop()
        loop.run_until_complete(self._play())
        return self._outcome

    async def _play(self) -> None:
        load = self._load
        self._gateways = [
            _make_gateway(f'g-{number}', load.gateways)
            for number in range(load.gateways)
        ]
        loop = asyncio.get_running_loop()
        self._apply_reports()
        reporter = asyncio.create_task(self._report())
        await self._arrive(load.capacity * load.calm, load.calm_s)
        before = self._completed
        started_at = loop.time()
        self._outcome = Outcome()
        await self._arrive(load.capacity * load.overload, load.burst_s)
        elapsed_s = loop.time() - started_at
        self._outcome.used = (
            (self._completed - before) / elapsed_s / load.capacity
        )
        await asyncio.gather(*self._tasks)
        reporter.cancel()
        self._outcome.crashes = sum(
            instance.crashes for instance in self._instances.values()
        )

    @property
    def _completed(self) -> int:
        return sum(instance.completed for instance in self._instances.values())

    async def _arrive(self, per_s: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(per_s))
            self._outcome.offered += 1
            task = asyncio.create_task(self._call(self._outcome))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_PERIOD_S)
            self._apply_reports()

    def _apply_reports(self) -> None:
        """Exchange the load counts that are one period old."""
        total: collections.Counter[str] = collections.Counter()
        for gateway in self._gateways:
            total.update(gateway.reported)
        now = asyncio.get_running_loop().time()
        for gateway in self._gateways:
            gateway.balancer.apply_instances(
                self._list,
                total - gateway.reported,
                now - _REPORT_PERIOD_S,
            )
        for gateway in self._gateways:
            gateway.reported = collections.Counter(gateway.balancer.running)

    async def _call(self, outcome: Outcome) -> None:
        """Send a request of a caller, which returns after a refusal."""
        for _ in range(_MAX_CALLER_ATTEMPTS):
            gateway = self._rng.choice(self._gateways)
            try:
                await self._serve(gateway)
            except errors.NoInstance as error:
                outcome.retry_times.append(error.retry_after)
                await asyncio.sleep(error.retry_after)
                continue
            except errors.HoneyportError:
                return
            outcome.served += 1
            return

    async def _serve(self, gateway: Gateway) -> None:
        """Offer a request to up to three instances.

        :raises errors.HoneyportError: if none answered it
        """
        tried: set[str] = set()
        for _ in range(_MAX_OFFERS):
            choice = gateway.balancer.choose(choices.SERVICE, (), tried)
            instance = choice.instance
            tried.add(instance.id)
            try:
                if await self._attempt(gateway, instance):
                    return
            except errors.HoneyportError as error:
                gateway.balancer.record_failure(instance, error.code)
        raise errors.NotExecuted('all rejected it', retry_after=0.3)

    async def _attempt(
        self, gateway: Gateway, instance: placement.Instance
    ) -> bool:
        """Send a request to an instance; return whether it was answered."""
        loop = asyncio.get_running_loop()
        with gateway.balancer.count_in_flight(instance):
            sent_at = loop.time()
            head = await self._instances[instance.id].run()
            gateway.signals.observe(instance, head, sent_at)
            gateway.balancer.record_answer(
                instance,
                headers.parse_load(head.headers.get(NAMES.load, '')),
                is_rejected=NAMES.not_run in head.headers,
            )
            if head.status != _OK:
                return False
        gateway.balancer.record_success(instance, ())
        return True


def _make_gateway(name: str, count: int) -> Gateway:
    signals = instance_signals.InstanceSignals(NAMES, metrics.Metrics())
    made = balancer.Balancer(name, 'thu-duc', {}, signals)
    made.set_gateways([f'g-{number}' for number in range(count)])
    return Gateway(signals, made)
