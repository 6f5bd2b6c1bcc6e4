"""Control replicas on a virtual clock, connected in memory.

The clock jumps to the next timer instead of waiting, and runs with the same
seed are identical.
"""

import asyncio
import pathlib
import random
import selectors
import typing

import attrs

from features.support import power
from honeyport.control import machine
from honeyport.control import membership_manager
from honeyport.control import replica
from honeyport.control import storage
from honeyport import errors
from honeyport.policy import places
from honeyport.wire import honeyport_pb2 as pb

T = typing.TypeVar('T')

_FOLDER = pathlib.Path('/data')
_CALL_TIMEOUT_S = 0.3
_MAX_DELAY_S = 0.02
_OPTIONS = replica.Options(
    election_s=0.3, heartbeat_s=0.06, snapshot_entries=12
)


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None:
            raise AssertionError(
                'no timer is pending: the loop would wait forever'
            )
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is virtual."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run(coroutine: typing.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine on a new virtual clock; return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


class Group:
    """Replicas, their disks and links, and the invariants checked on them.

    :ivar cut_links: pairs of source and target that cannot communicate
    :ivar delays_s: added to each message from or to a replica, by name
    :ivar leaders_by_term: names of the replicas that were leader
    :ivar digest_by_version: digests of the accepted bundle versions

    :param options: the replicas' options; by default with short timeouts
    :param target_size: number of members that the leader aims at, adding and
        removing replicas; 0 leaves the members as they are
    """

    def __init__(
        self,
        count: int,
        seed: int,
        options: replica.Options = _OPTIONS,
        target_size: int = 0,
    ) -> None:
        self.options = attrs.evolve(options, target_size=target_size)
        self.random = random.Random(seed)
        self.names = [f'r{number}' for number in range(count)]
        self.disks = {name: power.Disk(self.random) for name in self.names}
        self.nodes: dict[str, replica.Replica] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.delays_s: dict[str, float] = {}
        self.leaders_by_term: dict[int, set[str]] = {}
        self.digest_by_version: dict[int, str] = {}
        self.initial_members = {name: name for name in self.names}
        self._target_size = target_size
        self._managers: dict[str, asyncio.Task[None]] = {}

    @property
    def leader(self) -> replica.Replica | None:
        """The replica that leads, if any."""
        return next((node for node in self.nodes.values() if node.leads), None)

    def add_replica(self) -> str:
        """Start a replica that is not a member; return its name."""
        name = f'r{len(self.names)}'
        self.names.append(name)
        self.disks[name] = power.Disk(self.random)
        self.start(name)
        return name

    def start(self, name: str) -> None:
        """Start a replica with the contents of its disk."""
        node = replica.Replica(
            name,
            storage.Storage(_FOLDER, self.disks[name]),
            _persist,
            self.initial_members,
            lambda peer, address: _Link(self, name, peer),
            self.options,
            self.random.getrandbits(32),
        )
        self.nodes[name] = node
        self.tasks[name] = asyncio.create_task(node.run())
        if self._target_size:
            manager = membership_manager.MembershipManager(
                node, self._domains, self._target_size
            )
            self._managers[name] = asyncio.create_task(manager.run())

    def _domains(self) -> dict[str, str]:
        """Return the replicas that run, each in a domain of its own."""
        return {name: f'domain-{name}' for name in self.nodes}

    async def kill(self, name: str) -> None:
        """Stop a replica without a shutdown."""
        tasks = [
            task
            for task in (
                self.tasks.pop(name, None),
                self._managers.pop(name, None),
            )
            if task is not None
        ]
        self.nodes.pop(name, None)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def lose_disk(self, name: str) -> None:
        """Kill a replica and replace its disk by an empty one."""
        await self.kill(name)
        self.disks[name] = power.Disk(self.random)

    async def lose_power(self, name: str) -> None:
        """Kill a replica; its disk may lose unsynced data."""
        await self.kill(name)
        self.disks[name].lose_power()

    async def bootstrap(self) -> None:
        """Start all replicas and wait until each recorded the bootstrap."""
        for name in self.names:
            self.start(name)
        while not all(self._is_bootstrapped(name) for name in self.names):
            await asyncio.sleep(0.001)

    def _is_bootstrapped(self, name: str) -> bool:
        identity = self.disks[name].read(_FOLDER / 'identity') or b''
        return b'"founded": true' in identity

    def isolate(self, name: str) -> None:
        """Cut all links of a replica in both directions."""
        for peer in self.names:
            self.cut_links |= {(name, peer), (peer, name)}

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def check_invariants(self) -> None:
        """Check the invariants: one leader a term, one digest a version."""
        for name, node in self.nodes.items():
            if node.role == replica.LEADER:
                self.leaders_by_term.setdefault(node.term, set()).add(name)
            for version, digest in node.machine.history.items():
                digest_before = self.digest_by_version.setdefault(
                    version, digest
                )
                assert digest_before == digest, (
                    name,
                    version,
                    digest_before,
                    digest,
                )
        for term, names in self.leaders_by_term.items():
            assert len(names) == 1, (term, names)
        leading = [leader for leader in self.nodes.values() if leader.leads]
        assert len(leading) <= 1, [leader.name for leader in leading]

    async def propose(self, label: str) -> tuple[int, str] | None:
        """Propose the next bundle version to the replicas that are leader.

        :returns: version and digest, or ``None`` if not acknowledged
        """
        for node in list(self.nodes.values()):
            if node.role != replica.LEADER:
                continue
            version = node.machine.accepted.version + 1
            digest = f'{label}-{version}-{node.name}'
            command = pb.AcceptBundle(version=version, digest=digest)
            command.put[f'accounts/{label}'] = digest
            try:
                async with asyncio.timeout(1.0):
                    if await node.propose(command):
                        return version, digest
            except (errors.HoneyportError, TimeoutError):
                pass
        return None

    async def propose_place(self, name: str) -> str:
        """Propose a place; return its name if acknowledged, else ``''``."""
        change = places.Change({name: places.PlaceAssignment('llm', name)}, ())
        return (
            name
            if await self._propose_command(machine.place_change(change))
            else ''
        )

    async def propose_router(self, name: str) -> str:
        """Propose a router; return its name if acknowledged, else ``''``."""
        change = pb.RouterChange(put={name: name})
        return name if await self._propose_command(change) else ''

    async def _propose_command(self, command: typing.Any) -> bool:
        """Propose a command; return whether it was acknowledged."""
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
        """Advance the clock while checking the invariants."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(0.02)
            self.check_invariants()

    async def converge(self) -> None:
        """Restore links and disks, start all, and wait for convergence.

        :raises AssertionError: if the replicas have not converged in 30 s
        """
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
            is_consistent = len(commits) == 1 and any(
                node.leads for node in nodes
            )
            if is_consistent and all(node.admitted for node in nodes):
                return
        raise AssertionError(
            [
                (peer.name, peer.role, peer.term, peer.commit, peer.admitted)
                for peer in nodes
            ]
        )

    async def stop(self) -> None:
        """Stop all replicas."""
        for name in list(self.names):
            await self.kill(name)
        await asyncio.sleep(1)


class _Link:
    """Simulated link between replicas, with delays and losses."""

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
        await self._transmit(self._source, self._target)
        node = self._group.nodes.get(self._target)
        if node is None:
            raise ConnectionError(self._target)
        try:
            answer = await getattr(node, method)(*copies)
        except errors.StorageFailed as error:
            raise ConnectionError(error.detail) from None
        await self._transmit(self._target, self._source)
        return answer

    async def _transmit(self, source: str, target: str) -> None:
        delays_s = self._group.delays_s
        await asyncio.sleep(
            self._group.random.uniform(0, _MAX_DELAY_S)
            + max(delays_s.get(source, 0.0), delays_s.get(target, 0.0))
        )
        if (source, target) in self._group.cut_links:
            await asyncio.sleep(_CALL_TIMEOUT_S)
            raise ConnectionError(target)


async def _persist(
    function: typing.Callable[..., None], *args: typing.Any
) -> None:
    await asyncio.sleep(0.001)
    function(*args)
