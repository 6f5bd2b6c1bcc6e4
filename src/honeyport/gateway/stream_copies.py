"""Copies of the records of streams at other gateways.

Which gateways have a copy follows from the id of the request that began the
stream, by rendezvous hashing, so that any gateway knows whom to ask.
"""

import asyncio
import collections.abc

from honeyport import errors
from honeyport.policy import begun_streams
from honeyport.policy import hashing
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Gateways that keep copies. Limits the number of links in a large fleet.
_MAX_KEEPERS = 64
# Copies of each record.
_COPIES = 2
# Records for the same gateway are collected for this time.
_BATCH_S = 0.02
# A gateway that could not be told gets no records for this time.
_PAUSE_S = 1.0


class StreamCopies:
    """Chooses the gateways that keep copies of a record, and tells them.

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
        self._waiting: dict[str, list[begun_streams.BegunStream]] = {}
        self._sender: asyncio.Task[None] | None = None
        self._paused_until: dict[str, float] = {}
        self._members: list[pb.Member] = []
        self._keepers: dict[str, pb.Member] = {}

    def close(self) -> None:
        """Send no more records."""
        if self._sender is not None:
            self._sender.cancel()

    def rank(self, request_id: str, limit: int) -> list[pb.Member]:
        """Return other gateways, those that have a copy first.

        The first two are of different failure domains, if there are any.

        :param request_id: id of the request that began the stream
        :param limit: the maximum number of gateways
        """
        if self._members is not self._state.serving_routers:
            self._members = self._state.serving_routers
            self._keepers = self._choose_keepers()
        ranked = [
            self._keepers[name]
            for name in hashing.iter_ranked(request_id, self._keepers)
        ]
        for index, member in enumerate(ranked):
            if member.domain != ranked[0].domain:
                ranked.insert(1, ranked.pop(index))
                break
        return ranked[:limit]

    def send(
        self, streams: collections.abc.Iterable[begun_streams.BegunStream]
    ) -> None:
        """Put streams into the next messages to the gateways for them."""
        now = _now()
        for stream in streams:
            reachable = [
                member
                for member in self.rank(stream.request_id, _MAX_KEEPERS)
                if self._paused_until.get(member.router, 0.0) <= now
            ]
            for member in reachable[:_COPIES]:
                self._waiting.setdefault(member.router, []).append(stream)
        if self._waiting and (self._sender is None or self._sender.done()):
            self._sender = asyncio.create_task(self._send_waiting())

    def _choose_keepers(self) -> dict[str, pb.Member]:
        """Return the other gateways that keep copies, by name."""
        members = {
            member.router: member
            for member in self._members
            if member.peer_address
        }
        names = hashing.rank('', members, _MAX_KEEPERS)
        return {name: members[name] for name in names if name != self._name}

    async def _send_waiting(self) -> None:
        while self._waiting:
            await asyncio.sleep(_BATCH_S)
            waiting, self._waiting = self._waiting, {}
            addresses = {
                member.router: member.peer_address
                for member in self._state.serving_routers
            }
            await asyncio.gather(
                *(
                    self._send_to(name, addresses[name], streams)
                    for name, streams in waiting.items()
                    if name in addresses
                )
            )

    async def _send_to(
        self,
        gateway: str,
        address: str,
        streams: list[begun_streams.BegunStream],
    ) -> None:
        """Send records to a gateway; if it is gone, to the next ones."""
        begun = pb.BegunStreams(streams=map(encode, streams))
        try:
            await self._links.get(address).tell(begun)
        except errors.NotSent as error:
            logs.emit(
                events.STREAMS_NOT_TOLD,
                peer=gateway,
                streams=len(streams),
                detail=error.detail,
            )
            self._paused_until[gateway] = _now() + _PAUSE_S
            self.send(streams)
            return
        self._metrics.count('streams_told', len(streams))
        self._metrics.count('stream_messages')


def encode(stream: begun_streams.BegunStream) -> pb.BegunStream:
    """Return the message for a record."""
    lifetime_s = max(0.0, stream.expires_at - _now())
    return pb.BegunStream(
        request_id=stream.request_id,
        service=stream.service,
        version=stream.version,
        lifetime_ms=int(lifetime_s * 1000),
    )


def decode(message: pb.BegunStream) -> begun_streams.BegunStream:
    """Return the record in a message."""
    return begun_streams.BegunStream(
        message.request_id,
        message.service,
        message.version,
        _now() + message.lifetime_ms / 1000,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
