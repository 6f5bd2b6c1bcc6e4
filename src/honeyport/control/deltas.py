"""Numbered states of a mapping, and delta messages to the latest one.

The leader sends the same data to all routers, and most of them have the state
before the latest one. A delta and its message are built once for all routers
that have the same state.
"""

import collections
import collections.abc
import typing

import attrs

V = typing.TypeVar('V')
M = typing.TypeVar('M')


@attrs.frozen
class Change(typing.Generic[V]):
    """The difference between two states.

    :ivar base: the number of the older one; 0 if this is the whole state
    :ivar put: keys that are new or whose values changed
    :ivar removed: keys of removed entries
    """

    base: int
    put: dict[str, V]
    removed: tuple[str, ...] = ()


class History(typing.Generic[V, M]):
    """The latest states of a mapping.

    :param max_states: the number of states that are kept as the base of a
        change
    :param make_message: returns the message that carries a change
    """

    def __init__(
        self,
        max_states: int,
        make_message: collections.abc.Callable[[Change[V]], M],
    ) -> None:
        self._max_states = max_states
        self._make_message = make_message
        self._number = 0
        self._states: collections.OrderedDict[int, dict[str, V]] = (
            collections.OrderedDict()
        )
        self._messages: dict[int, M] = {}

    @property
    def number(self) -> int:
        """The number of the latest state; 0 before the first one."""
        return self._number

    @property
    def latest(self) -> dict[str, V]:
        """The latest state, read-only."""
        return self._states.get(self._number, {})

    def has(self, number: int) -> bool:
        """Whether a state is kept, so that a change can be based on it."""
        return number in self._states

    def append(self, number: int, state: dict[str, V]) -> None:
        """Add a new state and drop the oldest one if too many are kept.

        :param number: above the numbers of all states before
        """
        self._number = number
        self._states[number] = state
        if len(self._states) > self._max_states:
            self._states.popitem(last=False)
        self._messages.clear()

    def clear(self) -> None:
        """Drop all states, so that the next message has the whole state."""
        self._states.clear()
        self._messages.clear()

    def message(self, base: int) -> M:
        """Return the message that leads to the latest state.

        :param base: the number of the state to start from; if it is no longer
            kept, the message has the whole state
        """
        if base not in self._states:
            base = 0
        if base not in self._messages:
            self._messages[base] = self._make_message(self._compare(base))
        return self._messages[base]

    def _compare(self, base: int) -> Change[V]:
        latest = self.latest
        if not base:
            return Change(0, latest)
        old = self._states[base]
        put = {
            key: value
            for key, value in latest.items()
            if old.get(key) != value
        }
        removed = tuple(key for key in old if key not in latest)
        return Change(base, put, removed)
