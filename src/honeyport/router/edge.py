"""What all handlers for callers share: headers in, answers out.

Each way of calling is a module with a handler under :func:`register`.
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

_BUFFERED = 1024 * 1024
# Between the error event and the cut: some clients, tornado's among them,
# drop what arrives together with the end of the connection.
_LAST_WORD_S = 0.05
# After the deadline: a queue that gives up at the deadline still has to give
# the claim back and say "not run", which is the better answer.
_GRACE_S = 0.5
_EVENT_STREAM = 'text/event-stream'

_ROUTES: list[tuple[str, type['Handler']]] = []

H = typing.TypeVar('H', bound='type[Handler]')


@attrs.frozen(kw_only=True)
class Services:
    """What handlers work with."""

    name: str
    state: fleetstate.FleetState
    dispatcher: dispatch.Dispatcher
    guard: claims.IdempotencyGuard
    tracer: traces.Tracer
    counters: metrics.Metrics
    gate: 'Gate'


class Gate:
    """Counts the requests in flight, and shuts when this router leaves."""

    def __init__(self) -> None:
        self._running = 0
        self._shut = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Requests of callers in flight."""
        return self._running

    @property
    def is_closed(self) -> bool:
        """Whether new requests are refused."""
        return self._shut

    def close(self) -> None:
        """Refuse new requests from now on."""
        self._shut = True

    async def wait_idle(self) -> None:
        """Wait for the requests in flight to end."""
        await self._idle.wait()

    @contextlib.contextmanager
    def enter(self) -> typing.Iterator[None]:
        """Count a request while it runs.

        :raises errors.Draining: once shut
        """
        if self._shut:
            raise errors.Draining(retry_after=0.1)
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()


def register(pattern: str) -> typing.Callable[[H], H]:
    """Enter a handler for a path."""

    def decorate(handler: H) -> H:
        _ROUTES.append((pattern, handler))
        return handler

    return decorate


def routes(services: Services) -> list[typing.Any]:
    """Return the routes of all registered handlers."""
    return [
        (pattern, handler, {'services': services})
        for pattern, handler in _ROUTES
    ]


class Handler(web.RequestHandler):
    """Base of the handlers for callers."""

    def initialize(self, services: Services) -> None:
        self._services = services
        self._task: asyncio.Task[typing.Any] | None = None
        self._streaming = False

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def header(self, name: str, default: str = '') -> str:
        """Return a header of the request."""
        return self.request.headers.get(name, default)

    def number(self, name: str, default: float) -> float:
        """Return a header that is a number.

        :raises errors.BadRequest: if it is none
        """
        text = self.header(name)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            raise errors.BadRequest(f'{name}: expected a number') from None

    async def serve(self, make: typing.Callable[[], exchange.Call]) -> None:
        """Run the request's call and write its answer.

        :param make: builds the call, or raises
        """
        self._task = asyncio.current_task()
        services = self._services
        started = clock.now()
        try:
            with services.gate.enter():
                call = self._checked(make())
                services.counters.count('requests', service=call.service)
                with services.tracer.span(
                    'entry', call.parent, request=call.request_id
                ) as parent:
                    call = attrs.evolve(call, parent=parent)
                    await self._run(call, started)
        except errors.HoneyportError as error:
            await self._write_error(error)
        except (iostream.StreamClosedError, asyncio.CancelledError):
            services.counters.count('callers_gone')
        except Exception as error:
            logs.emit(events.REQUEST_FAILED, error=repr(error), exc_info=True)
            await self._write_error(errors.HoneyportError())
        services.counters.observe('request_seconds', clock.now() - started)

    def call(
        self, service: str, path: str, chat: str, headers: exchange.Headers
    ) -> exchange.Call:
        """Return the call that the request's headers describe."""
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
            parent=self.header('traceparent'),
            priority=int(self.number(PRIORITY, 0)),
            linger=bool(self.header(LINGER)),
        )

    async def _run(self, call: exchange.Call, started: float) -> None:
        """Write the call's answer, until its deadline."""
        try:
            async with asyncio.timeout_at(call.deadline + _GRACE_S):
                await self._write_answer(self._answer(call), started)
        except TimeoutError:
            raise errors.DeadlinePassed() from None

    def _checked(self, call: exchange.Call) -> exchange.Call:
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
        return self._services.guard.answer(call, lambda c: send(c, hint))

    async def _write_answer(
        self, answer: exchange.Answer, started: float
    ) -> None:
        body = bytearray()
        async with contextlib.aclosing(answer):
            async for frame in answer:
                if isinstance(frame, exchange.Head):
                    self._write_head(frame)
                elif isinstance(frame, exchange.End):
                    self._write_end(frame, body)
                elif self._streaming:
                    if frame.number == 1:
                        self._observe_first(started)
                    self.write(frame.payload)
                    await self.flush()
                else:
                    body += frame.payload
                    if len(body) > _BUFFERED:
                        self._streaming = True
                        self.write(bytes(body))
                        body.clear()
                        await self.flush()
        await self.finish()

    def _observe_first(self, started: float) -> None:
        self._services.counters.observe(
            'first_token_seconds', clock.now() - started
        )

    def _write_head(self, head: exchange.Head) -> None:
        self.set_status(head.status)
        for name, value in head.headers:
            self.set_header(name, value)
            if name.lower() == 'content-type':
                self._streaming = value.startswith(_EVENT_STREAM)
        self.set_header('Honeyport-Router', self._services.name)
        self.set_header(PLACEMENT, head.backend)
        if head.recorded:
            self.set_header('Honeyport-Recorded', 'true')

    def _write_end(self, end: exchange.End, body: bytearray) -> None:
        if not self._streaming:
            self.write(bytes(body))
        elif self._is_event_stream():
            self.write(f': whole bytes={end.length}\n\n')

    def _is_event_stream(self) -> bool:
        kind = self._headers.get('Content-Type', '')
        return kind.startswith(_EVENT_STREAM)

    async def _write_error(self, error: errors.HoneyportError) -> None:
        """Write a typed error; after a started answer, cut it visibly."""
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
                await asyncio.sleep(_LAST_WORD_S)
        self.request.connection.stream.close()
