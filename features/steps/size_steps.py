"""Steps about what a leader sends and keeps at the size it is made for."""

import asyncio
import random

import behave

from features.support import leading
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
_INSTANCES = 3000
_TICKS_A_REPORT = 5


class Gateway:
    """What one gateway knows, and what was sent to it."""

    def __init__(self, number):
        self.number = number
        self.state = fleetstate.FleetState()
        self.session = None
        self.sent = 0
        self.presences = 0
        self.takes = True
        self.reports = 0
        self.running = ()

    def hello(self):
        """Return how it introduces itself."""
        made = leading.hello(self.number)
        made.no_view = True
        listed = self.state.instances
        made.instances = listed.number
        if listed.number:
            made.instances_digests = listing.digests(listed.instances)
        return made

    def report(self):
        """Return its next report."""
        self.reports += 1
        made = pb.Report(number=self.reports, stamp=1)
        for name in self.running:
            made.residuals.add(backend=name, running=1)
        return made

    def take(self, items):
        """Take what comes on its stream."""
        self.sent += pb.ControlBatch(items=items).ByteSize() if items else 0
        for item in items:
            if item.HasField('instances'):
                found = listing.apply(self.state.instances, item.instances)
                self.state.apply_instances(found)
            elif item.HasField('presence'):
                self.presences += 1
                self.state.apply_presence(item.presence)
            elif item.HasField('config'):
                self.state.apply_config(item.config)
            elif item.HasField('loads'):
                self.state.apply_loads(item.loads)


class Leader:
    """The leader's side of all streams, on a virtual clock."""

    def __init__(self, term=1):
        self.loop = simulation.VirtualLoop()
        self.node = leading.LeaderStub()
        self.node.term = term
        self.lists = instance_lists.InstanceLists()
        self.streams = sessions.Sessions(self.node, metrics.Metrics())
        self.streams.use_instance_lists(self.lists)
        self.run(self._begin())
        self.gateways = []
        self.ticks = 0
        self.commits = []  # versions, likewise
        self.changes = []  # lists that come between a tick and what follows

    def run(self, coroutine):
        """Run something on the virtual clock."""
        return self.loop.run_until_complete(coroutine)

    async def _begin(self):
        self.streams._watch_leadership()

    def commit(self, version):
        """Commit a configuration that names one service."""
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
        for one in gateways:
            one.session = self.streams._open(one.hello())
            self.gateways.append(one)

    def list(self, instances):
        """Take a new list of instances."""
        number = (self.node.term << 24) + self.lists.number % (1 << 24) + 1
        self.lists.replace(number, instances)

    async def tick(self, count=1):
        """Let ticks pass; who takes something, takes all.

        A fifth of the gateways report at each of them.
        """
        for _ in range(count):
            await asyncio.sleep(_TICK_S)
            self.ticks += 1
            for one in self.gateways:
                if (
                    one.number % _TICKS_A_REPORT
                    == self.ticks % _TICKS_A_REPORT
                ):
                    self.streams._handle_report(one.session, one.report())
            self.streams._tick()
            while self.changes:
                self.list(self.changes.pop())
            for one in self.gateways:
                # Some take what there is before a commit, and some after it.
                if self.commits and one.number == len(self.gateways) // 2:
                    self.commit(self.commits.pop())
                if one.takes:
                    one.take(self.streams._take_items(one.session))

    def close(self, gateway):
        """End the stream of a gateway that died."""
        self.gateways.remove(gateway)
        self.streams._close(gateway.session)
        self.streams.fleet.mark_silent(gateway.session.router)


def _instances(seed=1):
    drawn = random.Random(seed)
    found = []
    for _ in range(_INSTANCES):
        name = f'i-{drawn.getrandbits(40):010x}'
        found.append(
            pb.Instance(
                id=name,
                service='hupu25a',
                address=f'10.{drawn.randrange(1, 4)}.{drawn.randrange(64, 80)}'
                f'.{drawn.randrange(2, 250)}:8227',
                domain=drawn.choice(_DOMAINS),
                slots=64,
                place=name,
            )
        )
    return sorted(found, key=lambda one: one.id)


@behave.given('a leader with a list of 3000 instances')
def step_leader(context):
    context.leader = Leader()
    context.listed = _instances()
    context.leader.list(context.listed)
    context.gateways = []


@behave.given('{count:d} gateways that were told everything')
def step_gateways(context, count):
    context.gateways = [Gateway(number) for number in range(count)]
    context.leader.run(context.leader.attach(context.gateways))
    context.leader.run(context.leader.tick(10))
    _forget_sent(context)


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
    context.listed = [
        pb.Instance.FromString(one.SerializeToString())
        for one in context.listed
    ]
    context.listed[7].leaving = True
    context.leader.list(context.listed)
    context.leader.run(context.leader.tick(10))


@behave.when('one of them is gone')
def step_gone(context):
    context.gone = context.gateways.pop(2)
    context.leader.close(context.gone)
    context.leader.run(context.leader.tick(10))


