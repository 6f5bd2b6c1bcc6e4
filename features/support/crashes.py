"""A discrete-event simulation of requests while instances end.

Gateways report ends to the leader's record and learn the suspects with a
delay. Time is virtual and random numbers are seeded; the decisions come from
:mod:`honeyport.policy.suspicion`.
"""

import collections
import heapq
import itertools
import random

import attrs

from honeyport.policy import suspicion

# From an end to its report, and from a report to all gateways.
_REPORT_DELAY_S = 0.06
_PROPAGATION_S = 0.1
_MEDIAN_DURATION_S = 1.5
_DURATION_SIGMA = 0.6  # of the lognormal distribution
_DEADLY_S = 0.1  # from the start of a deadly request to its instance's end
_RESTART_S = 4.0
_MAX_ATTEMPTS = 2  # by a gateway
_CALLER_RETRIES = 1
_CALLER_RETRY_S = 0.2
_HOT = 'hot'
_HOT_SHARE = 0.28  # share of the frequent request


@attrs.frozen(kw_only=True)
class Load:
    """The requests that arrive and the causes of ends.

    :ivar share: the share of instances that end every ``every_s`` seconds
        without a cause in a request
    :ivar by_domain: whether a whole failure domain ends instead
    :ivar hot: whether one harmless request is frequent
    :ivar deadly: the number of requests that end their instances; each
        arrives every ``deadly_s`` seconds in ``copies`` copies
    :ivar length_s: the simulated time, in seconds
    """

    requests_per_s: float = 50.0
    share: float = 0.0
    every_s: float = 3.0
    by_domain: bool = False
    hot: bool = False
    deadly: int = 0
    deadly_s: float = 1.5
    copies: int = 1
    length_s: float = 45.0


@attrs.define
class _Run:
    """An attempt of a request at an instance.

    :ivar incarnation: of the instance
    :ivar attempts: attempts by this gateway, including this one
    :ivar retries: earlier retries by the caller
    :ivar has_permit: whether the gateway holds a permit for it
    """

    name: str
    gateway: int
    instance: int
    incarnation: int
    attempts: int
    retries: int
    has_permit: bool


