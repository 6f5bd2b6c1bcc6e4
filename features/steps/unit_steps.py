"""Steps for settings files, placement, fair queues and stream offsets."""

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
_CLASSES = {'router': roles.Router, 'bundle': model.Bundle}


@behave.given('a file with the lines {lines}')
def step_file(context, lines):
    context.file = context.folder / 'given.yaml'
    context.file.write_text(lines.replace('; ', '\n') + '\n')


@behave.when('it is read as a {kind}')
def step_read(context, kind):
    try:
        document.load(context.file, _CLASSES[kind])
    except errors.HoneyportError as error:
        context.error = error
        return
    raise AssertionError('the file was accepted')


@behave.then('it is rejected at line {line:d} with "{message}"')
def step_rejected_at(context, line, message):
    detail = context.error.detail
    assert f'given.yaml:{line}:' in detail, detail
    assert message in detail, detail


@behave.when('the router command is run with the file')
def step_command(context):
    context.completed = subprocess.run(
        [sys.executable, '-m', 'honeyport', 'router', str(context.file)],
        capture_output=True,
        text=True,
        timeout=30,
    )


@behave.then('it exits with code 2, prints the line and no traceback')
def step_exit_code(context):
    assert context.completed.returncode == 2, context.completed
    assert 'given.yaml:3: listen' in context.completed.stderr
    assert 'Traceback' not in context.completed.stderr


@behave.then('every page in docs/reference is up to date')
def step_reference(context):
    folder = _ROOT / 'docs' / 'reference'
    for name, text in reference.render().items():
        assert (folder / name).read_text() == text, name


@behave.then('every settings file and bundle in examples is valid')
def step_examples(context):
    classes_by_name = {
        'control': roles.Control,
        'router': roles.Router,
        'instances': roles.InstanceList,
        'llm': roles.Engine,
    }
    paths = list((_ROOT / 'examples').rglob('*.yaml'))
    assert len(paths) > 40
    for path in paths:
        if path.name == 'bundle.yaml':
            files.load(path)
            continue
        matches = [
            cls for key, cls in classes_by_name.items() if key in path.name
        ]
        document.load(path, matches[0] if matches else roles.Service)


@behave.then('each signed bundle matches its YAML file and its signers')
def step_signed(context):
    for path in (_ROOT / 'examples').rglob('bundle.json'):
        signed = signing.from_json(path.read_text())
        bundle = files.load(path.with_suffix('.yaml'))
        assert signing.check(signed) == bundle
        signing.verify(signed, bundle.signers)


@behave.then('the tables of docs/CAPACITY.md match bench/results.json')
def step_capacity(context):
    results = json.loads((_ROOT / 'bench' / 'results.json').read_text())
    page = (_ROOT / 'docs' / 'CAPACITY.md').read_text()
    assert capacity.fill(page, results) == page


@behave.given('{count:d} chats placed on {engines:d} engines')
def step_placed(context, count, engines):
    context.engines = [f'engine-{number}' for number in range(engines)]
    context.chats = [f'chat-{number}' for number in range(count)]
    context.initial_engines = _place_chats(context)


def _place_chats(context):
    """Return the engine of every chat."""
    return {
        chat: hashing.rank(chat, context.engines, 1)[0]
        for chat in context.chats
    }


@behave.when('one engine is removed')
def step_engine_removed(context):
    context.changed = context.engines.pop(7)


@behave.when('one engine is added')
def step_engine_added(context):
    context.changed = 'engine-new'
    context.engines.append(context.changed)


@behave.then('only its chats have moved, evenly to the other engines')
def step_only_its_chats_moved(context):
    new_engines = _place_chats(context)
    moved = {
        chat
        for chat in context.chats
        if new_engines[chat] != context.initial_engines[chat]
    }
    chats_of_removed = {
        chat
        for chat in context.chats
        if context.initial_engines[chat] == context.changed
    }
    assert moved == chats_of_removed
    moved_to = collections.Counter(
        new_engines[moved_chat] for moved_chat in moved
    )
    assert max(moved_to.values()) <= 8, moved_to


