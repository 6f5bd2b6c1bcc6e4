"""Requests that another gateway forwards, as this one cannot reach a service.

The other gateway makes one attempt that may run the request. This one decides
about further attempts, so that they are counted in one place.
"""

import asyncio
import collections
import collections.abc
import contextlib
import http
import random

import attrs
from tornado import httputil

from honeyport import errors
from honeyport import exchange as messages
from honeyport.gateway import attempt
from honeyport.gateway import exchanges
from honeyport.gateway import headers as gateway_headers
from honeyport.router import fleetstate
from honeyport.router import relay
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

# Errors after which another gateway may be asked: the request did not arrive
# at an instance.
REFUSALS = (
    errors.NotSent,
    errors.NoInstance,
    errors.ServiceUnreachable,
    errors.NotReady,
    errors.Draining,
    errors.Overloaded,
)
# Errors of the other gateway itself.
FAILURES = (*REFUSALS, errors.PeerLost)
# Those that the next request would meet, too.
_LASTING_FAILURES = (
    errors.NotSent,
    errors.ServiceUnreachable,
    errors.Draining,
    errors.PeerLost,
)
# Gateways that are asked to forward one request.
MAX_GATEWAYS = 3
# Pause of a gateway that could not forward a request. Then its own report says
# whether it is cut off.
_GATEWAY_PAUSE_S = 0.5
# A load that a gateway reported counts for this time.
_LOAD_MAX_AGE_S = 1.0
# Timeout of a question to a gateway whose instance is silent. It covers a
# round trip between regions.
_PROBE_TIMEOUT_S = 0.3
# Retry-After if no gateway forwards the request.
_RETRY_AFTER_S = 0.5


@attrs.frozen
class _ReportedLoad:
    """The number of requests in flight at a gateway, and when it said so."""

    running: int
    at: float


