"""HTTP API of the stand-in engine."""

import hashlib
import json

from tornado import iostream
from tornado import web

from honeyport.settings import roles
from honeyport.standin import engine as engines
from honeyport import supervisor


class Handler(web.RequestHandler):
    """Base class of the handlers, which holds the engine."""

    def initialize(self, engine: engines.Engine) -> None:
        self._engine = engine


class ChatHandler(Handler):
    """``POST /v1/chat/completions``: start an answer, streamed or whole."""

    async def post(self) -> None:
        if self._engine.is_overloaded:
            self.set_status(503)
            return
        body = json.loads(self.request.body)
        headers = self.request.headers
        request_id = headers.get('X-Request-Id', '')
        stream, cache_hit = self._engine.start(
            request_id,
            headers.get('Idempotency-Key', ''),
            headers.get('Honeyport-Chat', ''),
            body,
        )
        self.set_header('X-Cache', 'hit' if cache_hit else 'miss')
        if body.get('stream'):
            await send_events(self, stream, 0)
        else:
            await self._send_whole(stream)

    async def _send_whole(self, stream: engines.Stream) -> None:
        async with stream.changed:
            await stream.changed.wait_for(lambda: stream.done)
        if stream.cancelled:
            self.set_status(500)
            return
        chunks = [
            json.loads(event.split(b'data: ')[1])
            for event in stream.events[:-1]
        ]
        content = ' '.join(
            chunk['choices'][0]['delta']['content'] for chunk in chunks
        )
        message = {'role': 'assistant', 'content': content}
        self.write(
            {'id': stream.request_id, 'choices': [{'message': message}]}
        )


class StreamHandler(Handler):
    """``/v1/streams/ID``: resume with GET, cancel with DELETE."""

    async def get(self, request_id: str) -> None:
        stream = self._engine.stream(request_id)
        if stream is None or stream.cancelled:
            self.set_status(410)
            return
        await send_events(self, stream, int(self.get_argument('after', '0')))

    async def delete(self, request_id: str) -> None:
        was_running = await self._engine.cancel(request_id)
        self.set_status(200 if was_running else 404)


class LoadHandler(Handler):
    """``GET /load``: a delayed load report."""

    def get(self) -> None:
        self.write(self._engine.load())


class CacheHandler(Handler):
    """``GET /cache/events?after=N``: omits every seventh event."""

    def get(self) -> None:
        after = int(self.get_argument('after', '0'))
        events = [
            {'number': number, **event}
            for number, event in enumerate(self._engine.cache_events, 1)
            if number > after and number % 7
        ]
        self.write({'events': events[:1000]})


class PrefixHandler(Handler):
    """``/kv/CHAT``: export with GET, import with PUT."""

    def get(self, chat: str) -> None:
        if not self._engine.has_cached(chat):
            self.set_status(404)
            return
        self.write(hashlib.sha256(chat.encode()).digest() * 64)

    def put(self, chat: str) -> None:
        self._engine.cache(chat)


class OrderHandler(Handler):
    """``/orders``: apply an order with POST, read the state with GET."""

    def get(self) -> None:
        self.write(self._engine.state())

    def post(self) -> None:
        if not self._engine.apply_order(json.loads(self.request.body)):
            self.set_status(409)
        self.write(self._engine.state())


async def send_events(
    handler: web.RequestHandler, stream: engines.Stream, after: int
) -> None:
    """Write a stream's events after a number as they are generated."""
    handler.set_header('Content-Type', 'text/event-stream')
    position = after
    stream.readers += 1
    try:
        while True:
            async with stream.changed:
                while len(stream.events) <= position and not stream.done:
                    await stream.changed.wait()
            events = stream.events[position:]
            position += len(events)
            if events:
                handler.write(b''.join(events))
                await handler.flush()
            elif stream.done:
                break
        if stream.cancelled:
            handler.request.connection.stream.close()
    except iostream.StreamClosedError:
        pass
    finally:
        stream.readers -= 1


def application(engine: engines.Engine) -> web.Application:
    """Return the HTTP application of an engine."""
    arguments = {'engine': engine}
    return web.Application(
        [
            ('/v1/chat/completions', ChatHandler, arguments),
            ('/v1/streams/([^/]+)', StreamHandler, arguments),
            ('/load', LoadHandler, arguments),
            ('/cache/events', CacheHandler, arguments),
            ('/kv/(.+)', PrefixHandler, arguments),
            ('/orders', OrderHandler, arguments),
        ],
        log_function=lambda _: None,
    )


async def start(
    settings: roles.Engine, tree: supervisor.Supervisor
) -> engines.Engine:
    """Start the HTTP server of a stand-in engine; return the engine."""
    engine = engines.Engine(settings)
    host, port = roles.split_address(settings.listen)
    server = application(engine).listen(port, host)
    tree.on_stop('http', supervisor.close_hook(server))
    return engine
