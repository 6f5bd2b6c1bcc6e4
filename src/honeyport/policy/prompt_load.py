"""Keep long prompts away from the instances that run short streams.

Instances read prompts in chunks between the tokens of the streams that they
run. A long prompt, read on a machine that is slow for a moment, pauses all of
these streams for longer than their callers accept. Machines are slow for
shorter than it takes a gateway to learn it, and an instance has read a prompt
before others hear of it. So the choice does not follow the present state:
prompts are divided by length, and each group has its own places (size interval
task assignment; Harchol-Balter, Crovella and Murta, 1999). The places of long
prompts run fewer streams, so that reading delays fewer, and those of short
prompts are seldom delayed. A prefix keeps its place, and gateways need not
agree on anything that changes quickly.
"""

import collections.abc
import math

from honeyport.policy import hashing
from honeyport.policy import prefixes

# A prompt is long if reading it may take as long as the shortest accepted
# pause. Tokens that an instance reads in a millisecond while its machine is
# slow; a lower number only moves the boundary between the groups.
_SLOW_READ_TOKENS_PER_MS = 30.0
# Load on the places of short prompts, as a multiple of the mean. The bound on
# loads (honeyport.policy.placement) leaves room for the spread among them.
_MAX_SHORT_LOAD = 1.25
# The places of short prompts are not filled beyond this share of their slots.
_MAX_SLOTS_SHARE = 0.8
# Places of long prompts, as a multiple of their share of the load.
_MAX_LONG_ROOM = 3.0
# Time constant of the share. It spans the waves of callers' load: a place that
# changes its group reads the prefixes that are sent to it anew.
_SHARE_TIME_CONSTANT_S = 10.0
_RANKING_KEY = 'long prompts'


def is_long(parts: prefixes.Parts, gap_s: float) -> bool:
    """Whether reading a prompt may pause streams for too long.

    Only the parts that prompts share count, so that a prefix is always in the
    same group.

    :param parts: the parts of the prompt, not empty
    :param gap_s: the shortest accepted pause of the service's streams, in
        seconds
    """
    counted = prefixes.shared_parts(parts) or parts
    tokens = sum(part.tokens for part in counted)
    return tokens >= gap_s * 1000 * _SLOW_READ_TOKENS_PER_MS


class LoadShares:
    """Moving means of the load of one service's long prompts and of all."""

    def __init__(self) -> None:
        self._long = 0.0
        self._total = 0.0
        self._weight = 0.0
        self._at = float('-inf')

    @property
    def long_share(self) -> float:
        """Share of the requests in flight that have long prompts."""
        return self._long / self._total if self._total else 0.0

    @property
    def total(self) -> float:
        """Mean number of requests in flight."""
        return self._total / self._weight if self._weight else 0.0

    def add(self, running_long: int, running: int, now: float) -> None:
        """Add the numbers of requests in flight through all gateways.

        :param running_long: those with long prompts
        :param running: all; if it is lower, the counts are of different ages
        :param now: as loop time, in seconds
        """
        elapsed_s = now - self._at
        if elapsed_s <= 0:
            return
        kept = math.exp(-elapsed_s / _SHARE_TIME_CONSTANT_S)
        new = 1 - kept
        self._at = now
        self._long = self._long * kept + min(running_long, running) * new
        self._total = self._total * kept + running * new
        self._weight = self._weight * kept + new


def rank_places(places: collections.abc.Collection[str]) -> list[str]:
    """Return the places in the order in which they get long prompts."""
    return hashing.rank(_RANKING_KEY, places, len(places))


def count_long_places(count: int, shares: LoadShares, slots: int) -> int:
    """Return how many places long prompts have for themselves.

    :param count: number of places of the service
    :param shares: the load of the service
    :param slots: slots of all instances of the service; 0 if unknown
    :returns: 0 if all places serve all prompts
    """
    long_share = shares.long_share
    short_load = _MAX_SHORT_LOAD
    if slots and shares.total:
        mean_use = shares.total / slots
        short_load = min(short_load, _MAX_SLOTS_SHARE / mean_use)
    fraction = min(
        1 - (1 - long_share) / max(1.0, short_load),
        _MAX_LONG_ROOM * long_share,
    )
    number = round(fraction * count)
    return number if number < count else 0
