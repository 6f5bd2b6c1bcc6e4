"""A small service, its gateways and its callers on a virtual clock.

Requests are either sent at once to the less loaded of two instances, by counts
of other gateways that are a report old, or wait in one queue. Both get the
same requests at the same times, of the same durations.
"""

import collections
import heapq
import itertools
import math
import random

import attrs

from honeyport.policy import wait_queue

_REPORT_PERIOD_S = 0.28
# From a gateway to the queue, or back.
_HOP_S = 0.003
_MEAN_DURATION_S = 0.08
_DURATION_SIGMA = 0.5
_SPEEDS = (1.0, 1.0, 1.3, 1.0)
_NOISE_FACTOR = 2.5
_NOISE_SHARE = 1.0 / 7.0
_NOISE_S = 0.6
_WAVE = 0.55
_WAVE_PERIOD_S = 10.0
_OBJECTIVE_S = 0.384
_LIMIT_S = 1.57
_HONOURED_SHARE = 1.0 / 3.0
# When callers come back that were not told when, in seconds.
_OWN_PAUSE_S = 0.1
_LOST_S = 5.0


@attrs.frozen(kw_only=True)
class Load:
    """What arrives where; see the constants for what is fixed.

    :ivar load: arrivals as a share of the capacity
    :ivar size: instances, as a multiple of four
    :ivar loud: how many times its usual the first account sends
    :ivar repeats: how often the callers of the last account repeat at once
    :ivar routes: priority of each route and the share of its requests
    :ivar is_one_lost: whether an instance is lost for some seconds
    :ivar misjudged: factor of the mean duration that the queue is told
    """

    load: float = 1.0
    seeds: int = 6
    gateways: int = 68
    size: int = 1
    slots: int = 6
    queue: int = 24
    accounts: int = 8
    loud: float = 1.0
    repeats: int = 1
    routes: tuple[tuple[int, float], ...] = ((5, 1.0),)
    is_one_lost: bool = False
    misjudged: float = 1.0
    seconds: float = 20.0


@attrs.define(eq=False)
class Call:
    """A request of a caller, and how it ended."""

    number: int
    at: float
    gateway: int
    account: int
    route: int
    duration_s: float
    attempts_left: int
    repeats_left: int = 0
    attempt: int = 0
    outcome: str = ''
    refused_after_s: list[float] = attrs.field(factory=list)
    asked_at: float = 0.0
    is_told: bool = False
    instance: int = -1


@attrs.define
class Result:
    """How the calls ended."""

    calls: list[Call]

    def share(self, outcome: str, **only: int) -> float:
        """Return the share of the calls with an outcome."""
        chosen = [
            call
            for call in self.calls
            if all(
                getattr(call, name) == value for name, value in only.items()
            )
        ]
        return sum(call.outcome == outcome for call in chosen) / len(chosen)

    def served(self, **only: int) -> float:
        return self.share('in time', **only) + self.share('late', **only)

    def refusal_s(self, quantile: float = 0.5) -> float:
        """Return a quantile of the times until a refusal."""
        times = sorted(
            seconds for call in self.calls for seconds in call.refused_after_s
        )
        return times[int(quantile * len(times))] if times else 0.0

    def again(self) -> float:
        """Return the share of the refused calls that were refused again."""
        refused = [call for call in self.calls if call.refused_after_s]
        again = sum(len(call.refused_after_s) > 1 for call in refused)
        return again / len(refused) if refused else 0.0


