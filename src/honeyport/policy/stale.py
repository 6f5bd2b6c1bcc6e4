"""Select an instance by load although the load counts are outdated.

If all gateways sent to the least loaded instance by the same outdated counts,
they would overload it until the next counts arrive. So each gateway estimates
the present load of every instance and selects one at random, with weights
that fill up the least loaded instances.

Source: Dahlin, "Interpreting stale load information" (ICDCS 1999): the older
the counts, the more arrivals they do not show, and these went to the instances
with the lowest load.
"""

import collections.abc
import math
import random

import attrs

# Weight of a new duration in the moving mean.
_NEW_DURATION_WEIGHT = 0.1
# Assumed duration before the first request has ended.
_INITIAL_DURATION_S = 0.1


@attrs.frozen(kw_only=True)
class LoadCounts:
    """The numbers of running requests by instance, known to one gateway.

    :ivar own: returns the requests from this gateway on an instance
    :ivar others: returns the requests from all other gateways, outdated
    :ivar age_s: the age of the other gateways' counts, in seconds
    :ivar mean_duration_s: mean duration of the service's requests, in seconds
    """

    own: collections.abc.Callable[[str], int]
    others: collections.abc.Callable[[str], int]
    age_s: float
    mean_duration_s: float

    def total(self, instance: str) -> int:
        """Return the requests on an instance, without correction for age."""
        return self.own(instance) + self.others(instance)


class DurationMeans:
    """Moving means of the durations of requests, by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, service: str, duration_s: float) -> None:
        """Add the duration of a request that has ended, in seconds."""
        mean = self._means.get(service, duration_s)
        self._means[service] = mean + _NEW_DURATION_WEIGHT * (
            duration_s - mean
        )

    def mean_s(self, service: str) -> float:
        """Return the mean duration of a request, in seconds."""
        return self._means.get(service, _INITIAL_DURATION_S)


def weights(
    instance_ids: collections.abc.Sequence[str], counts: LoadCounts
) -> list[float]:
    """Return the weight of each instance for the next request.

    Assumes that the counted requests have ended at random since, and that as
    many have arrived in their place at the least loaded instances (water
    filling). The weight of an instance is its estimated number of arrivals.

    :param instance_ids: the instances to choose from, not empty
    :returns: weights that are not all 0
    """
    running_share = math.exp(-counts.age_s / max(counts.mean_duration_s, 1e-3))
    loads = [
        counts.own(instance) + counts.others(instance) * running_share
        for instance in instance_ids
    ]
    arrivals = sum(counts.others(instance) for instance in instance_ids) * (
        1 - running_share
    )
    fill_level = _fill_level(sorted(loads), arrivals)
    estimated_arrivals = [max(0.0, fill_level - load) for load in loads]
    if any(estimated_arrivals):
        return estimated_arrivals
    return [float(load == min(loads)) for load in loads]


def choose(
    instance_ids: collections.abc.Sequence[str], counts: LoadCounts
) -> str:
    """Return a random instance, by the weights for the next request.

    :param instance_ids: the instances to choose from, not empty
    """
    return random.choices(instance_ids, weights(instance_ids, counts))[0]


def _fill_level(loads: list[float], arrivals: float) -> float:
    """Return the load up to which arrivals fill the least loaded instances.

    :param loads: of each instance, in ascending order
    :raises ValueError: if there are no instances
    """
    filled = arrivals
    for count, load in enumerate(loads, 1):
        filled += load
        fill_level = filled / count
        if count == len(loads) or fill_level <= loads[count]:
            return fill_level
    raise ValueError('no instances')
