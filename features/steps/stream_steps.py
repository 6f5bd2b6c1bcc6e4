"""Steps about the router streams of a leader."""

import asyncio

import behave
import hypothesis
from hypothesis import strategies

from features.support import leader_stub
from honeyport.control import journal
from honeyport.control import sessions
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb


class _CountedEntry:
    """A log entry that counts how often its kind is read."""

    def __init__(self, index):
        self.index = index
        self.term = 1
        self.members = pb.Members() if index == 1 else None
        self.kind_reads = 0

    def WhichOneof(self, group):
        """Return the kind of its command."""
        self.kind_reads += 1
        return 'members' if self.members is not None else 'routers'


class Streams:
    """A leader with router streams, without a network."""

    def __init__(self, count):
        self.node = leader_stub.LeaderStub()
        self.streams = sessions.Sessions(self.node, metrics.Metrics())
        self.streams._watch_leadership()
        self.sessions = []
        for number in range(count):
            self.attach(number)

    def attach(self, number):
        """Open the stream of another router."""
        session = self.streams._open(leader_stub.hello(number))
        self.sessions.append(session)

    def tick(self):
        """Run a tick; return the kinds of the items sent on each stream."""
        self.streams._tick()
        return [self._sent_kinds(session) for session in self.sessions]

    def _sent_kinds(self, session):
        items = self.streams._take_items(session)
        return {item.WhichOneof('item') for item in items}


@behave.given('a log of {count:d} entries with the members in the first')
def step_log(context, count):
    context.entries = [_CountedEntry(index) for index in range(1, count + 1)]
    context.journal = journal.Journal()
    for entry in context.entries:
        context.journal.append(entry)


@behave.when('the members are read {count:d} times')
def step_read_members(context, count):
    for _ in range(count):
        assert context.journal.members() is context.entries[0].members


@behave.then('no entry was examined more than once')
def step_examined_once(context):
    assert max(entry.kind_reads for entry in context.entries) <= 1


@behave.then('random appends, merges and truncations keep the members right')
def step_random_operations(context):
    operations = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['append', 'merge', 'cut']),
            strategies.integers(0, 12),
            strategies.lists(strategies.booleans(), min_size=1, max_size=5),
        ),
        max_size=30,
    )

    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.seed(0)
    @hypothesis.given(operations)
    def check(sequence):
        log = journal.Journal()
        for term, (operation, overlap, are_changes) in enumerate(sequence, 1):
            first = max(log.base_index, log.last_index - overlap) + 1
            if operation == 'append':
                log.append(
                    _make_entry(log.last_index + 1, term, are_changes[0])
                )
            elif operation == 'merge':
                log.merge(
                    [
                        _make_entry(first + offset, term, is_change)
                        for offset, is_change in enumerate(are_changes)
                    ]
                )
            else:
                log.truncate_prefix(first - 1)
            for up_to in (None, *range(log.base_index, log.last_index + 1)):
                assert log.members(up_to) == _scan_for_members(log, up_to)

    check()


def _make_entry(index, term, is_change):
    entry = pb.Entry(index=index, term=term)
    if is_change:
        entry.members.replicas.add(name=f'{index} of {term}')
    else:
        entry.empty.SetInParent()
    return entry


def _scan_for_members(log, up_to):
    """Return the latest members by scanning all entries."""
    last = log.last_index if up_to is None else up_to
    for index in range(last, log.base_index, -1):
        entry = log.get(index)
        if entry.WhichOneof('command') == 'members':
            return entry.members
    return None


@behave.given('a leader with {count:d} router streams')
def step_leader(context, count):
    async def start():
        context.streams = Streams(count)
        context.streams.tick()

    context.run(start())


@behave.when('another router attaches')
def step_attach(context):
    async def attach():
        context.streams.attach(len(context.streams.sessions))

    context.run(attach())


@behave.when('a tick passes without changes')
@behave.when('a tick passes')
def step_tick(context):
    async def tick():
        await asyncio.sleep(0)
        context.streams.node.address_reads = 0
        context.sent_kinds = context.streams.tick()

    context.run(tick())


@behave.then('the member addresses were read once')
def step_read_once(context):
    assert context.streams.node.address_reads == 1, (
        context.streams.node.address_reads
    )


@behave.then('nothing was sent')
def step_nothing(context):
    assert not any(context.sent_kinds), context.sent_kinds


@behave.then('each of the first {count:d} streams is sent {kinds}')
def step_sent_to_first(context, count, kinds):
    expected = [set(kinds.split(', '))] * count
    assert context.sent_kinds[:count] == expected, context.sent_kinds


@behave.then('the new stream is sent {kinds}')
def step_sent_to_new(context, kinds):
    assert context.sent_kinds[-1] == set(kinds.split(', ')), context.sent_kinds
