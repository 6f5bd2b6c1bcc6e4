"""Which instances all gateways leave alone, by what some could not reach.

The load this answers: a failure domain of hundreds of instances goes dark. A
gateway that finds out by itself pays a connect timeout (0.3 s) for each of
them, and sends a few requests a second: before 1,000 dark instances a third of
all requests are late for as long as the domain is away.

An instance that asks one gateway for rest turns the others away as well, each
of which would pay with a repeat of its allowance; so all leave it alone while
gateways tell that it rests.

A gateway may be the one that is cut off, or be told of a rest by mistake. So
an instance is left alone by all only if gateways of two failure domains say
so, or of all that have any. And where all gateways of a domain fell silent as
well, two of its instances stand for all; some more where a new leader has
never heard any.

While all leave an instance alone that is out of reach, nobody finds out that
it is back; so it is tried again after a pause that doubles.
"""

import collections
import collections.abc

import attrs

# Failure domains whose gateways have to agree.
_AGREEING = 2
# How long an instance is left alone at first and at the most, in seconds. The
# first is longer than gateways tell of one failure (1.5 s), so that it is held
# again for new ones only; the most is what an instance waits at worst for its
# first request.
_FIRST_HOLD_S = 2.0
_LONGEST_HOLD_S = 8.0
# So long after it was let go an instance that is out of reach again counts as
# one that has been so all along, in seconds.
_AGAIN_S = 5.0
# Instances of a silent domain that have to be out of reach: two crashes beside
# a kill of all its gateways are less likely than its loss.
_SAMPLE = 2
# The same of a domain of which no gateway was ever heard, and the least share
# of all its instances: it may have none.
_SAMPLE_UNHEARD = 5
_SHARE_UNHEARD = 0.03

Names = collections.abc.Set[str]


@attrs.frozen
class GatewayReport:
    """What one gateway says.

    :ivar domain: its failure domain
    :ivar down: the instances that it could not connect to lately
    :ivar resting: the instances that asked it for rest which is not over
    """

    domain: str
    down: Names
    resting: Names = frozenset()


@attrs.define
class _Hold:
    until: float
    length_s: float


class _Holds:
    """Names that are held for a while, and longer each time."""

    def __init__(self) -> None:
        self._holds: dict[str, _Hold] = {}

    def held(self, now: float) -> set[str]:
        """Return the names that are held now."""
        over = [
            name
            for name, hold in self._holds.items()
            if hold.until < now - _AGAIN_S
        ]
        for name in over:
            del self._holds[name]
        return {name for name, hold in self._holds.items() if hold.until > now}

    def hold(self, name: str, now: float) -> None:
        """Hold a name, unless it is held already."""
        hold = self._holds.get(name)
        if hold is None:
            length_s = _FIRST_HOLD_S
        elif hold.until > now:
            return
        else:
            length_s = min(2 * hold.length_s, _LONGEST_HOLD_S)
        self._holds[name] = _Hold(now + length_s, length_s)


class Exclusions:
    """The instances that all gateways leave alone for a while."""

    def __init__(self) -> None:
        self._instances = _Holds()
        self._domains = _Holds()

    def update(
        self,
        words: collections.abc.Iterable[GatewayReport],
        domains: collections.abc.Mapping[str, str],
        silent: Names,
        now: float,
    ) -> frozenset[str]:
        """Return the instances that all gateways leave alone now.

        :param words: of all gateways that are heard
        :param domains: the failure domain of each instance
        :param silent: the failure domains that had gateways, and now have
            none that is heard
        """
        words = list(words)
        heard = {word.domain for word in words}
        for instance in _agreed(words, lambda word: word.down):
            self._instances.hold(instance, now)
        held = self._instances.held(now)
        resting = _agreed(words, lambda word: word.resting)
        for domain in _lost(held, domains, silent, heard):
            self._domains.hold(domain, now)
        lost = self._domains.held(now) - heard
        if not lost:
            return frozenset(held | resting)
        dark = {name for name, domain in domains.items() if domain in lost}
        return frozenset(held | resting | dark)


def _agreed(
    words: collections.abc.Iterable[GatewayReport],
    named: collections.abc.Callable[[GatewayReport], Names],
) -> set[str]:
    """Return what gateways of enough failure domains name.

    :param named: what one of them names
    """
    heard = set()
    by_instance: dict[str, set[str]] = {}
    for word in words:
        heard.add(word.domain)
        for instance in named(word):
            by_instance.setdefault(instance, set()).add(word.domain)
    needed = min(_AGREEING, len(heard))
    return {
        instance
        for instance, agreeing in by_instance.items()
        if len(agreeing) >= needed
    }


def _lost(
    held: set[str],
    domains: collections.abc.Mapping[str, str],
    silent: Names,
    heard: Names,
) -> set[str]:
    """Return the failure domains that are lost as a whole."""
    counts = collections.Counter(domains[one] for one in held & domains.keys())
    if not counts.keys() - heard:
        return set()
    sizes = collections.Counter(domains.values())
    return {
        domain
        for domain, count in counts.items()
        if domain not in heard
        and count >= _needed(sizes[domain], is_unheard=domain not in silent)
    }


def _needed(size: int, *, is_unheard: bool) -> float:
    """Return how many instances of a domain stand for all of them."""
    if not is_unheard:
        return _SAMPLE
    return max(_SAMPLE_UNHEARD, _SHARE_UNHEARD * size)
