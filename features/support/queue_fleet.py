"""Gateways that share the slots of a service, on a virtual clock.

Balancers, keepers and the asking side are real; links, control and instances
are fakes that can fail. An instance runs as many requests as it has slots and
queues some more.
"""

import asyncio
import collections
import contextlib
import random

import attrs

from features.support import choices
from features.support import simulation
from honeyport.bundle import model
from honeyport import errors
from honeyport.gateway import balancer
from honeyport.gateway import headers
from honeyport.gateway import instance_signals
from honeyport.gateway import queue_keeper
from honeyport.gateway import routes
from honeyport.gateway import slot_queues
from honeyport.policy import placement
from honeyport.router import fleetstate
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

LINK_DELAY_S = 0.003
REPORT_PERIOD_S = 0.25
_LEASE_MS = 4000
_MAX_OFFERS = 3
_QUEUE_PER_INSTANCE = 24
# Standard deviation of the log-normal request durations.
_DURATION_SIGMA = 0.5
ROUTE = model.Route(
    host='h', prefix='/', weights={choices.SERVICE: 1}, timeout_ms=1570
)


@attrs.define
class Request:
    """The part of a request that is used here."""

    received: float
    request_id: str = 'r'


@attrs.define
class Exchange:
    """The part of an exchange that is used here."""

    request: Request
    deadline: float
    match: routes.Match
    service: str = choices.SERVICE
    fingerprint: str = 'f'
    queued_s: float = 0.0
    queue_place: int = 0
    queue_forecast_s: float | None = None
    queue_reason: str = ''

    def record_place(self, place, forecast_s):
        self.queue_place = place
        self.queue_forecast_s = forecast_s


class Instance:
    """An instance, and the most requests that were there at once.

    :ivar life: incremented when it is lost
    """

    def __init__(self, slots: int, rng: random.Random, speed: float) -> None:
        self.slots = slots
        self.is_up = True
        self.life = 0
        self.most = 0
        self.arrivals = 0
        self.present = 0
        self.granted = 0
        self.most_granted = 0
        self._rng = rng
        self._speed = speed
        self._running = 0
        self._queue: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @contextlib.contextmanager
    def count_granted(self):
        """Count a request that a keeper granted."""
        self.granted += 1
        self.most_granted = max(self.most_granted, self.granted)
        try:
            yield
        finally:
            self.granted -= 1

    def lose(self) -> None:
        """End at once, with all requests."""
        self.is_up = False
        self.life += 1
        self._running = 0
        while self._queue:
            self._queue.popleft().set_result(None)

    async def run(self, duration_s: float) -> None:
        """Run a request.

        :raises errors.ConnectionRefused: while it is lost
        :raises errors.NotExecuted: if its queue is full
        :raises errors.BackendLost: if it is lost meanwhile
        """
        if not self.is_up:
            raise errors.ConnectionRefused('lost')
        if self._running >= self.slots and (
            len(self._queue) >= _QUEUE_PER_INSTANCE
        ):
            raise errors.NotExecuted('full')
        self.arrivals += 1
        self.present += 1
        self.most = max(self.most, self.present)
        try:
            await self._run(duration_s)
        finally:
            self.present -= 1

    async def _run(self, duration_s: float) -> None:
        life = self.life
        if self._running >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self._queue.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self._queue:
                    self._queue.remove(turn)
                else:
                    self._end(life)
                raise
            self._check(life)
        else:
            self._running += 1
        factor = self._rng.lognormvariate(
            -(_DURATION_SIGMA**2) / 2, _DURATION_SIGMA
        )
        try:
            await asyncio.sleep(duration_s * factor * self._speed)
        finally:
            self._end(life)
        self._check(life)

    def _end(self, life: int) -> None:
        if life != self.life:
            return
        while self._queue:
            turn = self._queue.popleft()
            if not turn.cancelled():
                turn.set_result(None)
                return
        self._running -= 1

    def _check(self, life: int) -> None:
        if life != self.life:
            raise errors.BackendLost('lost')


