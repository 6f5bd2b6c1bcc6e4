"""The timing of a gateway's shutdown after SIGTERM.

Callers keep sending for as long as their address lists live, and all requests
that are accepted must end before SIGKILL.
"""

import attrs

# Time after the signal from which new requests are refused. Platforms excuse
# a cut request only if it was sent within 3 s of the signal; the difference is
# for a signal that is handled late.
_REFUSE_AFTER_S = 2.5
# Time before SIGKILL to close files and connections.
_EXIT_S = 1.0


@attrs.frozen(kw_only=True)
class DrainTimes:
    """The steps of a gateway's shutdown, in seconds after the signal.

    :ivar refuse_after_s: when new requests are refused
    :ivar stop_after_s: when requests that still run are cancelled
    """

    refuse_after_s: float
    stop_after_s: float


def drain_times(grace_s: float) -> DrainTimes:
    """Return the times for a shutdown within a grace period.

    :param grace_s: seconds from SIGTERM to SIGKILL
    """
    stop_s = max(0.0, grace_s - _EXIT_S)
    return DrainTimes(
        refuse_after_s=min(_REFUSE_AFTER_S, stop_s), stop_after_s=stop_s
    )
