"""Compact encoding of an instance's load, summed over all routers."""

import attrs


@attrs.frozen
class Load:
    """Load of one instance.

    :ivar running: requests that run there, through all routers
    :ivar unreachable: whether all gateways exclude it
    """

    running: int
    unreachable: bool = False


def encode(running: int, *, unreachable: bool = False) -> int:
    """Return the code of a load; 0 for an idle, reachable instance.

    The lowest bit is the ``unreachable`` flag.
    """
    return 2 * running + unreachable


def decode(code: int) -> Load:
    """Return the load of a code from :func:`encode`."""
    return Load(code // 2, bool(code % 2))
