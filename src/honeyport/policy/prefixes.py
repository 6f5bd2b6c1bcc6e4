"""Prompt prefixes: their hash ranking of places and their known holders.

The last part of a prompt is specific to the request; the part before it is
the longest one that requests share. Its rendezvous hash ranks the places, so
that all gateways send the same prefix to the same place. In addition, each
gateway remembers which instances recently read a part.
"""

import collections
import collections.abc

import attrs

from honeyport.policy import hashing

# Each takes about 200 bytes; 20 instances share up to 1,800 parts.
_MAX_PARTS = 2048
_MAX_HOLDERS_PER_PART = 3


@attrs.frozen
class Part:
    """A part of a prompt.

    :ivar id: identifies its text, chosen by the caller
    :ivar tokens: its length; 0 if unknown
    """

    id: str
    tokens: int


Parts = collections.abc.Sequence[Part]


def rank_places(
    parts: Parts, places: collections.abc.Iterable[str]
) -> collections.abc.Iterator[str]:
    """Yield places by descending hash score for a prompt.

    :param parts: not empty
    """
    key_part = parts[-2] if len(parts) > 1 else parts[-1]
    return hashing.iter_ranked(key_part.id, places)


def shared_parts(parts: Parts) -> Parts:
    """Return the parts that other requests may have in common."""
    return parts[:-1]


class Holders:
    """The instances that recently answered requests with a part.

    Keeps a bounded number of parts and of instances for each.
    """

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def add(self, part: str, instance: str) -> None:
        """Record that an instance has read a part."""
        holders = self._holders.pop(part, ())
        earlier_holders = tuple(
            holder for holder in holders if holder != instance
        )
        self._holders[part] = (instance, *earlier_holders)[
            :_MAX_HOLDERS_PER_PART
        ]
        if len(self._holders) > _MAX_PARTS:
            self._holders.popitem(last=False)

    def holders_of(self, part: str) -> tuple[str, ...]:
        """Return the instances that read a part, the latest one first."""
        return self._holders.get(part, ())

    def forget_instance(self, instance: str) -> None:
        """Drop an instance, whose cache may be lost after a restart."""
        self._drop(lambda holder: holder == instance)

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the instances that are not listed."""
        self._drop(lambda holder: holder not in listed_ids)

    def _drop(self, is_dropped: collections.abc.Callable[[str], bool]) -> None:
        for part, holders in list(self._holders.items()):
            kept = tuple(
                holder for holder in holders if not is_dropped(holder)
            )
            if kept:
                self._holders[part] = kept
            else:
                del self._holders[part]


def uncached_tokens(parts: Parts, instance: str, holders: Holders) -> int:
    """Return the tokens of a prompt that an instance may have to read.

    A part is cached only if all parts before it are.
    """
    cached = 0
    for part in shared_parts(parts):
        if instance not in holders.holders_of(part.id):
            break
        cached += part.tokens
    return sum(part.tokens for part in parts) - cached
