"""Find the prompt parts that crash instances, from what ran there.

Each crash says that one of the requests that ran there may be the cause, and
each complete answer that none of its parts is. Most parts are harmless, and
many of them run beside the cause. So the fewest parts that explain the crashes
are blamed, as in adaptive group testing:

- A part may explain the crashes since its latest complete answer began. A
  request that began before them proves nothing about later ones.
- The part that explains most is blamed first, then the part that explains
  most of the other crashes, and so on.
- A part that most requests have is in each crash, whatever the cause is. So a
  part that was ever answered explains less the more often it is beside a
  request that has it already.
- Other parts that all requests with a blamed part have are blamed with it:
  only all of them together. If requests in other company crash instances,
  fewer of them remain.
- One request that is sent again and again explains crashes by itself, as well
  as a part that only this request has.

Crashes of one moment may have one cause, such as a power failure. They count
once for the decision whether there is enough evidence.
"""

import collections.abc
import math

import attrs

from honeyport.policy import traits

# Moments with crashes from which on a part is blamed.
MIN_MOMENTS = 3
# Moments from which on gateways are asked when they had answers with a part.
_CANDIDATE_MIN_MOMENTS = 2
# Further moments that a part needs which all requests have. Others need fewer,
# by the cube of their frequency.
_FREQUENT_MOMENTS = 6
# A part with a complete answer within this time before the first crash needs
# one moment more, since something must have changed.
_HARMLESS_BEFORE_S = 30.0
# Crashes from which on a part remains blamed, beside those that others
# explain. No request with it is sent any more, so that there are few.
_STILL_BLAMED_MIN_CRASHES = 2
# What a part must explain in addition to displace one that is blamed, or one
# that was not answered before, in crashes.
_BLAMED_LEAD = 1.0
_HARMLESS_LAG = 1.0
# Crashes within this time are of one moment.
_MOMENT_S = 0.1
# Reports of one instance's crash within this time are about the same crash.
# Some gateways learn of it only when the platform's list drops the instance.
_SAME_CRASH_MAX_S = 5.0
# Crashes that are older are not considered.
MAX_AGE_S = 1800.0
# Maximum number of parts in all requests of all crashes. The oldest crashes
# are dropped first.
_MAX_PARTS = 16_384
# Maximum number of parts of one crash; the last requests are left out.
_MAX_PARTS_PER_CRASH = 4096
_MAX_CANDIDATES = 64

# Marks a fingerprint among the ids of parts. No header contains it.
_REQUEST_MARK = '\0'

# A service and the id of a part: models of other services may bear a part.
Key = tuple[str, str]


@attrs.frozen(kw_only=True)
class Blame:
    """Requests that crash instances.

    :ivar part: the part that explains the crashes
    :ivar requests: those that have this part and its company
    :ivar crashes: instance and loop time of each
    :ivar answered_at: loop time at which the latest complete answer to a
        request with the part began; ``None`` if there was none
    """

    part: str
    requests: traits.PartSet
    crashes: tuple[tuple[str, float], ...]
    answered_at: float | None


@attrs.define(eq=False)
class _Crash:
    """The crash of an instance, as all gateways report it.

    :ivar requests: those that ran there and have parts
    :ivar size: number of their parts
    """

    instance: str
    at: float
    requests: set[traits.Traits] = attrs.field(factory=set)
    size: int = 0

    def add(
        self, requests: collections.abc.Iterable[traits.Traits]
    ) -> list[traits.Traits]:
        """Add requests; return those that are new."""
        added = []
        for request in requests:
            if not request.parts or request in self.requests:
                continue
            if self.size + len(request.parts) > _MAX_PARTS_PER_CRASH:
                break
            self.requests.add(request)
            self.size += len(request.parts)
            added.append(request)
        return added