@behave.when('one of them takes nothing while the list changes 100 times')
def step_lags(context):
    context.lagging = context.gateways[2]
    context.lagging.takes = False

    async def change():
        for number in range(100):
            context.listed = list(context.listed)
            context.listed[number] = pb.Instance(
                id=context.listed[number].id, leaving=True
            )
            context.leader.list(context.listed)
            await context.leader.tick()

    context.leader.run(change())
    box = context.lagging.session.outbox
    context.waiting = pb.ControlBatch(items=box._items).ByteSize()
    _forget_sent(context)
    context.lagging.takes = True
    context.leader.run(context.leader.tick(2))


@behave.when('another replica leads, and all of them attach to it')
def step_other_leader(context):
    _lead_anew(context)


@behave.when(
    'another replica leads that has not seen one instance, and all attach'
)
def step_other_list(context):
    context.listed = context.listed[1:]
    _lead_anew(context)


@behave.when('each of them reports other loads')
def step_report(context):
    drawn = random.Random(1)
    _draw_running(context, drawn)
    context.leader.run(context.leader.tick(2 * _TICKS_A_REPORT))


@behave.when(
    'they report other loads, and instances leave the list between two ticks'
)
def step_between(context):
    drawn = random.Random(1)

    async def change():
        for _ in range(20):
            context.listed = context.listed[1:]
            _draw_running(context, drawn)
            context.leader.changes.append(context.listed)
            await context.leader.tick()
        await context.leader.tick(2 * _TICKS_A_REPORT)

    context.leader.run(change())


@behave.when(
    'one of them reports, and a tick passes before it takes the answer'
)
def step_report_late(context):
    gateway = context.gateways[0]
    gateway.running = (context.listed[0].id,)

    async def report():
        streams = context.leader.streams
        streams._handle_report(gateway.session, gateway.report())
        streams._tick()
        context.items = streams._take_items(gateway.session)

    context.leader.run(report())


@behave.then('the answer names that report as counted')
def step_counted(context):
    gateway = context.gateways[0]
    [answer] = [
        item.answer for item in context.items if item.HasField('answer')
    ]
    assert answer.counted == gateway.reports, answer
    kinds = [item.WhichOneof('item') for item in context.items]
    assert 'loads' in kinds, kinds


@behave.when('{count:d} configurations are committed, each between two ticks')
def step_commit(context, count):
    context.version = count

    async def commit():
        for version in range(1, count + 1):
            context.leader.commits.append(version)
            await context.leader.tick()
        await context.leader.tick(2)

    context.leader.run(commit())


@behave.then(
    'each gateway has the latest configuration, and none started over'
)
def step_has_configuration(context):
    for one in context.gateways:
        assert one.state.version == context.version, one.state.version


@behave.then('each stream is sent at most {most:d} kB')
def step_kilobytes(context, most):
    _check_sent(context, most * 1000)


@behave.then('each stream is sent at most {most:d} bytes')
def step_bytes(context, most):
    _check_sent(context, most)


@behave.then('no stream is sent a list of routers more than {most:d} times')
def step_presences(context, most):
    found = max(one.presences for one in context.gateways)
    assert found <= most, found


@behave.then('each gateway knows the list of the leader')
def step_knows(context):
    for one in context.gateways:
        found = one.state.instances
        assert found.number == context.leader.lists.number
        assert list(found.instances) == context.listed


@behave.then('each gateway knows the others')
def step_knows_others(context):
    wanted = {leading.hello(one.number).router for one in context.gateways}
    for one in context.gateways:
        found = {member.router for member in one.state.serving_routers}
        assert found == wanted, wanted ^ found


@behave.then('each gateway knows what runs on every instance')
def step_knows_loads(context):
    wanted = {name: count for name, count in context.running.items() if count}
    for one in context.gateways:
        assert one.state.running_elsewhere == wanted


@behave.then('at most 1 kB wait for it meanwhile')
def step_waiting(context):
    assert context.waiting <= 1000, context.waiting


@behave.then('it is sent at most 60 kB once it takes something')
def step_lagging(context):
    assert context.lagging.sent <= 60_000, context.lagging.sent


def _draw_running(context, drawn):
    """Have each gateway run requests on ten instances of the list."""
    names = [one.id for one in context.listed]
    context.running = dict.fromkeys(names, 0)
    for one in context.gateways:
        one.running = drawn.sample(names, 10)
        for name in one.running:
            context.running[name] += 1


def _lead_anew(context):
    former = context.leader
    context.leader = Leader(term=former.node.term + 1)
    context.leader.list(context.listed)
    context.leader.run(context.leader.attach(context.gateways))
    _forget_sent(context)
    context.leader.run(context.leader.tick(10))


def _forget_sent(context):
    for one in context.gateways:
        one.sent = 0


def _check_sent(context, most):
    found = max(one.sent for one in context.gateways)
    assert found <= most, found
