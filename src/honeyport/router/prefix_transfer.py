"""Transfer of cached prefixes from an engine that is shutting down.

The owner of an engine remembers the chats that the engine served last. When
the engine is leaving, the owner exports their prefixes and imports each one
into the engine that will get the chat's next turn. Chats are skipped if the
engine reported their prefixes as evicted; these reports may be incomplete. A
prefix that is not transferred only causes a cache miss.
"""

import asyncio
import collections

from honeyport.backend import engine
from honeyport.bundle import model
from honeyport import errors
from honeyport.policy import hashing
from honeyport.router import fleetstate
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics


class RecentChats:
    """The chats that an engine served last, the latest at the end.

    :param max_chats: the most chats that are remembered
    """

    def __init__(self, max_chats: int) -> None:
        self._max_chats = max_chats
        self._chats: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._last_event = 0

    @property
    def last_event(self) -> int:
        """The number of the last cache event that was applied."""
        return self._last_event

    def __len__(self) -> int:
        return len(self._chats)

    def add(self, chat: str) -> None:
        """Add a chat that was served."""
        self._chats[chat] = None
        self._chats.move_to_end(chat)
        while len(self._chats) > self._max_chats:
            self._chats.popitem(last=False)

    def remove_evicted(self, cache_events: engine.CacheEvents) -> None:
        """Remove the chats whose prefixes the engine has evicted."""
        self._last_event = max(self._last_event, cache_events.last_number)
        for chat in cache_events.evicted_chats:
            self._chats.pop(chat, None)

    def pop_all(self) -> list[str]:
        """Remove and return all chats, the latest first."""
        chats = list(reversed(self._chats))
        self._chats.clear()
        return chats


class PrefixTransfers:
    """Transfers prefixes between engines, with limited concurrency."""

    def __init__(
        self, state: fleetstate.FleetState, counters: metrics.Metrics
    ) -> None:
        self._state = state
        self._metrics = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, name: str, backend: model.Backend, recent_chats: RecentChats
    ) -> None:
        """Start to transfer the prefixes of an engine that is leaving.

        :param recent_chats: its recent chats; empty afterwards
        """
        chats = recent_chats.pop_all()
        if not chats:
            return
        task = asyncio.create_task(self._transfer_all(name, backend, chats))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all transfers to end."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _transfer_all(
        self, name: str, backend: model.Backend, chats: list[str]
    ) -> None:
        source = engine.EngineClient(name, backend.address)
        semaphore = asyncio.Semaphore(
            self._state.bundle.limits.transfers_at_once
        )
        moved = await asyncio.gather(
            *(
                self._transfer(source, backend.service, name, chat, semaphore)
                for chat in chats
            )
        )
        source.close()
        logs.emit(
            events.PREFIXES_MOVED,
            backend=name,
            moved=sum(moved),
            chats=len(chats),
        )

    async def _transfer(
        self,
        source: engine.EngineClient,
        service: str,
        name: str,
        chat: str,
        semaphore: asyncio.Semaphore,
    ) -> bool:
        """Transfer one prefix; return whether it was imported."""
        async with semaphore:
            target = self._find_target(service, name, chat)
            if not target:
                return False
            address = self._state.bundle.backends[target].address
            client = engine.EngineClient(target, address)
            try:
                data = await source.export_prefix(chat)
                if data is None:
                    return False
                is_imported = await client.import_prefix(chat, data)
            except errors.HoneyportError:
                return False
            finally:
                client.close()
            self._metrics.count('prefixes_moved')
            return is_imported

    def _find_target(self, service: str, name: str, chat: str) -> str:
        """Return the engine that will get the chat's next turn, or ``''``."""
        usable = self._state.usable(self._state.pool(service))
        targets = [
            engine_name for engine_name in usable if engine_name != name
        ]
        ranked = hashing.rank(chat, targets, 1)
        return ranked[0] if ranked else ''
