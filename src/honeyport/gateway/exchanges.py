"""A request while it is served: the caller's side, and what was tried."""

import asyncio
import typing

import attrs
from tornado import httputil

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import routes
from honeyport.gateway import silence_timeout
from honeyport.gateway import sse
from honeyport.policy import placement
from honeyport.policy import prefixes

_LOWEST_PRIORITY = 9
_WITH_BODY = ('POST', 'PUT', 'PATCH')


class Reply(typing.Protocol):
    """The caller's side of an exchange."""

    @property
    def started(self) -> bool:
        """Whether the head of an answer was written."""

    async def begin(self, head: attempt.Head) -> None:
        """Write the head of a stream."""

    async def write(self, chunk: bytes) -> None:
        """Write a part of a stream."""

    async def end(self) -> None:
        """End a stream as complete."""

    async def answer(self, head: attempt.Head, body: bytes) -> None:
        """Write a whole answer."""

    async def refuse(self, error: errors.HoneyportError) -> None:
        """Write our own failure; cut the answer if it has begun."""


@attrs.define
class Exchange:
    """What is known of a request while it is served.

    :ivar until: loop time by which it has its final answer
    :ivar version: of the configuration that admitted it
    :ivar fingerprint: the same for each attempt of the same request
    :ivar tried: the instances that it was offered to
    :ivar runs: how many of them may have run it
    :ivar failure: the last one's answer, a failure that may be passed on
    :ivar waited_s: until this gateway might send it, in seconds
    :ivar connect_s: spent on connections to instances, in seconds
    :ivar first_s: from its arrival to the start of an answer, in seconds
    """

    request: gateway_headers.Request
    reply: Reply
    match: routes.Match
    service: str
    until: float
    version: int
    fingerprint: str
    splitter: sse.Splitter = attrs.field(factory=sse.Splitter)
    tried: set[str] = attrs.field(factory=set)
    offers: int = 0
    runs: int = 0
    failure: attempt.Answer | None = None
    choice: placement.Choice | None = None
    silence: silence_timeout.Watch | None = None
    waited_s: float = 0.0
    connect_s: float = 0.0
    first_s: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an instance that got it has not said it did not run."""
        return self.runs > 0

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run on one more instance."""
        route = self.match.route
        return route.repeatable and self.runs < route.attempts

    @property
    def instance_id(self) -> str:
        """The instance that it was offered to last, or ``''``."""
        return self.choice.instance.id if self.choice else ''

    @property
    def parts(self) -> tuple[prefixes.Part, ...]:
        """The parts of its prompt, if instances cache them."""
        return self.request.parts if self.match.route.prefix_cached else ()

    def headers(
        self, names: gateway_headers.HeaderNames, instance: placement.Instance
    ) -> httputil.HTTPHeaders:
        """Return the headers of the next offer, to an instance."""
        request = self.request
        headers = request.headers.copy()
        left_s = self.until - asyncio.get_running_loop().time()
        headers[names.deadline_ms] = str(max(1, int(left_s * 1000)))
        headers[names.expected_instance] = instance.id
        if self.match.account:
            headers[names.account] = self.match.account
        priority = max(0, min(self.match.priority, _LOWEST_PRIORITY))
        headers[names.priority] = str(priority)
        if self.choice is not None and self.choice.source is not None:
            headers[names.copy_from] = self.choice.source.address
        if self.splitter.last_id:
            headers[names.last_event] = self.splitter.last_id
        if request.body or request.method in _WITH_BODY:
            headers['Content-Length'] = str(len(request.body))
        return headers

    def stages(self) -> dict[str, typing.Any]:
        """Return the fields of a log line that say where its time went."""
        return {
            'waited_ms': round(self.waited_s * 1000, 1),
            'connect_ms': round(self.connect_s * 1000, 1),
            'first_ms': _milliseconds(self.first_s),
        }

    # -- what an attempt tells -------------------------------------------

    async def begin(self, head: attempt.Head) -> None:
        """Pass on the head of a stream; a resumed one has its first."""
        if not self.reply.started:
            await self.reply.begin(head)

    async def events(self, chunk: bytes) -> None:
        """Pass on whole events."""
        whole = self.splitter.feed(chunk)
        if whole:
            await self.reply.write(whole)

    def hear(self) -> None:
        """Note that the instance said something."""
        if self.first_s is None:
            now = asyncio.get_running_loop().time()
            self.first_s = now - self.request.received
        if self.silence is not None:
            self.silence.hear()


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
