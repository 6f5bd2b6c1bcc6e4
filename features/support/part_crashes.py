"""A discrete-event simulation of requests with parts that crash instances.

Gateways report crashes and answers to the leader's record and learn of
suspects with a delay. Time is virtual and random numbers are seeded; the
decisions come from :mod:`honeyport.policy.part_suspicion`.
"""

import collections
import heapq
import itertools
import random

import attrs

from honeyport.policy import part_suspicion
from honeyport.policy import suspicion
from honeyport.policy import traits

_SERVICE = 'llm'
_TICK_S = 0.05
_TO_GATEWAYS_S = 0.05
_TO_LEADER_S = 0.02
# A gateway reports answers with a candidate at most this often.
_ANSWERS_PERIOD_S = 0.25
# From a crash to its report: the times of two probes, and the share of the
# first one that still reaches the instance.
_REPORT_DELAYS_S = (0.06, 0.45)
_LATE_SHARE = 0.1
# How long a repeat with a candidate waits for a decision.
_DECISION_S = 0.6
_MEDIAN_DURATION_S = 0.8
_DURATION_SIGMA = 0.6  # of the lognormal distribution
_DEADLY_S = 0.1  # from the start of a fatal request to the crash
_RESTART_S = 4.5
_MAX_ATTEMPTS = 2  # by a gateway
_CALLER_RETRY_S = 0.2
# A request that was withdrawn from an instance this long before it crashed is
# reported with the crash.
_PROBED_S = 0.4
_DOCUMENTS = 12


@attrs.frozen(kw_only=True)
class Load:
    """The requests that arrive and the causes of crashes.

    :ivar position: of the fatal parts: ``first``, ``middle``,
        ``second to last``, ``few`` (in the middle, behind a first part that
        few others have), or ``varying`` (behind first parts that vary)
    :ivar fatal: number of fatal parts
    :ivar fatal_per_s: requests with each of them
    :ivar harmless_until_s: time until which they are harmless
    :ivar share: the share of instances that crash together every ``every_s``
        seconds without a cause in a request
    """

    position: str = 'middle'
    instances: int = 6
    slots: int = 16
    gateways: int = 9
    sound_per_s: float = 40.0
    fatal: int = 1
    fatal_per_s: float = 3.0
    fatal_from_s: float = 5.0
    harmless_until_s: float = 0.0
    share: float = 0.0
    every_s: float = 2.5
    accounts: int = 4
    length_s: float = 40.0


@attrs.define(eq=False)
class _Request:
    """A request of a caller.

    :ivar began_at: when its attempt was sent
    """

    traits: traits.Traits
    is_fatal: bool
    gateway: int
    attempts: int = 0
    retries: int = 0
    began_at: float = 0.0
    permit: str = ''
    is_running: bool = False


@attrs.define(eq=False)
class _Instance:
    number: int
    up_at: float = 0.0
    incarnation: int = 0
    running: dict[_Request, None] = attrs.field(factory=dict)
    queue: collections.deque[_Request] = attrs.field(factory=collections.deque)
    withdrawn_at: dict[_Request, float] = attrs.field(factory=dict)

    @property
    def load(self) -> int:
        return len(self.running) + len(self.queue)


