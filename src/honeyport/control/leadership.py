"""What a replica does while it leads: one task for each peer.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014).
"""

import asyncio
import collections.abc
import typing

import attrs

from honeyport.control import durable
from honeyport.control import membership
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_BATCH = 500  # entries in one message


class Link(typing.Protocol):
    """How a replica reaches another; raises ``OSError`` when it cannot."""

    async def vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        """Ask for a vote."""

    async def append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        """Send entries or a heartbeat."""

    async def install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        """Send a snapshot."""

    async def identify(self) -> pb.IdentifyAnswer:
        """Ask which disk it has and how far its log goes."""


Reach = collections.abc.Callable[[pb.Replicant], Link]
OnTerm = collections.abc.Callable[[int], None]
OnFailed = collections.abc.Callable[[], None]
Connect = collections.abc.Callable[[str, str], Link]


class Links:
    """Keeps one link to each member, as long as its address is the same.

    :param connect: makes a link from a name and an address
    """

    def __init__(self, connect: Connect) -> None:
        self._connect = connect
        self._links: dict[str, tuple[str, Link]] = {}

    def reach(self, member: pb.Replicant) -> Link:
        """Return the link to a member."""
        known = self._links.get(member.name)
        if known is None or known[0] != member.address:
            link = self._connect(member.name, member.address)
            known = (member.address, link)
            self._links[member.name] = known
        return known[1]


@attrs.define
class Progress:
    """What the leader knows of a peer."""

    next_index: int
    matched: int = 0
    heard: float = float('-inf')  # sending time of the last answered message
    disk: str = ''
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)