class Link:
    """The streams of a gateway to a keeper, with a delay and failures."""

    def __init__(self, fleet, client, server, receive) -> None:
        self._fleet = fleet
        self._client = client
        self._server = server
        self._receive = receive
        self._numbers: set[int] = set()
        self.closed = False
        self._side = server.keeper.open(self._send_back)

    def open(self, *, is_idle: bool = False) -> int:
        number = next(self._client.numbers)
        self._numbers.add(number)
        return number

    def send(self, frame: pb.Frame) -> None:
        self._fleet.frames += 1
        self._fleet.deliver(
            self._client, self._server, lambda: self._side.handle(frame)
        )

    def close(self, number: int) -> None:
        self._numbers.discard(number)

    def _send_back(self, frame: pb.Frame) -> None:
        self._fleet.frames += 1
        self._fleet.deliver(
            self._server, self._client, lambda: self._accept(frame)
        )

    def _accept(self, frame: pb.Frame) -> None:
        if not self.closed and frame.stream in self._numbers:
            self._receive(frame)

    def lose(self) -> None:
        """Let both sides that live see that the link was lost."""
        if self.closed:
            return
        self.closed = True
        if not self._server.is_dead:
            self._side.close()
        if not self._client.is_dead:
            self._receive(None)

    def joins(self, name: str) -> bool:
        return name in (self._client.name, self._server.name)


class Gateway:
    """A gateway without callers."""

    def __init__(self, fleet, name: str, incarnation: str = '1') -> None:
        self.name = name
        self.incarnation = incarnation
        self.is_dead = False
        self.is_frozen = False
        self.backlog: list = []
        self.numbers = iter(range(1, 1 << 31))
        self.counters = metrics.Metrics()
        self.state = fleetstate.FleetState()
        signals = instance_signals.InstanceSignals(
            headers.HeaderNames(), self.counters
        )
        self.balancer = balancer.Balancer(name, 'thu-duc', {}, signals)
        self.keeper = queue_keeper.QueueKeeper(name, self.state, self.counters)
        self.queues = slot_queues.SlotQueues(
            fleet.has_queues,
            fleet.if_uneven,
            name,
            incarnation,
            self.state,
            self.keeper,
            lambda member, receive: fleet.connect(self, member, receive),
            self.balancer.running,
            self.counters,
        )
        self.reported: collections.Counter[str] = collections.Counter()
        self.has_control = True

    def apply(self) -> None:
        self.queues.apply_state()


