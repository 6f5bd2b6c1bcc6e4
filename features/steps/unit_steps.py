"""Steps about small parts: documents, placement, shares, offsets."""

import asyncio
import collections
import json
import pathlib
import random
import subprocess
import sys

import behave

from bench import capacity
from honeyport.bundle import files
from honeyport.bundle import model
from honeyport.bundle import signing
from honeyport import errors
from honeyport.policy import hashing
from honeyport import reference
from honeyport.router import resume
from honeyport.router import shares
from honeyport.settings import document
from honeyport.settings import roles

_ROOT = pathlib.Path(__file__).parent.parent.parent
_KINDS = {'router': roles.Router, 'bundle': model.Bundle}


@behave.given('a file with the lines {lines}')
def step_file(context, lines):
    context.file = context.folder / 'given.yaml'
    context.file.write_text(lines.replace('; ', '\n') + '\n')


@behave.when('it is read as {kind}')
def step_read(context, kind):
    try:
        document.load(context.file, _KINDS[kind])
    except errors.HoneyportError as error:
        context.error = error
        return
    raise AssertionError('it was read')


@behave.then('it is refused at line {line:d} with "{message}"')
def step_refused_at(context, line, message):
    detail = context.error.detail
    assert f'given.yaml:{line}:' in detail, detail
    assert message in detail, detail


@behave.when('the router command is run with it')
def step_command(context):
    context.ended = subprocess.run(
        [sys.executable, '-m', 'honeyport', 'router', str(context.file)],
        capture_output=True,
        text=True,
        timeout=30,
    )


@behave.then('it ends with code 2, names the line, and shows no traceback')
def step_code(context):
    assert context.ended.returncode == 2, context.ended
    assert 'given.yaml:3: listen' in context.ended.stderr
    assert 'Traceback' not in context.ended.stderr


@behave.then('every page under docs/reference is up to date')
def step_reference(context):
    folder = _ROOT / 'docs' / 'reference'
    for name, text in reference.render().items():
        assert (folder / name).read_text() == text, name


@behave.then('every settings file and bundle under examples is valid')
def step_examples(context):
    kinds = {
        'control': roles.Control,
        'router': roles.Router,
        'instances': roles.InstanceList,
        'llm': roles.Engine,
    }
    found = list((_ROOT / 'examples').rglob('*.yaml'))
    assert len(found) > 40
    for path in found:
        if path.name == 'bundle.yaml':
            files.load(path)
            continue
        matches = [c for key, c in kinds.items() if key in path.name]
        document.load(path, matches[0] if matches else roles.Service)


@behave.then('the signed bundles are those that were signed')
def step_signed(context):
    for path in (_ROOT / 'examples').rglob('bundle.json'):
        signed = signing.from_json(path.read_text())
        bundle = files.load(path.with_suffix('.yaml'))
        assert signing.check(signed) == bundle
        signing.verify(signed, bundle.signers)


@behave.then('the tables of docs/CAPACITY.md are those of bench/results.json')
def step_capacity(context):
    results = json.loads((_ROOT / 'bench' / 'results.json').read_text())
    page = (_ROOT / 'docs' / 'CAPACITY.md').read_text()
    assert capacity.fill(page, results) == page


@behave.given('{count:d} chats placed on {engines:d} engines')
def step_placed(context, count, engines):
    context.engines = [f'engine-{number}' for number in range(engines)]
    context.chats = [f'chat-{number}' for number in range(count)]
    context.before = place(context)


def place(context):
    """Return the engine of every chat."""
    return {
        chat: hashing.rank(chat, context.engines, 1)[0]
        for chat in context.chats
    }


@behave.when('one engine goes')
def step_goes(context):
    context.changed = context.engines.pop(7)


@behave.when('one engine comes')
def step_comes(context):
    context.changed = 'engine-new'
    context.engines.append(context.changed)


@behave.then('only its chats have moved, evenly to the others')
def step_only(context):
    after = place(context)
    moved = {c for c in context.chats if after[c] != context.before[c]}
    own = {c for c in context.chats if context.before[c] == context.changed}
    assert moved == own
    target = collections.Counter(after[chat] for chat in moved)
    assert max(target.values()) <= 8, target