class Leadership:
    """One term of leading, from its beginning to its end.

    :param log: our log; its vote names the term
    :param reach: returns the link to a member
    :param on_term: called with a higher term that a peer has seen
    :param on_failed: called when our disk does not take our own entries
    :param heartbeat_s: pause between messages when there is no news
    """

    def __init__(
        self,
        name: str,
        log: durable.DurableLog,
        reach: Reach,
        on_term: OnTerm,
        on_failed: OnFailed,
        heartbeat_s: float,
    ) -> None:
        self._name = name
        self._log = log
        self._reach = reach
        self._on_term = on_term
        self._on_failed = on_failed
        self._heartbeat_s = heartbeat_s
        self._term = log.vote.term
        self._since = _now()
        self._progress: dict[str, Progress] = {}
        self._dirty = asyncio.Event()
        self._waiters: dict[int, asyncio.Future[typing.Any]] = {}
        self._tasks = [asyncio.create_task(self._write())]

    @property
    def since(self) -> float:
        """The loop time at which it began."""
        return self._since

    @property
    def has_committed(self) -> bool:
        """Whether an entry of our own term is applied (6.4, step 1)."""
        return self._log.journal.term(self._log.applied) == self._term

    def begin(self) -> None:
        """Put the first entry into the log and start the peers' tasks."""
        logs.emit(events.ELECTED, replica=self._name, term=self._term)
        members = membership.pin(
            self._log.members, self._name, self._log.identity.disk
        )
        if members != self._log.members:
            self._append(members)
        else:
            self._append(pb.Empty())
        self._start_peers()

    def end(self) -> None:
        """Stop; whoever waits for a commit learns that it is unknown."""
        logs.emit(events.STEPPED_DOWN, replica=self._name, term=self._term)
        for task in self._tasks:
            task.cancel()
        for future in self._waiters.values():
            if not future.done():
                future.set_exception(errors.CommitUnknown())
        self._waiters.clear()

    def matched(self) -> dict[str, int]:
        """Return how far each peer's log is known to match."""
        return {name: p.matched for name, p in self._progress.items()}

    def quorum_heard(self) -> float:
        """Return the latest sending time that a quorum has answered."""
        heard = {name: p.heard for name, p in self._progress.items()}
        heard[self._name] = _now()
        return membership.quorum_value(self._log.members, heard)

    def silent_s(self, name: str) -> float:
        """Return for how long a peer has not answered us."""
        progress = self._progress.get(name)
        heard = progress.heard if progress else self._since
        return _now() - max(heard, self._since)

    def propose(self, command: typing.Any) -> asyncio.Future[typing.Any]:
        """Put a command into the log; return what resolves its result."""
        future = asyncio.get_running_loop().create_future()
        self._waiters[self._append(command).index] = future
        return future

    def resolve(self, entry: pb.Entry, result: typing.Any) -> None:
        """Give the result of an applied entry to whoever proposed it."""
        future = self._waiters.pop(entry.index, None)
        if future is None or future.done():
            return
        if entry.term == self._term:
            future.set_result(result)
        else:
            future.set_exception(errors.CommitUnknown())

    def change(self, name: str, address: str) -> asyncio.Future[typing.Any]:
        """Propose to add a learner, or to remove a member.

        :param address: where it listens; ``''`` removes it
        :raises errors.UsageInvalid: if the change makes no sense now
        """
        if not self._log.members_settled:
            raise errors.UsageInvalid('another change is not committed yet')
        if not address and name == self._name:
            raise errors.UsageInvalid(
                'the leader is not removed; stop it and ask the next one'
            )
        changed = membership.change(self._log.members, name, address)
        future = self.propose(changed)
        self._start_peers()
        return future

    def _append(self, command: typing.Any) -> pb.Entry:
        entry = self._log.append(command)
        self._dirty.set()
        self._wake_peers()
        return entry

    def _wake_peers(self) -> None:
        for progress in self._progress.values():
            progress.wake.set()

    def _start_peers(self) -> None:
        for member in self._log.members.replicas:
            if member.name == self._name or member.name in self._progress:
                continue
            first = self._log.journal.last_index + 1
            self._progress[member.name] = Progress(first)
            task = asyncio.create_task(self._replicate(member.name))
            self._tasks.append(task)

    async def _write(self) -> None:
        """Sync our own entries, many at a time (section 10.2.1)."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            try:
                await self._log.write_rest()
            except errors.StorageFailed:
                self._on_failed()  # a replica with a sound disk may lead
                return
            await self._evaluate()

    async def _replicate(self, name: str) -> None:
        """Keep one peer's log like ours, as long as it is a member."""
        progress = self._progress[name]
        while (member := membership.find(self._log.members, name)) is not None:
            progress.wake.clear()
            sent = _now()
            try:
                answer = await self._send(member, progress)
            except OSError:
                await asyncio.sleep(self._heartbeat_s)
                continue
            if answer.term > self._term:
                self._on_term(answer.term)
                return
            self._take_answer(member, progress, answer, sent)
            await self._evaluate()
            if progress.next_index > self._log.journal.last_index:
                await self._pause(progress)
        self._progress.pop(name, None)

    async def _pause(self, progress: Progress) -> None:
        """Wait for news, or until a heartbeat is due."""
        try:
            await asyncio.wait_for(progress.wake.wait(), self._heartbeat_s)
        except TimeoutError:
            pass

    async def _send(
        self, member: pb.Replicant, progress: Progress
    ) -> pb.AppendAnswer:
        link = self._reach(member)
        journal = self._log.journal
        previous = progress.next_index - 1
        if previous < journal.base_index:
            return await self._send_snapshot(link)
        return await link.append(
            pb.AppendRequest(
                term=self._term,
                leader=self._name,
                previous_index=previous,
                previous_term=journal.term(previous),
                entries=journal.slice(progress.next_index, _BATCH),
                commit=self._log.commit,
            )
        )

    async def _send_snapshot(self, link: Link) -> pb.AppendAnswer:
        state = self._log.snapshot()
        return await link.install(
            pb.InstallRequest(
                term=self._term,
                leader=self._name,
                index=state.index,
                index_term=state.term,
                state=state.SerializeToString(),
            )
        )

    def _take_answer(
        self,
        member: pb.Replicant,
        progress: Progress,
        answer: pb.AppendAnswer,
        sent: float,
    ) -> None:
        if answer.disk != progress.disk:
            progress.disk = answer.disk
            progress.matched = 0
        progress.next_index = answer.last_index + 1
        if answer.matched:
            progress.matched = answer.last_index
        known = answer.disk == member.disk
        if known or (not member.disk and answer.admitted):
            progress.heard = max(progress.heard, sent)
        self._readmit(member, progress, answer)

    def _readmit(
        self,
        member: pb.Replicant,
        progress: Progress,
        answer: pb.AppendAnswer,
    ) -> None:
        """Change the members by one, if this answer gives a reason.

        Not before the last change is committed, nor before an entry of our
        own term is (section 4.1 and its later correction).
        """
        if not self._log.members_settled or not self.has_committed:
            return
        caught_up = answer.matched and progress.matched >= self._log.commit
        change = membership.next_change(
            self._log.members,
            member.name,
            answer.disk,
            answer.admitted,
            caught_up=caught_up,
        )
        if change is not None:
            self._append(change)
            logs.emit(events.MEMBERS_CHANGED, replica=member.name)

    async def _evaluate(self) -> None:
        """Commit what a quorum has on its disks (section 3.6.2)."""
        members = self._log.members
        reached: dict[str, float] = {self._name: self._log.written}
        for name, progress in self._progress.items():
            member = membership.find(members, name)
            if member and progress.disk and member.disk in ('', progress.disk):
                reached[name] = progress.matched
        index = membership.quorum_value(members, reached)
        if index <= self._log.commit:
            return
        if self._log.journal.term(int(index)) == self._term:
            await self._log.advance(int(index))
            self._start_peers()
            self._wake_peers()


def _now() -> float:
    return asyncio.get_running_loop().time()