class Fleet:
    """A simulation of one load."""

    def __init__(
        self, load: Load, gateways: int, instances: int, seed: int
    ) -> None:
        self._load = load
        self._gateways = gateways
        self._random = random.Random(seed)
        self._register = suspicion.EndRegister({}, 0.0)
        self._suspects: dict[str, suspicion.Suspect] = {}
        self._answered_at: dict[str, float] = {}
        self._up_at = [0.0] * instances
        self._incarnations = [0] * instances
        self._running: list[dict[int, _Run]] = [{} for _ in range(instances)]
        self._counter = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        self._now = 0.0
        self.sent = 0
        self.refused = 0
        self.ends: collections.Counter[str] = collections.Counter()

    def play(self) -> None:
        """Run the simulation to its end."""
        self._schedule(0.0, self._arrive)
        if self._load.share:
            self._schedule(self._load.every_s, self._crash)
        for number in range(self._load.deadly):
            self._schedule(5.0 + number, lambda n=number: self._deadly(n))
        while self._events[0][0] < self._load.length_s:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, delay_s: float, action: object) -> None:
        at = self._now + delay_s
        heapq.heappush(self._events, (at, next(self._counter), action))

    def _arrive(self) -> None:
        interval_s = self._random.expovariate(self._load.requests_per_s)
        self._schedule(interval_s, self._arrive)
        name = f'q-{next(self._counter)}'
        if self._load.hot and self._random.random() < _HOT_SHARE:
            name = _HOT
        self.sent += 1
        self._send(name, 1, 0)

    def _deadly(self, number: int) -> None:
        self._schedule(self._load.deadly_s, lambda: self._deadly(number))
        for _ in range(self._load.copies):
            self._send(f'deadly-{number}', 1, 0)

    def _send(self, name: str, attempts: int, retries: int) -> None:
        """Send a request to a random gateway."""
        gateway = self._random.randrange(self._gateways)
        self._attempt_at(name, gateway, attempts, retries)

    def _attempt_at(
        self, name: str, gateway: int, attempts: int, retries: int
    ) -> None:
        """Run a request at a random instance, if the gateway may send it."""
        usable = [
            candidate
            for candidate, up_at in enumerate(self._up_at)
            if up_at <= self._now
        ]
        if not usable:
            return
        suspect = self._suspects.get(name)
        has_permit = suspect is not None
        if suspect is not None and not self._is_permitted(suspect, gateway):
            self.refused += not name.startswith('deadly')
            return
        instance = self._random.choice(usable)
        run = _Run(
            name,
            gateway,
            instance,
            self._incarnations[instance],
            attempts,
            retries,
            has_permit,
        )
        run_id = next(self._counter)
        self._running[instance][run_id] = run
        if name.startswith('deadly'):
            self._schedule(_DEADLY_S, lambda: self._kill(run))
            return
        duration_s = _MEDIAN_DURATION_S * self._random.lognormvariate(
            0.0, _DURATION_SIGMA
        )
        self._schedule(duration_s, lambda: self._finish(run, run_id))

    def _is_permitted(self, suspect: suspicion.Suspect, gateway: int) -> bool:
        if suspect.is_barred(self._now):
            return False
        return self._register.request_permit(
            suspect.request, f'g-{gateway}', self._now, lambda _: True
        ).granted

    def _finish(self, run: _Run, run_id: int) -> None:
        if self._incarnations[run.instance] != run.incarnation:
            return
        del self._running[run.instance][run_id]
        self._answered_at[run.name] = self._now
        if run.name in self._suspects:
            self._register.clear(run.name)
            self._schedule(_PROPAGATION_S, self._propagate)

    def _kill(self, run: _Run) -> None:
        if self._incarnations[run.instance] == run.incarnation:
            self.ends[run.name] += 1
            self._end(run.instance)

    def _crash(self) -> None:
        self._schedule(self._load.every_s, self._crash)
        count = max(1, round(self._load.share * len(self._up_at)))
        chosen = self._random.sample(range(len(self._up_at)), count)
        if self._load.by_domain:
            first = self._random.randrange(3)
            chosen = list(range(first, len(self._up_at), 3))
        for instance in chosen:
            if self._up_at[instance] <= self._now:
                self._end(instance)

    def _end(self, instance: int) -> None:
        """End an instance and all requests that run there."""
        broken = list(self._running[instance].values())
        self._running[instance] = {}
        self._incarnations[instance] += 1
        self._up_at[instance] = self._now + _RESTART_S
        name = f'i-{instance}-{self._incarnations[instance]}'
        at = self._now
        self._schedule(_REPORT_DELAY_S, lambda: self._report(name, at, broken))
        for run in broken:
            self._retry(run)

    def _retry(self, run: _Run) -> None:
        """Try again at the same gateway, then from the caller."""
        if run.attempts < _MAX_ATTEMPTS:
            self._schedule(
                0.01,
                lambda: self._attempt_at(
                    run.name, run.gateway, run.attempts + 1, run.retries
                ),
            )
        elif run.retries < _CALLER_RETRIES:
            self._schedule(
                _CALLER_RETRY_S,
                lambda: self._send(run.name, 1, run.retries + 1),
            )

    def _report(self, instance: str, at: float, broken: list[_Run]) -> None:
        for run in broken:
            if run.has_permit:
                self._register.release_permit(run.name, f'g-{run.gateway}')
            self._register.record_end(run.name, instance, at)
        self._schedule(_PROPAGATION_S, self._propagate)

    def _propagate(self) -> None:
        """Update the suspects at all gateways."""
        self._suspects = {
            listed.request: listed for listed in self._register.suspects()
        }
        for name, suspect in list(self._suspects.items()):
            if suspicion.is_cleared(
                self._answered_at.get(name), suspect.first_end_at
            ):
                self._register.clear(name)
                del self._suspects[name]
