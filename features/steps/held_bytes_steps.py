"""Steps for the bounds of what a gateway holds."""

import collections
import heapq
import random

import behave

from honeyport.policy import held_bytes

_MB = 1_000_000
_LARGE_BYTES = _MB
_SMALL_BYTES = 2_000
_LARGE_HELD_S = 1.0
_SMALL_HELD_S = 0.1


class _Replay:
    """A gateway whose requests are held for a random time.

    A refused caller comes back once, when it was told to.
    """

    def __init__(self, maximum, per_s):
        self._limits = held_bytes.Limits(maximum)
        self._rate = held_bytes.create_release_rate()
        self._per_s = per_s
        self._random = random.Random(1)
        self._events = []
        self._held = 0
        self.peak = 0
        self.counts = collections.Counter()

    def run(self, duration_s):
        for size, per_s in self._per_s.items():
            at = 0.0
            while (at := at + self._random.expovariate(per_s)) < duration_s:
                self._schedule(at, 'arrive', size)
        while self._events:
            at, _, kind, size = heapq.heappop(self._events)
            if kind == 'end':
                self._held -= size
                self._rate.record(at, size)
                continue
            self._handle_arrival(at, kind, size)

    def _handle_arrival(self, at, kind, size):
        self.counts[kind, size] += 1
        if self._limits.admits(self._held, size):
            self.counts['served', kind, size] += 1
            self._held += size
            self.peak = max(self.peak, self._held)
            mean_s = _LARGE_HELD_S if size == _LARGE_BYTES else _SMALL_HELD_S
            held_s = self._random.uniform(0.5, 1.5) * mean_s
            self._schedule(at + held_s, 'end', size)
        elif kind == 'arrive':
            back_s = self._limits.back_s(self._held, self._rate.per_second(at))
            self._schedule(at + back_s, 'return', size)

    def _schedule(self, at, kind, size):
        number = self._random.random()
        heapq.heappush(self._events, (at, number, kind, size))

    def served_share(self, kind, size):
        arrived = self.counts[kind, size]
        return self.counts['served', kind, size] / arrived if arrived else 1.0

    def served_in_all(self, size):
        """Return the share that was served at once or later."""
        served = sum(
            self.counts['served', kind, size] for kind in ('arrive', 'return')
        )
        return served / self.counts['arrive', size]


@behave.given(
    '{maximum:d} MB, and {large:d} large bodies a second of 1 MB beside '
    '{small:d} small ones'
)
def step_load(context, maximum, large, small):
    context.replay = _Replay(
        maximum * _MB, {_LARGE_BYTES: large, _SMALL_BYTES: small}
    )


@behave.when('{seconds:d} seconds are replayed')
def step_replay(context, seconds):
    context.replay.run(seconds)


@behave.then('at most {maximum:d} MB are held')
def step_peak(context, maximum):
    assert context.replay.peak <= maximum * _MB, context.replay.peak


@behave.then(
    'at least {small:g} of the small and {large:g} of the large ones are '
    'served'
)
def step_served(context, small, large):
    shares = (
        context.replay.served_in_all(_SMALL_BYTES),
        context.replay.served_in_all(_LARGE_BYTES),
    )
    assert shares[0] >= small and shares[1] >= large, shares


@behave.then('at least {share:g} of those that came back are served')
def step_returned(context, share):
    actual = context.replay.served_share('return', _LARGE_BYTES)
    assert actual >= share, actual


@behave.given('{maximum:d} MB of which {held:d} MB are held')
def step_held(context, maximum, held):
    context.limits = held_bytes.Limits(maximum * _MB)
    context.held = held * _MB


@behave.then('a body of {size:d} KB is {outcome}')
def step_admitted(context, size, outcome):
    is_admitted = context.limits.admits(context.held, size * 1000)
    assert is_admitted == (outcome == 'admitted')


@behave.given('{rate:d} MB become free each second')
def step_rate(context, rate):
    context.rate = held_bytes.create_release_rate()
    for step in range(500):
        context.rate.record(step / 100, rate * _MB // 100)


@behave.then(
    'a caller with a body of 1 MB is to come back in {low:g} to {high:g} s'
)
def step_back(context, low, high):
    rate = context.rate.per_second(5.0)
    actual = context.limits.back_s(context.held, rate)
    assert low <= actual <= high, actual


@behave.given(
    'callers that have read nothing for {stalled} seconds and hold 3 MB each'
)
def step_stalled(context, stalled):
    context.stalled = [
        held_bytes.Stalled(float(seconds), -float(seconds), 3 * _MB)
        for seconds in stalled.split(', ')
    ]


@behave.then('those that have read nothing for {cut} seconds are cut off')
def step_cut(context, cut):
    selected = context.limits.select_stalled(
        context.stalled, context.held, 0.0
    )
    expected = [] if cut == '-' else [float(each) for each in cut.split(', ')]
    assert [each.key for each in selected] == expected, selected
