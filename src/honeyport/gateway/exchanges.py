"""State of a request while it is served."""

import asyncio
import collections.abc
import functools
import typing

import attrs
from tornado import httputil

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import event_timing
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import prepared
from honeyport.gateway import routes
from honeyport.gateway import silence_watch
from honeyport.ingress import held_bytes
from honeyport.policy import obstacles
from honeyport.policy import placement
from honeyport.policy import prefixes
from honeyport.policy import traits
from honeyport import sse

_LOWEST_PRIORITY = 9
# Callers get complete events only.
_MAX_EVENT_BYTES = 1024 * 1024
_WITH_BODY = ('POST', 'PUT', 'PATCH')


class Reply(typing.Protocol):
    """Writes the response to the caller."""

    @property
    def is_started(self) -> bool:
        """Whether the head of a response has been written."""

    @property
    def holding(self) -> held_bytes.Holding:
        """The bytes that are held for the request."""

    async def begin(self, head: attempt.Head) -> None:
        """Write the head of a stream."""

    async def write(self, chunk: bytes) -> None:
        """Write bytes of a stream."""

    async def end(self) -> None:
        """Finish a complete stream."""

    async def send_response(self, head: attempt.Head, body: bytes) -> None:
        """Write a complete response."""

    async def refuse(self, error: errors.HoneyportError) -> None:
        """Write an error, or close the connection if a response has begun."""


async def _seek_nothing(
    state: silence_watch.Silence,
) -> obstacles.Obstacle | None:
    return obstacles.Obstacle.NOT_REPEATABLE


