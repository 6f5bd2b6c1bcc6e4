"""Whether a silent instance is left for another one.

An instance that sends nothing may still go on. Its answer is given up only for
an attempt that can follow, and that is likely to be better. If most instances
are silent, none of them is at fault, and another attempt would wait like this
one.

All of this applies only to requests that may run once more; others have the
timeout of their route.
"""

import collections.abc

import attrs

from honeyport.bundle import model
from honeyport.policy import obstacles

# Timeout for the first byte, as a multiple of the route's objective.
_FIRST_BYTE_MULTIPLE = 2.5
# Timeout between two parts, as a multiple of the route's gap between events.
_GAP_MULTIPLE = 4.0
# Share of a timeout within which other instances count as sending.
_RECENT_SHARE = 0.5
# Share of a timeout after which a silent attempt is looked at again.
_RECHECK_SHARE = 0.25


@attrs.frozen
class Timeouts:
    """The idle timeouts of an answer, in seconds.

    :ivar first_byte_s: until its first byte
    :ivar gap_s: between two parts of it
    """

    first_byte_s: float
    gap_s: float


@attrs.frozen(kw_only=True)
class Situation:
    """What a gateway knows about a silent attempt and the next one.

    :ivar may_repeat: whether the route allows another run
    :ivar is_suspect: whether the request needs a permit, as it may crash its
        instance
    :ivar is_elsewhere: whether another gateway makes the attempt, and is known
        to run; it has the connection to the instance, and decides
    :ivar offers_left: number of instances that it may still be offered to
    :ivar retries_left: number of retries that the budget allows now
    :ivar remaining_s: seconds until its deadline
    :ivar objective_s: seconds until the first byte that the route aims at
    :ivar others: number of other instances of the service
    :ivar mute: number of those where requests run and that sent nothing
        either
    :ivar heard: number of those that are sending
    :ivar was_shared: whether the silence was shared within the last timeout
    """

    may_repeat: bool
    is_suspect: bool
    is_elsewhere: bool
    offers_left: int
    retries_left: int
    remaining_s: float
    objective_s: float
    others: int
    mute: int
    heard: int
    was_shared: bool

    @property
    def is_shared(self) -> bool:
        """Whether most instances are silent, and none is sending."""
        return not self.heard and 2 * self.mute > self.others

    @property
    def is_instance_at_fault(self) -> bool:
        """Whether other instances are preferred for new requests."""
        return not self.is_shared and not self.was_shared


def timeouts(route: model.Route) -> Timeouts:
    """Return the idle timeouts for the requests of a route."""
    return Timeouts(
        first_byte_s=route.objective_ms / 1000 * _FIRST_BYTE_MULTIPLE,
        gap_s=route.gap_ms / 1000 * _GAP_MULTIPLE,
    )


def recent_s(timeout_s: float) -> float:
    """Return within which time other instances count as sending."""
    return timeout_s * _RECENT_SHARE


def recheck_s(timeout_s: float) -> float:
    """Return after which time a silent attempt is looked at again."""
    return timeout_s * _RECHECK_SHARE


def find_obstacle(situation: Situation) -> obstacles.Obstacle | None:
    """Return why a silent attempt goes on, or ``None`` if it may be left.

    After a shared silence, an instance has a timeout to go on like the others.
    """
    checks = (
        (not situation.may_repeat, obstacles.Obstacle.NOT_REPEATABLE),
        (situation.is_shared, obstacles.Obstacle.ALL_SILENT),
        (
            situation.was_shared,
            obstacles.Obstacle.JUST_RESUMED,
        ),
        (
            # One attempt at a time may have the permit.
            situation.is_suspect,
            obstacles.Obstacle.MAY_CRASH_INSTANCES,
        ),
        (situation.is_elsewhere, obstacles.Obstacle.OTHER_GATEWAY_DECIDES),
        (situation.offers_left < 1, obstacles.Obstacle.NO_OFFERS_LEFT),
        (situation.retries_left < 1, obstacles.Obstacle.NO_BUDGET_LEFT),
        (
            situation.remaining_s < situation.objective_s,
            obstacles.Obstacle.NO_TIME_LEFT,
        ),
    )
    return next((obstacle for applies, obstacle in checks if applies), None)


def iter_excluded(
    others: collections.abc.Set[str],
    mute: collections.abc.Set[str],
    heard: collections.abc.Set[str],
    full: collections.abc.Set[str],
) -> collections.abc.Iterator[frozenset[str]]:
    """Yield which instances not to leave a silent attempt for.

    The first set that leaves an instance to choose applies. Instances that are
    sending come first, then all that are not silent, too; in both groups those
    with a free slot, since a full one may queue a request or reject it.

    :param others: the other instances of the service
    :param mute: those that are silent, too
    :param heard: those that are sending
    :param full: those whose slots are likely taken
    """
    for group in (heard, others):
        for unwanted in (mute | full, mute):
            yield frozenset(others - group | unwanted)
