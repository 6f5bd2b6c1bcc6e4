"""Steps about traffic and buffers of a leader at its design size."""

import asyncio
import random

import behave

from features.support import leader_stub
from features.support import simulation
from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.bundle import packed
from honeyport.control import instance_lists
from honeyport.control import sessions
from honeyport.router import fleetstate
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import listing

_TICK_S = 0.05
_DOMAINS = ('thu-duc', 'tan-binh', 'binh-chanh')
_INSTANCE_COUNT = 3000
_TICKS_PER_REPORT = 5


class Gateway:
    """State of one gateway, and counters of what was sent to it."""

    def __init__(self, number):
        self.number = number
        self.state = fleetstate.FleetState()
        self.session = None
        self.sent_bytes = 0
        self.presences_received = 0
        self.is_reading = True
        self.report_count = 0
        self.running = ()

    def hello(self):
        """Return its hello message."""
        message = leader_stub.hello(self.number)
        message.no_view = True
        instances = self.state.instances
        message.instances = instances.number
        if instances.number:
            message.instances_digests = listing.digests(instances.instances)
        return message

    def report(self):
        """Return its next load report."""
        self.report_count += 1
        message = pb.Report(number=self.report_count, stamp=1)
        for name in self.running:
            message.residuals.add(backend=name, running=1)
        return message

    def apply(self, items):
        """Apply the items sent on its stream."""
        self.sent_bytes += (
            pb.ControlBatch(items=items).ByteSize() if items else 0
        )
        for item in items:
            if item.HasField('instances'):
                instances = listing.apply(self.state.instances, item.instances)
                self.state.apply_instances(instances)
            elif item.HasField('presence'):
                self.presences_received += 1
                self.state.apply_presence(item.presence)
            elif item.HasField('config'):
                self.state.apply_config(item.config)
            elif item.HasField('loads'):
                self.state.apply_loads(item.loads)


class Leader:
    """A leader with router streams on a virtual clock."""

    def __init__(self, term=1):
        self.loop = simulation.VirtualLoop()
        self.node = leader_stub.LeaderStub()
        self.node.term = term
        self.instance_lists = instance_lists.InstanceLists()
        self.streams = sessions.Sessions(self.node, metrics.Metrics())
        self.streams.use_instance_lists(self.instance_lists)
        self.run(self._begin())
        self.gateways = []
        self.ticks = 0
        self.pending_versions = []  # to commit after a tick
        self.pending_lists = []  # to set after a tick

    def run(self, coroutine):
        """Run a coroutine on the virtual clock."""
        return self.loop.run_until_complete(coroutine)

    async def _begin(self):
        self.streams._watch_leadership()

    def commit(self, version):
        """Commit a configuration with one service."""
        bundle = model.Bundle(
            version=version,
            signers=model.Signers(keys={}),
            services={f's-{version}': model.Service(kind=model.SERVICE)},
            backends={},
        )
        entries = bundle_entries.to_entries(bundle)
        command = pb.ReplaceBundle(
            version=version, entries=packed.pack_snapshot(entries)
        )
        self.node.machine.apply(pb.Entry(replace=command))

    async def attach(self, gateways):
        """Open the streams of gateways."""
        for gateway in gateways:
            gateway.session = self.streams._open(gateway.hello())
            self.gateways.append(gateway)

    def set_instances(self, instances):
        """Set a new list of instances."""
        number = (
            (self.node.term << 24) + self.instance_lists.number % (1 << 24) + 1
        )
        self.instance_lists.replace(number, instances)

    async def tick(self, count=1):
        """Run ticks; gateways that read, read all pending items.

        Every gateway reports once in ``_TICKS_PER_REPORT`` ticks.
        """
        for _ in range(count):
            await asyncio.sleep(_TICK_S)
            self.ticks += 1
            for gateway in self.gateways:
                if (
                    gateway.number % _TICKS_PER_REPORT
                    == self.ticks % _TICKS_PER_REPORT
                ):
                    self.streams._handle_report(
                        gateway.session, gateway.report()
                    )
            self.streams._tick()
            while self.pending_lists:
                self.set_instances(self.pending_lists.pop())
            for gateway in self.gateways:
                # Half of the gateways read before a commit, half after it.
                if (
                    self.pending_versions
                    and gateway.number == len(self.gateways) // 2
                ):
                    self.commit(self.pending_versions.pop())
                if gateway.is_reading:
                    gateway.apply(self.streams._take_items(gateway.session))

    def close(self, gateway):
        """Close the stream of a gateway."""
        self.gateways.remove(gateway)
        self.streams._close(gateway.session)
        self.streams.fleet.mark_silent(gateway.session.router)


