"""A model of a fleet whose instances end, with the requests that run there.

Gateways report ends to a record that a leader keeps, and learn late what it
says. All on a virtual clock, from a seed; decisions are the product's own.
"""

import collections
import heapq
import itertools
import random

import attrs

from honeyport.policy import suspicion

# From an end to its report, and from a report to all gateways, in seconds.
_SEEN_S = 0.06
_TOLD_S = 0.1
_STAY_S = 1.5  # median duration of a proper request
_SPREAD = 0.6
_DEADLY_S = 0.1  # from the start of a deadly request to the end of its server
_BACK_S = 4.0
_OFFERS = 2
# What a caller does after a failure.
_RETRIES = 1
_RETRY_S = 0.2
_HOT = 'hot'
_HOT_SHARE = 0.28


@attrs.frozen(kw_only=True)
class Load:
    """What comes, and what ends instances.

    :ivar share: of the instances that end by themselves each ``every_s``
    :ivar deadly: requests that end who runs them; each comes once every
        ``deadly_s`` seconds, in so many ``copies``
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
    """One attempt of a request at one instance."""

    name: str
    gateway: int
    instance: int
    born: int
    offers: int
    retries: int
    permit: bool


class Fleet:
    """One play of a load."""

    def __init__(
        self, load: Load, gateways: int, instances: int, seed: int
    ) -> None:
        self._load = load
        self._gateways = gateways
        self._random = random.Random(seed)
        self._register = suspicion.EndRegister({}, 0.0)
        self._known: dict[str, suspicion.Suspect] = {}
        self._served: dict[str, float] = {}
        self._back = [0.0] * instances
        self._born = [0] * instances
        self._running: list[dict[int, _Run]] = [{} for _ in range(instances)]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        self._now = 0.0
        self.sent = 0
        self.refused = 0
        self.ends: collections.Counter[str] = collections.Counter()

    def play(self) -> None:
        """Play it to its end."""
        self._later(0.0, self._arrive)
        if self._load.share:
            self._later(self._load.every_s, self._crash)
        for number in range(self._load.deadly):
            self._later(5.0 + number, lambda n=number: self._deadly(n))
        while self._events[0][0] < self._load.length_s:
            self._now, _, happen = heapq.heappop(self._events)
            happen()

    def _later(self, after: float, happen: object) -> None:
        at = self._now + after
        heapq.heappush(self._events, (at, next(self._numbers), happen))

    def _arrive(self) -> None:
        gap = self._random.expovariate(self._load.requests_per_s)
        self._later(gap, self._arrive)
        name = f'q-{next(self._numbers)}'
        if self._load.hot and self._random.random() < _HOT_SHARE:
            name = _HOT
        self.sent += 1
        self._attempt(name, 1, 0)

    def _deadly(self, number: int) -> None:
        self._later(self._load.deadly_s, lambda: self._deadly(number))
        for _ in range(self._load.copies):
            self._attempt(f'deadly-{number}', 1, 0)

    def _attempt(self, name: str, offers: int, retries: int) -> None:
        """Send a request from any gateway, if it may be sent."""
        gateway = self._random.randrange(self._gateways)
        self._offer(name, gateway, offers, retries)

    def _offer(
        self, name: str, gateway: int, offers: int, retries: int
    ) -> None:
        usable = [one for one, at in enumerate(self._back) if at <= self._now]
        if not usable:
            return
        known = self._known.get(name)
        permit = known is not None
        if known is not None and not self._is_let_in(known, gateway):
            self.refused += not name.startswith('deadly')
            return
        instance = self._random.choice(usable)
        run = _Run(
            name,
            gateway,
            instance,
            self._born[instance],
            offers,
            retries,
            permit,
        )
        number = next(self._numbers)
        self._running[instance][number] = run
        if name.startswith('deadly'):
            self._later(_DEADLY_S, lambda: self._kill(run))
            return
        stay_s = _STAY_S * self._random.lognormvariate(0.0, _SPREAD)
        self._later(stay_s, lambda: self._finish(run, number))

    def _is_let_in(self, known: suspicion.Suspect, gateway: int) -> bool:
        if known.is_barred(self._now):
            return False
        return self._register.request_permit(
            known.request, f'g-{gateway}', self._now, lambda _: True
        ).granted

    def _finish(self, run: _Run, number: int) -> None:
        if self._born[run.instance] != run.born:
            return
        del self._running[run.instance][number]
        self._served[run.name] = self._now
        if run.name in self._known:
            self._register.clear(run.name)
            self._later(_TOLD_S, self._tell)

    def _kill(self, run: _Run) -> None:
        if self._born[run.instance] == run.born:
            self.ends[run.name] += 1
            self._end(run.instance)

    def _crash(self) -> None:
        self._later(self._load.every_s, self._crash)
        count = max(1, round(self._load.share * len(self._back)))
        chosen = self._random.sample(range(len(self._back)), count)
        if self._load.by_domain:
            first = self._random.randrange(3)
            chosen = list(range(first, len(self._back), 3))
        for instance in chosen:
            if self._back[instance] <= self._now:
                self._end(instance)

    def _end(self, instance: int) -> None:
        """End an instance with all that runs there."""
        under = list(self._running[instance].values())
        self._running[instance] = {}
        self._born[instance] += 1
        self._back[instance] = self._now + _BACK_S
        name = f'i-{instance}-{self._born[instance]}'
        at = self._now
        self._later(_SEEN_S, lambda: self._report(name, at, under))
        for run in under:
            self._go_on(run)

    def _go_on(self, run: _Run) -> None:
        if run.offers < _OFFERS:
            self._later(
                0.01,
                lambda: self._offer(
                    run.name, run.gateway, run.offers + 1, run.retries
                ),
            )
        elif run.retries < _RETRIES:
            self._later(
                _RETRY_S, lambda: self._attempt(run.name, 1, run.retries + 1)
            )

    def _report(self, instance: str, at: float, under: list[_Run]) -> None:
        for run in under:
            if run.permit:
                self._register.release_permit(run.name, f'g-{run.gateway}')
            self._register.record_end(run.name, instance, at)
        self._later(_TOLD_S, self._tell)

    def _tell(self) -> None:
        """Have all gateways know what the leader knows."""
        self._known = {one.request: one for one in self._register.suspects()}
        for name, known in list(self._known.items()):
            if suspicion.is_cleared(
                self._served.get(name), known.first_end_at
            ):
                self._register.clear(name)
                del self._known[name]
