"""Steps about the calls of a leader to missing routers."""

import collections

import behave

from honeyport.policy import roster

_STEP_S = 0.25


@behave.given('a leader that has stored the routers {names}')
def step_leader(context, names):
    context.stored = {name: f'{name}:1' for name in _split(names)}
    context.connect_at = {}
    context.limit = 16
    context.end_at = {}


@behave.given('a leader that has stored {count:d} routers')
def step_leader_of_many(context, count):
    context.stored = {
        f'r-{number}': f'r-{number}:1' for number in range(count)
    }
    context.connect_at = {}
    context.end_at = {}
    context.limit = 16


@behave.then(
    'at most {limit:d} are called at the same time, and all within '
    '{seconds:g} s'
)
def step_at_once(context, limit, seconds):
    _, calls = _play(context, seconds)
    counts = collections.Counter(now for _, now in calls)
    assert max(counts.values()) <= limit, counts
    assert {name for name, _ in calls} == set(context.stored)


@behave.when('{names} connect after {seconds:g} seconds')
def step_connect(context, names, seconds):
    context.connect_at |= dict.fromkeys(_split(names), seconds)


@behave.when('the stream of {name} ends after {seconds:g} seconds')
def step_end(context, name, seconds):
    context.end_at[name] = seconds


@behave.then('no router is called within {seconds:g} seconds')
def step_none_called(context, seconds):
    _, calls = _play(context, seconds)
    assert not calls, calls


@behave.then(
    'only {name} is called within {seconds:g} seconds, first after {first:g} '
    'seconds'
)
def step_called(context, name, seconds, first):
    _, calls = _play(context, seconds)
    assert {called for called, _ in calls} == {name}, calls
    assert first <= calls[0][1] <= first + _STEP_S, calls


@behave.then(
    '{count:d} calls come within {seconds:g} seconds, at least {interval_s:g} '
    'seconds apart in the end'
)
def step_calls(context, count, seconds, interval_s):
    _, calls = _play(context, seconds)
    assert len(calls) == count, calls
    assert calls[-1][1] - calls[-2][1] >= interval_s, calls


@behave.then('no router has expired after {seconds:g} seconds')
def step_none_expired(context, seconds):
    schedule, _ = _play(context, seconds)
    assert not schedule.expired(context.stored, seconds)


@behave.then('only {name} has expired after {seconds:g} seconds')
def step_expired(context, name, seconds):
    schedule, _ = _play(context, seconds)
    assert schedule.expired(context.stored, seconds) == [name]


def _play(context, seconds):
    """Return the schedule after a time, and the calls with their times."""
    schedule = roster.ReconnectSchedule()
    calls = []
    for step in range(int(seconds / _STEP_S) + 1):
        now = step * _STEP_S
        connected = {
            name
            for name, begin in context.connect_at.items()
            if begin <= now < context.end_at.get(name, float('inf'))
        }
        for name in schedule.due(
            context.stored, connected, now, context.limit
        ):
            calls.append((name, now))
    return schedule, calls


def _split(names):
    return names.split(', ')
