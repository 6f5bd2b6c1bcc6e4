"""Updates of replicated data for the routers' streams.

An update is built when the stream is ready to send. Updates are not queued:
a slow stream gets the difference to the latest state the next time.
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

# Delay of the first list of routers in a term, until the routers have found
# the new leader.
_REATTACH_S = 0.4
# Minimum interval between two lists of routers. Hundreds of them that return
# within a second change it at each tick, and callers keep theirs for longer.
_PRESENCE_INTERVAL_S = 0.2
# Up to this size, an update is sent without rate limit.
_MAX_UNPACED_BYTES = 2048
# Lists of routers that are kept as the base of a change: those of 6 s.
_MAX_KEPT_PRESENCES = 32


@attrs.frozen(kw_only=True)
class SyncState:
    """The versions of the data that a router has, or of the latest data.

    :ivar view: the number of the view; 0 before the first
    :ivar presence: the number of the list of routers that callers may be
        sent to; 0 while too few have attached in this term
    :ivar replicas: the addresses of the control replicas
    :ivar instances: the number of the list of instances
    :ivar version: the version of the accepted configuration
    :ivar suspects: the number of the list of suspect requests
    :ivar evacuated: the evacuated failure domains; ``None`` if none were sent
        yet
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
    """The routers that callers may be sent to, and those shutting down."""

    members: dict[str, pb.Member]
    leaving: tuple[str, ...]


class RouterUpdates:
    """The updates of one term.

    :param routers: the routers of the term
    :param lists: the lists of instances
    :param suspect_record: the suspect requests
    :param rate_limit: the rate limit of large updates
    """

    def __init__(
        self,
        node: replica.Replica,
        routers: fleet.Fleet,
        lists: instance_lists.InstanceLists,
        suspect_record: suspects.Suspects,
        rate_limit: pacing.TokenBucket,
    ) -> None:
        self._node = node
        self._fleet = routers
        self._lists = lists
        self._suspects = suspect_record
        self._rate_limit = rate_limit
        self._versions = versions.BundleVersions()
        self._accepted = node.machine.accepted
        self._latest_presence = _Presence({}, ())
        self._presences: deltas.History[pb.Member, pb.Presence] = (
            deltas.History(_MAX_KEPT_PRESENCES, self._make_presence)
        )
        self._next_presence_at = float('-inf')
        self._latest = SyncState()

    @property
    def latest(self) -> SyncState:
        """The versions of the latest data, as of the last refresh."""
        return self._latest

    def refresh(self) -> None:
        """Update :attr:`latest`, once a tick for all streams."""
        now = asyncio.get_running_loop().time()
        # Read once: a later version must not be sent with this one's number.
        self._accepted = self._node.machine.accepted
        self._versions.add(self._accepted)
        self._refresh_presence(now)
        # Before, the list of routers would be incomplete.
        is_presence_complete = now >= self._node.leader_since + _REATTACH_S
        latest = SyncState(
            view=self._fleet.view.number if self._fleet.has_view else 0,
            presence=self._presences.number if is_presence_complete else 0,
            replicas=tuple(self._node.member_addresses),
            instances=self._lists.number,
            version=self._accepted.version,
            suspects=self._suspects.number,
            evacuated=self._node.machine.evacuated,
        )
        if latest != self._latest:
            self._latest = latest

    def initial_state(self, hello: pb.Hello) -> SyncState:
        """Return the versions that a newly attached router has."""
        # If both sides have no suspects, there is nothing to send.
        have_no_suspects = not hello.suspects and self._suspects.is_empty
        return SyncState(
            version=hello.config_version
            if self._has_base_version(hello)
            else 0,
            suspects=self._suspects.number if have_no_suspects else 0,
            instances=hello.instances,
        )

    def items_since(
        self, router_state: SyncState, hello: pb.Hello
    ) -> tuple[list[pb.ControlItem], SyncState]:
        """Return the items that update a router to the latest state.

        Suspects and evacuations come first, since a gateway begins to serve
        as soon as it has a configuration. Large items are subject to the rate
        limit, and left out if it is exceeded.

        :param router_state: what the router has
        :param hello: the router's first message
        :returns: the items, and what the router has after them
        """
        items = self._small_items(router_state, hello)
        # The size is checked before the copy, since a stream that exceeds the
        # rate limit retries at every tick.
        large = self._large_messages(router_state, hello)
        size = sum(message.ByteSize() for message in large.values())
        now = asyncio.get_running_loop().time()
        if size <= _MAX_UNPACED_BYTES or self._rate_limit.try_consume(
            size, now
        ):
            items += [
                pb.ControlItem(**{kind: message})
                for kind, message in large.items()
            ]
            return items, self._latest
        sent_state = attrs.evolve(
            self._latest,
            instances=router_state.instances,
            version=router_state.version,
        )
        return items, sent_state

    def _small_items(
        self, router_state: SyncState, hello: pb.Hello
    ) -> list[pb.ControlItem]:
        latest = self._latest
        items = []
        if latest.suspects != router_state.suspects:
            message = self._suspects.message()
            items.append(pb.ControlItem(suspects=message))
        if latest.evacuated != router_state.evacuated:
            domains = sorted(latest.evacuated or ())
            message = pb.Evacuations(domains=domains)
            items.append(pb.ControlItem(evacuations=message))
        if (
            latest.view
            and latest.view != router_state.view
            and not hello.no_view
        ):
            items.append(pb.ControlItem(view=self._fleet.view))
        if latest.presence and latest.presence != router_state.presence:
            message = self._presences.message(router_state.presence)
            items.append(pb.ControlItem(presence=message))
        if latest.replicas != router_state.replicas:
            replicas = pb.Replicas(addresses=latest.replicas)
            items.append(pb.ControlItem(replicas=replicas))
        return items

    def _large_messages(
        self, router_state: SyncState, hello: pb.Hello
    ) -> dict[str, pb.InstanceList | pb.Config]:
        """Return the messages that may be large, by item field name."""
        latest = self._latest
        messages: dict[str, pb.InstanceList | pb.Config] = {}
        if latest.instances and latest.instances != router_state.instances:
            messages['instances'] = self._lists.message(
                router_state.instances, hello.instances_digests
            )
        if latest.version != router_state.version:
            messages['config'] = self._versions.message(
                router_state.version, self._accepted
            )
        return messages

    def _has_base_version(self, hello: pb.Hello) -> bool:
        """Whether the router has a version that a delta can be based on."""
        history = self._node.machine.history
        has_same_digest = (
            history.get(hello.config_version) == hello.config_digest
        )
        return has_same_digest and self._versions.has(hello.config_version)

    def _refresh_presence(self, now: float) -> None:
        if now < self._next_presence_at:
            return
        presence = _Presence(
            self._fleet.reachable_members(), self._fleet.leaving_names()
        )
        if self._presences.number and presence == self._latest_presence:
            return
        if self._presences.number:
            self._next_presence_at = now + _PRESENCE_INTERVAL_S
        self._latest_presence = presence
        self._presences.append(self._presences.number + 1, presence.members)

    def _make_presence(self, change: deltas.Change[pb.Member]) -> pb.Presence:
        return pb.Presence(
            members=change.put.values(),
            leaving=self._latest_presence.leaving,
            is_change=change.base > 0,
            removed=change.removed,
        )
