"""Whom a router asks where control is, and in which order.

The load this answers: the settings of all instances name others at once,
which have no control replica, and then whole groups of processes lose their
streams. What a router learnt while it had one is the better address book, and
whoever else has a stream knows where it leads.
"""

import collections.abc

# Addresses that others named and no leader confirmed; three replicas are
# usual and six the most, so this holds two groups one after the other.
_MOST_HEARD = 12


class Contacts:
    """The addresses that may lead to control.

    :param named: those of the settings: control replicas, or any instances
    :param own: the control replica in the same process, or ``''``
    """

    def __init__(
        self, named: collections.abc.Iterable[str], own: str = ''
    ) -> None:
        self._named = tuple(named)
        self._own = (own,) if own else ()
        self._replicas: tuple[str, ...] = ()
        self._heard: tuple[str, ...] = ()
        self._leader = ''
        self._turn = 0

    @property
    def replicas(self) -> tuple[str, ...]:
        """The control replicas, as far as they are known."""
        return _distinct(self._own, self._replicas, self._heard)

    @property
    def has_leader_hint(self) -> bool:
        """Whether somebody has just named the leader."""
        return bool(self._leader)

    def set_configured(self, named: collections.abc.Iterable[str]) -> None:
        """Take the addresses of new settings.

        What was learnt stays: settings may name instances that know less.
        """
        self._named = tuple(named)

    def set_replicas(self, replicas: collections.abc.Iterable[str]) -> None:
        """Take the members of the control group from their leader."""
        self._replicas = tuple(replicas)
        self._heard = ()
        self._turn = 0

    def add_hint(
        self, leader: str, replicas: collections.abc.Iterable[str]
    ) -> None:
        """Take what another instance says; it may be out of date.

        :param leader: whom to ask next, or ``''``
        """
        self._leader = leader or self._leader
        found = _distinct(replicas, self._heard)
        self._heard = found[:_MOST_HEARD]

    def next_address(self) -> str:
        """Return whom to ask now: the leader, if one was just named.

        Otherwise replicas come first in each round, and all others follow,
        so that neither old settings nor old members end the search.
        """
        leader, self._leader = self._leader, ''
        if leader:
            return leader
        known = _distinct(self.replicas, self._named)
        address = known[self._turn % len(known)]
        self._turn += 1
        return address


def _distinct(
    *groups: collections.abc.Iterable[str],
) -> tuple[str, ...]:
    return tuple(dict.fromkeys(one for group in groups for one in group))
