"""Which engine a chat belongs to, and who stewards an engine.

Rendezvous hashing (Thaler and Ravishankar, 1998): every candidate gets a
score for the key, the highest one wins. When a candidate goes, only its
own keys move; when one comes, it takes an equal part from each.
"""

import collections.abc
import heapq
import math

import xxhash


def seed_of(candidate: str) -> int:
    """Return the hash seed of a candidate; the same everywhere."""
    found = _SEEDS.get(candidate)
    if found is None:
        found = xxhash.xxh3_64_intdigest(candidate.encode())
        _SEEDS[candidate] = found
    return found


def rank(
    key: str, candidates: collections.abc.Iterable[str], most: int
) -> list[str]:
    """Return the best candidates for a key, the best one first."""
    hashed = xxhash.xxh3_64_intdigest
    encoded = key.encode()
    seeds = _SEEDS
    scored = [
        (hashed(encoded, seeds.get(name) or seed_of(name)), name)
        for name in candidates
    ]
    return [name for _, name in heapq.nlargest(most, scored)]


def wins(
    name: str, key: str, candidates: collections.abc.Iterable[str]
) -> bool:
    """Whether a candidate is the best one for a key.

    Most candidates lose against one of the first few, so this is much
    cheaper than ranking all.
    """
    hashed = xxhash.xxh3_64_intdigest
    encoded = key.encode()
    mine = (hashed(encoded, seed_of(name)), name)
    return not any(
        (hashed(encoded, seed_of(other)), other) > mine
        for other in candidates
        if other != name
    )


def bound(multiple: float, total: int, count: int) -> int:
    """Return the most load that one of ``count`` engines may carry.

    Consistent hashing with bounded loads (Mirrokni, Thorup and
    Zadimoghaddam, 2016): the new request counts into the mean.

    :param multiple: of the mean load; above 1
    :param total: requests on all engines before this one
    """
    return math.ceil(multiple * (total + 1) / count) if count else 0


_SEEDS: dict[str, int] = {}
