"""Which software version began a stream, known to several gateways.

A caller takes a broken stream up at any gateway, often since the first one is
gone. While several versions of a service may have streams, the gateway that
passes on a first event tells two others, which are chosen by rendezvous
hashing of the request's id. The gateway that takes a stream up asks these
first. Without a record, the only version that can have begun it did: the only
one that control has on record (:mod:`honeyport.policy.version_records`), or
that the list has shown for as long as a stream lasts
(:mod:`honeyport.policy.versions`). Else the request is refused.
"""

import asyncio
import typing

import attrs

from honeyport import errors
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import routes
from honeyport.gateway import stream_copies
from honeyport.policy import begun_streams
from honeyport.policy import version_records
from honeyport.policy import versions
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Streams that may last longer are always told to other gateways.
_MAX_STREAM_S = 20.0
# Gateways asked first: those with copies, also if the ranking has changed by
# the one that told them or by one that is gone.
_FIRST_ASKED = 4
# All that are asked.
_MAX_ASKED = 16
# Timeout of each of the two rounds of questions.
_ASK_TIMEOUT_S = 0.12
# Control silent for longer may have sent newer lists to others.
_MAX_SILENCE_S = 0.6
# A record is kept for this time at most.
_MAX_RECORD_S = 600.0
# Retry-After while another gateway may still know a version, in seconds.
_RETRY_AFTER_S = 0.3
# Within this time after the start, others may not be back either.
_STARTING_S = 3.0


@attrs.frozen
class Origin:
    """What began a stream.

    :ivar known_by: name of the gateway that knew it, ``'list'`` if the list
        of instances has shown no other version
    """

    service: str
    version: str
    known_by: str


