"""Which services have a shared queue, and which gateway keeps it.

Answers the load of a service whose gateways outnumber its slots: alone, each
of them has less than one slot. The gateways agree on the keeper by the list of
gateways that control sends to all. Lists arrive at different times, so a new
keeper waits until the previous one has stopped: that one grants only for some
time after its last contact with control, which would have told it.
"""

import collections.abc

import attrs

from honeyport.policy import hashing

# A keeper grants for this time after the last report that control answered
# was sent. Several reports may be lost meanwhile; requests last about as long
# as it takes to wait it out.
MAX_SILENCE_S = 1.0
# Time until control has sent a list to all gateways that it answers.
LIST_DELAY_S = 0.5
# A queue remains until the slots exceed the gateways by this factor.
_END_FACTOR = 1.2


@attrs.frozen
class Candidate:
    """A gateway that callers are sent to.

    :ivar cut_off: names of the services that it cannot reach
    """

    name: str
    cut_off: frozenset[str]


def needs_queue(
    slots: collections.abc.Collection[int],
    gateways: int,
    *,
    has_queue: bool = False,
) -> bool:
    """Whether requests to a service wait in a shared queue.

    :param slots: of each instance that may get requests; 0 if unknown
    :param has_queue: whether they do so far
    """
    if not slots or not all(slots):
        return False
    limit = gateways * _END_FACTOR if has_queue else gateways
    return sum(slots) < limit


def find_keeper(
    service: str, candidates: collections.abc.Iterable[Candidate]
) -> str:
    """Return the name of the gateway that keeps a queue, or ``''``."""
    reaching = [
        candidate.name
        for candidate in candidates
        if service not in candidate.cut_off
    ]
    ranked = hashing.rank(f'queue/{service}', reaching, 1)
    return ranked[0] if ranked else ''


class Tenure:
    """How long a gateway has kept a queue without interruption."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._contact_at = float('-inf')

    def update(
        self, *, is_keeper: bool, contact_at: float, now: float
    ) -> None:
        """Apply the latest list of gateways.

        :param is_keeper: whether the list makes this gateway the keeper
        :param contact_at: when the last report was sent that control answered
        """
        # Lists may have been missed that made another gateway the keeper.
        was_silent = contact_at - self._contact_at > MAX_SILENCE_S
        self._contact_at = contact_at
        if not is_keeper:
            self._since = None
        elif self._since is None or was_silent:
            self._since = now

    @property
    def is_keeper(self) -> bool:
        """Whether this gateway is the keeper by its list."""
        return self._since is not None

    def may_grant(self, contact_at: float, now: float) -> bool:
        """Whether no other gateway grants slots now.

        :param contact_at: when the last report was sent that control answered
        """
        if self._since is None or now - contact_at > MAX_SILENCE_S:
            return False
        return now - self._since >= MAX_SILENCE_S + LIST_DELAY_S
