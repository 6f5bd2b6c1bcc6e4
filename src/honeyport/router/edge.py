"""The base of the HTTP handlers for callers.

Each API is a module with a handler that is registered by :func:`register`.
"""

import asyncio
import contextlib
import json
import time
import typing
import uuid

import attrs
from tornado import iostream
from tornado import web

from honeyport import clock
from honeyport import errors
from honeyport import exchange
from honeyport.router import claims
from honeyport.router import dispatch
from honeyport.router import fleetstate
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.telemetry import traces

ACCOUNT = 'Honeyport-Account'
CHAT = 'Honeyport-Chat'
DEADLINE = 'Honeyport-Deadline'
LINGER = 'Honeyport-Linger'
PLACEMENT = 'Honeyport-Placement'
PRIORITY = 'Honeyport-Priority'
REQUEST_ID = 'X-Request-Id'
KEY = 'Idempotency-Key'
LAST_EVENT = 'Last-Event-ID'

_MAX_BUFFERED_BYTES = 1024 * 1024  # before a body is streamed
# Between the error event and the end of the connection: some clients, among
# them tornado's, drop data that arrives together with the end.
_ERROR_EVENT_DELAY_S = 0.05
# After the deadline: time to release the claim of a request that was not run
# and to report that.
_DEADLINE_GRACE_S = 0.5
_EVENT_STREAM = 'text/event-stream'

_ROUTES: list[tuple[str, type['Handler']]] = []

HandlerType = typing.TypeVar('HandlerType', bound='type[Handler]')


@attrs.frozen(kw_only=True)
class Services:
    """The parts of the router that the handlers use."""

    name: str
    state: fleetstate.FleetState
    dispatcher: dispatch.Dispatcher
    guard: claims.IdempotencyGuard
    tracer: traces.Tracer
    counters: metrics.Metrics
    gate: 'Gate'


class Gate:
    """Counts the requests in flight; refuses new ones during shutdown."""

    def __init__(self) -> None:
        self._running = 0
        self._is_closed = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """The number of callers' requests in flight."""
        return self._running

    @property
    def is_closed(self) -> bool:
        """Whether new requests are refused."""
        return self._is_closed

    def close(self) -> None:
        """Refuse all new requests."""
        self._is_closed = True

    async def wait_idle(self) -> None:
        """Wait for the requests in flight to end."""
        await self._idle.wait()

    @contextlib.contextmanager
    def enter(self) -> typing.Iterator[None]:
        """Enter a context that counts a request.

        :raises errors.Draining: if the gate is closed
        """
        if self._is_closed:
            raise errors.Draining(retry_after=0.1)
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()


def register(pattern: str) -> typing.Callable[[HandlerType], HandlerType]:
    """Return a decorator that registers a handler.

    :param pattern: a regular expression for the path
    """

    def decorate(handler: HandlerType) -> HandlerType:
        _ROUTES.append((pattern, handler))
        return handler

    return decorate


def routes(services: Services) -> list[typing.Any]:
    """Return the tornado routes of all registered handlers."""
    return [
        (pattern, handler, {'services': services})
        for pattern, handler in _ROUTES
    ]


