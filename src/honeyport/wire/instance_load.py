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


def encode(running: int, *, unreachable: bool = False) -> int:
    """Return the number for an instance; 0 for one at rest."""
    return 2 * running + unreachable


def decode(code: int) -> Load:
    """Return what a number stands for."""
    return Load(code // 2, bool(code % 2))