class Fleet:
    """A simulation of one load.

    :ivar sent: number of sound requests by the second
    :ivar served: those that were served at the first attempt
    :ivar refused: sound requests that were refused as barred
    :ivar withdrawn: sound requests that were withdrawn when they were barred
    :ivar crashes: times of the crashes under each fatal part
    :ivar arrived: times at which requests with it arrived at instances
    """

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._register = suspicion.EndRegister({}, 0.0)
        self._parts = part_suspicion.PartSuspicion(self._register)
        self._instances = [_Instance(n) for n in range(load.instances)]
        self._suspects: list[suspicion.Suspect] = []
        self._answered: list[dict[str, float]] = [
            {} for _ in range(load.gateways)
        ]
        self._asked: set[str] = set()
        self._unreported: list[set[str]] = [
            set() for _ in range(load.gateways)
        ]
        self._counter = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        self._now = 0.0
        self.sent: collections.Counter[int] = collections.Counter()
        self.served: collections.Counter[int] = collections.Counter()
        self.refused = 0
        self.withdrawn = 0
        self.crashes: dict[str, list[float]] = collections.defaultdict(list)
        self.arrived: dict[str, list[float]] = collections.defaultdict(list)
        self.barred: list[tuple[float, str]] = []

    def play(self) -> None:
        """Run the simulation to its end."""
        load = self._load
        self._schedule(0.0, self._arrive_sound)
        for number in range(load.fatal):
            self._schedule(
                load.fatal_from_s + number / 7,
                lambda n=number: self._arrive_fatal(n),
            )
        if load.share:
            self._schedule(load.every_s, self._crash_some)
        self._schedule(_TICK_S, self._tick)
        for gateway in range(load.gateways):
            self._schedule(
                _ANSWERS_PERIOD_S * self._random.random(),
                lambda g=gateway: self._report_answers(g),
            )
        while self._events[0][0] < load.length_s:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def served_share(self, since_s: float, until_s: float) -> float:
        """Return the share of sound requests served at the first attempt."""
        seconds = range(int(since_s), int(until_s))
        sent = sum(self.sent[second] for second in seconds)
        return sum(self.served[second] for second in seconds) / max(1, sent)

    def _schedule(self, delay_s: float, action: object) -> None:
        at = self._now + delay_s
        heapq.heappush(self._events, (at, next(self._counter), action))

    # -- requests --------------------------------------------------------

    def _arrive_sound(self) -> None:
        self._schedule(
            self._random.expovariate(self._load.sound_per_s),
            self._arrive_sound,
        )
        self._send(self._make(self._sound_parts(), is_fatal=False))

    def _arrive_fatal(self, number: int) -> None:
        self._schedule(
            self._random.expovariate(self._load.fatal_per_s),
            lambda: self._arrive_fatal(number),
        )
        self._send(self._make(self._fatal_parts(number), is_fatal=True))

    def _document(self) -> str:
        return f'doc-{int(_DOCUMENTS * self._random.random() ** 2)}'

    def _sound_parts(self) -> tuple[str, ...]:
        position = self._load.position
        if position == 'few' and self._random.random() < 0.06:
            return ('few', self._document())
        if position == 'varying':
            return (f'first-{self._random.randrange(20)}', self._document())
        return ('root', self._document())

    def _fatal_parts(self, number: int) -> tuple[str, ...]:
        fatal = f'fatal-{number}'
        return {
            'first': (fatal, self._document()),
            'middle': ('root', fatal, self._document()),
            'second to last': ('root', self._document(), fatal),
            'few': ('few', fatal, self._document()),
            'varying': (f'first-{self._random.randrange(20)}', fatal),
        }[self._load.position]

    def _make(self, parts: tuple[str, ...], *, is_fatal: bool) -> _Request:
        number = next(self._counter)
        account = f'a-{self._random.randrange(self._load.accounts)}'
        if not is_fatal:
            self.sent[int(self._now)] += 1
        return _Request(
            traits.Traits(f'{number:032x}', _SERVICE, account, parts),
            is_fatal,
            self._random.randrange(self._load.gateways),
        )

    def _send(self, request: _Request) -> None:
        """Send a request to an instance, if its gateway may."""
        usable = [i for i in self._instances if i.up_at <= self._now]
        if not usable:
            return
        request.permit = ''
        for suspect in self._suspects_of(request):
            if not self._is_permitted(suspect, request):
                self.refused += not request.is_fatal
                return
        request.attempts += 1
        request.began_at = self._now
        instance = min(
            self._random.sample(usable, min(2, len(usable))),
            key=lambda candidate: candidate.load,
        )
        if request.is_fatal:
            self.arrived[_fatal_part(request)].append(self._now)
        instance.queue.append(request)
        self._start_queued(instance)

    def _suspects_of(self, request: _Request) -> list[suspicion.Suspect]:
        return [
            suspect
            for suspect in self._suspects
            if suspect.request == request.traits.fingerprint
            or (
                suspect.part_set is not None
                and suspect.part_set.matches(request.traits)
            )
        ]

    def _is_permitted(
        self, suspect: suspicion.Suspect, request: _Request
    ) -> bool:
        if suspect.is_barred(self._now):
            return False
        decision = self._register.request_permit(
            suspect.request, f'g-{request.gateway}', self._now, lambda _: True
        )
        request.permit = suspect.request
        return decision.granted

    def _start_queued(self, instance: _Instance) -> None:
        while instance.queue and len(instance.running) < self._load.slots:
            request = instance.queue.popleft()
            instance.running[request] = None
            is_deadly = (
                request.is_fatal and self._now >= self._load.harmless_until_s
            )
            if is_deadly:
                duration_s = _DEADLY_S
            else:
                duration_s = _MEDIAN_DURATION_S * self._random.lognormvariate(
                    0.0, _DURATION_SIGMA
                )
            incarnation = instance.incarnation
            self._schedule(
                duration_s,
                lambda r=request, n=incarnation, d=is_deadly: self._finish(
                    instance, r, n, d
                ),
            )

    def _finish(
        self,
        instance: _Instance,
        request: _Request,
        incarnation: int,
        is_deadly: bool,
    ) -> None:
        if instance.incarnation != incarnation:
            return
        if request not in instance.running:  # withdrawn
            return
        if is_deadly:
            self.crashes[_fatal_part(request)].append(self._now)
            self._crash(instance)
            return
        del instance.running[request]
        self._start_queued(instance)
        if not request.is_fatal and request.attempts == 1:
            self.served[int(request.began_at)] += request.retries == 0
        gateway = request.gateway
        for part in request.traits.parts:
            answered = self._answered[gateway]
            answered[part] = max(answered.get(part, 0.0), request.began_at)
            if part in self._asked:
                self._unreported[gateway].add(part)
        if request.permit:
            self._register.release_permit(request.permit, f'g-{gateway}')

    # -- crashes ---------------------------------------------------------

    def _crash_some(self) -> None:
        self._schedule(self._load.every_s, self._crash_some)
        up = [i for i in self._instances if i.up_at <= self._now]
        count = max(1, round(self._load.share * len(self._instances)))
        for instance in self._random.sample(up, min(count, len(up))):
            self._crash(instance)

    def _crash(self, instance: _Instance) -> None:
        """End an instance and all requests that it has."""
        broken = [*instance.running, *instance.queue]
        withdrawn = [
            request
            for request, at in instance.withdrawn_at.items()
            if at > self._now - _PROBED_S
        ]
        instance.withdrawn_at.clear()
        instance.running.clear()
        instance.queue.clear()
        instance.incarnation += 1
        instance.up_at = self._now + _RESTART_S
        name = f'i-{instance.number}-{instance.incarnation}'
        at = self._now
        by_gateway = collections.defaultdict(list)
        for request in broken + withdrawn:
            by_gateway[request.gateway].append(request)
        for requests in by_gateway.values():
            self._schedule(
                _REPORT_DELAYS_S[self._random.random() < _LATE_SHARE],
                lambda found=requests: self._report(name, at, found),
            )
        for request in broken:
            self._retry(request)

    def _report(
        self, instance: str, at: float, requests: list[_Request]
    ) -> None:
        self._parts.record_crash(
            instance, at, [request.traits for request in requests]
        )
        for request in requests:
            if request.permit:
                self._register.release_permit(
                    request.permit, f'g-{request.gateway}'
                )
            self._register.record_end(request.traits.fingerprint, instance, at)

    def _retry(self, request: _Request) -> None:
        """Try again at the same gateway, then from the caller."""
        if request.attempts < _MAX_ATTEMPTS:
            delay_s = 0.01
            if self._asked.intersection(request.traits.parts):
                delay_s = _DECISION_S
            self._schedule(delay_s, lambda: self._send(request))
        elif not request.retries:
            request.retries = 1
            request.attempts = 0
            request.gateway = self._random.randrange(self._load.gateways)
            self._schedule(_CALLER_RETRY_S, lambda: self._send(request))

    # -- leader and gateways ---------------------------------------------

    def _tick(self) -> None:
        self._schedule(_TICK_S, self._tick)
        for change in self._parts.update(self._now):
            sign = '+' if change.blame else '-'
            self.barred.append((self._now, f'{sign}{change.requests}'))
        asked = {part for _, part in self._parts.candidates}
        suspects = self._register.suspects()
        self._schedule(_TO_GATEWAYS_S, lambda: self._receive(asked, suspects))

    def _receive(
        self,
        asked: set[str],
        suspects: list[suspicion.Suspect],
    ) -> None:
        self._suspects = suspects
        self._withdraw_barred()
        new = asked - self._asked
        self._asked = asked
        for gateway in range(self._load.gateways):
            self._unreported[gateway] |= new
            if new:
                self._send_answers(gateway)

    def _withdraw_barred(self) -> None:
        """Withdraw requests that are barred while instances have them."""
        for instance in self._instances:
            for request in [*instance.running, *instance.queue]:
                if not request.permit and any(
                    suspect.is_withdrawn(self._now)
                    for suspect in self._suspects_of(request)
                ):
                    self._withdraw(instance, request)
            self._start_queued(instance)

    def _withdraw(self, instance: _Instance, request: _Request) -> None:
        if request in instance.running:
            del instance.running[request]
        else:
            instance.queue.remove(request)
        self.withdrawn += not request.is_fatal
        instance.withdrawn_at[request] = self._now
        request.attempts = _MAX_ATTEMPTS  # it is not sent to another instance
        self._retry(request)

    def _report_answers(self, gateway: int) -> None:
        self._schedule(
            _ANSWERS_PERIOD_S, lambda: self._report_answers(gateway)
        )
        self._send_answers(gateway)

    def _send_answers(self, gateway: int) -> None:
        answers = [
            part_suspicion.Answer(
                _SERVICE, part, self._answered[gateway][part]
            )
            for part in sorted(self._unreported[gateway])
            if part in self._answered[gateway]
        ]
        self._unreported[gateway].clear()
        if answers:
            self._schedule(
                _TO_LEADER_S, lambda: self._parts.record_answers(answers)
            )


def _fatal_part(request: _Request) -> str:
    return next(p for p in request.traits.parts if p.startswith('fatal'))
