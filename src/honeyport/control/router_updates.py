"""What each router has to be told, worked out when its stream takes it.

The load this answers: hundreds of routers, some on links of 5 Mbit/s, while
the list of instances and the list of routers change at every tick. Whatever a
stream does not take at once is not kept for it: it gets the newest state next.
"""

import asyncio

import attrs

from honeyport.control import deltas
from honeyport.control import fleet
from honeyport.control import instance_lists
from honeyport.control import replica
from honeyport.control import suspects
from honeyport.control import versions
from honeyport.policy import pacing
from honeyport.wire import honeyport_pb2 as pb

# Within this a router finds a new leader, in seconds; before, a list of
# routers would name too few of them.
_REATTACH_S = 0.4
# Between two lists of routers, in seconds: 300 that come back within a second
# change it at each tick, and callers keep what they got for a second or more.
_PRESENCE_S = 0.2
# What is sent without waiting for its turn, in bytes: 300 of these are 0.6 MB.
_SMALL_BYTES = 2048
# Lists of routers that a change can start from: 6 s.
_KEPT_PRESENCES = 32


@attrs.frozen(kw_only=True)
class SyncState:
    """What a router knows, or what there is to know.

    :ivar view: the number of the view; 0 before the first
    :ivar presence: the number of the list of routers that callers may be
        sent to; 0 while too few have come back
    :ivar replicas: where the control group listens
    :ivar instances: the number of the list of instances
    :ivar version: of the accepted configuration
    :ivar suspects: the number of the list of requests that are held back
    :ivar evacuated: the failure domains that are evacuated; ``None`` if
        nothing was said of them yet
    """

    view: int = 0
    presence: int = 0
    replicas: tuple[str, ...] = ()
    instances: int = 0
    version: int = 0
    suspects: int = 0
    evacuated: frozenset[str] | None = None


@attrs.frozen
class _Presence:
    """The routers that callers may be sent to, and those that leave."""

    members: dict[str, pb.Member]
    leaving: tuple[str, ...]


class RouterUpdates:
    """The news of one leadership.

    :param lists: the lists of instances
    :param held: the requests that are held back
    :param pace: of what is large
    """

    def __init__(
        self,
        node: replica.Replica,
        routers: fleet.Fleet,
        lists: instance_lists.InstanceLists,
        held: suspects.Suspects,
        pace: pacing.TokenBucket,
    ) -> None:
        self._node = node
        self._fleet = routers
        self._lists = lists
        self._suspects = held
        self._pace = pace
        self._versions = versions.BundleVersions()
        self._accepted = node.machine.accepted
        self._presence = _Presence({}, ())
        self._presences: deltas.History[pb.Member, pb.Presence] = (
            deltas.History(_KEPT_PRESENCES, self._make_presence)
        )
        self._presence_due = float('-inf')
        self._latest = SyncState()

    @property
    def latest(self) -> SyncState:
        """What there is to tell, as of the latest look."""
        return self._latest

    def refresh(self) -> None:
        """Find out what there is to tell, once for all streams of a tick."""
        now = asyncio.get_running_loop().time()
        # As of now, like all else: one that is committed between two looks
        # would be sent under the number of the one before.
        self._accepted = self._node.machine.accepted
        self._versions.add(self._accepted)
        self._look_for_routers(now)
        # Before, it would name too few of the routers.
        is_named = now >= self._node.leader_since + _REATTACH_S
        found = SyncState(
            view=self._fleet.view.number if self._fleet.has_view else 0,
            presence=self._presences.number if is_named else 0,
            replicas=tuple(self._node.member_addresses),
            instances=self._lists.number,
            version=self._accepted.version,
            suspects=self._suspects.number,
            evacuated=self._node.machine.evacuated,
        )
        if found != self._latest:
            self._latest = found

    def initial_state(self, hello: pb.Hello) -> SyncState:
        """Return what a router knows that has just attached."""
        # Where neither side holds a request back, there is nothing to tell.
        same = not hello.suspects and not self._suspects.reported
        return SyncState(
            version=hello.config_version if self._knows(hello) else 0,
            suspects=self._suspects.number if same else 0,
            instances=hello.instances,
        )

    def items_since(
        self, told: SyncState, hello: pb.Hello
    ) -> tuple[list[pb.ControlItem], SyncState]:
        """Return what brings a router from what it knows to the latest.

        What holds requests or instances back stands first: with a
        configuration a gateway begins to serve. What is large waits for its
        turn.

        :param hello: how the router introduced itself
        :returns: the items, and what the router knows with them
        """
        items = self._small_items(told, hello)
        # Measured before it is copied into items: a stream that waits for its
        # turn asks again at every tick.
        large = self._large(told, hello)
        size = sum(message.ByteSize() for message in large.values())
        now = asyncio.get_running_loop().time()
        if size <= _SMALL_BYTES or self._pace.may_send(size, now):
            items += [
                pb.ControlItem(**{kind: message})
                for kind, message in large.items()
            ]
            return items, self._latest
        rest = attrs.evolve(
            self._latest, instances=told.instances, version=told.version
        )
        return items, rest

    def _small_items(
        self, told: SyncState, hello: pb.Hello
    ) -> list[pb.ControlItem]:
        news = self._latest
        items = []
        if news.suspects != told.suspects:
            message = self._suspects.message()
            items.append(pb.ControlItem(suspects=message))
        if news.evacuated != told.evacuated:
            domains = sorted(news.evacuated or ())
            message = pb.Evacuations(domains=domains)
            items.append(pb.ControlItem(evacuations=message))
        if news.view and news.view != told.view and not hello.no_view:
            items.append(pb.ControlItem(view=self._fleet.view))
        if news.presence and news.presence != told.presence:
            message = self._presences.message(told.presence)
            items.append(pb.ControlItem(presence=message))
        if news.replicas != told.replicas:
            replicas = pb.Replicas(addresses=news.replicas)
            items.append(pb.ControlItem(replicas=replicas))
        return items

    def _large(
        self, told: SyncState, hello: pb.Hello
    ) -> dict[str, pb.InstanceList | pb.Config]:
        """Return the messages that may be large, by the kind of item."""
        news = self._latest
        found: dict[str, pb.InstanceList | pb.Config] = {}
        if news.instances and news.instances != told.instances:
            found['instances'] = self._lists.message(
                told.instances, hello.instances_digests
            )
        if news.version != told.version:
            found['config'] = self._versions.message(
                told.version, self._accepted
            )
        return found

    def _knows(self, hello: pb.Hello) -> bool:
        """Whether the router holds a version that deltas can start from."""
        history = self._node.machine.history
        same = history.get(hello.config_version) == hello.config_digest
        return same and self._versions.has(hello.config_version)

    def _look_for_routers(self, now: float) -> None:
        if now < self._presence_due:
            return
        found = _Presence(
            self._fleet.reachable_members(), self._fleet.leaving_names()
        )
        if self._presences.number and found == self._presence:
            return
        if self._presences.number:
            self._presence_due = now + _PRESENCE_S
        self._presence = found
        self._presences.append(self._presences.number + 1, found.members)

    def _make_presence(self, change: deltas.Change[pb.Member]) -> pb.Presence:
        return pb.Presence(
            members=change.put.values(),
            leaving=self._presence.leaving,
            is_change=change.base > 0,
            removed=change.removed,
        )
