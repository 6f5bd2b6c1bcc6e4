"""The order in which requests get the slots of a service with few of them.

Answers the load of a service whose gateways outnumber its slots: a gateway
that decides alone can neither know which slots are free nor which request is
the most urgent. One queue for all gateways does.
"""

import collections
import collections.abc

import attrs


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


class WaitQueue:
    """The requests that wait for a slot of one service."""

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[Key, Waiting] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(
        self, waiting: Waiting, room: Room, now: float
    ) -> Admission | Refusal:
        """Add a request, or refuse it if it cannot be served in time."""
        self._waiting[waiting.key] = waiting
        place = len(self._waiting)
        free = max(0, room.slots - room.taken)
        behind = max(0, place - free)
        forecast_s = behind * room.mean_held_s / max(1, room.slots)
        return Admission(place=place, forecast_s=forecast_s)

    def take(self, find_free: FindFree, now: float) -> Grant | None:
        """Remove and return the next request for which a slot is free."""
        for key, waiting in self._waiting.items():
            instance = find_free(waiting.allowed)
            if instance is not None:
                del self._waiting[key]
                return Grant(waiting, instance)
        return None

    def refuse_hopeless(self, room: Room, now: float) -> list[Refusal]:
        """Remove and return the requests that will not be served in time."""
        return []

    def remove(self, key: Key) -> Waiting | None:
        """Remove a request whose caller or gateway is gone, if it waits."""
        return self._waiting.pop(key, None)

    def remove_gateway(self, gateway: str) -> list[Waiting]:
        """Remove all requests of a gateway."""
        removed = [key for key in self._waiting if key.gateway == gateway]
        return [self._waiting.pop(key) for key in removed]

    def record_end(self, waiting: Waiting, held_s: float, now: float) -> None:
        """Record that a request released its slot, held for some seconds."""
