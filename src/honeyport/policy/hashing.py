"""Rendezvous hashing of keys over candidates.

Every candidate gets a score for the key, and the one with the highest score
is selected (Thaler and Ravishankar, 1998). When a candidate is removed, only
its own keys move; when one is added, it takes an equal share from each of the
others.
"""

import collections.abc
import heapq
import math

import xxhash

# Candidates that are selected before the rest are sorted.
_FIRST_BATCH = 8


def candidate_seed(candidate: str) -> int:
    """Return the hash seed of a candidate, the same in every process."""
    seed = _SEEDS.get(candidate)
    if seed is None:
        seed = xxhash.xxh3_64_intdigest(candidate.encode())
        _SEEDS[candidate] = seed
    return seed


def rank(
    key: str, candidates: collections.abc.Iterable[str], limit: int
) -> list[str]:
    """Return the candidates with the highest scores, in descending order.

    :param limit: the maximum number of candidates
    """
    scored = _score(key, candidates)
    return [candidate for _, candidate in heapq.nlargest(limit, scored)]


def iter_ranked(
    key: str, candidates: collections.abc.Iterable[str]
) -> collections.abc.Iterator[str]:
    """Yield all candidates for a key, by descending score."""
    scored = _score(key, candidates)
    first = heapq.nlargest(_FIRST_BATCH, scored)
    yield from (candidate for _, candidate in first)
    if len(scored) > _FIRST_BATCH:
        rest = heapq.nlargest(len(scored), scored)[_FIRST_BATCH:]
        yield from (candidate for _, candidate in rest)


def is_top_ranked(
    name: str, key: str, candidates: collections.abc.Iterable[str]
) -> bool:
    """Whether a candidate has the highest score for a key."""
    score_of = xxhash.xxh3_64_intdigest
    encoded_key = key.encode()
    own_score = (score_of(encoded_key, candidate_seed(name)), name)
    return not any(
        (score_of(encoded_key, candidate_seed(candidate)), candidate)
        > own_score
        for candidate in candidates
        if candidate != name
    )


def _score(
    key: str, candidates: collections.abc.Iterable[str]
) -> list[tuple[int, str]]:
    """Return each candidate with its score for the key."""
    score_of = xxhash.xxh3_64_intdigest
    encoded_key = key.encode()
    seeds = _SEEDS
    return [
        (
            score_of(
                encoded_key, seeds.get(candidate) or candidate_seed(candidate)
            ),
            candidate,
        )
        for candidate in candidates
    ]


def load_bound(multiple: float, total: int, count: int) -> int:
    """Return the maximum load for each of ``count`` candidates.

    The bound of consistent hashing with bounded loads (Mirrokni, Thorup and
    Zadimoghaddam, 2016): a multiple of the mean load, rounded up, which a
    load may reach. The mean includes the new request.

    :param multiple: of the mean load; above 1
    :param total: requests on all candidates before the new one
    :returns: in requests; 0 if there are no candidates
    """
    return math.ceil(multiple * (total + 1) / count) if count else 0


_SEEDS: dict[str, int] = {}