class Fleet:
    """Gateways and instances; control tells all gateways all lists.

    :param has_queues: whether gateways share queues
    :param if_uneven: whether they do once an instance reports a slowdown
    """

    def __init__(
        self,
        gateways: int,
        instances: int = 4,
        slots: int = 6,
        *,
        seed: int = 1,
        has_queues: bool = True,
        if_uneven: bool = False,
        speeds=(1.0, 1.0, 1.3, 1.0),
    ) -> None:
        self.has_queues = has_queues
        self.if_uneven = if_uneven
        self.rng = random.Random(seed)
        random.seed(seed)  # the policy uses the global generator
        self.frames = 0
        self._links: list[Link] = []
        self._cut: set[frozenset[str]] = set()
        self._list_number = 0
        self._reporter: asyncio.Task | None = None
        self._watcher: asyncio.Task | None = None
        self.most_keepers = 0
        self.longest_queued_s = 0.0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.refused_after: list[float] = []
        self.instances = {
            f'i-{number}': Instance(
                slots, self.rng, speeds[number % len(speeds)]
            )
            for number in range(instances)
        }
        self.gateways = {
            f'g-{number}': Gateway(self, f'g-{number}')
            for number in range(gateways)
        }

    # -- control ---------------------------------------------------------

    async def start(self) -> None:
        """Send the first lists."""
        self.list_instances()
        self.list_gateways()
        self._reporter = asyncio.create_task(self._report())
        self._watcher = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        """Count the gateways that may grant slots at the same time."""
        while True:
            self.most_keepers = max(self.most_keepers, len(self.granting()))
            await asyncio.sleep(LINK_DELAY_S)

    def granting(self) -> list[str]:
        """Return the names of the gateways that may grant slots now."""
        now = _now()
        return [
            gateway.name
            for gateway in self.gateways.values()
            if not gateway.is_dead
            for queue in gateway.keeper.queues.values()
            if queue.tenure.may_grant(
                now - gateway.state.control_silence_s, now
            )
        ]

    async def wait_granting(self) -> None:
        """Wait until a keeper grants slots to other gateways."""
        while not any(
            session.is_granting
            for gateway in self.gateways.values()
            if not gateway.is_dead
            for session in gateway.queues.sessions.values()
        ):
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        self._reporter.cancel()
        self._watcher.cancel()
        for gateway in self.gateways.values():
            gateway.queues.close()
            gateway.keeper.close()

    def list_gateways(self, but=(), at=()) -> None:
        """Send a list of the gateways that live.

        :param but: names of gateways that are not listed
        :param at: names of the gateways that get it; empty: all
        """
        presence = pb.Presence()
        for gateway in self.gateways.values():
            if not gateway.is_dead and gateway.name not in but:
                presence.members.add(
                    router=gateway.name,
                    incarnation=gateway.incarnation,
                    peer_address=gateway.name,
                )
        for gateway in self._reached():
            if not at or gateway.name in at:
                gateway.state.apply_presence(presence)
        self._renew()

    def list_instances(self, gone=()) -> None:
        """Send a list of the instances without some."""
        self._list_number += 1
        listed = choices.instance_list(
            {name: 'thu-duc' for name in self.instances if name not in gone},
            self._list_number,
        )
        for entry in listed.instances:
            entry.slots = self.instances[entry.id].slots
        for gateway in self._reached():
            gateway.state.apply_instances(listed)
        self._apply_loads()
        self._renew()

    def _reached(self) -> list[Gateway]:
        return [
            gateway
            for gateway in self.gateways.values()
            if gateway.has_control
            and not gateway.is_dead
            and not gateway.is_frozen
        ]

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            self._apply_loads()
            self._renew()

    def _renew(self) -> None:
        """Answer a report of each gateway that is reached."""
        now = _now()
        for gateway in self._reached():
            gateway.state.renew_lease(now, _LEASE_MS)
            gateway.apply()

    def _apply_loads(self) -> None:
        """Exchange the load counts that are one period old."""
        total: collections.Counter[str] = collections.Counter()
        for gateway in self.gateways.values():
            total.update(gateway.reported)
        for gateway in self._reached():
            gateway.balancer.apply_instances(
                gateway.state.instances,
                total - gateway.reported,
                _now() - REPORT_PERIOD_S,
            )
            gateway.reported = collections.Counter(gateway.balancer.running)

    def start_gateway(self, name: str, incarnation: str = '1') -> None:
        """Start a gateway, and list it."""
        self.gateways[name] = Gateway(self, name, incarnation)
        listed = next(iter(self.gateways.values())).state.instances
        self.gateways[name].state.apply_instances(listed)
        self.list_gateways()
        self.list_instances()

    def reset(self) -> None:
        """Forget what was counted so far."""
        self.outcomes.clear()
        self.refused_after.clear()
        self.frames = 0
        self.longest_queued_s = 0.0
        for instance in self.instances.values():
            instance.most = instance.most_granted = instance.arrivals = 0

    # -- links and failures ----------------------------------------------

    async def connect(self, client, member, receive) -> Link:
        server = self.gateways.get(member.router)
        await asyncio.sleep(LINK_DELAY_S)
        if server is None or server.is_dead or self._is_cut(client, server):
            raise errors.NotSent('cut')
        link = Link(self, client, server, receive)
        self._links.append(link)
        return link

    def deliver(self, source: Gateway, target: Gateway, call) -> None:
        """Call after a delay, unless the link is cut or the target gone."""
        if self._is_cut(source, target):
            return
        if source.is_frozen:
            source.backlog.append(lambda: self.deliver(source, target, call))
            return

        def arrive() -> None:
            if target.is_dead or source.is_dead:
                return
            if target.is_frozen:
                target.backlog.append(call)
            else:
                call()

        asyncio.get_running_loop().call_later(LINK_DELAY_S, arrive)

    def _is_cut(self, first: Gateway, second: Gateway) -> bool:
        return frozenset((first.name, second.name)) in self._cut

    def cut(self, first: str, second: str) -> None:
        """Drop all frames between two gateways, without an end."""
        self._cut.add(frozenset((first, second)))

    def kill(self, name: str) -> None:
        """End a gateway; its requests end with their connections."""
        gateway = self.gateways[name]
        gateway.is_dead = True
        gateway.keeper.close()
        for link in self._links:
            if link.joins(name):
                link.lose()

    def lose_links(self) -> None:
        """Lose all links; new ones can be opened."""
        for link in self._links:
            link.lose()

    def freeze(self, name: str) -> None:
        """Let a gateway handle nothing until it is thawed."""
        self.gateways[name].is_frozen = True

    def thaw(self, name: str) -> None:
        gateway = self.gateways[name]
        gateway.is_frozen = False
        backlog, gateway.backlog = gateway.backlog, []
        for call in backlog:
            call()

    def keeper(self) -> str:
        """Return the name of the keeper by the list of most gateways."""
        names = collections.Counter(
            gateway.queues.keepers.get(choices.SERVICE, '')
            for gateway in self.gateways.values()
            if not gateway.is_dead
        )
        return names.most_common(1)[0][0]

    # -- requests --------------------------------------------------------

    async def call(
        self,
        gateway: Gateway,
        duration_s: float = 0.08,
        objective_s: float = 0.384,
        limit_s: float = 1.57,
        account: str = '',
    ) -> str:
        """Send a request; return and count what became of it."""
        started_at = _now()
        match = routes.Match(
            'r',
            attrs.evolve(ROUTE, objective_ms=int(objective_s * 1000)),
            account,
            0,
        )
        exchange = Exchange(Request(started_at), started_at + limit_s, match)
        try:
            async with asyncio.timeout_at(exchange.deadline):
                await self._serve(gateway, exchange, duration_s)
            is_late = _now() - started_at > objective_s
            outcome = 'late' if is_late else 'in time'
        except errors.NoSlot:
            outcome = 'refused'
            self.refused_after.append(_now() - started_at)
        except TimeoutError:
            outcome = 'timeout'
        except errors.HoneyportError:
            outcome = 'failed'
        self.outcomes[outcome] += 1
        if gateway.is_dead or gateway.is_frozen:
            return outcome
        self.longest_queued_s = max(self.longest_queued_s, exchange.queued_s)
        return outcome

    async def _serve(
        self, gateway: Gateway, exchange: Exchange, duration_s: float
    ) -> None:
        """Offer a request to up to three instances."""
        tried: set[str] = set()
        for offer in range(1, _MAX_OFFERS + 1):
            try:
                await self._offer(gateway, exchange, tried, duration_s)
                return
            except (errors.NotExecuted, errors.ConnectionRefused):
                if offer == _MAX_OFFERS:
                    raise

    async def _offer(
        self,
        gateway: Gateway,
        exchange: Exchange,
        tried: set[str],
        duration_s: float,
    ) -> None:
        def find_allowed() -> frozenset[str]:
            return gateway.balancer.available_ids(exchange.service, tried)

        async with gateway.queues.hold(exchange, find_allowed) as granted:
            choice = gateway.balancer.choose(
                exchange.service, (), tried, only=granted
            )
            instance: placement.Instance = choice.instance
            tried.add(instance.id)
            target = self.instances[instance.id]
            with contextlib.ExitStack() as stack:
                stack.enter_context(gateway.balancer.count_in_flight(instance))
                if granted is not None:
                    assert granted == instance.id, (granted, instance.id)
                    stack.enter_context(target.count_granted())
                await asyncio.sleep(LINK_DELAY_S)
                try:
                    await target.run(duration_s)
                except errors.HoneyportError as error:
                    gateway.balancer.record_failure(instance, error.code)
                    raise
                await asyncio.sleep(LINK_DELAY_S)
            gateway.balancer.record_success(instance, ())

    async def play(
        self, load: float, seconds: float, duration_s: float = 0.08
    ) -> int:
        """Send requests at random gateways, and wait for their ends.

        :param load: arrivals, as a multiple of what the slots can run
        :returns: the number of requests that were sent
        """
        slots = sum(instance.slots for instance in self.instances.values())
        until = _now() + seconds
        tasks = []
        while _now() < until:
            await asyncio.sleep(
                self.rng.expovariate(load * slots / duration_s)
            )
            living = [
                gateway
                for gateway in self.gateways.values()
                if not gateway.is_dead and not gateway.is_frozen
            ]
            if not living:
                continue
            gateway = self.rng.choice(living)
            tasks.append(asyncio.create_task(self.call(gateway, duration_s)))
        await asyncio.gather(*tasks)
        return len(tasks)


def replay(
    gateways: int,
    load: float,
    *,
    seed: int,
    has_queues: bool,
    lost: bool = False,
    seconds: float = 10.0,
) -> Fleet:
    """Play a load; return the fleet with its outcomes.

    :param lost: whether an instance is lost for half of the time
    """
    fleet = Fleet(gateways, seed=seed, has_queues=has_queues)

    async def play() -> None:
        await fleet.start()
        await fleet.play(0.6, 3.0)
        fleet.reset()
        if lost:
            asyncio.create_task(_lose_one(fleet, seconds / 2))
        await fleet.play(load, seconds)
        fleet.stop()

    simulation.run(play())
    return fleet


async def _lose_one(fleet: Fleet, seconds: float) -> None:
    await asyncio.sleep(1.0)
    fleet.instances['i-0'].lose()
    await asyncio.sleep(0.3)
    fleet.list_instances(gone=('i-0',))
    await asyncio.sleep(seconds)
    fleet.instances['i-0'].is_up = True
    fleet.list_instances()


def _now() -> float:
    return asyncio.get_running_loop().time()