def _make_instances(seed=1):
    random_source = random.Random(seed)
    instances = []
    for _ in range(_INSTANCE_COUNT):
        name = f'i-{random_source.getrandbits(40):010x}'
        instances.append(
            pb.Instance(
                id=name,
                service='hupu25a',
                address=f'10.{random_source.randrange(1, 4)}'
                f'.{random_source.randrange(64, 80)}'
                f'.{random_source.randrange(2, 250)}:8227',
                domain=random_source.choice(_DOMAINS),
                slots=64,
                place=name,
            )
        )
    return sorted(instances, key=lambda instance: instance.id)


@behave.given('a leader with a list of 3000 instances')
def step_leader(context):
    context.leader = Leader()
    context.listed_instances = _make_instances()
    context.leader.set_instances(context.listed_instances)
    context.gateways = []


@behave.given('{count:d} gateways that are up to date')
def step_gateways(context, count):
    context.gateways = [Gateway(number) for number in range(count)]
    context.leader.run(context.leader.attach(context.gateways))
    context.leader.run(context.leader.tick(10))
    _reset_sent_bytes(context)


@behave.when('300 gateways attach within 20 ticks')
def step_attach(context):
    context.gateways = [Gateway(number) for number in range(300)]

    async def attach():
        for first in range(0, 300, 15):
            batch = context.gateways[first : first + 15]
            await context.leader.attach(batch)
            await context.leader.tick()
        await context.leader.tick(10)

    context.leader.run(attach())


@behave.when('one instance is listed as leaving')
def step_leaving(context):
    context.listed_instances = [
        pb.Instance.FromString(instance.SerializeToString())
        for instance in context.listed_instances
    ]
    context.listed_instances[7].leaving = True
    context.leader.set_instances(context.listed_instances)
    context.leader.run(context.leader.tick(10))


@behave.when('one of the gateways disconnects')
def step_disconnect(context):
    context.disconnected = context.gateways.pop(2)
    context.leader.close(context.disconnected)
    context.leader.run(context.leader.tick(10))


@behave.when('one gateway reads nothing while the list changes 100 times')
def step_slow_reader(context):
    context.slow_gateway = context.gateways[2]
    context.slow_gateway.is_reading = False

    async def change():
        for number in range(100):
            context.listed_instances = list(context.listed_instances)
            context.listed_instances[number] = pb.Instance(
                id=context.listed_instances[number].id, leaving=True
            )
            context.leader.set_instances(context.listed_instances)
            await context.leader.tick()

    context.leader.run(change())
    outbox = context.slow_gateway.session.outbox
    context.queued_bytes = pb.ControlBatch(items=outbox._items).ByteSize()
    _reset_sent_bytes(context)
    context.slow_gateway.is_reading = True
    context.leader.run(context.leader.tick(2))


@behave.when('another replica leads and all gateways attach to it')
def step_other_leader(context):
    _change_leader(context)


@behave.when(
    'another replica with one instance fewer leads and all attach to it'
)
def step_other_list(context):
    context.listed_instances = context.listed_instances[1:]
    _change_leader(context)


@behave.when('each gateway reports new loads')
def step_report(context):
    random_source = random.Random(1)
    _draw_loads(context, random_source)
    context.leader.run(context.leader.tick(2 * _TICKS_PER_REPORT))


