"""Select the instance for a request and the source of its cached prefix.

Every gateway decides locally, from its own exact request counts and from the
counts of the other gateways, which are one report period old. Requests with a
prompt prefix rank the places by rendezvous hashing and take the first whose
load is below a bound (consistent hashing with bounded loads; Mirrokni, Thorup
and Zadimoghaddam, 2016), so that a prefix stays where it is cached until that
instance is overloaded. Other requests go to an instance with a low estimated
load (:mod:`honeyport.policy.stale`).
"""

import collections.abc

import attrs

from honeyport.policy import prefixes
from honeyport.policy import stale

# Load bound: this multiple of the mean, plus a number of requests. It is below
# the limit of platforms (2 and 3), since the other gateways' counts are late.
_BOUND_MEAN_MULTIPLE = 1.8
_BOUND_EXTRA_REQUESTS = 1
# How long a leaving instance may be a cache source. Later it may be gone, and
# an instance that copies from it would wait in vain.
_LEAVING_SOURCE_MAX_S = 3.0


@attrs.frozen
class Instance:
    """A running instance of a service.

    :ivar leaving: whether the platform is about to stop it
    :ivar slots: how many requests it runs at the same time
    :ivar place: the hash position that it holds, or ``''``
        (:mod:`honeyport.policy.places`)
    :ivar version: version of its software, which never changes
    """

    id: str
    service: str
    address: str
    domain: str
    leaving: bool
    slots: int
    place: str
    version: str = ''


@attrs.frozen
class Choice:
    """The selected instance and the reason for its selection.

    :ivar rank: its position in the hash ranking of the prompt, or -1 if
        it was selected by load alone
    :ivar load: the requests that run there, through any gateway
    :ivar bound: the load that it had to be below; 0 if there was no bound
    :ivar usable: the number of instances to choose from
    :ivar source: the cache source, which likely caches more of the prompt's
        prefix
    :ivar uncached: tokens of the prompt that the instance is not known to
        cache
    """

    instance: Instance
    rank: int
    load: int
    bound: float
    usable: int
    source: Instance | None = None
    uncached: int = 0


Instances = collections.abc.Collection[Instance]


@attrs.frozen
class Candidates:
    """The instances of a service, grouped by preference.

    :ivar preferred: those to choose from, not empty
    :ivar reserve: those that are used only if all preferred ones are at the
        bound
    :ivar peers: all instances whose load counts into the mean, including
        those that must not get this request
    """

    preferred: Instances
    reserve: Instances
    peers: Instances


def choose_by_prefix(
    parts: prefixes.Parts,
    candidates: Candidates,
    counts: stale.LoadCounts,
    domain: str,
) -> Choice:
    """Return the best-ranked instance for a prompt that is below the bound.

    The bound is a multiple of the mean load, not rounded, plus a fixed number
    of requests. The mean includes the new request; the load that is compared
    does not. If no instance is below it, the load alone decides.

    :param parts: the parts of the prompt, not empty
    :param domain: the failure domain of this gateway
    """
    total = sum(counts.total(instance.id) for instance in candidates.peers)
    bound = (
        _BOUND_MEAN_MULTIPLE * (total + 1) / len(candidates.peers)
        + _BOUND_EXTRA_REQUESTS
    )
    for instances in (candidates.preferred, candidates.reserve):
        choice = _first_below_bound(parts, instances, counts, bound)
        if choice is not None:
            return choice
    return choose_by_load(candidates.preferred, counts, domain)


def _first_below_bound(
    parts: prefixes.Parts,
    instances: Instances,
    counts: stale.LoadCounts,
    bound: float,
) -> Choice | None:
    """Return the best-ranked instance with a load below the bound, if any."""
    by_place = {
        candidate.place: candidate
        for candidate in instances
        if candidate.place
    }
    for rank, place in enumerate(prefixes.rank_places(parts, by_place)):
        instance = by_place[place]
        load = counts.total(instance.id)
        if load < bound:
            return Choice(instance, rank, load, bound, len(instances))
    return None


def choose_by_load(
    instances: Instances, counts: stale.LoadCounts, domain: str
) -> Choice:
    """Return an instance with the lowest estimated load.

    If all instances are idle, prefers those of the gateway's own domain.

    :param instances: the instances to choose from, not empty
    :param domain: the failure domain of this gateway
    """
    by_id = {instance.id: instance for instance in instances}
    ids = list(by_id)
    if not any(map(counts.total, ids)):
        local_ids = [
            instance.id for instance in instances if instance.domain == domain
        ]
        ids = local_ids or ids
    chosen_id = stale.choose(ids, counts)
    load = counts.total(chosen_id)
    return Choice(by_id[chosen_id], -1, load, 0.0, len(instances))


def is_available_source(leaving_s: float, *, is_healthy: bool) -> bool:
    """Whether an instance may be a cache source for others.

    :param leaving_s: seconds since it became known that it leaves; 0 if it
        does not leave
    :param is_healthy: whether it has not failed since its last answer
    """
    return is_healthy and leaving_s < _LEAVING_SOURCE_MAX_S


def find_cache_source(
    parts: prefixes.Parts,
    chosen: Instance,
    available_sources: Instances,
    holders: prefixes.Holders,
) -> Instance | None:
    """Return the instance to copy the prefix from, or ``None``.

    Returns an instance that is known to hold the longest shared part, else
    the next-ranked one: it was ranked first if places moved recently.

    :param available_sources: instances that may be copied from, without the
        chosen one
    """
    shared = prefixes.shared_parts(parts)
    if not shared or chosen.id in holders.holders_of(shared[-1].id):
        return None
    by_id = {instance.id: instance for instance in available_sources}
    for holder_id in holders.holders_of(shared[-1].id):
        if holder_id in by_id:
            return by_id[holder_id]
    return _best_ranked(parts, available_sources)


def _best_ranked(
    parts: prefixes.Parts, instances: Instances
) -> Instance | None:
    """Return the best-ranked instance for a prompt.

    A leaving instance is preferred to the new holder of its place.
    """
    by_place: dict[str, Instance] = {}
    for instance in instances:
        if instance.place and (
            instance.leaving or instance.place not in by_place
        ):
            by_place[instance.place] = instance
    best_place = next(prefixes.rank_places(parts, by_place), None)
    return by_place[best_place] if best_place is not None else None
