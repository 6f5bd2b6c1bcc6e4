"""A stand-in for a model engine.

It streams numbered events, keeps the prefixes of a few chats, reports its
load late, resumes and cancels streams, exports and imports prefixes, and
takes orders, with or without a check of the fencing number.
"""

import asyncio
import collections
import hashlib
import json
import typing

import attrs

from honeyport.backend import http
from honeyport.settings import roles
from honeyport.standin import executions

_ORPHAN_S = 4.0  # a stream without a reader is given up
_LOAD_S = 30.0
_KEPT_S = 30.0  # a finished stream can be read again
_WORDS = (
    'the bolt is cracked and must be changed before the yard opens again '
    'check the plan at the next stop and keep the permit at hand'
).split()


@attrs.define
class Stream:
    """One answer, written once and read by whoever asks for it."""

    request_id: str
    events: list[bytes] = attrs.field(factory=list)
    done: bool = False
    cancelled: bool = False
    readers: int = 0
    grown: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    task: asyncio.Task[None] | None = None


class Engine:
    """Runs streams, a few at a time."""

    def __init__(self, settings: roles.Engine) -> None:
        self._settings = settings
        self._room = asyncio.Semaphore(settings.slots)
        self._log = executions.Executions(settings.executions, settings.name)
        self._streams: dict[str, Stream] = {}
        self._cache: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )
        self._history: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=4096)
        )
        self._cache_events: list[dict[str, typing.Any]] = []
        self.running = 0
        self.waiting = 0
        self.fence = 0
        self.models: dict[str, str] = {}
        self.adapters: list[str] = []
        self.role = 'mixed'
        self.loading = False
        self._loading: asyncio.Task[None] | None = None

    @property
    def busy(self) -> bool:
        """Whether a new request would have to wait too long."""
        return self.loading or self.waiting >= self._settings.slots

    @property
    def settings(self) -> roles.Engine:
        """How this engine was set up."""
        return self._settings

    @property
    def cache_events(self) -> list[dict[str, typing.Any]]:
        """What was cached and evicted, in order."""
        return self._cache_events

    def stream(self, request_id: str) -> Stream | None:
        """Return a stream that is running or was finished lately."""
        return self._streams.get(request_id)

    def start(
        self, request_id: str, key: str, chat: str, body: dict[str, typing.Any]
    ) -> tuple[Stream, bool]:
        """Start a stream; return it, and whether the prefix was cached."""
        hit = chat in self._cache
        self.cache(chat)
        stream = Stream(request_id)
        self._streams[request_id] = stream
        stream.task = asyncio.create_task(
            self._generate(stream, key, chat, body, hit)
        )
        return stream, hit

    async def cancel(self, request_id: str) -> bool:
        """Stop a stream; return whether it was running."""
        stream = self._streams.get(request_id)
        if stream is None or stream.done or stream.task is None:
            return False
        stream.cancelled = True
        stream.task.cancel()
        return True

    def cache(self, chat: str) -> None:
        """Keep a chat's prefix; the one used least lately goes."""
        if chat not in self._cache:
            self._cache_events.append({'event': 'stored', 'chat': chat})
        self._cache[chat] = True
        self._cache.move_to_end(chat)
        while len(self._cache) > self._settings.cache_chats:
            gone, _ = self._cache.popitem(last=False)
            self._cache_events.append({'event': 'evicted', 'chat': gone})

    def has_cached(self, chat: str) -> bool:
        """Whether a chat's prefix is kept."""
        return chat in self._cache

    def load(self) -> dict[str, typing.Any]:
        """Return the load as it was a while ago."""
        now = asyncio.get_running_loop().time()
        lag_s = self._settings.load_lag_s
        running = waiting = 0
        for when, was_running, was_waiting in self._history:
            if when > now - lag_s:
                break
            running, waiting = was_running, was_waiting
        return {'running': running, 'waiting': waiting, 'age_s': lag_s}

    def note_load(self) -> None:
        """Remember the load for the late reports."""
        now = asyncio.get_running_loop().time()
        self._history.append((now, self.running, self.waiting))

    def state(self) -> dict[str, typing.Any]:
        """Return what is loaded, and whether a load is under way."""
        return {
            'models': self.models,
            'adapters': self.adapters,
            'role': self.role,
            'fence': self.fence,
            'loading': self.loading,
        }

    def obey(self, order: dict[str, typing.Any]) -> bool:
        """Take an order; return whether it was not refused."""
        fence = int(order['fence'])
        if self._settings.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self._log.write(
            'order',
            fence=fence,
            model=order['model'],
            version=order['version'],
        )
        if self._loading is not None:
            self._loading.cancel()
        self._loading = asyncio.create_task(self._load(order))
        return True

    async def _load(self, order: dict[str, typing.Any]) -> None:
        """Fetch the weights, then be what the order says."""
        self.loading = True
        model, version = order['model'], order['version']
        if self._settings.weights and self.models != {model: version}:
            pool = http.Pool(self._settings.weights)
            request = http.Request(
                method='GET', path=f'/weights/{model}/{version}'
            )
            start, _ = await http.read(pool, request, _LOAD_S)
            pool.close()
            while start.status != 200:
                await asyncio.sleep(0.1)
                start, _ = await http.read(pool, request, _LOAD_S)
        self.models = {model: version}
        self.adapters = list(order['adapters'])
        self.role = order['role']
        self.loading = False

    async def _generate(
        self,
        stream: Stream,
        key: str,
        chat: str,
        body: dict[str, typing.Any],
        hit: bool,
    ) -> None:
        self.waiting += 1
        entered = False
        try:
            async with self._room:
                self.waiting -= 1
                entered = True
                self.running += 1
                self.note_load()
                self._write_log('start', stream, key, chat=chat, hit=hit)
                await self._tokens(stream, body, hit)
        except asyncio.CancelledError:
            stream.cancelled = True
            self._write_log('cancel', stream, key)
        finally:
            if entered:
                self.running -= 1
            else:
                self.waiting -= 1
            self.note_load()
            await self._finish(stream)
        if not stream.cancelled:
            self._write_log('end', stream, key, **_summary(stream))

    async def _tokens(
        self, stream: Stream, body: dict[str, typing.Any], hit: bool
    ) -> None:
        settings = self._settings
        first_ms = settings.first_token_ms + (0 if hit else settings.miss_ms)
        await asyncio.sleep(first_ms / 1000)
        text = answer_words(body)
        orphaned = 0.0
        for number, word in enumerate(text, 1):
            await self._add(stream, _event(number, stream.request_id, word))
            await asyncio.sleep(settings.token_ms / 1000)
            orphaned = 0.0 if stream.readers else orphaned
            orphaned += settings.token_ms / 1000
            if orphaned > _ORPHAN_S:
                raise asyncio.CancelledError
        await self._add(stream, b'data: [DONE]\n\n')

    async def _add(self, stream: Stream, event: bytes) -> None:
        async with stream.grown:
            stream.events.append(event)
            stream.grown.notify_all()

    async def _finish(self, stream: Stream) -> None:
        async with stream.grown:
            stream.done = True
            stream.grown.notify_all()
        loop = asyncio.get_running_loop()
        loop.call_later(_KEPT_S, self._forget, stream)

    def _forget(self, stream: Stream) -> None:
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]

    def _write_log(
        self, event: str, stream: Stream, key: str, **fields: typing.Any
    ) -> None:
        self._log.write(event, request_id=stream.request_id, key=key, **fields)


def answer_words(body: dict[str, typing.Any]) -> list[str]:
    """Return the words of an answer; the same for the same question."""
    count = int(body.get('max_tokens', 16))
    text = json.dumps(body['messages'], sort_keys=True)
    seed = int.from_bytes(hashlib.sha256(text.encode()).digest()[:4], 'big')
    return [_WORDS[(seed + i * i) % len(_WORDS)] for i in range(count)]


def _event(number: int, request_id: str, word: str) -> bytes:
    chunk = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': word}}],
    }
    return f'id: {number}\ndata: {json.dumps(chunk)}\n\n'.encode()


def _summary(stream: Stream) -> dict[str, typing.Any]:
    whole = b''.join(stream.events)
    return {
        'bytes': len(whole),
        'digest': hashlib.sha256(whole).hexdigest(),
    }
