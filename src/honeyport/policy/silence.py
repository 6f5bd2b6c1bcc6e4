"""Idle timeouts after which a request is tried at another instance.

They apply only to requests that may run once more; others have the timeout
of their route.
"""

import attrs

from honeyport.bundle import model

# Timeout for the first byte, as a multiple of the route's objective.
_FIRST_BYTE_MULTIPLE = 2.5
# Timeout between two parts, as a multiple of the route's gap between events.
_GAP_MULTIPLE = 4.0


@attrs.frozen
class Timeouts:
    """The idle timeouts of an answer, in seconds.

    :ivar first_byte_s: until its first byte
    :ivar gap_s: between two parts of it
    """

    first_byte_s: float
    gap_s: float


def timeouts(route: model.Route) -> Timeouts:
    """Return the idle timeouts for the requests of a route."""
    return Timeouts(
        first_byte_s=route.objective_ms / 1000 * _FIRST_BYTE_MULTIPLE,
        gap_s=route.gap_ms / 1000 * _GAP_MULTIPLE,
    )