class Detours:
    """Sends requests through other gateways.

    :param name: name of this gateway
    :param domain: failure domain of this gateway
    :param regions: region of each failure domain
    :param state: this instance's view of the fleet
    :param names: header names
    :param links: links to the other gateways
    """

    def __init__(
        self,
        name: str,
        domain: str,
        regions: collections.abc.Mapping[str, str],
        state: fleetstate.FleetState,
        names: gateway_headers.HeaderNames,
        links: relay.PeerLinks,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._domain = domain
        self._regions = regions
        self._state = state
        self._names = names
        self._metrics = counters
        self._links = links
        self._paused_until: dict[tuple[str, str], float] = {}
        self._reported: dict[str, _ReportedLoad] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        counters.gauge('detours_running', lambda: self._outstanding.total())

    def reached_by(self, service: str) -> list[str]:
        """Return the names of the other gateways that reach a service.

        One that got no request for it lately may not know that it does not.
        """
        return [member.router for member in self._iter_reaching(service)]

    def _iter_reaching(
        self, service: str
    ) -> collections.abc.Iterator[pb.Member]:
        """Yield the other gateways that reach a service."""
        for member in self._state.serving_routers:
            is_other = member.router != self._name and member.peer_address
            if is_other and service not in member.cut_off:
                yield member

    def check_available(self, exchange: exchanges.Exchange) -> None:
        """Check that a request may be sent through another gateway.

        :raises errors.ServiceUnreachable: if there is none, or if it came from
            another gateway
        """
        if exchange.origin:
            raise errors.ServiceUnreachable(
                f'{exchange.service} cannot be reached from here',
                retry_after=_RETRY_AFTER_S,
            )
        self.choose(exchange)

    async def is_answering(self, exchange: exchanges.Exchange) -> bool:
        """Whether the gateway that makes an attempt answers a question."""
        link = self._links.get(exchange.via_address)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                await link.look_up(pb.StreamLookup())
        except (TimeoutError, errors.NotSent, errors.PeerLost) as error:
            logs.emit(
                events.GATEWAY_SILENT,
                request=exchange.request.request_id,
                peer=exchange.via,
                error=repr(error),
            )
            return False
        return True

    def choose(self, exchange: exchanges.Exchange) -> pb.Member:
        """Return the gateway that is to forward a request.

        The less loaded of two random ones is chosen, so that gateways with
        the same information do not all choose the same one. Those of the same
        region are preferred; others get no request that must stay there.

        :raises errors.ServiceUnreachable: if there is none left to ask
        """
        now = _now()
        allowed_regions = exchange.match.regions
        available = [
            member
            for member in self._iter_reaching(exchange.service)
            if member.router not in exchange.failed_gateways
            and self._pause_end(member, exchange.service) <= now
            and (
                allowed_regions is None
                or self._regions.get(member.domain) in allowed_regions
            )
        ]
        own_region = self._regions.get(self._domain)
        candidates = [
            member
            for member in available
            if self._regions.get(member.domain) == own_region
        ] or available
        if not candidates:
            raise errors.ServiceUnreachable(
                f'no gateway reaches {exchange.service}',
                retry_after=_RETRY_AFTER_S,
            )
        drawn = random.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self._load)

    async def send(
        self, exchange: exchanges.Exchange, member: pb.Member
    ) -> attempt.Response:
        """Send a request through another gateway.

        :raises errors.HoneyportError: if it failed there; its class tells
            whether the request may have run
        """
        self._metrics.count('detours', service=exchange.service)
        link = self._links.get(member.peer_address)
        answer = link.answer(self._to_call(exchange), '')
        self._outstanding[member.router] += 1
        try:
            async with contextlib.aclosing(answer):
                response = await self._read(exchange, member.router, answer)
        except _LASTING_FAILURES:
            self._paused_until[member.router, exchange.service] = (
                _now() + _GATEWAY_PAUSE_S
            )
            raise
        finally:
            self._outstanding[member.router] -= 1
        return response

    async def _read(
        self,
        exchange: exchanges.Exchange,
        gateway: str,
        answer: messages.Answer,
    ) -> attempt.Response:
        """Read an answer, and pass on events while they arrive.

        :raises errors.AnswerCut: if it is incomplete
        :raises errors.BackendLost: if it is a stream that is not whole
        :raises errors.ForeignAnswer: if it is a stream of another software
            version than the one that began it
        """
        head: attempt.Head | None = None
        body = bytearray()
        is_relayed = False
        length = 0
        async for frame in answer:
            exchange.on_activity()
            if isinstance(frame, messages.Head):
                head = _to_head(frame)
                exchange.remote_instance_id = frame.backend
                self._reported[gateway] = _ReportedLoad(frame.running, _now())
                has_digest = bool(head.headers.get(self._names.digest))
                is_relayed = head.is_success and head.is_stream and has_digest
                exchange.attempt_version = frame.version
                if is_relayed:
                    _check_version(exchange, gateway)
                    await exchange.begin(head)
            elif isinstance(frame, messages.Data):
                length += len(frame.payload)
                if is_relayed:
                    await exchange.write_events(frame.payload)
                else:
                    body += frame.payload
                    exchange.on_collected(len(body))
            elif head is not None and frame.length == length:
                if is_relayed:
                    exchange.check_end()
                return attempt.Response(head, bytes(body), is_relayed)
        raise errors.AnswerCut(f'{gateway} sent an incomplete answer')

    def _to_call(self, exchange: exchanges.Exchange) -> messages.Call:
        request = exchange.request
        headers = exchange.caller_headers(self._names)
        return messages.Call(
            request_id=request.request_id,
            service=exchange.service,
            account=exchange.match.account,
            chat='',
            method=request.method,
            path=request.target,
            deadline=exchange.deadline,
            headers=tuple(headers.get_all()),
            body=request.body,
            attempt=exchange.possible_runs,
            origin=self._name,
            route=exchange.match.name,
            config_version=exchange.version,
            offers=exchange.offers,
            tried=tuple(exchange.arrived),
            version=exchange.stream_version,
        )

    def _load(self, member: pb.Member) -> tuple[int, bool, float]:
        """Return a sort key: the load of a gateway, then its distance."""
        running = self._outstanding[member.router]
        reported = self._reported.get(member.router)
        if reported and reported.at > _now() - _LOAD_MAX_AGE_S:
            running = max(running, reported.running)
        return (
            running,
            member.domain != self._domain,
            random.random(),
        )

    def _pause_end(self, member: pb.Member, service: str) -> float:
        """Return the loop time until which a gateway is not asked."""
        return self._paused_until.get((member.router, service), 0.0)


def _check_version(exchange: exchanges.Exchange, gateway: str) -> None:
    """Check the version of a stream that goes on.

    Older gateways neither choose by it nor name it.

    :raises errors.ForeignAnswer: if it is not the one that began the stream
    """
    version = exchange.attempt_version
    began_at = exchange.stream_version
    if began_at is not None and (not version or version != began_at):
        raise errors.ForeignAnswer(
            f'{gateway} sent a stream of version {version!r}, but '
            f'{began_at!r} began it'
        )


def _to_head(frame: messages.Head) -> attempt.Head:
    headers = httputil.HTTPHeaders()
    for name, value in frame.headers:
        headers.add(name, value)
    try:
        reason = http.HTTPStatus(frame.status).phrase
    except ValueError:
        reason = 'Unknown'
    return attempt.Head(frame.status, reason, headers)


def _now() -> float:
    return asyncio.get_running_loop().time()