class Service:
    """The instances, and what is common to both ways to share them."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.now = 0.0
        self.calls: list[Call] = []
        count = 4 * load.size
        self.speeds = [_SPEEDS[i % 4] for i in range(count)]
        self.running = [0] * count
        self.queues = [collections.deque() for _ in range(count)]
        self.random = random.Random(f'{seed} choices')
        self._seed = seed
        self._noise: dict[tuple[int, int], bool] = {}
        self._events: list[tuple[float, int, object, tuple]] = []
        self._sequence = itertools.count()

    def run(self) -> list[Call]:
        self._arrive()
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.calls

    def after(self, delay_s: float, action, *arguments) -> None:
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._sequence), action, arguments),
        )

    def is_up(self, instance: int) -> bool:
        start = self.load.seconds / 3
        lost = self.load.is_one_lost and start <= self.now < start + _LOST_S
        return not (lost and instance == 0)

    def send(self, call: Call, instance: int) -> None:
        """Run a call on an instance, queue it there or reject it."""
        call.instance = instance
        if not self.is_up(instance):
            self.finish(call, call.attempt, 'failed')
        elif self.running[instance] < self.load.slots:
            self._start(call)
        elif len(self.queues[instance]) < self.load.queue:
            self.queues[instance].append((call, call.attempt))
        else:
            self.ended(call, instance)
            self.refuse(call, None)

    def refuse(self, call: Call, back_s: float | None) -> None:
        """Tell a caller that its request has not run."""
        if call.outcome:
            return
        call.refused_after_s.append(self.now - call.asked_at)
        call.is_told = call.is_told or back_s is not None
        self._come_back(call, back_s)

    def finish(self, call: Call, attempt: int, outcome: str) -> None:
        """End a call, if its caller still waits for this attempt."""
        self.ended(call, call.instance)
        if call.outcome or call.attempt != attempt:
            return
        if outcome == 'failed':
            self._come_back(call, 0.0)
            return
        is_late = self.now > call.at + _OBJECTIVE_S
        call.outcome = 'late' if is_late else 'in time'

    def ask(self, call: Call) -> None:
        """Handle a request of a caller at its gateway."""
        raise NotImplementedError

    def ended(self, call: Call, instance: int) -> None:
        """Handle that an instance has one request less."""

    def give_up(self, call: Call) -> None:
        """Handle a caller whose limit is reached."""
        call.outcome = call.outcome or 'refused'

    def _come_back(self, call: Call, back_s: float | None) -> None:
        left_s = call.at + _LIMIT_S - self.now
        if call.repeats_left:
            call.repeats_left -= 1
            self.after(0.0, self._ask, call)
        elif not call.attempts_left:
            call.outcome = 'refused'
        else:
            call.attempts_left -= 1
            own_s = _OWN_PAUSE_S * self.random.uniform(0.5, 1.5)
            told_s = own_s if back_s is None else back_s
            wait_s = min(told_s, left_s * _HONOURED_SHARE)
            self.after(wait_s, self._ask, call)

    def _ask(self, call: Call) -> None:
        if not call.outcome:
            call.attempt += 1
            call.asked_at = self.now
            self.ask(call)

    def _start(self, call: Call) -> None:
        instance = call.instance
        self.running[instance] += 1
        duration_s = call.duration_s * self._slowness(instance)
        self.after(duration_s, self._end, call, call.attempt, instance)

    def _end(self, call: Call, attempt: int, instance: int) -> None:
        self.running[instance] -= 1
        self.finish(
            call, attempt, 'served' if self.is_up(instance) else 'failed'
        )
        while self.queues[instance]:
            queued, queued_attempt = self.queues[instance].popleft()
            if queued.outcome or queued.attempt != queued_attempt:
                self.ended(queued, instance)
                continue
            self._start(queued)
            return

    def _slowness(self, instance: int) -> float:
        window = instance, int(self.now / _NOISE_S)
        if window not in self._noise:
            drawn = random.Random(f'{self._seed} {window}').random()
            self._noise[window] = drawn < _NOISE_SHARE
        noise = _NOISE_FACTOR if self._noise[window] else 1.0
        return self.speeds[instance] * noise

    def _arrive(self) -> None:
        """Draw all calls, independent of what happens to them."""
        load = self.load
        drawn = random.Random(f'{self._seed} arrivals')
        usual_speed = 1.0 - _NOISE_SHARE + _NOISE_SHARE / _NOISE_FACTOR
        capacity = sum(
            load.slots * usual_speed / (_MEAN_DURATION_S * speed)
            for speed in self.speeds
        )
        shares = [1.0] * load.accounts
        usual = load.load * capacity / load.accounts
        shares[0] = load.loud
        rate = usual * sum(shares)
        at = 0.0
        while True:
            at += drawn.expovariate(rate * (1.0 + _WAVE))
            if at >= load.seconds:
                return
            wave = 1.0 + _WAVE * math.sin(math.tau * at / _WAVE_PERIOD_S)
            if drawn.random() * (1.0 + _WAVE) > wave:
                continue
            account = drawn.choices(range(load.accounts), shares)[0]
            weights = [share for _, share in load.routes]
            route = drawn.choices(range(len(weights)), weights)[0]
            duration_s = drawn.lognormvariate(
                math.log(_MEAN_DURATION_S) - _DURATION_SIGMA**2 / 2,
                _DURATION_SIGMA,
            )
            gateway = drawn.randrange(load.gateways)
            call = Call(
                len(self.calls), at, gateway, account, route, duration_s, 1
            )
            if account == load.accounts - 1:
                call.repeats_left = load.repeats - 1
            self.calls.append(call)
            self.after(at, self._ask, call)
            self.after(at + _LIMIT_S, self.give_up, call)


class SentAtOnce(Service):
    """Each gateway sends to the less loaded of two."""

    def __init__(self, load: Load, seed: int) -> None:
        super().__init__(load, seed)
        count = len(self.running)
        self._own = [[0] * count for _ in range(load.gateways)]
        self._told = [[0] * count for _ in range(load.gateways)]
        self._report()

    def ask(self, call: Call) -> None:
        own = self._own[call.gateway]
        told = self._told[call.gateway]
        up = [i for i in range(len(own)) if self.is_up(i)]
        two = self.random.sample(up, 2)
        instance = min(two, key=lambda i: own[i] + told[i])
        own[instance] += 1
        self.send(call, instance)

    def ended(self, call: Call, instance: int) -> None:
        self._own[call.gateway][instance] -= 1

    def _report(self) -> None:
        """Tell each gateway what the others have at each instance."""
        totals = [sum(counts) for counts in zip(*self._own, strict=True)]
        for told, own in zip(self._told, self._own, strict=True):
            told[:] = [
                total - mine for total, mine in zip(totals, own, strict=True)
            ]
        if self.now < self.load.seconds + _LIMIT_S:
            self.after(_REPORT_PERIOD_S, self._report)


class Queued(Service):
    """One queue, which has some more requests sent than there are slots."""

    _MORE = 2
    _TICK_S = 0.02

    def __init__(self, load: Load, seed: int) -> None:
        super().__init__(load, seed)
        self.waiting = wait_queue.WaitQueue()
        self._held = [0] * len(self.running)
        self._mean_held_s = _MEAN_DURATION_S
        self._granted_at: dict[int, tuple[wait_queue.Waiting, float]] = {}
        self._asking: dict[wait_queue.Key, Call] = {}
        self._allowed = frozenset(map(str, range(len(self.running))))
        self._tick()

    def ask(self, call: Call) -> None:
        self.after(_HOP_S, self._offer, call)

    def ended(self, call: Call, instance: int) -> None:
        waiting, granted_at = self._granted_at.pop(call.number)
        self.after(_HOP_S, self._release, instance, waiting, granted_at)

    def give_up(self, call: Call) -> None:
        super().give_up(call)
        self.waiting.remove(self._key(call))

    def _key(self, call: Call) -> wait_queue.Key:
        return wait_queue.Key(
            f'g{call.gateway}', call.number * 10 + call.attempt
        )

    def _offer(self, call: Call) -> None:
        if call.outcome:
            return
        key = self._key(call)
        self._asking[key] = call
        waiting = wait_queue.Waiting(
            key=key,
            account=f'a{call.account}',
            route=f'r{call.route}',
            priority=self.load.routes[call.route][0],
            fingerprint=call.number.to_bytes(4, 'big'),
            allowed=self._allowed,
            asked_at=call.asked_at,
            objective_at=call.asked_at + _OBJECTIVE_S,
            deadline_at=call.at + _LIMIT_S,
        )
        answer = self.waiting.offer(waiting, self._room(), self.now)
        if isinstance(answer, wait_queue.Refusal):
            self._refuse(answer)
        self._pump()

    def _refuse(self, refusal: wait_queue.Refusal) -> None:
        call = self._asking.pop(refusal.key)
        self.after(_HOP_S, self.refuse, call, refusal.back_s)

    def _release(
        self, instance: int, waiting: wait_queue.Waiting, granted_at: float
    ) -> None:
        held_s = self.now - granted_at
        self._held[instance] -= 1
        self._mean_held_s += 0.02 * (held_s - self._mean_held_s)
        self.waiting.record_end(waiting, held_s, self.now)
        self._pump()

    def _tick(self) -> None:
        self._pump()
        if self.now < self.load.seconds + _LIMIT_S:
            self.after(self._TICK_S, self._tick)

    def _limit(self, instance: int) -> int:
        up = self.is_up(instance)
        return self.load.slots + self._MORE if up else 0

    def _room(self) -> wait_queue.Room:
        up = [i for i in range(len(self._held)) if self.is_up(i)]
        return wait_queue.Room(
            slots=sum(self._limit(i) for i in up),
            taken=sum(self._held[i] for i in up),
            mean_held_s=self._mean_held_s * self.load.misjudged,
        )

    def _find_free(self, allowed) -> str | None:
        free = [i for i in map(int, allowed) if self._held[i] < self._limit(i)]
        if not free:
            return None
        return str(min(free, key=lambda i: (self._held[i], i)))

    def _pump(self) -> None:
        while True:
            grant = self.waiting.take(self._find_free, self.now)
            if grant is None:
                break
            instance = int(grant.instance)
            call = self._asking.pop(grant.waiting.key)
            self._held[instance] += 1
            self._granted_at[call.number] = grant.waiting, self.now
            self.after(_HOP_S, self.send, call, instance)
        for refusal in self.waiting.refuse_hopeless(self._room(), self.now):
            self._refuse(refusal)


def play(rule: type[Service], load: Load) -> Result:
    """Replay a load with some seeds."""
    calls: list[Call] = []
    for seed in range(load.seeds):
        calls += rule(load, seed).run()
    return Result(calls)
