"""Steps about the calls of a leader to missing routers."""

import collections

import behave

from honeyport.policy import roster

_STEP_S = 0.25


@behave.given('a leader that remembers the routers {names}')
def step_leader(context, names):
    context.known = {name: f'{name}:1' for name in _split(names)}
    context.attach_at = {}
    context.most = 16
    context.end_at = {}


@behave.given('a leader that remembers {count:d} routers')
def step_leader_of_many(context, count):
    context.known = {f'r-{one}': f'r-{one}:1' for one in range(count)}
    context.attach_at = {}
    context.end_at = {}
    context.most = 16


@behave.then(
    'at most {most:d} are called at once, and all within {seconds:g} s'
)
def step_at_once(context, most, seconds):
    _, calls = _play(context, seconds)
    counts = collections.Counter(now for _, now in calls)
    assert max(counts.values()) <= most, counts
    assert {name for name, _ in calls} == set(context.known)


@behave.when('{names} attach after {seconds:g} seconds')
def step_attach(context, names, seconds):
    context.attach_at |= dict.fromkeys(_split(names), seconds)


@behave.when('the stream of {name} ends after {seconds:g} seconds')
def step_end(context, name, seconds):
    context.end_at[name] = seconds


@behave.then('nobody is called within {seconds:g} seconds')
def step_none_called(context, seconds):
    _, calls = _play(context, seconds)
    assert not calls, calls


@behave.then(
    '{name} alone is called within {seconds:g} seconds, first after {first:g} '
    'seconds'
)
def step_called(context, name, seconds, first):
    _, calls = _play(context, seconds)
    assert {called for called, _ in calls} == {name}, calls
    assert first <= calls[0][1] <= first + _STEP_S, calls


@behave.then(
    '{count:d} calls come within {seconds:g} seconds, at least {apart:g} '
    'seconds apart in the end'
)
def step_calls(context, count, seconds, apart):
    _, calls = _play(context, seconds)
    assert len(calls) == count, calls
    assert calls[-1][1] - calls[-2][1] >= apart, calls


@behave.then('nobody is forgotten after {seconds:g} seconds')
def step_none_forgotten(context, seconds):
    played, _ = _play(context, seconds)
    assert not played.expired(context.known, seconds)


@behave.then('{name} alone is forgotten after {seconds:g} seconds')
def step_forgotten(context, name, seconds):
    played, _ = _play(context, seconds)
    assert played.expired(context.known, seconds) == [name]


def _play(context, seconds):
    """Return the roster after a time, and who was called when."""
    played = roster.ReconnectSchedule()
    calls = []
    for step in range(int(seconds / _STEP_S) + 1):
        now = step * _STEP_S
        attached = {
            name
            for name, begin in context.attach_at.items()
            if begin <= now < context.end_at.get(name, float('inf'))
        }
        for name in played.due(context.known, attached, now, context.most):
            calls.append((name, now))
    return played, calls


def _split(names):
    return names.split(', ')
