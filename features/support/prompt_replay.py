"""A replay of long prompts and short streams on instances that batch.

An instance produces one token for each of its streams in a step, and reads a
chunk of the waiting prompts in it. Its machine is slow for periods of 0.6 s.
"""

import collections
import heapq
import itertools
import random

import attrs

from honeyport.policy import placement
from honeyport.policy import prefixes
from honeyport.policy import prompt_load
from honeyport.policy import stale

_STEP_S = 0.004
_READ_TOKENS_PER_S = 140_000
_CHUNK_TOKENS = 2048
_TOKENS_PER_EVENT = 10
_SLOTS = 16
_NOISE_PERIOD_S = 0.6
_NOISE_SHARE = 0.15
_NOISE_FACTOR = 2.5
_COUNT_AGE_S = 0.28
_COUNT_PERIOD_S = 0.05
_SHARE_PERIOD_S = 0.25
GAP_S = 0.3
_OBJECTIVE_S = 0.44


@attrs.frozen
class Kind:
    """Requests of one kind, by instance and second.

    :ivar tokens: of the shared part, in the mean
    :ivar events: of its stream
    :ivar cached: share of prompts whose shared part is cached
    """

    rate: float
    tokens: int
    events: int
    cached: float


LONG = Kind(2.0, 10_000, 38, 0.5)
SHORT = Kind(1.6, 700, 29, 0.8)
TAG = Kind(4.4, 2_000, 2, 0.6)


@attrs.define(eq=False)
class _Stream:
    kind: Kind
    sent_at: float
    unread: float
    tokens: int = 0
    event_at: float | None = None
    first_s: float = 0.0
    pause_s: float = 0.0
    on_end: object = None

    @property
    def is_late(self):
        return self.pause_s > GAP_S or self.first_s > _OBJECTIVE_S


class _Engine:
    """One instance."""

    def __init__(self, rng):
        self._rng = rng
        self._phase = rng.random() * _NOISE_PERIOD_S
        self._is_noisy = {}
        self.waiting = collections.deque()
        self.running = []

    def step_s(self, now):
        """Read a chunk; return how long the step takes."""
        left = _CHUNK_TOKENS
        while self.waiting and left and len(self.running) < _SLOTS:
            stream = self.waiting[0]
            read = min(left, stream.unread)
            stream.unread -= read
            left -= read
            if stream.unread > 0:
                break
            self.running.append(self.waiting.popleft())
        read_s = (_CHUNK_TOKENS - left) / _READ_TOKENS_PER_S
        return (_STEP_S + read_s) * self._slowdown(now)

    def end_step(self, now):
        """Produce tokens; return the streams that ended."""
        ended = []
        for stream in self.running:
            if stream.tokens % _TOKENS_PER_EVENT == 0:
                if stream.event_at is None:
                    stream.first_s = now - stream.sent_at
                else:
                    pause_s = now - stream.event_at
                    stream.pause_s = max(stream.pause_s, pause_s)
                stream.event_at = now
            stream.tokens += 1
            if stream.tokens > stream.kind.events * _TOKENS_PER_EVENT:
                ended.append(stream)
        self.running = [s for s in self.running if s not in ended]
        return ended

    def _slowdown(self, now):
        period = int((now + self._phase) / _NOISE_PERIOD_S)
        if period not in self._is_noisy:
            self._is_noisy[period] = self._rng.random() < _NOISE_SHARE
        return _NOISE_FACTOR if self._is_noisy[period] else 1.0


@attrs.define
class Result:
    """What callers got.

    :ivar late: share of late streams, by kind
    :ivar first_s: mean time to the first event of long prompts
    :ivar over_bound: share of requests that met more than twice the mean load
        of the instances, and 3
    :ivar busiest: mean load of the busiest instance, relative to all
    """

    late: dict[Kind, float]
    first_s: float
    over_bound: float
    busiest: float


