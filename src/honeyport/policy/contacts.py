"""Order the addresses at which a router looks for the control leader.

Control replicas that a leader confirmed are tried first, then addresses that
other instances named, then those in the settings, which may be outdated.
"""

import collections.abc

# Maximum number of addresses that no leader confirmed: two groups of six, the
# largest that is usual, one after the other.
_MAX_HINTS = 12


class Contacts:
    """The addresses to ask for the control leader.

    :param configured: the addresses in the settings, of control replicas or
        other instances
    :param local_replica: the control replica in the same process, or ``''``
    """

    def __init__(
        self,
        configured: collections.abc.Iterable[str],
        local_replica: str = '',
    ) -> None:
        self._configured = tuple(configured)
        self._local_replica = (local_replica,) if local_replica else ()
        self._replicas: tuple[str, ...] = ()
        self._hints: tuple[str, ...] = ()
        self._leader_hint = ''
        self._next_index = 0

    @property
    def replicas(self) -> tuple[str, ...]:
        """The known control replicas, the most reliable ones first."""
        return _deduplicate(self._local_replica, self._replicas, self._hints)

    @property
    def has_leader_hint(self) -> bool:
        """Whether a leader was named that was not asked yet."""
        return bool(self._leader_hint)

    def set_configured(
        self, configured: collections.abc.Iterable[str]
    ) -> None:
        """Set the addresses in the settings; the learnt ones stay."""
        self._configured = tuple(configured)

    def set_replicas(self, replicas: collections.abc.Iterable[str]) -> None:
        """Set the members of the control group, as their leader named them."""
        self._replicas = tuple(replicas)
        self._hints = ()
        self._next_index = 0

    def add_hint(
        self, leader: str, replicas: collections.abc.Iterable[str]
    ) -> None:
        """Add addresses that another instance named; they may be outdated.

        :param leader: the leader to ask next, or ``''``
        """
        self._leader_hint = leader or self._leader_hint
        hints = _deduplicate(replicas, self._hints)
        self._hints = hints[:_MAX_HINTS]

    def next_address(self) -> str:
        """Return the address to ask next: the leader, if one was just named.

        Otherwise cycles through all addresses, the replicas first, so that
        neither outdated settings nor outdated members end the search.
        """
        leader, self._leader_hint = self._leader_hint, ''
        if leader:
            return leader
        addresses = _deduplicate(self.replicas, self._configured)
        address = addresses[self._next_index % len(addresses)]
        self._next_index += 1
        return address


def _deduplicate(
    *address_lists: collections.abc.Iterable[str],
) -> tuple[str, ...]:
    """Return the addresses of all lists in order, without duplicates."""
    return tuple(
        dict.fromkeys(
            address for addresses in address_lists for address in addresses
        )
    )