@attrs.define
class _Evidence:
    """The crashes that a part may explain.

    :ivar requests: those with the part, by crash
    :ivar answered_at: loop time at which its latest complete answer began;
        minus infinity if there was none
    """

    answered_at: float
    requests: dict[_Crash, set[traits.Traits]] = attrs.field(factory=dict)

    @property
    def request_count(self) -> int:
        """Number of requests with the part in these crashes."""
        return sum(len(requests) for requests in self.requests.values())

    @property
    def first_at(self) -> float:
        """Loop time of the first crash."""
        return min(crash.at for crash in self.requests)

    @property
    def was_harmless(self) -> bool:
        """Whether the part was answered shortly before the first crash."""
        return self.answered_at > self.first_at - _HARMLESS_BEFORE_S

    @property
    def moments(self) -> int:
        """Number of moments that the crashes are of."""
        count = 0
        latest = -math.inf
        for at in sorted(crash.at for crash in self.requests):
            if at - latest >= _MOMENT_S:
                count += 1
                latest = at
        return count

    @property
    def frequency(self) -> float:
        """The share of requests with the part beside one with it."""
        others = sum(len(crash.requests) - 1 for crash in self.requests)
        beside = self.request_count - len(self.requests)
        return beside / (others + 1)

    @property
    def rank(self) -> tuple[float, int]:
        """How well the part explains the crashes, to sort by."""
        explained = float(len(self.requests))
        if not math.isinf(self.answered_at):
            explained *= 1.0 - self.frequency
        return (
            explained - _HARMLESS_LAG * self.was_harmless,
            -self.request_count,
        )

    def is_sufficient(self) -> bool:
        """Whether the part can be blamed."""
        if len(self.requests) < MIN_MOMENTS:
            return False
        moments = self.moments
        extra = round(_FREQUENT_MOMENTS * self.frequency**3)
        return moments >= MIN_MOMENTS + self.was_harmless + extra

    def contains(self, other: '_Evidence') -> bool:
        """Whether it has all requests of another part's evidence."""
        return all(
            requests <= self.requests.get(crash, frozenset())
            for crash, requests in other.requests.items()
        )

    def without(self, explained: collections.abc.Container[_Crash]) -> None:
        """Remove crashes that another part explains."""
        for crash in [crash for crash in self.requests if crash in explained]:
            del self.requests[crash]


class CrashHistory:
    """The latest crashes, and when their parts were answered."""

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []
        # The requests with each part, by crash.
        self._requests: dict[Key, dict[_Crash, set[traits.Traits]]] = {}
        self._answered_at: dict[Key, float] = {}
        self._size = 0

    def __len__(self) -> int:
        return len(self._crashes)

    @property
    def size(self) -> int:
        """Number of parts in all requests of all crashes."""
        return self._size

    def record_crash(
        self,
        instance: str,
        at: float,
        requests: collections.abc.Iterable[traits.Traits],
    ) -> bool:
        """Record requests that broke when an instance crashed.

        :param at: loop time of the crash
        :returns: whether older crashes were dropped for it
        """
        crash = self._find(instance, at)
        if crash is None:
            crash = _Crash(instance, at)
            self._crashes.append(crash)
        for request in crash.add(requests):
            self._size += len(request.parts)
            for key in _keys(request):
                by_crash = self._requests.setdefault(key, {})
                by_crash.setdefault(crash, set()).add(request)
        return self._evict(at)

    def record_answer(self, service: str, part: str, began_at: float) -> bool:
        """Record a complete answer to a request with a part.

        :param began_at: loop time at which the request was sent
        :returns: whether it may change what is blamed
        """
        key = (service, part)
        # Others are not remembered: gateways are asked if they ever matter.
        if key not in self._requests:
            return False
        if began_at <= self._answered_at.get(key, -math.inf):
            return False
        self._answered_at[key] = began_at
        return True

    def record_request_answer(self, fingerprint: str, at: float) -> None:
        """Record that one request turned out to be harmless.

        :param at: loop time at which that is known
        """
        for service in {service for service, _ in self._requests}:
            self.record_answer(service, _REQUEST_MARK + fingerprint, at)

    def candidates(self) -> list[Key]:
        """Return the parts that may be blamed soon, the likeliest first."""
        collected = {
            key: evidence
            for key, evidence in self._collect().items()
            if evidence.moments >= _CANDIDATE_MIN_MOMENTS
        }
        ranked = sorted(
            (key for key in collected if not _is_request(key)),
            key=lambda key: collected[key].rank,
            reverse=True,
        )
        return ranked[:_MAX_CANDIDATES]

    def blame(
        self, blamed: collections.abc.Container[Key] = frozenset()
    ) -> list[Blame]:
        """Return the fewest sets of parts that explain the crashes.

        :param blamed: parts that are blamed so far
        """
        blames: list[Blame] = []
        remaining = self._collect()
        while True:
            parts_blamed = {blame.part for blame in blames}
            ranks = {
                key: _rank(key, evidence, is_blamed=key in blamed)
                for key, evidence in remaining.items()
                if _is_to_blame(
                    evidence,
                    is_blamed=key in blamed,
                    is_blamed_elsewhere=key[1] in parts_blamed,
                )
            }
            if not ranks:
                return blames
            key = max(ranks, key=lambda key: ranks[key])
            if not _is_request(key):
                blames.append(_to_blame(key, remaining))
            explained = frozenset(remaining[key].requests)
            for (service, _), evidence in remaining.items():
                if service == key[0]:
                    evidence.without(explained)

    def _collect(self) -> dict[Key, _Evidence]:
        """Return what each part may explain."""
        services = {service for service, _ in self._requests}
        # A part of one crash matters only if it is blamed elsewhere.
        min_crashes = 1 if len(services) > 1 else 2
        collected: dict[Key, _Evidence] = {}
        for key, by_crash in self._requests.items():
            if len(by_crash) < min_crashes:
                continue
            answered_at = self._answered_at.get(key, -math.inf)
            requests = {
                crash: found
                for crash, found in by_crash.items()
                if crash.at > answered_at
            }
            if requests:
                collected[key] = _Evidence(answered_at, requests)
        return collected

    def _find(self, instance: str, at: float) -> _Crash | None:
        for crash in reversed(self._crashes):
            if (
                crash.instance == instance
                and abs(crash.at - at) < _SAME_CRASH_MAX_S
            ):
                return crash
        return None

    def _evict(self, now: float) -> bool:
        """Drop crashes that are too old or too many."""
        dropped = []
        size = self._size
        for crash in self._crashes[:-1]:
            if crash.at >= now - MAX_AGE_S and size <= _MAX_PARTS:
                break
            size -= crash.size
            dropped.append(crash)
        if not dropped:
            return False
        del self._crashes[: len(dropped)]
        self._size = size
        for crash in dropped:
            for key in {key for r in crash.requests for key in _keys(r)}:
                by_crash = self._requests[key]
                del by_crash[crash]
                if not by_crash:
                    del self._requests[key]
                    self._answered_at.pop(key, None)
        return True


