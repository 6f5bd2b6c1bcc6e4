"""What the loads of all routers say of one instance, in one small number."""

import attrs


@attrs.frozen
class Load:
    """One instance.

    :ivar running: requests that run there, through all routers
    :ivar unreachable: whether all gateways leave it alone
    """

    running: int
    unreachable: bool = False

    @property
    def code(self) -> int:
        """The number that stands for it; 0 for an instance at rest."""
        return 2 * self.running + self.unreachable


def decode(code: int) -> Load:
    """Return what a number stands for."""
    return Load(code // 2, bool(code % 2))
