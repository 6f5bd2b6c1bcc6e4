"""How a gateway leaves after SIGTERM.

The load this answers: callers keep coming with a list that they got before,
5 s long and longer, and a stream takes up to 5 s. What is taken on must also
end before the process is killed.
"""

import attrs

# Platforms excuse a cut only of what was sent within 3 s of the signal. Half
# a second is left for a signal that is handled late; who comes after that is
# sent elsewhere at once.
_REFUSE_S = 2.5
# Before SIGKILL: time to close files and connections, in seconds.
_EXIT_S = 1.0


@attrs.frozen(kw_only=True)
class DrainTimes:
    """How a gateway leaves; seconds from the signal.

    :ivar refuse_s: until new requests are refused
    :ivar stop_s: until what still runs is given up
    """

    refuse_after_s: float
    stop_after_s: float


def drain_times(grace_s: float) -> DrainTimes:
    """Return how to leave within the time from SIGTERM to SIGKILL."""
    stop_s = max(0.0, grace_s - _EXIT_S)
    return DrainTimes(
        refuse_after_s=min(_REFUSE_S, stop_s), stop_after_s=stop_s
    )