@attrs.define
class Exchange:
    """A request, its attempts and its timings.

    :ivar deadline: loop time by which it needs its final response
    :ivar version: version of the configuration that admitted it
    :ivar watch: watches the attempt that is under way, if any
    :ivar seek: reserves the next attempt while that one is silent
    :ivar next_attempt: the attempt that was reserved, if it is made here
    :ivar is_retry_spent: whether the next attempt was taken from the budget
    :ivar is_silence_recorded: whether the instance of the last attempt is
        avoided for its silence
    :ivar on_bytes: called with the loop time at which bytes arrived
    :ivar fingerprint: identifies the request also if the caller sends it again
        under a new id (:mod:`honeyport.policy.fingerprints`)
    :ivar origin: name of the gateway that the caller sent it to, if this
        gateway forwards it for that one, or ``''``
    :ivar runs_before: number of attempts before, if that gateway made some
    :ivar tried: ids of the instances that were tried
    :ivar arrived: ids of those that the request was sent to
    :ivar offers: number of attempts, including refused ones
    :ivar possible_runs: number of attempts that may have run
    :ivar failed_response: error response of the last attempt, passed on if no
        other attempt follows
    :ivar via: name of the gateway that made the last attempt for this one, or
        ``''``
    :ivar via_address: address of that gateway for others
    :ivar failed_gateways: names of the gateways that did not forward it
    :ivar refusal: the error of the last of them
    :ivar attempt_version: software version of the instance of the last attempt
    :ivar stream_version: that of the instance that brought the first event;
        only instances of this version may go on with the stream. ``None``
        before the first event
    :ivar on_begun: called when the first event of a new stream is passed on
    :ivar framing: what marks the end of the last stream (``Head.framing``), or
        ``''``
    :ivar is_passed_on: whether a whole response was passed on before it was
        complete, so that no other attempt may follow
    :ivar remote_instance_id: id of the instance that answered through one
    :ivar has_permit: whether the leader permitted the last attempt
    :ivar is_response_begun: whether bytes of a response to it have arrived
    :ivar timing: times between the events of the stream
    :ivar reported_load: load that the instance reported with its last answer,
        as it was sent
    :ivar sent_at: loop time at which the last attempt was sent
    :ivar waited_s: wait for the lease, in seconds
    :ivar queued_s: total wait for slots of shared queues, in seconds
    :ivar queue_place: its place in the last queue; 0 if it did not wait
    :ivar queue_forecast_s: its forecast wait there, in seconds
    :ivar queue_reason: why it was refused there, or sent without a slot
    :ivar connect_s: total time spent on connecting, in seconds
    :ivar first_byte_s: time from its arrival to the first byte of a response,
        in seconds
    :ivar last_byte_at: loop time at which the last bytes of a response arrived
    :ivar no_retry: why no attempt followed the last one, or ``''``
    """

    request: gateway_headers.Request
    reply: Reply
    match: routes.Match
    service: str
    deadline: float
    version: int
    fingerprint: str
    splitter: sse.EventSplitter = attrs.field(factory=sse.EventSplitter)
    origin: str = ''
    runs_before: int = 0
    tried: set[str] = attrs.field(factory=set)
    arrived: list[str] = attrs.field(factory=list)
    offers: int = 0
    possible_runs: int = 0
    failed_response: attempt.Response | None = None
    choice: placement.Choice | None = None
    watch: silence_watch.SilenceWatch | None = None
    via: str = ''
    via_address: str = ''
    failed_gateways: set[str] = attrs.field(factory=set)
    refusal: errors.HoneyportError | None = None
    attempt_version: str = ''
    stream_version: str | None = None
    seek: silence_watch.Seek = _seek_nothing
    next_attempt: prepared.PreparedAttempt | None = None
    is_retry_spent: bool = False
    is_silence_recorded: bool = False
    on_bytes: 'BytesCallback' = attrs.field(default=lambda at: None)
    on_begun: 'StreamCallback' = attrs.field(default=lambda exchange: None)
    framing: str = ''
    is_passed_on: bool = False
    remote_instance_id: str = ''
    has_permit: bool = False
    is_response_begun: bool = False
    timing: event_timing.EventTiming = attrs.field(
        factory=event_timing.EventTiming
    )
    reported_load: str = ''
    sent_at: float = 0.0
    waited_s: float = 0.0
    queued_s: float = 0.0
    queue_place: int = 0
    queue_forecast_s: float | None = None
    queue_reason: str = ''
    connect_s: float = 0.0
    first_byte_s: float | None = None
    last_byte_at: float = 0.0
    no_retry: str = ''

    @property
    def may_have_run(self) -> bool:
        """Whether an instance may have run the request."""
        return self.possible_runs > 0

    @property
    def own_runs(self) -> int:
        """Number of attempts of this gateway that may have run."""
        return self.possible_runs - self.runs_before

    @property
    def may_repeat(self) -> bool:
        """Whether the route allows another run."""
        route = self.match.route
        if self.is_passed_on:
            return False
        return route.repeatable and self.possible_runs < route.attempts

    @property
    def instance_id(self) -> str:
        """Id of the last instance tried, or ``''``."""
        return self.choice.instance.id if self.choice else ''

    @property
    def current_instance_id(self) -> str:
        """Id of the last instance tried, also through another gateway."""
        return self.remote_instance_id if self.via else self.instance_id

    @property
    def parts(self) -> tuple[prefixes.Part, ...]:
        """Prompt parts, if the instances cache prefixes."""
        return self.request.parts if self.match.route.prefix_cached else ()

    @functools.cached_property
    def traits(self) -> traits.Traits:
        """What the request may have in common with others."""
        shared = prefixes.shared_parts(self.request.parts)
        return traits.Traits(
            self.fingerprint,
            self.service,
            self.match.account,
            tuple(part.id for part in shared[: traits.MAX_PARTS]),
        )

    def caller_headers(
        self, names: gateway_headers.HeaderNames
    ) -> httputil.HTTPHeaders:
        """Return the caller's headers, and where to resume a stream."""
        headers = self.request.headers.copy()
        if self.splitter.last_event_id:
            headers[names.last_event] = self.splitter.last_event_id
        return headers

    def headers(
        self, names: gateway_headers.HeaderNames, instance: placement.Instance
    ) -> httputil.HTTPHeaders:
        """Return the headers of an attempt on an instance."""
        request = self.request
        headers = self.caller_headers(names)
        remaining_s = self.deadline - asyncio.get_running_loop().time()
        headers[names.deadline_ms] = str(max(1, int(remaining_s * 1000)))
        headers[names.expected_instance] = instance.id
        if self.match.account:
            headers[names.account] = self.match.account
        priority = max(0, min(self.match.priority, _LOWEST_PRIORITY))
        headers[names.priority] = str(priority)
        if self.choice is not None and self.choice.source is not None:
            headers[names.copy_from] = self.choice.source.address
        if request.body or request.method in _WITH_BODY:
            headers['Content-Length'] = str(len(request.body))
        return headers

    @property
    def is_under_way(self) -> bool:
        """Whether an attempt is being made."""
        return self.watch is not None

    @property
    def silent_s(self) -> float | None:
        """Time since the last attempt was sent, or since its last byte.

        :returns: seconds, or ``None`` if no attempt was sent
        """
        if not self.sent_at:
            return None
        now = asyncio.get_running_loop().time()
        return now - max(self.sent_at, self.last_byte_at)

    def timing_fields(self) -> dict[str, typing.Any]:
        """Return the log fields with the timings of the request."""
        fields: dict[str, typing.Any] = {
            'waited_ms': round(self.waited_s * 1000, 1),
            'connect_ms': round(self.connect_s * 1000, 1),
            'first_ms': to_ms(self.first_byte_s),
        } | self.timing.log_fields(self.request.received)
        if self.queued_s:
            fields['queued_ms'] = round(self.queued_s * 1000, 1)
        if self.queue_place:
            fields['place'] = self.queue_place
        if self.queue_forecast_s is not None:
            fields['forecast_ms'] = to_ms(self.queue_forecast_s)
        if self.queue_reason:
            fields['queue_reason'] = self.queue_reason
        return fields

    def record_place(self, place: int, forecast_s: float) -> None:
        """Record that it waits in a shared queue."""
        self.queue_place = place
        self.queue_forecast_s = forecast_s

    # -- attempt.Relay ---------------------------------------------------

    async def begin(self, head: attempt.Head) -> None:
        """Pass on the head of a stream, unless the stream is resumed."""
        self.framing = head.framing
        if self.reply.is_started:
            return
        if self.origin:
            # The other gateway has been told the version.
            self.stream_version = self.attempt_version
        await self.reply.begin(head)

    async def write_events(self, chunk: bytes) -> None:
        """Pass on complete events."""
        complete = self.splitter.feed(chunk)
        partial_bytes = len(self.splitter.partial())
        if partial_bytes > _MAX_EVENT_BYTES:
            raise errors.ResponseTooLarge(
                f'over {_MAX_EVENT_BYTES} bytes in an event'
            )
        self.reply.holding.update(held_bytes.EVENT, partial_bytes)
        if self.splitter.has_events and self.stream_version is None:
            self.stream_version = self.attempt_version
            self.on_begun(self)
        if not complete:
            return
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        self.timing.record_events(self.splitter.events, arrived_at)
        await self._write(complete)
        self.timing.record_write(loop.time() - arrived_at)

    def check_end(self) -> None:
        """Check that a stream that ends here is whole.

        :raises errors.BackendLost: if it is not
        """
        reason = self.splitter.describe_cut(
            is_resumed=bool(self.request.last_event_id)
        )
        if reason:
            raise errors.BackendLost(reason)

    def on_collected(self, size: int) -> bool:
        """Count the bytes of a response that is collected.

        :returns: whether it is to be passed on before it is complete; never
            if a stream has begun, which it cannot go on with
        """
        self.reply.holding.update(held_bytes.ANSWER, size)
        return (
            not self.reply.is_started
            and self.reply.holding.passes_on_unfinished(size)
        )

    def on_reading(self, cut_off: held_bytes.CutOff | None) -> None:
        """Have the response cut off if it takes too much memory."""
        self.reply.holding.set_cut_off(cut_off)

    async def write_unfinished(self, head: attempt.Head, body: bytes) -> None:
        """Pass on the start of a response that is not collected further."""
        self.is_passed_on = True
        # No other attempt may follow, so that a pause does not end this one.
        if self.watch is not None:
            self.watch.stop()
        self.framing = head.framing
        self.reply.holding.update(held_bytes.ANSWER, 0)
        await self.reply.begin(head)
        await self._write(body)

    async def write_body(self, chunk: bytes) -> None:
        """Pass on further bytes of it."""
        await self._write(chunk)

    async def _write(self, chunk: bytes) -> None:
        """Write to the caller; the instance is not silent meanwhile."""
        if self.watch is not None:
            self.watch.pause()
        await self.reply.write(chunk)
        if self.watch is not None:
            self.watch.reset()

    def on_activity(self) -> None:
        """Record that bytes arrived, and restart the silence timeout."""
        self.is_response_begun = True
        self.last_byte_at = asyncio.get_running_loop().time()
        self.on_bytes(self.last_byte_at)
        if self.first_byte_s is None:
            self.first_byte_s = self.last_byte_at - self.request.received
        if self.watch is not None:
            self.watch.reset()


BytesCallback = collections.abc.Callable[[float], None]
# Called with the exchange of a stream.
StreamCallback = collections.abc.Callable[[Exchange], None]


def to_ms(seconds: float | None) -> float | None:
    """Return a time in milliseconds, as log lines have it."""
    return None if seconds is None else round(seconds * 1000, 1)
