"""Steps about the control log, its storage and its claims."""

import asyncio
import pathlib

import behave
import hypothesis
from hypothesis import strategies

from features.support import simulation
from honeyport.control import claims
from honeyport.control import replica
from honeyport.control import storage
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb

_NOW_S = 1_800_000_000.0
_State = pb.ClaimAnswer

EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                'kill',
                'start',
                'isolate',
                'heal',
                'lose',
                'power',
                'fill',
                'free',
                'propose',
                'wait',
            )
        ),
        strategies.integers(0, 4),
    ),
    min_size=5,
    max_size=30,
)

# Places that one proposal of a history brings, so that some histories reach a
# snapshot (every 12 entries).
_PLACES = 6
# A leader that stands for so long is not unseated by a candidate that stood
# at the same time: an election timeout of these replicas.
_LEADS_ON_S = 0.3


@behave.when(
    '{count:d} random histories of {size:d} replicas are played, with lost '
    'disks'
)
def step_histories(context, count, size):
    context.played = []

    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(EVENTS, strategies.integers(0, 2**20))
    def play(events, seed):
        loop = simulation.VirtualLoop()
        try:
            loop.run_until_complete(history(size, seed, events))
            context.played.append(seed)
        finally:
            loop.close()

    play()


async def history(size, seed, events):
    """Play one history; check it at the end."""
    group = simulation.Group(size, seed)
    for name in group.names:
        group.start(name)
    await group.run_for(3)
    acknowledged = {}
    proposing = []
    placing = []
    for number, (what, which) in enumerate(events):
        name = group.names[which % size]
        if what == 'kill':
            await group.kill(name)
        elif what == 'start' and name not in group.nodes:
            group.start(name)
        elif what == 'isolate':
            group.isolate(name)
        elif what == 'heal':
            group.heal()
        elif what == 'lose' and may_lose(group):
            await group.lose_disk(name)
            group.start(name)
        elif what == 'power':
            await group.lose_power(name)
        elif what in ('fill', 'free'):
            group.disks[name].full = what == 'fill'
        elif what == 'propose':
            proposing.append(asyncio.create_task(group.propose(f'e{number}')))
            placing += [
                asyncio.create_task(group.place(f'p{number}-{part}'))
                for part in range(_PLACES)
            ]
        await group.run_for(0.4)
    for found in await asyncio.gather(*proposing):
        if found is not None:
            version, digest = found
            known = acknowledged.setdefault(version, digest)
            assert known == digest
    placed = await asyncio.gather(*placing)
    await group.settle()
    for node in group.nodes.values():
        kept = node.machine.history
        for version, digest in acknowledged.items():
            assert kept.get(version) == digest, (version, digest, kept)
        lost = set(filter(None, placed)) - set(node.machine.places)
        assert not lost, (lost, node.machine.places)
    await group.stop()


def may_lose(group):
    """Whether all others have a disk that counts: one loss at a time."""
    nodes = list(group.nodes.values())
    leading = [node for node in nodes if node.leads]
    return (
        len(nodes) == len(group.names)
        and not group.cut
        and len(leading) == 1
        and all(node.admitted for node in nodes)
        and all(
            member.voter and member.disk
            for member in leading[0].members.replicas
        )
        and len({node.commit for node in nodes}) == 1
    )


@behave.when(
    'all of 3 replicas lose power right after a change, {count:d} times'
)
def step_power(context, count):
    context.lost = []
    for seed in range(count):
        loop = simulation.VirtualLoop()
        try:
            loop.run_until_complete(power_off(context, seed))
        finally:
            loop.close()


async def power_off(context, seed):
    """Take the power of all at the moment of an acknowledgement."""
    group = simulation.Group(3, seed)
    for name in group.names:
        group.disks[name].forgets_syncs = context.forgets
        group.start(name)
    await group.settle()
    acknowledged = await group.propose('change')
    assert acknowledged
    for name in group.names:
        await group.lose_power(name)
    try:
        await group.settle()
    except (AssertionError, errors.StorageDamaged):
        context.lost.append(seed)  # nothing is left to agree on
        return
    version, digest = acknowledged
    for node in group.nodes.values():
        if node.machine.history.get(version) != digest:
            context.lost.append(seed)
            break
    await group.stop()


@behave.given('disks whose syncs {what}')
def step_syncs(context, what):
    context.forgets = what == 'do nothing'


@behave.then('no acknowledged change is lost')
def step_none_lost(context):
    assert not context.lost, context.lost


@behave.then('some acknowledged change is lost')
def step_some_lost(context):
    assert context.lost


@behave.given('3 replicas that agree')
def step_agree(context):
    context.virtual = simulation.VirtualLoop()
    context.group = simulation.Group(3, 7)

    async def start():
        for name in context.group.names:
            context.group.start(name)
        await context.group.settle()

    context.virtual.run_until_complete(start())


