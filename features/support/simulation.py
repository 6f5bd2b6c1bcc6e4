"""Control replicas on a virtual clock and an in-memory link.

Nothing here waits: the clock jumps to the next timer. With one seed a run
is the same every time.
"""

import asyncio
import pathlib
import random
import selectors
import typing

from features.support import power
from honeyport.control import machine
from honeyport.control import replica
from honeyport.control import storage
from honeyport import errors
from honeyport.policy import places
from honeyport.wire import honeyport_pb2 as pb

T = typing.TypeVar('T')

_FOLDER = pathlib.Path('/data')
_TIMEOUT_S = 0.3
_DELAY_S = 0.02
_OPTIONS = replica.Options(
    election_s=0.3, heartbeat_s=0.06, snapshot_entries=12
)


class _Selector(selectors.SelectSelector):
    """Lets time pass instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None:
            raise AssertionError('nothing is left that could happen')
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is virtual."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run(coroutine: typing.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Return a coroutine's result, on a virtual clock of its own."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


class Group:
    """A few replicas, their disks, and the links between them."""

    def __init__(self, count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.names = [f'r{number}' for number in range(count)]
        self.disks = {name: power.Disk(self.random) for name in self.names}
        self.nodes: dict[str, replica.Replica] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.cut: set[tuple[str, str]] = set()
        self.leaders: dict[int, set[str]] = {}
        self.accepted: dict[int, str] = {}
        self.founders = {name: name for name in self.names}

    def start(self, name: str) -> None:
        """Start a replica from its disk."""
        node = replica.Replica(
            name,
            storage.Storage(_FOLDER, self.disks[name]),
            _persist,
            self.founders,
            lambda other, address: _Link(self, name, other),
            _OPTIONS,
            self.random.getrandbits(32),
        )
        self.nodes[name] = node
        self.tasks[name] = asyncio.create_task(node.run())

    async def kill(self, name: str) -> None:
        """Stop a replica where it stands."""
        task = self.tasks.pop(name, None)
        self.nodes.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def lose_disk(self, name: str) -> None:
        """Kill a replica and forget its disk."""
        await self.kill(name)
        self.disks[name] = power.Disk(self.random)

    async def lose_power(self, name: str) -> None:
        """Kill a replica; its disk keeps what was synced."""
        await self.kill(name)
        self.disks[name].lose_power()

    async def found(self) -> None:
        """Start all replicas, until each has noted that it founded."""
        for name in self.names:
            self.start(name)
        while not all(self._has_founded(name) for name in self.names):
            await asyncio.sleep(0.001)

    def _has_founded(self, name: str) -> bool:
        found = self.disks[name].read(_FOLDER / 'identity') or b''
        return b'"founded": true' in found

    def isolate(self, name: str) -> None:
        """Cut all links of a replica, both ways."""
        for other in self.names:
            self.cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Mend all links."""
        self.cut.clear()

    def observe(self) -> None:
        """Check what must hold at any time."""
        for name, node in self.nodes.items():
            if node.role == replica.LEADER:
                self.leaders.setdefault(node.term, set()).add(name)
            for version, digest in node.machine.history.items():
                known = self.accepted.setdefault(version, digest)
                assert known == digest, (name, version, known, digest)
        for term, names in self.leaders.items():
            assert len(names) == 1, (term, names)
        leading = [n for n in self.nodes.values() if n.leads]
        assert len(leading) <= 1, [n.name for n in leading]

    async def propose(self, text: str) -> tuple[int, str] | None:
        """Propose the next version at whoever believes to lead."""
        for node in list(self.nodes.values()):
            if node.role != replica.LEADER:
                continue
            version = node.machine.accepted.version + 1
            digest = f'{text}-{version}-{node.name}'
            command = pb.AcceptBundle(version=version, digest=digest)
            command.put[f'accounts/{text}'] = digest
            try:
                async with asyncio.timeout(1.0):
                    if await node.propose(command):
                        return version, digest
            except (errors.HoneyportError, TimeoutError):
                pass
        return None

    async def place(self, name: str) -> str:
        """Propose a place; return its name if that was acknowledged."""
        change = places.Change({name: places.Holding('llm', name)}, ())
        return name if await self._commit(machine.place_change(change)) else ''

    async def register(self, name: str) -> str:
        """Propose a router; return its name if that was acknowledged."""
        change = pb.RouterChange(put={name: name})
        return name if await self._commit(change) else ''

    async def _commit(self, command: typing.Any) -> bool:
        """Propose a command at whoever believes to lead."""
        for node in list(self.nodes.values()):
            if node.role != replica.LEADER:
                continue
            try:
                async with asyncio.timeout(1.0):
                    await node.propose(command)
                    return True
            except (errors.HoneyportError, TimeoutError):
                pass
        return False

    async def run_for(self, seconds: float) -> None:
        """Let time pass, observing all the while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(0.02)
            self.observe()

    async def settle(self) -> None:
        """Mend and start everything; wait until all agree."""
        self.heal()
        for disk in self.disks.values():
            disk.full = False
        for name in self.names:
            if name not in self.nodes:
                self.start(name)
        for _ in range(60):
            await self.run_for(0.5)
            nodes = list(self.nodes.values())
            commits = {node.commit for node in nodes}
            same = len(commits) == 1 and any(node.leads for node in nodes)
            if same and all(node.admitted for node in nodes):
                return
        raise AssertionError(
            [(n.name, n.role, n.term, n.commit, n.admitted) for n in nodes]
        )

    async def stop(self) -> None:
        """Stop all replicas."""
        for name in list(self.names):
            await self.kill(name)
        await asyncio.sleep(1)


class _Link:
    """A way from one replica to another, with delays and losses."""

    def __init__(self, group: Group, source: str, target: str) -> None:
        self._group = group
        self._source = source
        self._target = target

    async def vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        return await self._call('on_vote', request)

    async def append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        return await self._call('on_append', request)

    async def install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        return await self._call('on_install', request)

    async def identify(self) -> pb.IdentifyAnswer:
        return await self._call('on_identify')

    async def _call(self, method: str, *args: typing.Any) -> typing.Any:
        copies = [
            type(arg).FromString(arg.SerializeToString()) for arg in args
        ]
        await self._way(self._source, self._target)
        node = self._group.nodes.get(self._target)
        if node is None:
            raise ConnectionError(self._target)
        try:
            answer = await getattr(node, method)(*copies)
        except errors.StorageFailed as error:
            raise ConnectionError(error.detail) from None
        await self._way(self._target, self._source)
        return answer

    async def _way(self, source: str, target: str) -> None:
        await asyncio.sleep(self._group.random.uniform(0, _DELAY_S))
        if (source, target) in self._group.cut:
            await asyncio.sleep(_TIMEOUT_S)
            raise ConnectionError(target)


async def _persist(
    function: typing.Callable[..., None], *args: typing.Any
) -> None:
    await asyncio.sleep(0.001)
    function(*args)
