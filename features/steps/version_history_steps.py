"""Steps about the software versions that lists of instances have shown."""

import re

import behave

from honeyport.policy import begun_streams
from honeyport.policy import version_records
from honeyport.policy import versions

# Between two messages of control.
_PERIOD_S = 0.25
_ENTRY = re.compile(r'(\S+) from (\d+) s')


@behave.given('a history of lists in which a stream lasts for {window:d} s')
def step_history(context, window):
    context.window_s = window
    context.silences = []


@behave.when('the lists show {lists}')
def step_lists(context, lists):
    context.lists = [
        (float(at), {'llm': _parse(names)} if names != 'none' else {})
        for names, at in _ENTRY.findall(lists)
    ]


@behave.when('no list comes from {start:d} s to {end:d} s')
def step_silence(context, start, end):
    context.silences.append((start, end))


@behave.then('the only version of llm is {version} at {at:d} s')
def step_only_version(context, version, at):
    expected = None if version == 'unknown' else version
    actual = _observe(context, at).only_version('llm', float(at))
    assert actual == expected, actual


@behave.then(
    'the only version of llm may be known {seconds:d} s after {at:d} s'
)
def step_settled(context, seconds, at):
    actual = _observe(context, at).settled_in_s('llm', float(at))
    assert abs(actual - seconds) < _PERIOD_S, actual


def _observe(context, at):
    """Return the history of the lists until a time."""
    history = versions.VersionHistory(context.window_s)
    for period in range(int(at / _PERIOD_S) + 1):
        now = period * _PERIOD_S
        if any(start < now < end for start, end in context.silences):
            continue
        _, listed = max(
            (entry for entry in context.lists if entry[0] <= now),
            key=lambda entry: entry[0],
        )
        history.observe(now, listed)
    return history


def _parse(names):
    return frozenset(names.split('+'))


@behave.given('llm has {names} on record')
def step_on_record(context, names):
    context.recorded = {} if names == 'nothing' else {'llm': _parse(names)}


@behave.when('its latest instances have the versions {names} for {end:d} s')
def step_listed_for(context, names, end):
    recorder = version_records.VersionRecorder()
    listed = {} if names == 'none' else {'llm': _parse(names)}
    for now in (0.0, float(end)):
        context.planned = recorder.plan(context.recorded, listed, now)


@behave.then('{names} is to be on record')
def step_to_be_on_record(context, names):
    expected = set() if names == 'nothing' else set(names.split('+'))
    planned = {name or 'earlier' for name in context.planned['llm']}
    assert planned == expected, planned


@behave.given(
    'records of {count:d} streams, each of which lasts for {seconds:d} s'
)
def step_records(context, count, seconds):
    context.count = count
    context.records = begun_streams.Records()
    for number in range(count):
        stream = begun_streams.BegunStream(
            str(number), 'llm', 'v1', float(seconds)
        )
        context.records.add(stream, 0.0)


@behave.then('{known:d} of them are known, the latest ones')
def step_known(context, known):
    numbers = [
        number
        for number in range(context.count)
        if context.records.find(str(number), 1.0)
    ]
    assert numbers == list(range(context.count - known, context.count))


@behave.then('none of them is known {seconds:d} s later')
def step_expired(context, seconds):
    assert not list(context.records.live(float(seconds)))
    another = begun_streams.BegunStream('another', 'llm', 'v1', seconds + 1.0)
    context.records.add(another, float(seconds))
    assert len(context.records) == 1, len(context.records)
