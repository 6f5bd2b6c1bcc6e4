"""Log replication by the leader, with one task for each peer.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014).
"""

import asyncio
import collections.abc
import typing

import attrs

from honeyport.control import durable_log
from honeyport.control import membership
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_MAX_ENTRIES_PER_MESSAGE = 500
# A voter counts on for a new quorum if it answered within as many heartbeats.
_ANSWERING_HEARTBEATS = 5


class Link(typing.Protocol):
    """RPC client for another replica; raises ``OSError`` if it fails."""

    async def vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        """Request a vote."""

    async def append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        """Send entries or a heartbeat."""

    async def install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        """Send a snapshot."""

    async def identify(self) -> pb.IdentifyAnswer:
        """Return the replica's disk identity and its last log index."""


GetLink = collections.abc.Callable[[pb.Replicant], Link]
OnHigherTerm = collections.abc.Callable[[int], None]
OnStorageFailed = collections.abc.Callable[[], None]
Connect = collections.abc.Callable[[str, str], Link]


class LinkCache:
    """Caches one link for each member until its address changes.

    :param connect: creates a link from a member's name and address
    """

    def __init__(self, connect: Connect) -> None:
        self._connect = connect
        self._links: dict[str, tuple[str, Link]] = {}

    def get(self, member: pb.Replicant) -> Link:
        """Return the cached link to a member, or connect to it."""
        cached = self._links.get(member.name)
        if cached is None or cached[0] != member.address:
            link = self._connect(member.name, member.address)
            cached = (member.address, link)
            self._links[member.name] = cached
        return cached[1]


@attrs.define
class Progress:
    """Replication state of a peer, as known to the leader.

    :ivar next_index: index of the next entry to send
    :ivar started_at: loop time at which replication to the peer started
    :ivar match_index: index up to which the peer's log equals ours
    :ivar contact_at: loop time at which the last answered message was sent
    :ivar disk: identity of the disk named in its last answer
    :ivar caught_up: whether its log has all entries that were committed when
        the last answered message was sent
    :ivar wakeup: set when there is something to send
    """

    next_index: int
    started_at: float = float('-inf')
    match_index: int = 0
    contact_at: float = float('-inf')
    disk: str = ''
    caught_up: bool = False
    wakeup: asyncio.Event = attrs.field(factory=asyncio.Event)


