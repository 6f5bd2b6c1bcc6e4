"""Which instances hold the shared parts of prompts.

What a gateway has seen itself is kept here, for a bounded number of parts;
it is never needed for an answer, only for a faster one.
"""

import collections
import collections.abc

# Parts that are remembered; some 200 bytes each. The platforms seen share
# 250 to 1,800 parts.
_MOST_PARTS = 2048
# Instances that are remembered for one part, the latest ones.
_MOST_HOLDERS = 3


class Holders:
    """The instances that answered requests with a part, latest first."""

    def __init__(self) -> None:
        self._found: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def note(self, part: str, instance: str) -> None:
        """Note that an instance has read a part."""
        known = self._found.pop(part, ())
        others = tuple(name for name in known if name != instance)
        self._found[part] = (instance, *others)[:_MOST_HOLDERS]
        if len(self._found) > _MOST_PARTS:
            self._found.popitem(last=False)

    def of(self, part: str) -> tuple[str, ...]:
        """Return the instances that hold a part, the latest one first."""
        return self._found.get(part, ())

    def forget_others(self, present: collections.abc.Container[str]) -> None:
        """Forget the instances that are gone."""
        for part, known in list(self._found.items()):
            left = tuple(name for name in known if name in present)
            if left:
                self._found[part] = left
            else:
                del self._found[part]
