"""The order in which requests get the slots of a service with few of them.

Answers the load of a service whose gateways outnumber its slots: a gateway
that decides alone can neither know which slots are free nor which request is
the most urgent. One queue for all gateways does.

There are two lanes. Requests that likely meet their objective are in the
first; the others get what it leaves. A request that likely is not served in
time is refused at once, also if that turns out only while it waits.
"""

import bisect
import collections.abc
import itertools
import math

import attrs

from honeyport.policy import fair_order
from honeyport.policy import return_times
from honeyport.policy import slot_forecast

# The part of the slots that is kept for the second lane if anyone waits
# there. Returns are planned for it, so that a planned return finds room.
_SECOND_LANE_SHARE = 0.2
_FIRST_LANE_SHARE = 1.0 - _SECOND_LANE_SHARE
# A request enters the second lane only if its forecast wait is within this
# share of the time that its caller has left. A caller that has already missed
# its objective is better off with a refusal than with a long wait.
_LATE_WAIT_SHARE = 0.3
# The same for a planned return, whose refusal would be its last.
_OWED_WAIT_SHARE = 0.6
# The longest wait, in seconds, also for callers without a deadline.
_MAX_WAIT_S = 30.0
# The most requests that wait; a bound of the memory.
_MAX_WAITING = 10_000
# A request enters the first lane only if it would meet its objective also if
# it runs longer than usual, by so many mean deviations.
_MARGIN = 1.0
# Time from a slot that gets free to the instance, in seconds.
_TRAVEL_S = 0.005
# A waiting request's forecast may be worse by this than its limit before it
# loses its place, in seconds. Single slow requests come and go.
_TOLERANCE_S = 0.01
# Shortest time between two checks of the waiting requests, in seconds.
_CHECK_PERIOD_S = 0.02
# Reasons of refusals after which room is likely soon.
_TEMPORARY = frozenset(('forecast', 'full', 'overtaken'))


@attrs.frozen
class Key:
    """Names a request that asks for a slot.

    :ivar gateway: name of the gateway that asks
    :ivar number: unique among the requests of that gateway
    """

    gateway: str
    number: int


@attrs.frozen(kw_only=True)
class Waiting:
    """A request that asks for a slot; times in seconds of one clock.

    :ivar account: client account, or ``''``
    :ivar route: name of its route
    :ivar priority: 0 is the highest
    :ivar fingerprint: the same if the caller sends the request again
    :ivar allowed: ids of the instances that it may run on
    :ivar asked_at: when the gateway asked
    :ivar objective_at: when its objective passes
    :ivar deadline_at: when its caller gives up
    """

    key: Key
    account: str
    route: str
    priority: int
    fingerprint: bytes
    allowed: frozenset[str]
    asked_at: float
    objective_at: float
    deadline_at: float


@attrs.frozen(kw_only=True)
class Room:
    """The slots of a service now.

    :ivar slots: of all instances that may get requests
    :ivar taken: how many of them are in use
    :ivar mean_held_s: how long a request holds a slot, in seconds
    """

    slots: int
    taken: int
    mean_held_s: float


@attrs.frozen(kw_only=True)
class Admission:
    """A request that was added to the queue.

    :ivar place: position in the queue, from 1
    :ivar forecast_s: time until it likely gets a slot, in seconds
    """

    place: int
    forecast_s: float


@attrs.frozen(kw_only=True)
class Refusal:
    """A request that cannot be served in time.

    :ivar reason: for logs and metrics
    :ivar back_s: when its caller should come back, in seconds; ``None`` if
        that is not before its deadline
    :ivar forecast_s: time until it would have got a slot, in seconds
    """

    key: Key
    reason: str
    back_s: float | None
    forecast_s: float


@attrs.frozen
class Grant:
    """A request that gets a slot of an instance."""

    waiting: Waiting
    instance: str


# Returns an instance with a free slot among some, or ``None``.
FindFree = collections.abc.Callable[
    [collections.abc.Collection[str]], str | None
]


@attrs.define(eq=False)
class _Entry:
    """A request in a lane.

    :ivar turn: its sort key in the lane
    :ivar lag_s: how much later than asked its turn is
    :ivar overtaken_s: how long others of the first lane go before
    :ivar limit_at: until when it must end to keep its place in its lane
    :ivar admitted_at: when it was added to its lane
    :ivar plain_s: its forecast at that time, without the correction
    :ivar forecast_s: its forecast at that time
    """

    waiting: Waiting
    turn: tuple[bool, float, int]
    lag_s: float
    overtaken_s: float
    limit_at: float
    admitted_at: float
    is_late: bool = False
    plain_s: float = 0.0
    forecast_s: float = 0.0

    @property
    def is_owed(self) -> bool:
        """Whether it is a planned return."""
        return not self.turn[0]


