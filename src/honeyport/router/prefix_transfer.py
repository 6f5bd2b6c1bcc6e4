"""Moving warm prefixes away from an engine that leaves as planned.

The steward of an engine remembers which chats it served last. When the
engine is leaving, it exports their prefixes and imports each into the
engine that the chat's next turn will go to. A chat whose prefix the
engine has dropped meanwhile (it says so, late and with gaps) is left out.
A prefix that cannot be moved costs a miss, nothing else.
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

    :param most: how many are remembered
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._chats: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._last_event = 0

    @property
    def last_event(self) -> int:
        """The number of the last cache event that was taken in."""
        return self._last_event

    def __len__(self) -> int:
        return len(self._chats)

    def add(self, chat: str) -> None:
        """Remember that a chat was served."""
        self._chats[chat] = None
        self._chats.move_to_end(chat)
        while len(self._chats) > self._most:
            self._chats.popitem(last=False)

    def remove_evicted(self, found: engine.CacheEvents) -> None:
        """Forget what the engine has dropped."""
        self._last_event = max(self._last_event, found.last)
        for chat in found.evicted:
            self._chats.pop(chat, None)

    def pop_all(self) -> list[str]:
        """Return all, the latest first, and forget them."""
        chats = list(reversed(self._chats))
        self._chats.clear()
        return chats


class PrefixTransfers:
    """Moves prefixes, a few at a time."""

    def __init__(
        self, state: fleetstate.FleetState, counters: metrics.Metrics
    ) -> None:
        self._state = state
        self._metrics = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, name: str, backend: model.Backend, hot: RecentChats
    ) -> None:
        """Begin to move the prefixes of an engine that leaves."""
        chats = hot.pop_all()
        if not chats:
            return
        task = asyncio.create_task(self._move_all(name, backend, chats))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the moves under way."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _move_all(
        self, name: str, backend: model.Backend, chats: list[str]
    ) -> None:
        source = engine.EngineClient(name, backend.address)
        room = asyncio.Semaphore(self._state.bundle.limits.transfers_at_once)
        moved = await asyncio.gather(
            *(
                self._move(source, backend.service, name, chat, room)
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

    async def _move(
        self,
        source: engine.EngineClient,
        service: str,
        name: str,
        chat: str,
        room: asyncio.Semaphore,
    ) -> bool:
        """Move one prefix; return whether it arrived."""
        async with room:
            target = self._target(service, name, chat)
            if not target:
                return False
            address = self._state.bundle.backends[target].address
            client = engine.EngineClient(target, address)
            try:
                data = await source.export_prefix(chat)
                if data is None:
                    return False
                arrived = await client.import_prefix(chat, data)
            except errors.HoneyportError:
                return False
            finally:
                client.close()
            self._metrics.count('prefixes_moved')
            return arrived

    def _target(self, service: str, name: str, chat: str) -> str:
        """Return the engine that the chat's next turn will go to."""
        usable = self._state.usable(self._state.pool(service))
        others = [other for other in usable if other != name]
        ranked = hashing.rank(chat, others, 1)
        return ranked[0] if ranked else ''
