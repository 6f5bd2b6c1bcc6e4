"""Steps about the persistent storage of a control replica."""

import pathlib

import behave

from honeyport.control import storage
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb


def entry(index, term=1):
    """Return a log entry that accepts a bundle."""
    log_entry = pb.Entry(index=index, term=term)
    log_entry.bundle.CopyFrom(pb.AcceptBundle(version=index, digest='d' * 64))
    return log_entry


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
    later_entries = [
        entry(later_index) for later_index in range(index + 1, 21)
    ]
    context.store.compact(state, later_entries, storage.Vote(1, 'r1'))


@behave.when('the last record is truncated by {lost:d} bytes')
def step_truncate(context, lost):
    context.store.close()
    path = context.data / 'log'
    path.write_bytes(path.read_bytes()[:-lost])


@behave.when('{count:d} zero bytes follow the last record')
def step_zeros(context, count):
    context.store.close()
    path = context.data / 'log'
    path.write_bytes(path.read_bytes() + bytes(count))


@behave.when('a bit is flipped at {percent:d} percent of the log')
def step_flip_log(context, percent):
    context.store.close()
    flip_bit(context.data / 'log', percent)


@behave.when('a bit of the snapshot is flipped')
def step_flip_snapshot(context):
    context.store.close()
    flip_bit(context.data / 'snapshot', 50)


def flip_bit(path, percent):
    """Flip a bit of the byte at a position given in percent."""
    data = bytearray(path.read_bytes())
    data[min(len(data) - 1, len(data) * percent // 100)] ^= 0x10
    path.write_bytes(data)


@behave.when('entry {index:d} of a later term is appended')
def step_append_later(context, index):
    context.store.append([entry(index, term=2)])
    context.store.close()


@behave.then('{count:d} entries are loaded from the log')
def step_loaded(context, count):
    context.store = storage.Storage(context.data)
    contents = context.store.load()
    assert len(contents.entries) == count, len(contents.entries)
    assert contents.vote == storage.Vote(1, 'r1')


@behave.then('entries can be appended afterwards')
def step_can_append(context):
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
    raise AssertionError('damaged data was loaded')


@behave.then('opening the folder a second time fails with "{code}"')
def step_open_twice(context, code):
    try:
        storage.Storage(context.data)
    except errors.HoneyportError as error:
        assert error.code == code
        return
    raise AssertionError('a folder in use was opened')