class _Lane:
    """Requests in the order of their turns."""

    def __init__(self, check: slot_forecast.ForecastCheck) -> None:
        self._entries: list[_Entry] = []
        self.check = check

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> collections.abc.Iterator[_Entry]:
        return iter(self._entries)

    def index(self, turn: tuple[bool, float, int]) -> int:
        """Return how many requests have an earlier turn."""
        return bisect.bisect_left(self._entries, turn, key=_turn)

    def add(self, entry: _Entry) -> None:
        self._entries.insert(self.index(entry.turn), entry)

    def remove(self, entry: _Entry) -> None:
        del self._entries[self.index(entry.turn)]


class WaitQueue:
    """The requests that wait for a slot of one service."""

    def __init__(self) -> None:
        self._entries: dict[Key, _Entry] = {}
        self._first = _Lane(slot_forecast.ForecastCheck())
        # Only those whose forecast was too long are seen to be served here.
        self._second = _Lane(slot_forecast.ForecastCheck(min_correction=1.0))
        self._numbers = itertools.count()
        self._order = fair_order.FairOrder()
        self._forecast = slot_forecast.SlotForecast()
        self._returns = return_times.ReturnTimes()
        self._second_lane_credit = 0.0
        self._checked_at = -math.inf
        self._slots = 0
        # When the last slot was granted, if others waited on, or ``None``.
        self._granted_at: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def late_count(self) -> int:
        """How many requests wait in the second lane."""
        return len(self._second)

    @property
    def forecast_error_s(self) -> float:
        """Mean absolute error of the recent forecasts, in seconds."""
        return self._first.check.error_s

    @property
    def forecast_correction(self) -> float:
        """The factor by which forecasts are corrected."""
        return self._first.check.correction

    def offer(
        self, waiting: Waiting, room: Room, now: float
    ) -> Admission | Refusal:
        """Add a request, or refuse it if it cannot be served in time."""
        self._slots = room.slots
        known = self._entries.get(waiting.key)
        if known is not None:
            return self._admission(known)
        waiting = _bound(waiting)
        self._order.record_ask(waiting.account, waiting.route, now)
        refused = self._returns.claim(waiting.fingerprint, now)
        if refused is not None:
            # The objective is that of the first request, not of its return.
            waiting = attrs.evolve(
                waiting,
                objective_at=min(waiting.objective_at, refused.objective_at),
            )
        is_owed = refused is not None and refused.is_due(now)
        entry = self._entry(waiting, is_owed, now)
        reason = self._admit(entry, room, now)
        if reason:
            return self._refusal(entry, reason, room, now)
        turn_s = room.mean_held_s / max(1, room.slots)
        self._order.charge(waiting.account, entry.lag_s, turn_s, now)
        return self._admission(entry)

    def take(self, find_free: FindFree, now: float) -> Grant | None:
        """Remove and return the next request for which a slot is free."""
        tried: set[frozenset[str]] = set()
        for entry in self._in_order():
            allowed = entry.waiting.allowed
            if allowed in tried or entry.waiting.deadline_at <= now:
                continue
            instance = find_free(allowed)
            if instance is not None:
                self._record_grant(entry, now)
                return Grant(entry.waiting, instance)
            tried.add(allowed)
        return None

    def expected_returns(self, now: float) -> int:
        """Return how many refused callers are expected back."""
        return self._returns.expected(now)

    def refuse_hopeless(self, room: Room, now: float) -> list[Refusal]:
        """Remove and return the requests that will not be served in time.

        Requests that will miss their objective only are moved to the second
        lane, if they likely are served there.
        """
        self._slots = room.slots
        if 0.0 <= now - self._checked_at < _CHECK_PERIOD_S:
            return []
        self._checked_at = now
        hopeless = self._move_late(room, now)
        hopeless += self._find_unreachable(room, now)
        for entry in hopeless:
            del self._entries[entry.waiting.key]
        if not self._entries:
            self._granted_at = None
        return [
            self._refusal(entry, 'overtaken', room, now) for entry in hopeless
        ]

    def remove(self, key: Key) -> Waiting | None:
        """Remove a request whose caller or gateway is gone, if it waits."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        self._drop(entry)
        return entry.waiting

    def remove_gateway(self, gateway: str) -> list[Waiting]:
        """Remove all requests of a gateway."""
        removed = [
            entry
            for key, entry in self._entries.items()
            if key.gateway == gateway
        ]
        for entry in removed:
            self._drop(entry)
        return [entry.waiting for entry in removed]

    def record_end(self, waiting: Waiting, held_s: float, now: float) -> None:
        """Record that a request released its slot, held for some seconds."""
        self._forecast.record_held(waiting.route, held_s)

    def _entry(self, waiting: Waiting, is_owed: bool, now: float) -> _Entry:
        lag_s = overtaken_s = 0.0
        if not is_owed:
            lag_s = self._order.lag_s(
                waiting.account, waiting.route, waiting.priority, now
            )
            overtaken_s = max(0.0, lag_s - self._order.mean_lag_s)
        limit_at = waiting.objective_at
        if self._order.is_protected(waiting.route, now):
            limit_at = waiting.deadline_at
        turn = (not is_owed, now + lag_s, next(self._numbers))
        return _Entry(waiting, turn, lag_s, overtaken_s, limit_at, now)

    def _admit(self, entry: _Entry, room: Room, now: float) -> str:
        """Add a request to a lane, or return the reason why not."""
        waiting = entry.waiting
        run_s = self._run_s(entry, room)
        if not waiting.allowed:
            return 'no_instance'
        if not now + _TRAVEL_S <= waiting.deadline_at:
            return 'deadline'
        if len(self._entries) >= _MAX_WAITING:
            return 'full'
        ahead = self._first.index(entry.turn)
        entry.plain_s = self._wait_s(entry, ahead, room, now)
        entry.forecast_s = entry.plain_s * self._first.check.correction
        # If a slot is free, the usual duration refuses nobody: only requests
        # that run can show that it has become shorter.
        if entry.plain_s > 0.0 and not now + run_s <= waiting.deadline_at:
            self._forecast.doubt_held(waiting.route)
            return 'deadline'
        entry.limit_at = min(entry.limit_at, now + _MAX_WAIT_S + run_s)
        spread_s = _MARGIN * self._forecast.spread_s(waiting.route)
        if now + entry.forecast_s + run_s + spread_s <= entry.limit_at:
            self._first.add(entry)
            self._forecast.record_first_lane(now)
        elif not self._try_second_lane(entry, room, now):
            return 'forecast'
        self._entries[waiting.key] = entry
        return ''

    def _try_second_lane(self, entry: _Entry, room: Room, now: float) -> bool:
        """Add a request to the second lane if it is soon served there."""
        entry.is_late = True
        entry.admitted_at = now
        ahead = self._second.index(entry.turn)
        entry.plain_s = self._late_wait_s(entry, ahead, room, now)
        entry.forecast_s = entry.plain_s * self._second.check.correction
        run_s = self._run_s(entry, room)
        left_s = entry.waiting.deadline_at - now
        share = _OWED_WAIT_SHARE if entry.is_owed else _LATE_WAIT_SHARE
        longest_s = max(0.0, min(left_s - run_s, left_s * share, _MAX_WAIT_S))
        entry.limit_at = now + longest_s + run_s
        if entry.forecast_s > longest_s:
            return False
        self._second.add(entry)
        return True

    def _move_late(self, room: Room, now: float) -> list[_Entry]:
        """Move late requests to the second lane; return the hopeless."""
        late: list[_Entry] = []
        correction = self._first.check.correction
        for place, entry in enumerate(self._first):
            plain_s = self._wait_s(entry, place - len(late), room, now)
            wait_s = plain_s * correction
            run_s = self._run_s(entry, room)
            if now + wait_s + run_s > entry.limit_at + _TOLERANCE_S:
                late.append(entry)
        for entry in late:
            self._first.remove(entry)
        return [
            entry
            for entry in late
            if not self._try_second_lane(entry, room, now)
        ]

    def _find_unreachable(self, room: Room, now: float) -> list[_Entry]:
        """Remove and return the requests that miss their deadline."""
        unreachable: list[_Entry] = []
        correction = self._second.check.correction
        for place, entry in enumerate(self._second):
            ahead = place - len(unreachable)
            wait_s = correction * self._late_wait_s(entry, ahead, room, now)
            run_s = self._run_s(entry, room)
            if now + wait_s + run_s > entry.limit_at + _TOLERANCE_S:
                unreachable.append(entry)
        for entry in unreachable:
            self._second.remove(entry)
            self._check(entry, now)
        return unreachable

    def _in_order(self) -> collections.abc.Iterator[_Entry]:
        """Return the waiting requests, the next one first."""
        if self._second_lane_credit >= 1.0:
            return itertools.chain(self._second, self._first)
        return itertools.chain(self._first, self._second)

    def _record_grant(self, entry: _Entry, now: float) -> None:
        self._drop(entry)
        if entry.is_late:
            self._second_lane_credit = 0.0
        elif len(self._second):
            self._second_lane_credit += _SECOND_LANE_SHARE
        self._order.record_grant(entry.waiting.route, now)
        if self._granted_at is not None:
            self._forecast.record_turn(now - self._granted_at, self._slots)
        self._granted_at = now if self._entries else None
        self._check(entry, now)

    def _check(self, entry: _Entry, now: float) -> None:
        """Compare the forecast of a request with its wait until now."""
        lane = self._second if entry.is_late else self._first
        lane.check.record(
            entry.plain_s, entry.forecast_s, now - entry.admitted_at
        )

    def _drop(self, entry: _Entry) -> None:
        del self._entries[entry.waiting.key]
        lane = self._second if entry.is_late else self._first
        lane.remove(entry)
        if not self._entries:
            self._granted_at = None

    def _refusal(
        self, entry: _Entry, reason: str, room: Room, now: float
    ) -> Refusal:
        waiting = entry.waiting
        back_s = None
        if reason in _TEMPORARY:
            back_s = self._plan_return(entry, room, now)
        return Refusal(
            key=waiting.key,
            reason=reason,
            back_s=back_s,
            forecast_s=entry.forecast_s,
        )

    def _plan_return(
        self, entry: _Entry, room: Room, now: float
    ) -> float | None:
        """Return when a refused caller should come back, in seconds."""
        waiting = entry.waiting
        if room.slots <= 0:
            return None
        interval_s = self._second.check.correction * (
            self._forecast.interval_s(room, _FIRST_LANE_SHARE, now)
        )
        room_s = max(interval_s, entry.overtaken_s)
        return self._returns.plan(
            waiting.fingerprint,
            room_s=room_s,
            interval_s=interval_s,
            held_s=self._run_s(entry, room),
            objective_at=waiting.objective_at,
            deadline_at=waiting.deadline_at,
            now=now,
        )

    def _run_s(self, entry: _Entry, room: Room) -> float:
        """Return the time from a free slot to the end of a request."""
        return self._forecast.held_s(entry.waiting.route, room) + _TRAVEL_S

    def _wait_s(
        self, entry: _Entry, ahead: int, room: Room, now: float
    ) -> float:
        """Return the wait of a request with so many ahead, in seconds.

        It is not yet corrected.
        """
        overtaken_s = max(0.0, entry.overtaken_s - (now - entry.admitted_at))
        return self._forecast.wait_s(
            ahead, room, overtaken_s, _FIRST_LANE_SHARE, now
        )

    def _late_wait_s(
        self, entry: _Entry, ahead: int, room: Room, now: float
    ) -> float:
        """Return the wait with so many ahead in the second lane.

        The second lane is served after the first one, but not less often
        than its share of the slots. Planned returns go before others.
        """
        if not entry.is_owed:
            ahead += self._returns.expected(now)
        after_first_s = self._forecast.wait_s(
            len(self._first) + ahead, room, math.inf, _FIRST_LANE_SHARE, now
        )
        interval_s = self._forecast.interval_s(room, _FIRST_LANE_SHARE, now)
        return min(after_first_s, (ahead + 1) * interval_s)

    def _admission(self, entry: _Entry) -> Admission:
        place = 1
        if entry.is_late:
            place += len(self._first) + self._second.index(entry.turn)
        else:
            place += self._first.index(entry.turn)
        return Admission(place=place, forecast_s=entry.forecast_s)


def _turn(entry: _Entry) -> tuple[bool, float, int]:
    return entry.turn


def _bound(waiting: Waiting) -> Waiting:
    """Return a request with usable times.

    A time that is not a number counts as past.
    """
    deadline_at = _number(waiting.deadline_at)
    return attrs.evolve(
        waiting,
        deadline_at=deadline_at,
        objective_at=min(_number(waiting.objective_at), deadline_at),
    )


def _number(at: float) -> float:
    return -math.inf if math.isnan(at) else at
