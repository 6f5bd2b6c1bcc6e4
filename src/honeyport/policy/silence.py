"""How long an instance may say nothing before a request goes elsewhere.

The load this answers: an instance goes dark or its connections fall silent
without a reset, and all it was given waits until its callers leave. Only a
request that may run once more is taken away: any other one has its route's
timeout. The limits lie above what is still of use to a caller in time, so
that an instance that is slow keeps its work, and below the time after which
callers leave (four times the objective, or eight times the pause between
events).
"""

import attrs

from honeyport.bundle import model

# Of the objective, until the first byte of an answer. Callers leave at four
# times the objective; what is left is enough for another instance.
_FIRST_SHARE = 2.5
# Of the pause between two events that a caller still counts as on time.
_GAP_SHARE = 4.0


@attrs.frozen
class Timeouts:
    """Limits on silence, in seconds.

    :ivar first_s: until the first byte of an answer
    :ivar gap_s: between two parts of it
    """

    first_byte_s: float
    gap_s: float


def timeouts(route: model.Route) -> Timeouts:
    """Return the limits for a request of a route."""
    return Timeouts(
        first_byte_s=route.objective_ms / 1000 * _FIRST_SHARE,
        gap_s=route.gap_ms / 1000 * _GAP_SHARE,
    )
