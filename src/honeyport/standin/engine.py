"""A stand-in for a model engine.

It streams numbered events, caches the prefixes of a few chats, reports its
load with a delay, resumes and cancels streams, exports and imports prefixes,
and applies orders, with or without a check of the fencing number.
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

_ORPHAN_TIMEOUT_S = 4.0  # until a stream without a reader is cancelled
_WEIGHTS_TIMEOUT_S = 30.0
_RETENTION_S = 30.0  # how long a finished stream can be resumed
_WORDS = (
    'the bolt is cracked and must be changed before the yard opens again '
    'check the plan at the next stop and keep the permit at hand'
).split()


@attrs.define
class Stream:
    """A streamed answer, written once and read by any number of readers."""

    request_id: str
    events: list[bytes] = attrs.field(factory=list)
    done: bool = False
    cancelled: bool = False
    readers: int = 0
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    task: asyncio.Task[None] | None = None


class Engine:
    """Runs streams, with a limit on how many run at once."""

    def __init__(self, settings: roles.Engine) -> None:
        self._settings = settings
        self._slots = asyncio.Semaphore(settings.slots)
        self._execution_log = executions.Executions(
            settings.executions, settings.name
        )
        self._streams: dict[str, Stream] = {}
        self._cache: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )
        self._load_history: collections.deque[tuple[float, int, int]] = (
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
        self._load_task: asyncio.Task[None] | None = None

    @property
    def is_overloaded(self) -> bool:
        """Whether new requests are rejected."""
        return self.loading or self.waiting >= self._settings.slots

    @property
    def settings(self) -> roles.Engine:
        """The settings of this engine."""
        return self._settings

    @property
    def cache_events(self) -> list[dict[str, typing.Any]]:
        """Stored and evicted prefixes, oldest event first."""
        return self._cache_events

    def stream(self, request_id: str) -> Stream | None:
        """Return a running or recently finished stream, or ``None``."""
        return self._streams.get(request_id)

    def start(
        self, request_id: str, key: str, chat: str, body: dict[str, typing.Any]
    ) -> tuple[Stream, bool]:
        """Start a stream; return it, and whether the prefix was cached."""
        cache_hit = chat in self._cache
        self.cache(chat)
        stream = Stream(request_id)
        self._streams[request_id] = stream
        stream.task = asyncio.create_task(
            self._generate(stream, key, chat, body, cache_hit)
        )
        return stream, cache_hit

    async def cancel(self, request_id: str) -> bool:
        """Stop a stream; return whether it was running."""
        stream = self._streams.get(request_id)
        if stream is None or stream.done or stream.task is None:
            return False
        stream.cancelled = True
        stream.task.cancel()
        return True

    def cache(self, chat: str) -> None:
        """Cache a chat's prefix; evict the least recently used one."""
        if chat not in self._cache:
            self._cache_events.append({'event': 'stored', 'chat': chat})
        self._cache[chat] = True
        self._cache.move_to_end(chat)
        while len(self._cache) > self._settings.cache_chats:
            evicted_chat, _ = self._cache.popitem(last=False)
            self._cache_events.append(
                {'event': 'evicted', 'chat': evicted_chat}
            )

    def has_cached(self, chat: str) -> bool:
        """Return whether a chat's prefix is cached."""
        return chat in self._cache

    def load(self) -> dict[str, typing.Any]:
        """Return the load as it was ``load_lag_s`` seconds ago."""
        now = asyncio.get_running_loop().time()
        lag_s = self._settings.load_lag_s
        running = waiting = 0
        for recorded_at, past_running, past_waiting in self._load_history:
            if recorded_at > now - lag_s:
                break
            running, waiting = past_running, past_waiting
        return {'running': running, 'waiting': waiting, 'age_s': lag_s}

    def record_load(self) -> None:
        """Add the current load to the history of delayed reports."""
        now = asyncio.get_running_loop().time()
        self._load_history.append((now, self.running, self.waiting))

    def state(self) -> dict[str, typing.Any]:
        """Return what is loaded, the role and whether a load is running."""
        return {
            'models': self.models,
            'adapters': self.adapters,
            'role': self.role,
            'fence': self.fence,
            'loading': self.loading,
        }

    def apply_order(self, order: dict[str, typing.Any]) -> bool:
        """Start to apply an order.

        :returns: false if the order's fencing number is out of date
        """
        fence = int(order['fence'])
        if self._settings.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self._execution_log.write(
            'order',
            fence=fence,
            model=order['model'],
            version=order['version'],
        )
        if self._load_task is not None:
            self._load_task.cancel()
        self._load_task = asyncio.create_task(self._load(order))
        return True

    async def _load(self, order: dict[str, typing.Any]) -> None:
        """Fetch the weights, then switch to the order's model and role."""
        self.loading = True
        model, version = order['model'], order['version']
        if self._settings.weights and self.models != {model: version}:
            pool = http.Pool(self._settings.weights)
            request = http.Request(
                method='GET', path=f'/weights/{model}/{version}'
            )
            head, _ = await http.read(pool, request, _WEIGHTS_TIMEOUT_S)
            pool.close()
            while head.status != 200:
                await asyncio.sleep(0.1)
                head, _ = await http.read(pool, request, _WEIGHTS_TIMEOUT_S)
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
        cache_hit: bool,
    ) -> None:
        self.waiting += 1
        has_slot = False
        try:
            async with self._slots:
                self.waiting -= 1
                has_slot = True
                self.running += 1
                self.record_load()
                self._log_execution(
                    'start', stream, key, chat=chat, hit=cache_hit
                )
                await self._write_tokens(stream, body, cache_hit)
        except asyncio.CancelledError:
            stream.cancelled = True
            self._log_execution('cancel', stream, key)
        finally:
            if has_slot:
                self.running -= 1
            else:
                self.waiting -= 1
            self.record_load()
            await self._finish(stream)
        if not stream.cancelled:
            self._log_execution('end', stream, key, **_summary(stream))

    async def _write_tokens(
        self, stream: Stream, body: dict[str, typing.Any], cache_hit: bool
    ) -> None:
        settings = self._settings
        first_ms = settings.first_token_ms + (
            0 if cache_hit else settings.miss_ms
        )
        await asyncio.sleep(first_ms / 1000)
        words = answer_words(body)
        orphaned_s = 0.0
        for number, word in enumerate(words, 1):
            await self._append_event(
                stream, _token_event(number, stream.request_id, word)
            )
            await asyncio.sleep(settings.token_ms / 1000)
            orphaned_s = 0.0 if stream.readers else orphaned_s
            orphaned_s += settings.token_ms / 1000
            if orphaned_s > _ORPHAN_TIMEOUT_S:
                raise asyncio.CancelledError
        await self._append_event(stream, b'data: [DONE]\n\n')

    async def _append_event(self, stream: Stream, event: bytes) -> None:
        async with stream.changed:
            stream.events.append(event)
            stream.changed.notify_all()

    async def _finish(self, stream: Stream) -> None:
        async with stream.changed:
            stream.done = True
            stream.changed.notify_all()
        loop = asyncio.get_running_loop()
        loop.call_later(_RETENTION_S, self._remove, stream)

    def _remove(self, stream: Stream) -> None:
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]

    def _log_execution(
        self, event: str, stream: Stream, key: str, **fields: typing.Any
    ) -> None:
        self._execution_log.write(
            event, request_id=stream.request_id, key=key, **fields
        )


def answer_words(body: dict[str, typing.Any]) -> list[str]:
    """Return the words of an answer, deterministic for a request body."""
    count = int(body.get('max_tokens', 16))
    text = json.dumps(body['messages'], sort_keys=True)
    seed = int.from_bytes(hashlib.sha256(text.encode()).digest()[:4], 'big')
    return [_WORDS[(seed + i * i) % len(_WORDS)] for i in range(count)]


def _token_event(number: int, request_id: str, word: str) -> bytes:
    chunk = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': word}}],
    }
    return f'id: {number}\ndata: {json.dumps(chunk)}\n\n'.encode()


def _summary(stream: Stream) -> dict[str, typing.Any]:
    answer = b''.join(stream.events)
    return {
        'bytes': len(answer),
        'digest': hashlib.sha256(answer).hexdigest(),
    }