@behave.when(
    'the gateways report new loads while instances leave the list between '
    'ticks'
)
def step_change_between_ticks(context):
    random_source = random.Random(1)

    async def change():
        for _ in range(20):
            context.listed_instances = context.listed_instances[1:]
            _draw_loads(context, random_source)
            context.leader.pending_lists.append(context.listed_instances)
            await context.leader.tick()
        await context.leader.tick(2 * _TICKS_PER_REPORT)

    context.leader.run(change())


@behave.when(
    'one gateway reports and a tick passes before it reads the answer'
)
def step_report_late(context):
    gateway = context.gateways[0]
    gateway.running = (context.listed_instances[0].id,)

    async def report():
        streams = context.leader.streams
        streams._handle_report(gateway.session, gateway.report())
        streams._tick()
        context.items = streams._take_items(gateway.session)

    context.leader.run(report())


@behave.then('the answer marks that report as counted')
def step_counted(context):
    gateway = context.gateways[0]
    [answer] = [
        item.answer for item in context.items if item.HasField('answer')
    ]
    assert answer.counted == gateway.report_count, answer
    kinds = [item.WhichOneof('item') for item in context.items]
    assert 'loads' in kinds, kinds


@behave.when('{count:d} configurations are committed, each between two ticks')
def step_commit(context, count):
    context.version = count

    async def commit():
        for version in range(1, count + 1):
            context.leader.pending_versions.append(version)
            await context.leader.tick()
        await context.leader.tick(2)

    context.leader.run(commit())


@behave.then(
    'each gateway has the latest configuration and none is disconnected'
)
def step_has_configuration(context):
    for gateway in context.gateways:
        assert gateway.state.version == context.version, gateway.state.version


@behave.then('each stream is sent at most {limit:d} kB')
def step_kilobytes(context, limit):
    _check_sent_bytes(context, limit * 1000)


@behave.then('each stream is sent at most {limit:d} bytes')
def step_bytes(context, limit):
    _check_sent_bytes(context, limit)


@behave.then('no stream is sent the list of routers more than {limit:d} times')
def step_presences(context, limit):
    max_received = max(
        gateway.presences_received for gateway in context.gateways
    )
    assert max_received <= limit, max_received


@behave.then("each gateway has the leader's instance list")
def step_has_instances(context):
    for gateway in context.gateways:
        instances = gateway.state.instances
        assert instances.number == context.leader.instance_lists.number
        assert list(instances.instances) == context.listed_instances


@behave.then('each gateway has the list of the remaining gateways')
def step_has_gateways(context):
    expected = {
        leader_stub.hello(gateway.number).router
        for gateway in context.gateways
    }
    for gateway in context.gateways:
        routers = {member.router for member in gateway.state.serving_routers}
        assert routers == expected, expected ^ routers


@behave.then('each gateway has the load of every instance')
def step_has_loads(context):
    expected = {
        name: count for name, count in context.running.items() if count
    }
    for gateway in context.gateways:
        assert gateway.state.running_elsewhere == expected


@behave.then('at most 1 kB is queued for it')
def step_waiting(context):
    assert context.queued_bytes <= 1000, context.queued_bytes


@behave.then('it is sent at most 60 kB when it reads again')
def step_lagging(context):
    assert context.slow_gateway.sent_bytes <= 60_000, (
        context.slow_gateway.sent_bytes
    )


def _draw_loads(context, random_source):
    """Let each gateway run requests on ten random instances."""
    names = [instance.id for instance in context.listed_instances]
    context.running = dict.fromkeys(names, 0)
    for gateway in context.gateways:
        gateway.running = random_source.sample(names, 10)
        for name in gateway.running:
            context.running[name] += 1


def _change_leader(context):
    former_leader = context.leader
    context.leader = Leader(term=former_leader.node.term + 1)
    context.leader.set_instances(context.listed_instances)
    context.leader.run(context.leader.attach(context.gateways))
    _reset_sent_bytes(context)
    context.leader.run(context.leader.tick(10))


def _reset_sent_bytes(context):
    for gateway in context.gateways:
        gateway.sent_bytes = 0


def _check_sent_bytes(context, limit):
    max_sent = max(gateway.sent_bytes for gateway in context.gateways)
    assert max_sent <= limit, max_sent