class StreamDirectory:
    """Records the versions of streams and finds those of other gateways.

    :param name: name of this gateway
    :param state: this instance's view of the fleet
    :param links: links to the other gateways
    """

    def __init__(
        self,
        name: str,
        state: fleetstate.FleetState,
        links: relay.PeerLinks,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._state = state
        self._links = links
        self._metrics = counters
        self._copies = stream_copies.StreamCopies(name, state, links, counters)
        self._history = versions.VersionHistory(_MAX_STREAM_S)
        self._own = begun_streams.Records()
        self._held = begun_streams.Records()
        self._shared_services: set[str] = set()
        # The only version on record by service, and the list with the record.
        self._on_record: dict[str, str | None] = {}
        self._record_number = 0
        self._is_leaving = False
        counters.gauge('streams_recorded', lambda: len(self._own))
        counters.gauge('streams_held', lambda: len(self._held))

    def close(self) -> None:
        """Send no more records."""
        self._copies.close()

    def observe(self, listed: versions.Versions) -> None:
        """Record that control was heard, and the versions of each service.

        Once a service may have streams of several versions, its streams that
        are under way are told, too.
        """
        now = _now()
        self._history.observe(now, listed)
        shared = {
            service
            for service in self._history.services
            if self._only_possible(service, now) is None
        }
        newly_shared = shared - self._shared_services
        self._shared_services = shared
        if newly_shared:
            self._copies.send(
                stream
                for stream in self._own.live(now)
                if stream.service in newly_shared
            )

    def hand_over(self) -> None:
        """Tell other gateways all that is known here, before the end."""
        self._is_leaving = True
        for records in (self._own, self._held):
            self._copies.send(records.live(_now()))

    def record(
        self, stream: begun_streams.BegunStream, timeout_s: float
    ) -> None:
        """Record a stream whose first event is passed on.

        :param timeout_s: the longest time that its route allows for it
        """
        now = _now()
        lifetime_s = min(_MAX_RECORD_S, stream.expires_at - now)
        stream = attrs.evolve(stream, expires_at=now + lifetime_s)
        self._own.add(stream, now)
        only_version = self._only_version(
            stream.service, max(lifetime_s, timeout_s)
        )
        if self._is_leaving or only_version is None:
            self._copies.send([stream])

    async def find(
        self, request: gateway_headers.Request, match: routes.Match
    ) -> Origin:
        """Return what began the stream that a request takes up.

        :raises errors.StreamUnknown: if it is not known
        """
        started_at = _now()
        began_as = request.resumes
        services = list(match.route.weights)
        service = services[0] if len(services) == 1 else ''
        search = _Search(pb.StreamLookup(request_id=began_as, service=service))
        # It may have begun long before this request.
        timeout_s = match.route.timeout_ms / 1000
        longest_s = max(timeout_s, request.deadline - started_at)
        origin = await self._search(search, longest_s)
        fields: dict[str, typing.Any] = {
            'request': request.request_id,
            'began_as': began_as,
            'route': match.name,
            'asked': search.asked,
            'unanswered': search.unanswered,
            'took_ms': round((_now() - started_at) * 1000, 1),
        }
        outcome = 'unknown' if origin is None else 'found'
        self._metrics.count('streams_taken_up', outcome=outcome)
        if origin is None:
            logs.emit(
                events.STREAM_UNKNOWN,
                versions=sorted(self._history.versions(service)),
                **fields,
            )
            raise errors.StreamUnknown(
                f'none of {search.asked} gateways knows the version of the '
                f'stream that {began_as or "an unnamed request"} began',
                retry_after=self._retry_after_s(search, longest_s),
            )
        logs.emit(
            events.STREAM_TAKEN_UP,
            service=origin.service,
            version=origin.version,
            known_by=origin.known_by,
            **fields,
        )
        if began_as:
            self.record(
                begun_streams.BegunStream(
                    began_as, origin.service, origin.version, request.deadline
                ),
                timeout_s,
            )
        return origin

    async def _search(
        self, search: '_Search', lifetime_s: float
    ) -> Origin | None:
        lookup = search.lookup
        stream = self._find(lookup.request_id)
        if stream is not None:
            return Origin(stream.service, stream.version, self._name)
        only_version = self._only_version(lookup.service, lifetime_s)
        is_current = self._history.silence_s(_now()) <= _MAX_SILENCE_S
        ranked = self._copies.rank(lookup.request_id, _MAX_ASKED)
        origin = await self._ask(search, ranked[:_FIRST_ASKED])
        if origin is not None:
            return origin
        # Control is also heard while a large list waits to be sent.
        has_newest = search.newest_list <= self._state.instances.number
        if only_version and has_newest and (is_current or search.answered):
            return Origin(lookup.service, only_version, 'list')
        origin = await self._ask(search, ranked[_FIRST_ASKED:_MAX_ASKED])
        if origin is not None or lifetime_s > _MAX_STREAM_S:
            return origin
        return self._accept_only_origin(search)

    def _retry_after_s(self, search: '_Search', longest_s: float) -> float:
        """Return when the version of a stream may be known, in seconds."""
        now = _now()
        may_be_known_elsewhere = (
            search.unanswered > 0
            or self._history.known_for_s(now) < _STARTING_S
            or self._history.silence_s(now) > _MAX_SILENCE_S
        )
        if may_be_known_elsewhere:
            return _RETRY_AFTER_S
        service = search.lookup.service
        if not service or longest_s > _MAX_STREAM_S:
            return _MAX_STREAM_S  # No list can settle it.
        return max(_RETRY_AFTER_S, self._history.settled_in_s(service, now))

    def _accept_only_origin(self, search: '_Search') -> Origin | None:
        """Return what the newest list says, unless the own one differs.

        A gateway with an older list does not know what others have begun.
        """
        origin = search.only_origin
        newest_list = max(search.newest_list, self._state.instances.number)
        if origin is None or search.origin_list < newest_list:
            return None
        own_versions = self._history.versions(origin.service)
        return origin if own_versions <= {origin.version} else None

    async def _ask(
        self, search: '_Search', members: list[pb.Member]
    ) -> Origin | None:
        """Ask gateways at once; return the first record of the stream."""
        if not members:
            return None
        tasks = [
            asyncio.create_task(self._ask_one(search, member))
            for member in members
        ]
        search.asked += len(tasks)
        try:
            async with asyncio.timeout(_ASK_TIMEOUT_S):
                for task in asyncio.as_completed(tasks):
                    origin = await task
                    if origin:
                        return origin
        except TimeoutError:
            # The line about the whole search has this number.
            search.unanswered += sum(not task.done() for task in tasks)
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _ask_one(
        self, search: '_Search', member: pb.Member
    ) -> Origin | None:
        link = self._links.get(member.peer_address)
        try:
            found = await link.look_up(search.lookup)
        except (errors.NotSent, errors.PeerLost):
            search.unanswered += 1
            return None
        search.answered += 1
        search.newest_list = max(search.newest_list, found.list_number)
        if found.HasField('stream'):
            stream = found.stream
            return Origin(stream.service, stream.version, member.router)
        is_newer = found.list_number > search.origin_list
        if found.HasField('only_version') and is_newer:
            search.origin_list = found.list_number
            search.only_origin = Origin(
                search.lookup.service, found.only_version, member.router
            )
        return None

    def _only_version(self, service: str, lifetime_s: float) -> str | None:
        """Return the only version that can have begun a stream."""
        if lifetime_s > _MAX_STREAM_S:
            return None
        return self._only_possible(service, _now())

    def _only_possible(self, service: str, now: float) -> str | None:
        """Return the only version that can have begun streams.

        This gateway may have started after they began, and asks the record.
        """
        instance_list = self._state.instances
        if instance_list.number != self._record_number:
            self._record_number = instance_list.number
            self._on_record = {
                message.service: version_records.only_version(message.versions)
                for message in instance_list.versions
            }
        on_record = self._on_record.get(service)
        return on_record or self._history.only_version(service, now)

    def _find(self, request_id: str) -> begun_streams.BegunStream | None:
        now = _now()
        own = self._own.find(request_id, now)
        return own or self._held.find(request_id, now)

    # -- relay.StreamRecords ---------------------------------------------

    def add(self, begun: pb.BegunStreams) -> None:
        """Record streams that another gateway told."""
        for message in begun.streams:
            self._held.add(stream_copies.decode(message), _now())

    def look_up(self, lookup: pb.StreamLookup) -> pb.StreamFound:
        """Answer another gateway what is known here."""
        list_number = self._state.instances.number
        stream = self._find(lookup.request_id)
        if stream is not None:
            return pb.StreamFound(
                stream=stream_copies.encode(stream), list_number=list_number
            )
        now = _now()
        version = None
        if self._history.silence_s(now) <= _MAX_SILENCE_S:
            version = self._only_possible(lookup.service, now)
        return pb.StreamFound(only_version=version, list_number=list_number)


@attrs.define
class _Search:
    """The search for a stream.

    :ivar asked: number of gateways that were asked
    :ivar answered: number of those that answered
    :ivar unanswered: number of those that did not
    :ivar newest_list: number of the newest list that one of them has
    :ivar only_origin: the only version that another gateway's list has shown
    :ivar origin_list: number of that list
    """

    lookup: pb.StreamLookup
    asked: int = 0
    answered: int = 0
    unanswered: int = 0
    newest_list: int = 0
    only_origin: Origin | None = None
    origin_list: int = 0


def _now() -> float:
    return asyncio.get_running_loop().time()