@behave.when('the disk of the leader is full')
def step_full(context):
    async def fill():
        group = context.group
        nodes = group.nodes.values()
        context.former = next(n.name for n in nodes if n.leads)
        group.disks[context.former].full = True

    context.virtual.run_until_complete(fill())


@behave.then('another one leads within {seconds:d} seconds of the next change')
def step_another_leads(context, seconds):
    async def change():
        group = context.group
        await group.propose('first')
        await group.run_for(seconds)
        leading = [n.name for n in group.nodes.values() if n.leads]
        assert leading and leading != [context.former], leading
        context.acknowledged = await group.propose('second')
        assert context.acknowledged

    context.virtual.run_until_complete(change())


@behave.when('all of them are started again, one with an empty disk')
def step_restart_all(context):
    async def restart():
        group = context.group
        follower = next(n.name for n in group.nodes.values() if not n.leads)
        for name in group.names:
            await group.kill(name)
        await group.lose_disk(follower)
        for name in group.names:
            group.start(name)

    context.virtual.run_until_complete(restart())


@behave.when('all of {size:d} replicas start anew at once, {count:d} times')
def step_restarts(context, size, count):
    context.elected_s = []
    for seed in range(count):
        loop = simulation.VirtualLoop()
        try:
            found = loop.run_until_complete(time_to_leader(size, seed))
            context.elected_s.append(found)
        finally:
            loop.close()


async def time_to_leader(size, seed):
    """Start all anew; return when one leads that leads on, in seconds."""
    group = simulation.Group(size, seed)
    await group.settle()
    for name in group.names:
        await group.kill(name)
    for name in group.names:
        group.start(name)
    loop = asyncio.get_running_loop()
    began = since = loop.time()
    while loop.time() - since < _LEADS_ON_S:
        await asyncio.sleep(0.005)
        if not any(node.leads for node in group.nodes.values()):
            since = loop.time()
    await group.stop()
    return since - began


@behave.then('one leads for good within {ms:d} ms at least {least:d} times')
def step_elected(context, ms, least):
    soon = [found for found in context.elected_s if found <= ms / 1000]
    assert len(soon) >= least, (len(soon), max(context.elected_s))


@behave.when('the leader is cut off')
def step_cut_leader(context):
    async def cut():
        group = context.group
        nodes = group.nodes.values()
        context.former = next(n.name for n in nodes if n.leads)
        group.isolate(context.former)

    context.virtual.run_until_complete(cut())


@behave.then('one leads within {ms:d} ms')
@behave.then('one of the others leads within {ms:d} ms')
def step_leads_within(context, ms):
    async def wait():
        group = context.group
        await group.run_for(ms / 1000)
        leading = [n.name for n in group.nodes.values() if n.leads]
        assert leading and leading != [getattr(context, 'former', '')]
        await group.stop()

    context.virtual.run_until_complete(wait())
    context.virtual.close()


@behave.when('the disk takes writes again')
def step_free(context):
    context.group.disks[context.former].full = False


@behave.then('in each all replicas end with everything that was acknowledged')
def step_played(context):
    assert len(context.played) > 10, len(context.played)


@behave.given('3 replicas of which one has an old log')
def step_old_log(context):
    context.virtual = simulation.VirtualLoop()
    context.group = simulation.Group(3, 5)
    context.virtual.run_until_complete(make_old(context))


async def make_old(context):
    group = context.group
    for name in group.names:
        group.start(name)
    await group.settle()
    leading = next(n.name for n in group.nodes.values() if n.leads)
    context.newest = leading
    context.old, context.other = [n for n in group.names if n != leading]
    group.isolate(context.old)
    await group.run_for(0.1)
    context.acknowledged = await group.propose('late')
    assert context.acknowledged


@behave.when(
    'the one with the newest log is cut off and another loses its disk'
)
def step_worst(context):
    async def worst():
        group = context.group
        group.heal()
        group.isolate(context.newest)
        await group.lose_disk(context.other)
        group.start(context.other)

    context.virtual.run_until_complete(worst())


@behave.then('nobody is elected until the newest one is back')
def step_nobody(context):
    async def watch():
        group = context.group
        await group.run_for(10)
        others = [group.nodes[n] for n in (context.old, context.other)]
        assert all(n.role != replica.LEADER for n in others)

    context.virtual.run_until_complete(watch())


@behave.then('what was acknowledged is still there')
def step_still(context):
    async def check():
        await context.group.settle()
        version, digest = context.acknowledged
        for node in context.group.nodes.values():
            assert node.machine.history[version] == digest
        await context.group.stop()

    context.virtual.run_until_complete(check())
    context.virtual.close()


# -- storage ------------------------------------------------------------


