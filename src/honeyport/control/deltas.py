"""Numbered states of a mapping, and the messages that lead to the latest.

The leader tells hundreds of routers the same; most have the state before the
latest one. What changed is found out, and the message about it made, once for
all that have the same state.
"""

import collections
import collections.abc
import typing

import attrs

V = typing.TypeVar('V')
M = typing.TypeVar('M')


@attrs.frozen
class Change(typing.Generic[V]):
    """What leads from one state to another.

    :ivar base: the number of the former; 0 if this is the whole state
    """

    base: int
    put: dict[str, V]
    removed: tuple[str, ...] = ()


class History(typing.Generic[V, M]):
    """The latest states of a mapping.

    :param kept: how many states a change can start from
    :param make: makes the message about a change
    """

    def __init__(
        self, kept: int, make: collections.abc.Callable[[Change[V]], M]
    ) -> None:
        self._most = kept
        self._make = make
        self._number = 0
        self._kept: collections.OrderedDict[int, dict[str, V]] = (
            collections.OrderedDict()
        )
        self._messages: dict[int, M] = {}

    @property
    def number(self) -> int:
        """The number of the latest state; 0 before the first one."""
        return self._number

    @property
    def latest(self) -> dict[str, V]:
        """The latest state; not to be changed."""
        return self._kept.get(self._number, {})

    def has(self, number: int) -> bool:
        """Whether a change can start from a state."""
        return number in self._kept

    def append(self, number: int, found: dict[str, V]) -> None:
        """Take a new state.

        :param number: above those of all states before
        """
        self._number = number
        self._kept[number] = found
        if len(self._kept) > self._most:
            self._kept.popitem(last=False)
        self._messages.clear()

    def clear(self) -> None:
        """Forget all states: no change can start from them any more."""
        self._kept.clear()
        self._messages.clear()

    def message(self, base: int) -> M:
        """Return what leads to the latest state.

        :param base: the number of the state before; the whole state is
            told if it is not known any more
        """
        if base not in self._kept:
            base = 0
        if base not in self._messages:
            self._messages[base] = self._make(self._compare(base))
        return self._messages[base]

    def _compare(self, base: int) -> Change[V]:
        latest = self.latest
        if not base:
            return Change(0, latest)
        before = self._kept[base]
        put = {
            key: value
            for key, value in latest.items()
            if before.get(key) != value
        }
        removed = tuple(key for key in before if key not in latest)
        return Change(base, put, removed)
