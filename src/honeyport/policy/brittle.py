"""Limit the requests to instances that crash if they reject too many.

A brittle instance announces how many rejections within one second it survives.
Gateways keep the requests at such an instance below its slots:

- Each gateway has a part of the slots (:mod:`honeyport.policy.quotas`).
- Beyond its part it may use slots that others leave free. Their counts are
  outdated, so that several gateways may use the same free slot and all but one
  are rejected. The rejections that the instance survives are therefore divided
  among the gateways as well: a request beyond the part counts as rejected
  until it is answered.
- An instance whose memory is full runs fewer requests than it has slots. What
  runs while others wait there, or when it rejects one, counts in place of its
  slots, and grows back with time.
"""

import collections
import collections.abc

import attrs

from honeyport.policy import quotas

# The window in which an instance counts its rejections, in seconds.
_WINDOW_S = 1.0
# Share of the tolerated rejections that the quotas add up to. The rest is for
# requests within the parts, which may be rejected, too.
_QUOTA_SHARE = 0.5
# How long a service counts as brittle after the last answer that said so, if
# no other answer arrives.
_BRITTLE_S = 5.0
# An answer that does not say so ends it after this time; answers of several
# instances may overtake each other.
_PLAIN_ANSWER_DELAY_S = 1.0

# Share of an instance's slots by which its estimated room grows per second.
_ROOM_GROWTH_PER_S = 0.05

# Tolerated rejections within one second, by service.
Tolerances = collections.abc.Mapping[str, int]


@attrs.frozen
class _Announcement:
    """The latest answer of a service that said that it is brittle.

    :ivar tolerance: rejections within one second that an instance survives
    :ivar at: loop time
    """

    tolerance: int
    at: float


@attrs.frozen
class ReportedLoad:
    """The load that an instance reported in an answer.

    :ivar has_slowdown: whether it says how slow its machine is now, since it
        shares the machine with others
    """

    running: int
    waiting: int
    has_slowdown: bool = False


class RoomEstimates:
    """How many requests brittle instances run at the same time."""

    def __init__(self) -> None:
        self._rooms: dict[str, tuple[float, float]] = {}  # and loop time

    def room(self, instance: str, slots: int, now: float) -> int:
        """Return how many requests an instance has room for.

        :param now: as loop time, in seconds
        """
        known = self._rooms.get(instance)
        if known is None:
            return slots
        room, at = known
        room += slots * _ROOM_GROWTH_PER_S * (now - at)
        if room < slots:
            return int(room)
        del self._rooms[instance]
        return slots

    def record_load(
        self, instance: str, slots: int, load: ReportedLoad, now: float
    ) -> None:
        """Record the load that an instance reported."""
        if load.waiting or load.running > self.room(instance, slots, now):
            self._rooms[instance] = (max(1, load.running), now)

    def record_rejection(
        self, instance: str, slots: int, running: int, now: float
    ) -> None:
        """Record that an instance rejected a request.

        :param running: the requests there, as far as is known
        """
        room = min(running, self.room(instance, slots, now))
        self._rooms[instance] = (max(1, room), now)

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the instances that are not listed."""
        for instance in [
            known for known in self._rooms if known not in listed_ids
        ]:
            del self._rooms[instance]


class BrittleServices:
    """The services whose instances announce that they are brittle."""

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}

    def __bool__(self) -> bool:
        """Whether any service may be brittle."""
        return bool(self._announcements)

    def record_answer(
        self, service: str, tolerance: int | None, now: float
    ) -> bool:
        """Record an answer; return whether the service changed its state.

        :param tolerance: rejections within one second that the instance
            survives; ``None`` if it does not say that it is brittle
        :param now: as loop time, in seconds
        """
        known = self._announcements.get(service)
        if tolerance is not None:
            self._announcements[service] = _Announcement(tolerance, now)
            return known is None
        if known is None or now < known.at + _PLAIN_ANSWER_DELAY_S:
            return False
        del self._announcements[service]
        return True

    def tolerances(self, now: float) -> dict[str, int]:
        """Return the tolerated rejections of brittle services."""
        for service, announcement in list(self._announcements.items()):
            if announcement.at <= now - _BRITTLE_S:
                del self._announcements[service]
        return {
            service: announcement.tolerance
            for service, announcement in self._announcements.items()
        }


class SlotLimiter:
    """This gateway's limits for requests to brittle instances.

    :param name: the name of this gateway in the lists of members
    """

    def __init__(self, name: str) -> None:
        self._quotas = quotas.GatewayQuotas(name)
        self._unanswered: dict[str, collections.deque[float]] = {}
        self._rejected_at: dict[str, collections.deque[float]] = {}

    def set_gateways(self, members: quotas.GatewayNames, now: float) -> None:
        """Set the names of the gateways that share the instances.

        :param now: as loop time, in seconds
        """
        self._quotas.set_gateways(members, now)

    def may_send(
        self,
        instance: str,
        *,
        slots: int,
        own: int,
        others: int,
        tolerance: int,
        now: float,
    ) -> bool:
        """Whether this gateway may send one more request to an instance.

        :param slots: how many requests it runs at the same time
        :param own: requests of this gateway that run there
        :param others: requests of the other gateways, outdated
        :param tolerance: rejections within one second that it survives
        :param now: as loop time, in seconds
        """
        rejected = _count_recent(self._rejected_at.get(instance), now)
        quota = self._quotas.quota(instance, int(tolerance * _QUOTA_SHARE))
        part = self._quotas.quota(instance, slots)
        if own < part:
            return rejected <= quota
        if own + others >= slots:
            return False
        unanswered = _count_recent(self._unanswered.get(instance), now)
        return rejected + min(unanswered, own - part) < quota

    def record_sent(self, instance: str, now: float) -> None:
        """Record that a request was sent to a brittle instance."""
        self._unanswered.setdefault(instance, collections.deque()).append(now)

    def record_answer(
        self, instance: str, now: float, *, is_rejected: bool
    ) -> None:
        """Record the first bytes of an answer of a brittle instance."""
        unanswered = self._unanswered.get(instance)
        if unanswered:
            unanswered.popleft()
        if is_rejected:
            self._rejected_at.setdefault(instance, collections.deque()).append(
                now
            )

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Drop the instances that are not listed."""
        self._quotas.retain(listed_ids)
        for times in (self._unanswered, self._rejected_at):
            for instance in [
                known for known in times if known not in listed_ids
            ]:
                del times[instance]


def _count_recent(times: collections.deque[float] | None, now: float) -> int:
    """Drop the times before the window; return the number of the others."""
    if not times:
        return 0
    while times and times[0] <= now - _WINDOW_S:
        times.popleft()
    return len(times)