@behave.then('every chat that moved is on the new one, and it has its share')
def step_new(context):
    after = place(context)
    moved = {c for c in context.chats if after[c] != context.before[c]}
    assert {after[chat] for chat in moved} == {context.changed}
    assert 25 <= len(moved) <= 80, len(moved)


@behave.then(
    '{count:d} bounded placements on {engines:d} engines stay within '
    '{multiple:g} of the mean'
)
def step_bounded(context, count, engines, multiple):
    names = [f'engine-{number}' for number in range(engines)]
    loads = dict.fromkeys(names, 0)
    for total in range(count):
        allowed = hashing.max_load(multiple, total, engines)
        ranked = hashing.rank(f'chat-{total % 60}', names, engines)
        chosen = next(name for name in ranked if loads[name] < allowed)
        loads[chosen] += 1
        assert loads[chosen] <= allowed
    assert max(loads.values()) <= -(-multiple * count // engines)


@behave.then(
    'for {engines:d} engines and {routers:d} routers exactly one router is '
    'the steward'
)
def step_one_steward(context, engines, routers):
    names = [f'router-{number}' for number in range(routers)]
    for number in range(engines):
        key = f'engine-{number}'
        winners = [n for n in names if hashing.is_top_ranked(n, key, names)]
        assert winners == hashing.rank(key, names, 1)


@behave.given(
    '"{account}" has {count:d} requests waiting with share {share:d}'
)
def step_waiting(context, account, count, share):
    if not hasattr(context, 'queue'):
        context.unused = []
        context.queue = shares.FairQueue(lambda: context.unused.append(1))
        context.turns = []
        context.waiting = []

    async def wait():
        await context.queue.wait(account, share, 60)
        context.turns.append(account)

    async def begin():
        for _ in range(count):
            context.waiting.append(asyncio.ensure_future(wait()))
        await asyncio.sleep(0)

    context.run(begin())


@behave.when('{count:d} turns are given')
def step_turns_given(context, count):
    async def give():
        for _ in range(count):
            assert context.queue.resolve_next(granted=True)
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        for task in context.waiting:
            task.cancel()
        await asyncio.gather(*context.waiting, return_exceptions=True)

    context.run(give())


@behave.then('"{account}" got {count:d} of them')
def step_got(context, account, count):
    counted = collections.Counter(context.turns)
    assert counted[account] == count, counted


@behave.when('the first of them is cancelled as it gets its turn')
def step_cancel_turn(context):
    async def cancel():
        context.queue.resolve_next(granted=True)
        context.waiting[0].cancel()
        await asyncio.gather(context.waiting[0], return_exceptions=True)
        context.waiting[1].cancel()
        await asyncio.gather(context.waiting[1], return_exceptions=True)

    context.run(cancel())


@behave.then('the room is given back')
def step_room_back(context):
    assert context.unused == [1], context.unused
    assert len(context.queue) == 0


@behave.when('{count:d} random streams are cut at random places and resumed')
def step_streams(context, count):
    generator = random.Random(13)
    context.pairs = []
    for _ in range(count):
        events = [
            f'id: {n}\ndata: {"x" * generator.randrange(30)}\n\n'.encode()
            for n in range(1, generator.randrange(2, 12))
        ]
        context.pairs.append((b''.join(events), cut(events, generator)))


def cut(events, generator):
    """Return what a caller has after cuts and resumptions."""
    offset = resume.StreamOffset()
    got = b''
    while True:
        rest = b''.join(events[offset.last_event :])
        stop = generator.randrange(len(rest) + 1)
        if generator.random() < 0.3:
            stop = len(rest)
        while rest and stop > 0:
            size = min(stop, generator.randrange(1, 20))
            got += offset.strip_received(rest[:size])
            rest = rest[size:]
            stop -= size
        if offset.last_event == len(events):
            return got
        offset.begin_resume()


@behave.then('what the caller has is always the whole stream')
def step_whole_stream(context):
    for whole, got in context.pairs:
        assert got == whole, (got, whole)