def _keys(request: traits.Traits) -> set[Key]:
    """Return the keys of a request's parts, and of the request itself."""
    names = (*request.parts, _REQUEST_MARK + request.fingerprint)
    return {(request.service, name) for name in names}


def _is_request(key: Key) -> bool:
    """Whether a key is of a request, and not of a part."""
    return key[1].startswith(_REQUEST_MARK)


def _rank(
    key: Key, evidence: _Evidence, *, is_blamed: bool
) -> tuple[float, int, bool, Key]:
    """Return a sort key: which part, or request, explains more."""
    explained, tie_break = evidence.rank
    return (
        explained + _BLAMED_LEAD * is_blamed,
        tie_break,
        _is_request(key),
        key,
    )


def _is_to_blame(
    evidence: _Evidence, *, is_blamed: bool, is_blamed_elsewhere: bool
) -> bool:
    """Whether the evidence is enough to blame a part.

    :param is_blamed: whether it is blamed so far
    :param is_blamed_elsewhere: whether it is blamed at another service
    """
    if is_blamed:
        return len(evidence.requests) >= _STILL_BLAMED_MIN_CRASHES
    if is_blamed_elsewhere:
        return bool(evidence.requests)
    return evidence.is_sufficient()


def _to_blame(
    key: Key, collected: collections.abc.Mapping[Key, _Evidence]
) -> Blame:
    """Return the blame for a part and its company."""
    service, part = key
    evidence = collected[key]
    requests = set().union(*evidence.requests.values())
    shared = set.intersection(*(set(request.parts) for request in requests))
    company = [
        other
        for other in shared - {part}
        if (service, other) in collected
        and collected[service, other].contains(evidence)
    ]
    return Blame(
        part=part,
        requests=traits.PartSet(
            service=service, parts=tuple(sorted([part, *company]))
        ),
        crashes=tuple(
            (crash.instance, crash.at) for crash in evidence.requests
        ),
        answered_at=(
            None if math.isinf(evidence.answered_at) else evidence.answered_at
        ),
    )