class Leadership:
    """Leader state and replication tasks of one term.

    :param log: the replica's log; its vote holds the term
    :param get_link: returns the link to a member
    :param on_higher_term: called with a higher term that a peer has seen
    :param on_storage_failed: called when our disk fails to write our entries
    :param heartbeat_s: interval of messages when there are no new entries
    :param target_size: number of voters up to which learners become voters;
        0 for no limit
    """

    def __init__(
        self,
        name: str,
        log: durable_log.DurableLog,
        get_link: GetLink,
        on_higher_term: OnHigherTerm,
        on_storage_failed: OnStorageFailed,
        heartbeat_s: float,
        target_size: int = 0,
    ) -> None:
        self._name = name
        self._log = log
        self._get_link = get_link
        self._on_higher_term = on_higher_term
        self._on_storage_failed = on_storage_failed
        self._heartbeat_s = heartbeat_s
        self._target_size = target_size
        self._term = log.vote.term
        self._started_at = _now()
        self._progress: dict[str, Progress] = {}
        self._unsynced = asyncio.Event()
        self._proposals: dict[int, asyncio.Future[typing.Any]] = {}
        self._tasks = [asyncio.create_task(self._sync_entries())]

    @property
    def started_at(self) -> float:
        """Loop time at which this leadership started."""
        return self._started_at

    @property
    def has_committed(self) -> bool:
        """Whether an entry of the current term is applied (6.4, step 1)."""
        return self._log.journal.term(self._log.applied) == self._term

    def start(self) -> None:
        """Append the first entry of the term and start replication."""
        logs.emit(events.ELECTED, replica=self._name, term=self._term)
        members = membership.with_disk(
            self._log.members, self._name, self._log.identity.disk
        )
        if members != self._log.members:
            self._append(members)
        else:
            self._append(pb.Empty())
        self._start_peers()

    def stop(self) -> None:
        """Stop replication and fail pending proposals with CommitUnknown."""
        logs.emit(events.STEPPED_DOWN, replica=self._name, term=self._term)
        for task in self._tasks:
            task.cancel()
        for future in self._proposals.values():
            if not future.done():
                future.set_exception(errors.CommitUnknown())
        self._proposals.clear()

    def match_indexes(self) -> dict[str, int]:
        """Return the match index of each peer."""
        return {
            name: progress.match_index
            for name, progress in self._progress.items()
        }

    def quorum_contact_at(self) -> float:
        """Return when a quorum was last known to follow this leader.

        A quorum has answered messages sent at or after this loop time.
        """
        return membership.quorum_value(
            self._log.members, self._contact_times()
        )

    def silent_s(self, name: str) -> float:
        """Return the seconds since a peer last answered in this term.

        A peer that has not answered yet is silent since replication to it
        started; 0 if there is none.
        """
        progress = self._progress.get(name)
        if progress is None:
            return 0.0
        return _now() - max(progress.contact_at, progress.started_at)

    def has_caught_up(self, name: str) -> bool:
        """Return whether a peer has all entries up to a recent commit."""
        progress = self._progress.get(name)
        return progress is not None and progress.caught_up

    def propose(self, command: typing.Any) -> asyncio.Future[typing.Any]:
        """Append a command; return a future for its result."""
        future = asyncio.get_running_loop().create_future()
        self._proposals[self._append(command).index] = future
        return future

    def resolve(self, entry: pb.Entry, result: typing.Any) -> None:
        """Complete the future of the proposal behind an applied entry."""
        future = self._proposals.pop(entry.index, None)
        if future is None or future.done():
            return
        if entry.term == self._term:
            future.set_result(result)
        else:
            future.set_exception(errors.CommitUnknown())

    def change_membership(
        self, name: str, address: str
    ) -> asyncio.Future[typing.Any]:
        """Propose adding a learner or removing a member.

        :param address: listen address of the learner; ``''`` removes
        :raises errors.UsageInvalid: if another change is uncommitted, the
            leader itself is to be removed, or nothing would change
        """
        if not self._log.members_committed:
            raise errors.UsageInvalid(
                'another membership change is not committed yet'
            )
        if not address and name == self._name:
            raise errors.UsageInvalid(
                'the leader cannot remove itself; '
                'stop it and ask the next leader'
            )
        members = membership.add_or_remove(self._log.members, name, address)
        # A replica that is added again may have another disk.
        self._progress.pop(name, None)
        future = self.propose(members)
        self._start_peers()
        return future

    def _contact_times(self) -> dict[str, float]:
        """Return each member's ``contact_at``; ours is the current time."""
        contact_times = {
            name: progress.contact_at
            for name, progress in self._progress.items()
        }
        contact_times[self._name] = _now()
        return contact_times

    def _append(self, command: typing.Any) -> pb.Entry:
        entry = self._log.append(command)
        self._unsynced.set()
        self._wake_peers()
        return entry

    def _wake_peers(self) -> None:
        for progress in self._progress.values():
            progress.wakeup.set()

    def _start_peers(self) -> None:
        for member in self._log.members.replicas:
            if member.name == self._name or member.name in self._progress:
                continue
            next_index = self._log.journal.last_index + 1
            self._progress[member.name] = Progress(next_index, _now())
            task = asyncio.create_task(self._replicate(member.name))
            self._tasks.append(task)

    async def _sync_entries(self) -> None:
        """Sync our entries in batches, beside replication (10.2.1)."""
        while True:
            await self._unsynced.wait()
            self._unsynced.clear()
            try:
                await self._log.sync_pending()
            except errors.StorageFailed:
                # A replica with a working disk can then lead.
                self._on_storage_failed()
                return
            await self._advance_commit()

    async def _replicate(self, name: str) -> None:
        """Replicate our log to one peer until it is no longer a member."""
        progress = self._progress[name]
        while self._progress.get(name) is progress:
            member = membership.find(self._log.members, name)
            if member is None:
                del self._progress[name]
                return
            progress.wakeup.clear()
            sent_at = _now()
            commit = self._log.commit
            try:
                answer = await self._send(member, progress)
            except OSError:
                await asyncio.sleep(self._heartbeat_s)
                continue
            if answer.term > self._term:
                self._on_higher_term(answer.term)
                return
            if self._progress.get(name) is not progress:
                return
            self._record_answer(member, progress, answer, sent_at, commit)
            await self._advance_commit()
            if progress.next_index > self._log.journal.last_index:
                await self._wait_for_entries(progress)

    async def _wait_for_entries(self, progress: Progress) -> None:
        """Wait for a wakeup, or until a heartbeat is due."""
        try:
            async with asyncio.timeout(self._heartbeat_s):
                await progress.wakeup.wait()
        except TimeoutError:
            pass

    async def _send(
        self, member: pb.Replicant, progress: Progress
    ) -> pb.AppendAnswer:
        link = self._get_link(member)
        journal = self._log.journal
        previous_index = progress.next_index - 1
        if previous_index < journal.base_index:
            return await self._send_snapshot(link)
        return await link.append(
            pb.AppendRequest(
                term=self._term,
                leader=self._name,
                previous_index=previous_index,
                previous_term=journal.term(previous_index),
                entries=journal.slice(
                    progress.next_index, _MAX_ENTRIES_PER_MESSAGE
                ),
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

    def _record_answer(
        self,
        member: pb.Replicant,
        progress: Progress,
        answer: pb.AppendAnswer,
        sent_at: float,
        commit: int,
    ) -> None:
        """Update a peer's progress by its answer to a message.

        :param sent_at: loop time at which the message was sent
        :param commit: our commit index at that time
        """
        if answer.disk != progress.disk:
            progress.disk = answer.disk
            progress.match_index = 0
        progress.next_index = answer.last_index + 1
        if answer.matched:
            progress.match_index = answer.last_index
        # What is committed while a message is on its way does not count: a
        # peer would be behind for as long as there are changes (4.2.1).
        progress.caught_up = answer.matched and progress.match_index >= commit
        is_known_disk = answer.disk == member.disk
        if is_known_disk or (not member.disk and answer.admitted):
            progress.contact_at = max(progress.contact_at, sent_at)
        self._propose_member_update(
            member, answer, may_vote=progress.caught_up and self._may_add_vote
        )

    @property
    def _may_add_vote(self) -> bool:
        """Whether a learner may become a voter now.

        The voters that answer must be a quorum with the new vote as well, or
        the loss of the new voter could leave its vote uncommitted for good.
        """
        voters = [
            member for member in self._log.members.replicas if member.voter
        ]
        if self._target_size and len(voters) >= self._target_size:
            return False
        answering_since = _now() - _ANSWERING_HEARTBEATS * self._heartbeat_s
        answering_count = sum(
            contact_at >= answering_since
            for name, contact_at in self._contact_times().items()
            if any(voter.name == name for voter in voters)
        )
        return (
            answering_count == len(voters)
            or 2 * answering_count > len(voters) + 1
        )

    def _propose_member_update(
        self,
        member: pb.Replicant,
        answer: pb.AppendAnswer,
        *,
        may_vote: bool,
    ) -> None:
        """Propose the membership change that a peer's answer requires.

        Does nothing until the last change and an entry of the current term
        are committed (section 4.1 and its later correction).
        """
        if not self._log.members_committed or not self.has_committed:
            return
        change = membership.change_after_answer(
            self._log.members,
            member.name,
            answer.disk,
            answer.admitted,
            may_vote=may_vote,
        )
        if change is not None:
            self._append(change)
            logs.emit(events.MEMBERS_CHANGED, replica=member.name)

    async def _advance_commit(self) -> None:
        """Advance the commit index to what a quorum stored (3.6.2)."""
        members = self._log.members
        stored: dict[str, float] = {self._name: self._log.synced_index}
        for name, progress in self._progress.items():
            member = membership.find(members, name)
            if member and progress.disk and member.disk in ('', progress.disk):
                stored[name] = progress.match_index
        index = membership.quorum_value(members, stored)
        if index <= self._log.commit:
            return
        if self._log.journal.term(int(index)) == self._term:
            await self._log.advance(int(index))
            self._start_peers()
            self._wake_peers()


def _now() -> float:
    return asyncio.get_running_loop().time()
