"""Which instance likely runs least, when what others run there is known late.

The load this answers: hundreds of gateways get the counts of all others a
quarter of a second late, and requests that last a tenth of one. Whoever takes
the least loaded instance by such counts takes the same one as all others until
the next counts come: of 100 requests a second to five instances with room for
six each, 19 in 100 were turned away with 50 gateways or more, 13 with 10 and
2 with 3 (replay, ``features/policy/stale.feature``); spread by what is likely
there by now, 1.5, 1 and 0.2.

The idea is from Dahlin, "Interpreting stale load information" (ICDCS 1999):
the older the counts, the more arrivals they do not show; these went where
least ran, and so each request goes to one of those instances by lot.
"""

import collections.abc
import math
import random

import attrs

# How much an observation counts against those before it: ten or so decide.
_WEIGHT = 0.1
# Before the first request has ended, in seconds: a short one, so that counts
# from elsewhere are not believed for long.
_FIRST_STAY_S = 0.1


@attrs.frozen(kw_only=True)
class LoadCounts:
    """What a gateway knows of the requests on instances.

    :ivar own: returns what runs on one through this gateway
    :ivar others: returns what ran there through all others
    :ivar age_s: how long ago that was, in seconds
    :ivar stay_s: how long a request of this service runs, in seconds
    """

    own: collections.abc.Callable[[str], int]
    others: collections.abc.Callable[[str], int]
    age_s: float
    mean_duration_s: float

    def total(self, name: str) -> int:
        """Return what runs on an instance, the others' as it was known."""
        return self.own(name) + self.others(name)


class DurationMeans:
    """How long requests run, by service: a moving mean."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, service: str, stay_s: float) -> None:
        """Take how long a request ran that has ended."""
        mean = self._means.get(service, stay_s)
        self._means[service] = mean + _WEIGHT * (stay_s - mean)

    def mean_s(self, service: str) -> float:
        """Return how long a request is expected to run, in seconds."""
        return self._means.get(service, _FIRST_STAY_S)


def weights(
    names: collections.abc.Sequence[str], counts: LoadCounts
) -> list[float]:
    """Return with which weight each instance takes the next request.

    What ran there is taken to have ended at random meanwhile, and as many
    requests to have come in its place: they fill up the instances that ran
    least, like water. An instance that is filled up gets the rest.

    :param names: not empty
    :returns: weights that are not all 0
    """
    left = math.exp(-counts.age_s / max(counts.mean_duration_s, 1e-3))
    stay = [counts.own(name) + counts.others(name) * left for name in names]
    came = sum(counts.others(name) for name in names) * (1 - left)
    level = _level(sorted(stay), came)
    weights = [max(0.0, level - one) for one in stay]
    if any(weights):
        return weights
    return [float(one == min(stay)) for one in stay]


def choose(names: collections.abc.Sequence[str], counts: LoadCounts) -> str:
    """Return the instance for the next request.

    :param names: the instances to choose from, not empty
    """
    return random.choices(names, weights(names, counts))[0]


def _level(stay: list[float], came: float) -> float:
    """Return up to where arrivals fill what runs on instances.

    :param stay: what runs on each, in ascending order
    """
    filled = came
    for count, one in enumerate(stay, 1):
        filled += one
        level = filled / count
        if count == len(stay) or level <= stay[count]:
            return level
    raise ValueError('no instances')