@behave.then('all moved chats are on the new engine, which has an equal share')
def step_moved_to_new(context):
    new_engines = _place_chats(context)
    moved = {
        chat
        for chat in context.chats
        if new_engines[chat] != context.initial_engines[chat]
    }
    assert {new_engines[moved_chat] for moved_chat in moved} == {
        context.changed
    }
    assert 25 <= len(moved) <= 80, len(moved)


@behave.then(
    '{count:d} bounded placements on {engines:d} engines stay within '
    '{multiple:g} of the mean'
)
def step_bounded(context, count, engines, multiple):
    names = [f'engine-{number}' for number in range(engines)]
    loads = dict.fromkeys(names, 0)
    for total in range(count):
        max_load = hashing.load_bound(multiple, total, engines)
        ranked = hashing.rank(f'chat-{total % 60}', names, engines)
        chosen = next(name for name in ranked if loads[name] < max_load)
        loads[chosen] += 1
        assert loads[chosen] <= max_load
    assert max(loads.values()) <= -(-multiple * count // engines)


@behave.then(
    'for {engines:d} engines and {routers:d} routers exactly one router is '
    'the steward'
)
def step_one_steward(context, engines, routers):
    names = [f'router-{number}' for number in range(routers)]
    for number in range(engines):
        key = f'engine-{number}'
        stewards = [
            name for name in names if hashing.is_top_ranked(name, key, names)
        ]
        assert stewards == hashing.rank(key, names, 1)


@behave.given(
    '"{account}" has {count:d} requests waiting with share {share:d}'
)
def step_waiting(context, account, count, share):
    if not hasattr(context, 'queue'):
        context.returned_grants = []
        context.queue = shares.FairQueue(
            lambda: context.returned_grants.append(1)
        )
        context.granted_accounts = []
        context.waiting_tasks = []

    async def wait():
        await context.queue.wait(account, share, 60)
        context.granted_accounts.append(account)

    async def start_waiting():
        for _ in range(count):
            context.waiting_tasks.append(asyncio.ensure_future(wait()))
        await asyncio.sleep(0)

    context.run(start_waiting())


@behave.when('{count:d} slots are granted')
def step_turns_given(context, count):
    async def grant():
        for _ in range(count):
            assert context.queue.resolve_next(granted=True)
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        for task in context.waiting_tasks:
            task.cancel()
        await asyncio.gather(*context.waiting_tasks, return_exceptions=True)

    context.run(grant())


@behave.then('"{account}" is granted {count:d} of them')
def step_granted(context, account, count):
    grants = collections.Counter(context.granted_accounts)
    assert grants[account] == count, grants


@behave.when('the first of them is cancelled as its slot is granted')
def step_cancel_granted(context):
    async def cancel():
        context.queue.resolve_next(granted=True)
        context.waiting_tasks[0].cancel()
        await asyncio.gather(context.waiting_tasks[0], return_exceptions=True)
        context.waiting_tasks[1].cancel()
        await asyncio.gather(context.waiting_tasks[1], return_exceptions=True)

    context.run(cancel())


@behave.then('the slot is returned')
def step_slot_returned(context):
    assert context.returned_grants == [1], context.returned_grants
    assert len(context.queue) == 0


@behave.when('{count:d} random streams are cut at random places and resumed')
def step_streams(context, count):
    generator = random.Random(13)
    context.streams = []
    for _ in range(count):
        events = [
            f'id: {n}\ndata: {"x" * generator.randrange(30)}\n\n'.encode()
            for n in range(1, generator.randrange(2, 12))
        ]
        context.streams.append(
            (b''.join(events), _resume_after_cuts(events, generator))
        )


def _resume_after_cuts(events, generator):
    """Return what a caller received of a stream with random cuts."""
    offset = resume.StreamOffset()
    received = b''
    while True:
        remaining = b''.join(events[offset.last_event :])
        bytes_until_cut = generator.randrange(len(remaining) + 1)
        if generator.random() < 0.3:
            bytes_until_cut = len(remaining)
        while remaining and bytes_until_cut > 0:
            size = min(bytes_until_cut, generator.randrange(1, 20))
            received += offset.strip_received(remaining[:size])
            remaining = remaining[size:]
            bytes_until_cut -= size
        if offset.last_event == len(events):
            return received
        offset.begin_resume()


@behave.then('the caller has received every stream whole')
def step_whole_stream(context):
    for sent, received in context.streams:
        assert received == sent, (received, sent)
