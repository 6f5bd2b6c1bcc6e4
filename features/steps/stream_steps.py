"""Steps about the leader's side of routers' streams."""

import asyncio

import behave
import hypothesis
from hypothesis import strategies

from features.support import leading
from honeyport.control import journal
from honeyport.control import sessions
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb


class _CountedEntry:
    """An entry of a log that counts how often its kind is asked for."""

    def __init__(self, index):
        self.index = index
        self.term = 1
        self.members = pb.Members() if index == 1 else None
        self.looked_at = 0

    def WhichOneof(self, group):
        """Return the kind of its command."""
        self.looked_at += 1
        return 'members' if self.members is not None else 'routers'


class Streams:
    """A leader and streams to it, without a network."""

    def __init__(self, count):
        self.node = leading.LeaderStub()
        self.streams = sessions.Sessions(self.node, metrics.Metrics())
        self.streams._watch_leadership()
        self.opened = []
        for number in range(count):
            self.attach(number)

    def attach(self, number):
        """Open the stream of one more router."""
        opened = self.streams._open(leading.hello(number))
        self.opened.append(opened)

    def tick(self):
        """Let a tick pass; return what each stream was told, by kind."""
        self.streams._tick()
        return [self._taken(one) for one in self.opened]

    def _taken(self, session):
        items = self.streams._take_items(session)
        return {item.WhichOneof('item') for item in items}


@behave.given(
    'a log of {count:d} entries, of which the first names the members'
)
def step_log(context, count):
    context.entries = [_CountedEntry(index) for index in range(1, count + 1)]
    context.journal = journal.Journal()
    for entry in context.entries:
        context.journal.append(entry)


@behave.when('it is asked {count:d} times who the members are')
def step_ask(context, count):
    for _ in range(count):
        assert context.journal.members() is context.entries[0].members


@behave.then('no entry was looked at more than once')
def step_looked(context):
    assert max(entry.looked_at for entry in context.entries) <= 1


@behave.then('a log that is added to, overwritten and cut knows its members')
def step_any_log(context):
    steps = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['append', 'merge', 'cut']),
            strategies.integers(0, 12),
            strategies.lists(strategies.booleans(), min_size=1, max_size=5),
        ),
        max_size=30,
    )

    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.seed(0)
    @hypothesis.given(steps)
    def check(taken):
        log = journal.Journal()
        for term, (kind, back, changes) in enumerate(taken, 1):
            first = max(log.base_index, log.last_index - back) + 1
            if kind == 'append':
                log.append(_made(log.last_index + 1, term, changes[0]))
            elif kind == 'merge':
                log.merge(
                    [
                        _made(first + offset, term, change)
                        for offset, change in enumerate(changes)
                    ]
                )
            else:
                log.truncate_prefix(first - 1)
            for upto in (None, *range(log.base_index, log.last_index + 1)):
                assert log.members(upto) == _naive(log, upto)

    check()


def _made(index, term, is_change):
    entry = pb.Entry(index=index, term=term)
    if is_change:
        entry.members.replicas.add(name=f'{index} of {term}')
    else:
        entry.empty.SetInParent()
    return entry


def _naive(log, upto):
    """Return the latest change of members by looking at every entry."""
    last = log.last_index if upto is None else upto
    for index in range(last, log.base_index, -1):
        entry = log.get(index)
        if entry.WhichOneof('command') == 'members':
            return entry.members
    return None


@behave.given('a leader with the streams of {count:d} routers')
def step_leader(context, count):
    async def start():
        context.streams = Streams(count)
        context.streams.tick()

    context.run(start())


@behave.when('another router attaches')
def step_attach(context):
    async def attach():
        context.streams.attach(len(context.streams.opened))

    context.run(attach())


@behave.when('a tick passes without news')
@behave.when('a tick passes')
def step_tick(context):
    async def tick():
        await asyncio.sleep(0)
        context.streams.node.asked = 0
        context.told = context.streams.tick()

    context.run(tick())


@behave.then('it asked once who the members are')
def step_once(context):
    assert context.streams.node.asked == 1, context.streams.node.asked


@behave.then('nothing was sent')
def step_nothing(context):
    assert not any(context.told), context.told


@behave.then('each of the first {count:d} is told {kinds}')
def step_first(context, count, kinds):
    wanted = [set(kinds.split(', '))] * count
    assert context.told[:count] == wanted, context.told


@behave.then('the new one is told {kinds}')
def step_new(context, kinds):
    assert context.told[-1] == set(kinds.split(', ')), context.told
