"""The parts of prompts: which places suit them, and who holds them.

The last part of a prompt is the request's own; the one before it is what
returning requests share, and it decides: rendezvous hashing puts the same
prefix on the same place everywhere. What a gateway has seen itself is kept,
for a bounded number of parts; it is never needed for an answer, only for a
faster one.
"""

import collections
import collections.abc

import attrs

from honeyport.policy import hashing

# Parts that are remembered; some 200 bytes each. Fleets of 20 instances share
# 250 to 1,800 parts.
_MOST_PARTS = 2048
# Instances that are remembered for one part, the latest ones.
_MOST_HOLDERS = 3


@attrs.frozen
class Part:
    """A part of a prompt, as the caller names it."""

    id: str
    tokens: int


Parts = collections.abc.Sequence[Part]


def rank_places(
    parts: Parts, places: collections.abc.Iterable[str]
) -> collections.abc.Iterator[str]:
    """Yield places, the one that suits a prompt best first.

    :param parts: not empty
    """
    deciding = parts[-2] if len(parts) > 1 else parts[-1]
    return hashing.iter_ranked(deciding.id, places)


def shared_parts(parts: Parts) -> Parts:
    """Return the parts that other requests have, too."""
    return parts[:-1]


class Holders:
    """The instances that answered requests with a part, latest first."""

    def __init__(self) -> None:
        self._found: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def add(self, part: str, instance: str) -> None:
        """Note that an instance has read a part."""
        known = self._found.pop(part, ())
        others = tuple(name for name in known if name != instance)
        self._found[part] = (instance, *others)[:_MOST_HOLDERS]
        if len(self._found) > _MOST_PARTS:
            self._found.popitem(last=False)

    def holders_of(self, part: str) -> tuple[str, ...]:
        """Return the instances that hold a part, the latest one first."""
        return self._found.get(part, ())

    def forget_instance(self, instance: str) -> None:
        """Forget what one instance holds: it may have started again."""
        self._forget(lambda name: name == instance)

    def retain(self, present: collections.abc.Container[str]) -> None:
        """Forget the instances that are gone."""
        self._forget(lambda name: name not in present)

    def _forget(self, is_gone: collections.abc.Callable[[str], bool]) -> None:
        for part, known in list(self._found.items()):
            left = tuple(name for name in known if not is_gone(name))
            if left:
                self._found[part] = left
            else:
                del self._found[part]
