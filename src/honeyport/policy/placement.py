"""Which instance of a service takes a request, and where from it may copy.

Every gateway decides alone, from its own exact counts and the others'
counts, which are a report's period late. Requests that share a prompt prefix
rank the places by rendezvous hashing and take the first one whose load is
under a bound (consistent hashing with bounded loads; Mirrokni, Thorup and
Zadimoghaddam, 2016), so a prefix stays where it is cached until its instance
is over the bound. All others take an instance that likely runs little
(:mod:`honeyport.policy.stale`).

The load this answers: few prefixes get much of the traffic, and prompts are
long. Reading 10,500 tokens takes 94 ms and holds up all that runs beside it.
"""

import collections.abc

import attrs

from honeyport.policy import prefixes
from honeyport.policy import stale

# The most load of an instance as a multiple of the mean, and what is
# allowed on top while the mean is small. Under the limit that platforms
# set (2 times the mean, and 3), since the others' counts are late.
_BOUND = 1.8
_BOUND_EXTRA = 1
# How long an instance that leaves is copied from, in seconds since we heard
# of it. It serves for so long and then ends what it runs, before it is off the
# list; an instance that copies from one that is gone waits for it in vain.
_COPIED_WHILE_LEAVING_S = 3.0


@attrs.frozen
class Instance:
    """One running instance of a service."""

    id: str
    service: str
    address: str
    domain: str
    leaving: bool
    slots: int
    place: str


@attrs.frozen
class Choice:
    """An instance, and what decided for it.

    :ivar rank: its position among those that suit the prompt, or -1 if
        only its load decided
    :ivar load: what ran there, through any gateway
    :ivar bound: the load it had to be under; 0 if none
    :ivar usable: how many instances there were to choose from
    :ivar source: an instance that likely holds more of the prompt's prefix
    """

    instance: Instance
    rank: int
    load: int
    bound: float
    usable: int
    source: Instance | None = None


Instances = collections.abc.Collection[Instance]


@attrs.frozen
class Candidates:
    """The instances of a service, by what they may get now.

    :ivar first: those to choose from, not empty
    :ivar reserve: those that are spared while one of the first has room
    :ivar peers: all of them, whose mean load counts: some may get nothing
        now, since they are cold or evacuated, or failed the request
    """

    preferred: Instances
    reserve: Instances
    peers: Instances


def choose_by_prefix(
    parts: prefixes.Parts,
    among: Candidates,
    counts: stale.LoadCounts,
    domain: str,
) -> Choice:
    """Return the first instance for a prompt that is under the bound.

    :param parts: the parts of the prompt, not empty
    :param domain: our failure domain
    """
    total = sum(counts.total(instance.id) for instance in among.peers)
    bound = _BOUND * (total + 1) / len(among.peers) + _BOUND_EXTRA
    for found in (among.preferred, among.reserve):
        choice = _under_bound(parts, found, counts, bound)
        if choice is not None:
            return choice
    return choose_by_load(among.preferred, counts, domain)


def _under_bound(
    parts: prefixes.Parts,
    found: Instances,
    counts: stale.LoadCounts,
    bound: float,
) -> Choice | None:
    """Return the first one that runs less than a bound, if any does."""
    by_place = {one.place: one for one in found if one.place}
    for rank, place in enumerate(prefixes.rank_places(parts, by_place)):
        instance = by_place[place]
        running = counts.total(instance.id)
        if running < bound:
            return Choice(instance, rank, running, bound, len(found))
    return None


def choose_by_load(
    found: Instances, counts: stale.LoadCounts, domain: str
) -> Choice:
    """Return an instance that likely runs least.

    While nothing is known to run anywhere, one of our domain if there is one.

    :param found: the instances to choose from, not empty
    :param domain: our failure domain
    """
    by_id = {one.id: one for one in found}
    names = list(by_id)
    if not any(map(counts.total, names)):
        near = [one.id for one in found if one.domain == domain]
        names = near or names
    chosen = stale.choose(names, counts)
    running = counts.total(chosen)
    return Choice(by_id[chosen], -1, running, 0.0, len(found))


def can_be_copied_from(leaving_s: float, *, is_healthy: bool) -> bool:
    """Whether an instance can be named as one to copy from.

    :param leaving_s: for how long we have known that it leaves; 0 if it does
        not
    :param is_sound: whether it has not failed since it last answered
    """
    return is_healthy and leaving_s < _COPIED_WHILE_LEAVING_S


def find_cache_source(
    parts: prefixes.Parts,
    chosen: Instance,
    others: Instances,
    holders: prefixes.Holders,
) -> Instance | None:
    """Return where the chosen instance may copy the prefix from.

    Copying takes a fifth of the time of reading. The longest shared part
    decides: an instance that was seen to hold it, else the next best one
    for the prompt. That was the first choice if places moved lately, and
    likely holds the leading parts in any case.

    :param others: instances that may be copied, the chosen one left out
    """
    shared = prefixes.shared_parts(parts)
    if not shared or chosen.id in holders.holders_of(shared[-1].id):
        return None
    by_id = {one.id: one for one in others}
    for name in holders.holders_of(shared[-1].id):
        if name in by_id:
            return by_id[name]
    return _next_best(parts, others)


def _next_best(parts: prefixes.Parts, others: Instances) -> Instance | None:
    """Return the first choice for a prompt among other instances.

    An instance that leaves goes before the one that took its place.
    """
    by_place: dict[str, Instance] = {}
    for one in others:
        if one.place and (one.leaving or one.place not in by_place):
            by_place[one.place] = one
    best = next(prefixes.rank_places(parts, by_place), None)
    return by_place[best] if best is not None else None