class Replay:
    """One run.

    :param divides: whether long prompts have their own places
    :param is_long: replaces :func:`prompt_load.is_long`
    """

    def __init__(self, seed, gateways, instances, *, divides, is_long=None):
        self._rng = random.Random(seed)
        self._gateways = gateways
        self._instances = {
            name: placement.Instance(
                name, 'llm', name, 'd', False, _SLOTS, name
            )
            for name in (f'i-{number}' for number in range(instances))
        }
        self._engines = {
            name: _Engine(random.Random(f'{seed}-{name}'))
            for name in self._instances
        }
        self._divides = divides
        self._is_long = is_long or prompt_load.is_long
        self._own = [collections.Counter() for _ in range(gateways)]
        self._total = collections.Counter()
        self._long = 0
        self._snapshots = collections.deque([(0.0, collections.Counter())])
        self._shares = prompt_load.LoadShares()
        self._places = prompt_load.rank_places(self._instances)
        self._long_places = frozenset()
        self._timers = []
        self._number = itertools.count()
        self._done = []
        self._over_bound = []
        self._loads = collections.Counter()

    def run(self, seconds):
        """Return the result."""
        for kind in (LONG, SHORT, TAG):
            self._at(self._next_arrival(0.0, kind), self._arrive, kind)
        self._at(0.0, self._count)
        self._at(0.0, self._share)
        while self._timers:
            now, _, callback, arguments = heapq.heappop(self._timers)
            if now > seconds:
                break
            callback(now, *arguments)
        late = {
            kind: _mean(s.is_late for s in self._done if s.kind is kind)
            for kind in (LONG, SHORT, TAG)
        }
        first_s = _mean(s.first_s for s in self._done if s.kind is LONG)
        mean_load = _mean(self._loads[name] for name in self._instances)
        return Result(
            late,
            first_s,
            _mean(self._over_bound),
            max(self._loads.values()) / mean_load,
        )

    def _at(self, when, callback, *arguments):
        entry = (when, next(self._number), callback, arguments)
        heapq.heappush(self._timers, entry)

    def _next_arrival(self, now, kind):
        return now + self._rng.expovariate(kind.rate * len(self._instances))

    def _count(self, now):
        self._snapshots.append((now, self._total.copy()))
        while self._snapshots[1][0] <= now - _COUNT_AGE_S:
            self._snapshots.popleft()
        self._loads.update(self._total)
        self._at(now + _COUNT_PERIOD_S, self._count)

    def _share(self, now):
        self._shares.add(self._long, self._total.total(), now)
        if self._divides:
            number = prompt_load.count_long_places(
                len(self._places),
                self._shares,
                _SLOTS * len(self._places),
            )
            self._long_places = frozenset(self._places[:number])
        self._at(now + _SHARE_PERIOD_S, self._share)

    def _arrive(self, now, kind):
        self._at(self._next_arrival(now, kind), self._arrive, kind)
        tokens = int(kind.tokens * self._rng.lognormvariate(-0.2, 0.65))
        subject = f'{kind.tokens}-{self._rng.random()}'
        parts = (
            prefixes.Part(subject, tokens),
            prefixes.Part('own', tokens // 8),
        )
        gateway = self._rng.randrange(self._gateways)
        is_long = self._is_long(parts, GAP_S)
        name = self._choose(gateway, parts, is_long).instance.id
        total = self._total.total()
        bound = 2 * (total + 1) / len(self._instances) + 3
        self._over_bound.append(self._total[name] > bound)
        is_cached = self._rng.random() < kind.cached
        unread = tokens // 8 + (0 if is_cached else tokens)
        stream = _Stream(kind, now, unread)
        self._own[gateway][name] += 1
        self._total[name] += 1
        self._long += is_long
        engine = self._engines[name]
        is_idle = not engine.running and not engine.waiting
        engine.waiting.append(stream)
        stream.on_end = lambda: self._end(gateway, name, is_long)
        if is_idle:
            self._at(now, self._step, engine)

    def _choose(self, gateway, parts, is_long):
        instances = list(self._instances.values())
        group = [
            instance
            for instance in instances
            if (instance.place in self._long_places) == is_long
        ]
        own = self._own[gateway]
        _, totals = self._snapshots[0]
        counts = stale.LoadCounts(
            own=own.__getitem__,
            others=lambda name: max(0, totals[name] - own[name]),
            age_s=_COUNT_AGE_S,
            mean_duration_s=1.0,
        )
        candidates = placement.Candidates(
            instances, (), instances, group if self._long_places else ()
        )
        return placement.choose_by_prefix(parts, candidates, counts, 'd')

    def _step(self, now, engine):
        if not engine.running and not engine.waiting:
            return
        ends_at = now + engine.step_s(now)
        self._at(ends_at, self._end_step, engine)

    def _end_step(self, now, engine):
        for stream in engine.end_step(now):
            self._done.append(stream)
            stream.on_end()
        self._step(now, engine)

    def _end(self, gateway, name, is_long):
        self._own[gateway][name] -= 1
        self._total[name] -= 1
        self._long -= is_long


def _mean(values):
    values = list(values)
    return sum(values) / len(values)
