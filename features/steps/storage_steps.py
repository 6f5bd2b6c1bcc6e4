"""Steps about what a control replica keeps on its disk."""

import pathlib

import behave

from honeyport.control import storage
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb


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
