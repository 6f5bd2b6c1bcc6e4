"""One replica of the control log: Raft with pre-vote and leader lease.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014). One task waits for elections; while leading, one
task for each peer sends it the log, and one writes our own disk.
"""

import asyncio
import collections.abc
import random
import typing

import attrs

from honeyport.control import journal
from honeyport.control import machine
from honeyport.control import membership
from honeyport.control import storage
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_BATCH = 500
_KEPT_TAIL = 200
_LEASE_SHARE = 0.9  # of the election timeout: room for drifting clocks

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'


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


Connect = collections.abc.Callable[[str, str], Link]
Persist = collections.abc.Callable[..., collections.abc.Awaitable[None]]


@attrs.frozen
class Options:
    """Timing of a replica, in seconds."""

    election_s: float = 0.6
    heartbeat_s: float = 0.12
    snapshot_entries: int = 2000


@attrs.define
class Progress:
    """What the leader knows of a peer."""

    next_index: int
    matched: int = 0
    heard: float = float('-inf')  # sending time of the last answered message
    disk: str = ''
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)


class Replica:
    """A member of the control group.

    :param name: its name among the members
    :param disk: its storage, not loaded yet
    :param persist: runs a blocking function of the storage, in order
    :param founding: the founding members, name to address
    :param connect: makes a link from a name and an address
    :param seed: for the election timeouts
    """

    def __init__(
        self,
        name: str,
        disk: storage.Storage,
        persist: Persist,
        founding: dict[str, str],
        connect: Connect,
        options: Options,
        seed: int,
    ) -> None:
        contents = disk.load()
        self._name = name
        self._disk = disk
        self._persist = persist
        self._connect = connect
        self._options = options
        self._random = random.Random(seed)
        self._vote = contents.vote
        self._machine = machine.Machine()
        self._journal = journal.Journal()
        self._applied = 0
        self._snapshot_index = 0
        self._founding = membership.founding(founding)
        self._base_members = self._founding
        self._restore(contents)
        self._commit = self._applied
        self._role = FOLLOWER
        self._leader = ''
        self._heard = float('-inf')  # from a leader
        self._waited = float('-inf')  # when the election timer was set
        self._led_since = 0.0
        self._lock = asyncio.Lock()
        self._links: dict[str, tuple[str, Link]] = {}
        self._progress: dict[str, Progress] = {}
        self._leading: list[asyncio.Task[None]] = []
        self._written = self._journal.last_index
        self._dirty = asyncio.Event()
        self._waiters: dict[int, tuple[int, asyncio.Future[typing.Any]]] = {}
        self._changed = asyncio.Condition()

    @property
    def name(self) -> str:
        """The name of this replica."""
        return self._name

    @property
    def term(self) -> int:
        """The highest term seen."""
        return self._vote.term

    @property
    def role(self) -> str:
        """follower, candidate or leader."""
        return self._role

    @property
    def leader(self) -> str:
        """The name of the leader of this term, as far as known."""
        return self._leader

    @property
    def led_since(self) -> float:
        """The loop time at which this replica became leader."""
        return self._led_since

    @property
    def commit(self) -> int:
        """The highest index known to be committed."""
        return self._commit

    @property
    def machine(self) -> machine.Machine:
        """The state after all applied entries."""
        return self._machine

    @property
    def members(self) -> pb.Members:
        """The members in force: the latest in the log (section 4.1)."""
        return self._journal.members() or self._base_members

    @property
    def leader_address(self) -> str:
        """Where the leader listens, or ``''``."""
        found = membership.find(self.members, self._leader)
        return found.address if found else ''

    @property
    def admitted(self) -> bool:
        """Whether this replica, with this disk, may vote."""
        return membership.admits(self.members, self._name, self._disk.identity)

    @property
    def leads(self) -> bool:
        """Whether this replica is leader and its lease stands.

        A quorum has answered a message sent less than an election timeout
        ago, so nobody else can have been elected (section 6.4.1), and an
        entry of our own term is applied (section 6.4, step 1).
        """
        if self._role != LEADER:
            return False
        if self._journal.term(self._applied) != self.term:
            return False
        lease_s = self._options.election_s * _LEASE_SHARE
        return self._quorum_heard() + lease_s > _now()

    def matched(self) -> dict[str, int]:
        """Return how far each peer's log is known to match."""
        return {name: p.matched for name, p in self._progress.items()}

    async def run(self) -> None:
        """Take part until cancelled."""
        self._heard = _now()  # a vote given before a restart may be fresh
        try:
            await self._found()
            while True:
                await self._await_timeout()
                self._waited = _now()
                if self.admitted and self._role == FOLLOWER:
                    await self._campaign()
        finally:
            self._step_down(self._vote.term)

    async def propose(self, command: typing.Any) -> typing.Any:
        """Commit a command; return the result of applying it.

        :raises errors.NotLeader: if it was not put into the log
        :raises errors.CommitUnknown: if leadership was lost meanwhile
        """
        if self._role != LEADER:
            raise errors.NotLeader(self.leader_address)
        entry = self._append_own(command)
        future = asyncio.get_running_loop().create_future()
        self._waiters[entry.index] = (entry.term, future)
        return await future

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied here."""
        async with self._changed:
            await self._changed.wait_for(lambda: self._applied >= index)

    # -- what other replicas ask ----------------------------------------

    async def on_identify(self) -> pb.IdentifyAnswer:
        """Say which disk this is."""
        return pb.IdentifyAnswer(
            name=self._name,
            disk=self._disk.identity.disk,
            last_index=self._journal.last_index,
            admitted=self.admitted,
        )

    async def on_vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        """Answer a request for a vote (section 3.4; trial: 9.6)."""
        async with self._lock:
            granted = self._may_vote(request)
            if granted and not request.trial:
                self._step_down(request.term)
                await self._save_vote(request.term, request.candidate)
                self._waited = _now()
            return pb.VoteAnswer(
                term=self.term,
                granted=granted,
                disk=self._disk.identity.disk,
            )

    async def on_append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        """Take a leader's entries (section 3.5)."""
        async with self._lock:
            if request.term < self.term:
                return self._append_answer(False, 0)
            await self._follow(request.term, request.leader)
            mine = self._journal.term(request.previous_index)
            if request.previous_index < self._journal.base_index:
                return self._append_answer(False, self._journal.base_index)
            if mine != request.previous_term:
                hint = min(request.previous_index - 1, self._conflict_hint())
                return self._append_answer(False, max(0, hint))
            fresh = self._journal.merge(request.entries)
            if fresh:
                self._written = min(self._written, fresh[0].index - 1)
            await self._write_rest()
            matched = request.previous_index + len(request.entries)
            await self._advance(min(request.commit, matched))
            self._heard = _now()
            return self._append_answer(True, matched)

    async def on_install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        """Take a leader's snapshot (section 5)."""
        async with self._lock:
            if request.term < self.term:
                return self._append_answer(False, 0)
            await self._follow(request.term, request.leader)
            if request.index > self._applied:
                state = pb.State.FromString(request.state)
                await self._persist(self._disk.compact, state, [], self._vote)
                self._restore(storage.Contents(self._vote, state, []))
                self._commit = self._applied
                self._written = self._applied
                logs.emit(events.SNAPSHOT_RECEIVED, index=request.index)
                await self._notify()
            self._heard = _now()
            return self._append_answer(True, request.index)

    # -- elections -------------------------------------------------------

    async def _found(self) -> None:
        """Decide on an empty disk: is this the founding, or a lost disk?

        It is the founding only if every founding member answers and none
        has a past. A replica that lost its disk must not vote with an
        empty one: what it once acknowledged could be undone.
        """
        identity = self._disk.identity
        if identity.founded or self._journal.last_index or self.admitted:
            return
        peers = [
            replicant
            for replicant in self._founding.replicas
            if replicant.name != self._name
        ]
        if membership.find(self._founding, self._name) is None:
            logs.emit(events.UNADMITTED, replica=self._name)
            return
        while not self._journal.last_index:
            answers = await asyncio.gather(
                *(self._identify(peer) for peer in peers)
            )
            if any(answer and answer.last_index for answer in answers):
                logs.emit(events.UNADMITTED, replica=self._name)
                return
            if all(answers):
                await self._persist(self._disk.found)
                logs.emit(events.FOUNDED, replica=self._name)
                self._waited = _now()
                return
            await asyncio.sleep(self._options.heartbeat_s)

    async def _identify(self, peer: pb.Replicant) -> pb.IdentifyAnswer | None:
        try:
            return await self._link(peer).identify()
        except OSError:
            return None

    async def _await_timeout(self) -> None:
        """Return when nothing was heard for an election timeout."""
        while True:
            timeout = self._options.election_s * self._random.uniform(1, 2)
            if self._role == LEADER:
                await asyncio.sleep(self._options.election_s / 2)
                self._check_quorum()
                continue
            left = max(self._heard, self._waited) + timeout - _now()
            if left <= 0:
                return
            await asyncio.sleep(left)

    def _check_quorum(self) -> None:
        """Give up leading if a quorum is silent (section 6.2)."""
        silent = _now() - self._quorum_heard()
        if silent > 2 * self._options.election_s:
            self._step_down(self.term)

    async def _campaign(self) -> None:
        if not await self._poll(self.term + 1, trial=True):
            self._waited = _now()
            return
        async with self._lock:
            if _now() - self._heard < self._options.election_s:
                return
            self._role = CANDIDATE
            self._leader = ''
            await self._save_vote(self.term + 1, self._name)
        term = self.term
        won = await self._poll(term, trial=False)
        async with self._lock:
            if self.term != term or self._role != CANDIDATE:
                return
            self._role = FOLLOWER
            self._waited = _now()
            if won:
                self._lead()

    async def _poll(self, term: int, *, trial: bool) -> bool:
        """Ask all voters for a vote; return whether a quorum gave it."""
        request = pb.VoteRequest(
            term=term,
            candidate=self._name,
            last_index=self._journal.last_index,
            last_term=self._journal.last_term,
            trial=trial,
        )
        members = self.members
        peers = [
            member
            for member in members.replicas
            if member.voter and member.name != self._name
        ]
        answers = await asyncio.gather(
            *(self._ask_vote(peer, request) for peer in peers)
        )
        granted = {self._name}
        for peer, answer in zip(peers, answers, strict=True):
            if answer is None:
                continue
            if answer.term > self.term and not trial:
                async with self._lock:
                    await self._follow(answer.term, '')
                return False
            if answer.granted and peer.disk in ('', answer.disk):
                granted.add(peer.name)
        return membership.is_quorum(members, granted)

    async def _ask_vote(
        self, peer: pb.Replicant, request: pb.VoteRequest
    ) -> pb.VoteAnswer | None:
        try:
            return await self._link(peer).vote(request)
        except OSError:
            return None

    def _may_vote(self, request: pb.VoteRequest) -> bool:
        if not self.admitted:
            return False
        if _now() - self._heard < self._options.election_s:
            return self._repeats_vote(request)
        if self.leads:
            return False
        if request.term < self.term:
            return False
        if request.term == self.term and not request.trial:
            if self._vote.candidate not in ('', request.candidate):
                return False
        theirs = (request.last_term, request.last_index)
        return theirs >= (self._journal.last_term, self._journal.last_index)

    def _repeats_vote(self, request: pb.VoteRequest) -> bool:
        """Whether the vote was given to the same candidate already."""
        return (
            not request.trial
            and request.term == self.term
            and request.candidate == self._vote.candidate
        )

    async def _follow(self, term: int, leader: str) -> None:
        """Accept a term and its leader."""
        if term > self.term:
            self._step_down(term)
            await self._save_vote(term, '')
        elif self._role != FOLLOWER:
            self._step_down(term)
        self._leader = leader
        self._heard = _now()

    async def _save_vote(self, term: int, candidate: str) -> None:
        self._vote = storage.Vote(term, candidate)
        await self._persist(self._disk.append, [], self._vote)

    # -- leading ---------------------------------------------------------

    def _lead(self) -> None:
        self._role = LEADER
        self._leader = self._name
        self._led_since = _now()
        self._progress = {}
        logs.emit(events.ELECTED, replica=self._name, term=self.term)
        members = membership.pin(
            self.members, self._name, self._disk.identity.disk
        )
        if members != self.members:
            self._append_own(members)
        else:
            self._append_own(pb.Empty())
        self._leading = [asyncio.create_task(self._write())]
        self._start_links()

    def _start_links(self) -> None:
        for member in self.members.replicas:
            if member.name == self._name or member.name in self._progress:
                continue
            self._progress[member.name] = Progress(
                self._journal.last_index + 1
            )
            task = asyncio.create_task(self._replicate(member.name))
            self._leading.append(task)

    def _step_down(self, term: int) -> None:
        """Stop leading; whoever waits for a commit learns it is unknown."""
        if self._role == LEADER:
            logs.emit(events.STEPPED_DOWN, replica=self._name, term=term)
            self._leader = ''
            for task in self._leading:
                task.cancel()
            self._leading = []
            self._progress = {}
            self._fail_waiters()
        self._role = FOLLOWER

    def _fail_waiters(self) -> None:
        for _, future in self._waiters.values():
            if not future.done():
                future.set_exception(errors.CommitUnknown())
        self._waiters.clear()

    def _append_own(self, command: typing.Any) -> pb.Entry:
        entry = pb.Entry(index=self._journal.last_index + 1, term=self.term)
        getattr(entry, _FIELDS[type(command)]).CopyFrom(command)
        self._journal.append(entry)
        self._dirty.set()
        for progress in self._progress.values():
            progress.wake.set()
        return entry

    async def _write(self) -> None:
        """Sync our own entries, many at a time (section 10.2.1)."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            await self._write_rest()
            await self._evaluate()

    async def _write_rest(self) -> None:
        """Sync the entries that are not on our disk yet."""
        entries = self._journal.slice(
            self._written + 1, self._journal.last_index
        )
        if entries:
            await self._persist(self._disk.append, entries)
            self._written = entries[-1].index

    async def _replicate(self, name: str) -> None:
        """Keep one peer's log like ours."""
        progress = self._progress[name]
        while (member := membership.find(self.members, name)) is not None:
            progress.wake.clear()
            sent = _now()
            try:
                answer = await self._send(member, progress)
            except OSError:
                await asyncio.sleep(self._options.heartbeat_s)
                continue
            if answer.term > self.term:
                self._heard = _now()
                asyncio.create_task(self._obey(answer.term))
                return
            await self._take_answer(member, progress, answer, sent)
            if progress.next_index <= self._journal.last_index:
                continue
            try:
                await asyncio.wait_for(
                    progress.wake.wait(), self._options.heartbeat_s
                )
            except TimeoutError:
                pass
        self._progress.pop(name, None)

    async def _obey(self, term: int) -> None:
        async with self._lock:
            if term > self.term:
                await self._follow(term, '')

    async def _send(
        self, member: pb.Replicant, progress: Progress
    ) -> pb.AppendAnswer:
        link = self._link(member)
        previous = progress.next_index - 1
        if previous < self._journal.base_index:
            return await self._send_snapshot(link)
        return await link.append(
            pb.AppendRequest(
                term=self.term,
                leader=self._name,
                previous_index=previous,
                previous_term=self._journal.term(previous),
                entries=self._journal.slice(progress.next_index, _BATCH),
                commit=self._commit,
            )
        )

    async def _send_snapshot(self, link: Link) -> pb.AppendAnswer:
        state = self._snapshot()
        return await link.install(
            pb.InstallRequest(
                term=self.term,
                leader=self._name,
                index=state.index,
                index_term=state.term,
                state=state.SerializeToString(),
            )
        )

    async def _take_answer(
        self,
        member: pb.Replicant,
        progress: Progress,
        answer: pb.AppendAnswer,
        sent: float,
    ) -> None:
        if answer.disk != progress.disk:
            progress.disk = answer.disk
            progress.matched = 0
        if not answer.matched:
            progress.next_index = answer.last_index + 1
        else:
            progress.next_index = answer.last_index + 1
            progress.matched = answer.last_index
        counts = answer.disk == member.disk or (
            not member.disk and answer.admitted
        )
        if counts:
            progress.heard = max(progress.heard, sent)
        self._readmit(member, progress, answer)
        await self._evaluate()

    def _readmit(
        self,
        member: pb.Replicant,
        progress: Progress,
        answer: pb.AppendAnswer,
    ) -> None:
        """Change the members by one, if this answer gives a reason."""
        if self._journal.members(self._commit) != self._journal.members():
            return  # the last change is not committed yet
        if self._journal.term(self._commit) != self.term:
            return
        change = membership.next_change(
            self.members,
            member.name,
            answer.disk,
            answer.admitted,
            caught_up=answer.matched and progress.matched >= self._commit,
        )
        if change is not None:
            self._append_own(change)
            logs.emit(events.MEMBERS_CHANGED, replica=member.name)

    async def change(self, name: str, address: str) -> None:
        """Add a replica as a learner, or remove it if no address is given.

        :raises errors.UsageInvalid: if the change makes no sense now
        """
        if not self.leads:
            raise errors.NotLeader(self.leader_address)
        if self._journal.members(self._commit) != self._journal.members():
            raise errors.UsageInvalid('another change is not committed yet')
        if not address and name == self._name:
            raise errors.UsageInvalid(
                'the leader is not removed; stop it and ask the next one'
            )
        changed = membership.change(self.members, name, address)
        future = self.propose(changed)
        self._start_links()
        await future

    async def _evaluate(self) -> None:
        """Commit what a quorum has on its disks (section 3.6.2)."""
        if self._role != LEADER:
            return
        members = self.members
        reached = {self._name: self._written}
        for name, progress in self._progress.items():
            member = membership.find(members, name)
            if (
                member
                and progress.disk
                and member.disk
                in (
                    '',
                    progress.disk,
                )
            ):
                reached[name] = progress.matched
        index = membership.quorum_value(members, reached)
        if index > self._commit and self._journal.term(index) == self.term:
            await self._advance(int(index))
            self._start_links()
            for progress in self._progress.values():
                progress.wake.set()

    async def _advance(self, commit: int) -> None:
        """Apply entries up to a committed index."""
        self._commit = max(self._commit, commit)
        if self._applied >= self._commit:
            return
        while self._applied < self._commit:
            entry = self._journal.get(self._applied + 1)
            result = self._machine.apply(entry)
            self._applied += 1
            self._resolve(entry, result)
        await self._notify()
        await self._compact()

    def _resolve(self, entry: pb.Entry, result: typing.Any) -> None:
        waiter = self._waiters.pop(entry.index, None)
        if waiter is None:
            return
        term, future = waiter
        if future.done():
            return
        if term == entry.term:
            future.set_result(result)
        else:
            future.set_exception(errors.CommitUnknown())

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _compact(self) -> None:
        grown = self._applied - self._snapshot_index
        if grown < self._options.snapshot_entries:
            return
        state = self._snapshot()
        tail = self._journal.slice(
            state.index + 1, self._journal.last_index - state.index
        )
        self._snapshot_index = state.index
        kept_from = max(self._journal.base_index, state.index - _KEPT_TAIL)
        self._base_members = self.members_at(kept_from)
        self._journal.cut(kept_from)
        await self._persist(self._disk.compact, state, tail, self._vote)
        logs.emit(events.SNAPSHOT_TAKEN, index=state.index)

    def members_at(self, index: int) -> pb.Members:
        """Return the members in force at an index."""
        return self._journal.members(index) or self._base_members

    # -- shared ----------------------------------------------------------

    def _snapshot(self) -> pb.State:
        state = self._machine.save()
        state.index = self._applied
        state.term = self._journal.term(self._applied)
        state.members.CopyFrom(self.members_at(self._applied))
        return state

    def _restore(self, contents: storage.Contents) -> None:
        state = contents.snapshot
        if state is None:
            self._journal = journal.Journal(0, 0, contents.entries)
            return
        self._machine.restore(state)
        self._applied = state.index
        self._snapshot_index = state.index
        self._base_members = state.members
        self._journal = journal.Journal(
            state.index, state.term, contents.entries
        )

    def _quorum_heard(self) -> float:
        """The latest sending time that a quorum has answered."""
        heard = {name: p.heard for name, p in self._progress.items()}
        heard[self._name] = _now()
        return membership.quorum_value(self.members, heard)

    def _conflict_hint(self) -> int:
        """The last index before the term that we end in (section 3.5)."""
        index = self._journal.last_index
        term = self._journal.last_term
        while index > self._commit and self._journal.term(index) == term:
            index -= 1
        return index

    def _append_answer(
        self, matched: bool, last_index: int
    ) -> pb.AppendAnswer:
        return pb.AppendAnswer(
            term=self.term,
            matched=matched,
            last_index=last_index,
            disk=self._disk.identity.disk,
            admitted=self.admitted,
        )

    def _link(self, member: pb.Replicant) -> Link:
        known = self._links.get(member.name)
        if known is None or known[0] != member.address:
            known = (
                member.address,
                self._connect(member.name, member.address),
            )
            self._links[member.name] = known
        return known[1]


_FIELDS: dict[type, str] = {
    pb.Members: 'members',
    pb.AcceptBundle: 'bundle',
    pb.ClaimBatch: 'claims',
    pb.Empty: 'empty',
}


def _now() -> float:
    return asyncio.get_running_loop().time()