class Handler(web.RequestHandler):
    """Base class of the handlers for callers."""

    def initialize(self, services: Services) -> None:
        self._services = services
        self._task: asyncio.Task[typing.Any] | None = None
        self._is_streaming = False

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def header(self, name: str, default: str = '') -> str:
        """Return a header of the request, or a default."""
        return self.request.headers.get(name, default)

    def number(self, name: str, default: float) -> float:
        """Return a numeric header of the request, or a default.

        :raises errors.BadRequest: if it is not a number
        """
        text = self.header(name)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            raise errors.BadRequest(f'{name}: expected a number') from None

    async def serve(self, build: typing.Callable[[], exchange.Call]) -> None:
        """Run the request's call and write its answer or error.

        :param build: builds the call; may raise
            :class:`errors.HoneyportError`
        """
        self._task = asyncio.current_task()
        services = self._services
        started_at = clock.now()
        try:
            with services.gate.enter():
                call = self._validate(build())
                services.counters.count('requests', service=call.service)
                with services.tracer.span(
                    'entry', call.traceparent, request=call.request_id
                ) as parent:
                    call = attrs.evolve(call, traceparent=parent)
                    await self._write_until_deadline(call, started_at)
        except errors.HoneyportError as error:
            await self._write_error(error)
        except (iostream.StreamClosedError, asyncio.CancelledError):
            services.counters.count('callers_gone')
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            await self._write_error(errors.HoneyportError())
        services.counters.observe('request_seconds', clock.now() - started_at)

    def call(
        self, service: str, path: str, chat: str, headers: exchange.Headers
    ) -> exchange.Call:
        """Build a call from the request and its headers.

        :param chat: the key by which backend servers are ranked
        :param headers: those to send to the backend server
        """
        loop = asyncio.get_running_loop()
        limits = self._services.state.bundle.limits
        deadline_s = self.number(DEADLINE, limits.deadline_s)
        resume_after = exchange.NOT_RESUMED
        if self.header(LAST_EVENT):
            resume_after = int(self.number(LAST_EVENT, 0))
        return exchange.Call(
            request_id=self.header(REQUEST_ID) or uuid.uuid4().hex,
            service=service,
            account=self.header(ACCOUNT),
            chat=chat,
            method=self.request.method or 'GET',
            path=path,
            deadline=loop.time() + deadline_s,
            headers=headers,
            body=self.request.body,
            key=self.header(KEY),
            resume_after=resume_after,
            traceparent=self.header('traceparent'),
            priority=int(self.number(PRIORITY, 0)),
            linger=bool(self.header(LINGER)),
        )

    async def _write_until_deadline(
        self, call: exchange.Call, started_at: float
    ) -> None:
        """Write the call's answer.

        :raises errors.DeadlinePassed: if the call's deadline passed
        """
        try:
            async with asyncio.timeout_at(call.deadline + _DEADLINE_GRACE_S):
                await self._write_answer(self._answer(call), started_at)
        except TimeoutError:
            raise errors.DeadlinePassed() from None

    def _validate(self, call: exchange.Call) -> exchange.Call:
        state = self._services.state
        state.check_lease()
        accounts = state.bundle.accounts
        if accounts and call.account not in accounts:
            raise errors.UnknownAccount(f'no client account {call.account!r}')
        if call.key:
            claims.check_key(call.key, time.time())
        return call

    def _answer(self, call: exchange.Call) -> exchange.Answer:
        hint = self.header(PLACEMENT)
        send = self._services.dispatcher.answer
        if call.repeatable:
            return send(call, hint)
        return self._services.guard.answer(
            call, lambda claimed_call: send(claimed_call, hint)
        )

    async def _write_answer(
        self, answer: exchange.Answer, started_at: float
    ) -> None:
        body = bytearray()
        async with contextlib.aclosing(answer):
            async for frame in answer:
                if isinstance(frame, exchange.Head):
                    self._write_head(frame)
                elif isinstance(frame, exchange.End):
                    self._write_end(frame, body)
                elif self._is_streaming:
                    if frame.number == 1:
                        self._observe_first_token(started_at)
                    self.write(frame.payload)
                    await self.flush()
                else:
                    body += frame.payload
                    if len(body) > _MAX_BUFFERED_BYTES:
                        self._is_streaming = True
                        self.write(bytes(body))
                        body.clear()
                        await self.flush()
        await self.finish()

    def _observe_first_token(self, started_at: float) -> None:
        self._services.counters.observe(
            'first_token_seconds', clock.now() - started_at
        )

    def _write_head(self, head: exchange.Head) -> None:
        self.set_status(head.status)
        for name, value in head.headers:
            self.set_header(name, value)
            if name.lower() == 'content-type':
                self._is_streaming = value.startswith(_EVENT_STREAM)
        self.set_header('Honeyport-Router', self._services.name)
        self.set_header(PLACEMENT, head.backend)
        if head.recorded:
            self.set_header('Honeyport-Recorded', 'true')

    def _write_end(self, end: exchange.End, body: bytearray) -> None:
        if not self._is_streaming:
            # Tornado lets a 204 or 304 have not even an empty body.
            if body:
                self.write(bytes(body))
        elif self._is_event_stream():
            self.write(f': whole bytes={end.length}\n\n')

    def _is_event_stream(self) -> bool:
        content_type = self._headers.get('Content-Type', '')
        return content_type.startswith(_EVENT_STREAM)

    async def _write_error(self, error: errors.HoneyportError) -> None:
        """Write an error response, or an error event in a started stream.

        A started answer is cut by closing the connection.
        """
        logs.emit(
            events.REQUEST_FAILED,
            code=error.code,
            detail=error.detail,
            path=self.request.path,
        )
        self._services.counters.count('failed', code=error.code)
        body = error.to_dict()
        if self.header(KEY) and not error.settled:
            body['ran'] = None if error.ran is False else error.ran
        if not self._headers_written:
            self.clear()
            self.set_status(error.status)
            if error.retry_after is not None:
                seconds = max(1, round(error.retry_after + 0.5))
                self.set_header('Retry-After', str(seconds))
            await self.finish({'error': body})
            return
        with contextlib.suppress(iostream.StreamClosedError):
            if self._is_event_stream():
                text = json.dumps({'error': body})
                self.write(f'event: error\ndata: {text}\n\n')
                await self.flush()
                await asyncio.sleep(_ERROR_EVENT_DELAY_S)
        self.request.connection.stream.close()