def entry(index, term=1):
    """Return an entry with a little content."""
    made = pb.Entry(index=index, term=term)
    made.bundle.CopyFrom(pb.AcceptBundle(version=index, digest='d' * 64))
    return made


@behave.given('a log of {count:d} entries')
def step_log(context, count):
    context.data = pathlib.Path(context.folder) / 'data'
    context.store = storage.Storage(context.data)
    context.store.load()
    context.store.append([], storage.Vote(1, 'r1'))
    for index in range(1, count + 1):
        context.store.append([entry(index)])


@behave.given('a snapshot at entry {index:d}')
def step_snapshot(context, index):
    state = pb.State(index=index, term=1, version=index)
    rest = [entry(later) for later in range(index + 1, 21)]
    context.store.compact(state, rest, storage.Vote(1, 'r1'))


@behave.when('the last record loses its last {lost:d} bytes')
def step_torn(context, lost):
    context.store.close()
    path = context.data / 'log'
    path.write_bytes(path.read_bytes()[:-lost])


@behave.when('{count:d} zero bytes follow the last record')
def step_zeros(context, count):
    context.store.close()
    path = context.data / 'log'
    path.write_bytes(path.read_bytes() + bytes(count))


@behave.when('the byte at {share:d} percent of the log is flipped')
def step_flip(context, share):
    context.store.close()
    flip(context.data / 'log', share)


@behave.when('a byte of the snapshot is flipped')
def step_flip_snapshot(context):
    context.store.close()
    flip(context.data / 'snapshot', 50)


def flip(path, share):
    """Flip a bit of a file."""
    data = bytearray(path.read_bytes())
    data[min(len(data) - 1, len(data) * share // 100)] ^= 0x10
    path.write_bytes(data)


@behave.when('entry {index:d} of a later term is added')
def step_later(context, index):
    context.store.append([entry(index, term=2)])
    context.store.close()


@behave.then('the log has {count:d} entries after it is loaded')
def step_loaded(context, count):
    context.store = storage.Storage(context.data)
    contents = context.store.load()
    assert len(contents.entries) == count, len(contents.entries)
    assert contents.vote == storage.Vote(1, 'r1')


@behave.then('entries can be added after that')
def step_added(context):
    context.store.append([entry(20)])
    context.store.close()
    step_loaded(context, 20)
    context.store.close()


@behave.then('loading fails with "{code}"')
def step_load_fails(context, code):
    try:
        storage.Storage(context.data).load()
    except errors.HoneyportError as error:
        assert error.code == code
        return
    raise AssertionError('it was loaded')


@behave.then('opening the folder a second time fails with "{code}"')
def step_second(context, code):
    try:
        storage.Storage(context.data)
    except errors.HoneyportError as error:
        assert error.code == code
        return
    raise AssertionError('it was opened')


# -- claims -------------------------------------------------------------


def ask(context, action, retention=60, holder='r1/a/1', key=None):
    """Apply one request; return the answer."""
    request = pb.ClaimRequest(
        action=action,
        key=key or context.key,
        digest='d',
        holder=holder,
        outcome=b'done',
        retention_s=retention,
    )
    batch = pb.ClaimBatch(requests=[request], now_s=context.now)
    return context.claims.apply(batch)[0]


def begin(context, retention):
    """Claim a fresh key."""
    context.now = _NOW_S
    context.claims = claims.Claims()
    context.key = claims.new_key(_NOW_S, lambda bits: 1)
    answer = ask(context, pb.ClaimRequest.CLAIM, retention)
    assert answer.state == _State.GRANTED


@behave.given('a claim with a retention of {retention:d} seconds that is done')
def step_done(context, retention):
    begin(context, retention)
    ask(context, pb.ClaimRequest.RECORD)


@behave.given(
    'a claim with a retention of {retention:d} seconds that was given back'
)
def step_given_back(context, retention):
    begin(context, retention)
    ask(context, pb.ClaimRequest.RELEASE)


@behave.when('{seconds:d} seconds pass and other keys are claimed')
def step_pass(context, seconds):
    context.now += seconds
    key = claims.new_key(context.now, lambda bits: 2)
    ask(context, pb.ClaimRequest.CLAIM, key=key, holder='r1/a/2')


@behave.when('the clock goes back by {seconds:d} seconds')
def step_back(context, seconds):
    context.now -= seconds


@behave.when('the claims are saved and restored')
def step_restore(context):
    state = pb.State()
    context.claims.save(state)
    context.claims = claims.Claims()
    context.claims.restore(pb.State.FromString(state.SerializeToString()))


@behave.when('the key is claimed with a retention of {retention:d} seconds')
def step_claim(context, retention):
    context.answer = ask(
        context, pb.ClaimRequest.CLAIM, retention, holder='r2/b/1'
    )


@behave.then('the state is "{state}"')
def step_state(context, state):
    assert context.answer.state == getattr(_State, state), context.answer
