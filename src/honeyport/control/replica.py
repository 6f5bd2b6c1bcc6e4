"""One replica of the control log: Raft with pre-vote and leader lease.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014). One task runs the elections; the leader's replication
is in :mod:`honeyport.control.leadership`.
"""

import asyncio
import contextlib
import typing

import attrs

from honeyport.control import bootstrap
from honeyport.control import durable_log
from honeyport.control import election
from honeyport.control import leadership
from honeyport.control import machine
from honeyport.control import membership
from honeyport.control import storage
from honeyport.control import timer
from honeyport.control import voting
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb

# Lease duration in election timeouts; below 1 because clocks drift.
_LEASE_FACTOR = 0.9

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'


@attrs.frozen
class Options:
    """Options of a replica.

    :ivar election_s: election timeout in seconds
    :ivar heartbeat_s: heartbeat interval in seconds
    :ivar snapshot_entries: applied entries between two snapshots
    :ivar may_bootstrap: whether it may bootstrap the group with an empty disk
    :ivar target_size: number of voters up to which learners become voters; 0
        for no limit
    """

    election_s: float = 0.6
    heartbeat_s: float = 0.12
    snapshot_entries: int = 2000
    may_bootstrap: bool = True
    target_size: int = 0


class Replica:
    """One replica of the control group.

    :param name: name of the replica among the members
    :param disk: its storage, not loaded yet
    :param persist: runs blocking storage functions one after the other
    :param members: initial members, name to address
    :param connect: creates a link from a member's name and address
    :param seed: seed of the random election timeouts
    """

    def __init__(
        self,
        name: str,
        disk: storage.Storage,
        persist: durable_log.Persist,
        members: dict[str, str],
        connect: leadership.Connect,
        options: Options,
        seed: int,
    ) -> None:
        self._name = name
        self._get_link = leadership.LinkCache(connect).get
        self._options = options
        self._timer = timer.ElectionTimer(options.election_s, seed)
        self._log = durable_log.DurableLog(
            disk,
            persist,
            members,
            options.snapshot_entries,
            self._on_applied,
        )
        self._role = FOLLOWER
        self._leader = ''
        self._leadership: leadership.Leadership | None = None
        self._lock = asyncio.Lock()
        self._term_updates: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """Name of this replica."""
        return self._name

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._log.vote.term

    @property
    def role(self) -> str:
        """Raft role: ``follower``, ``candidate`` or ``leader``."""
        return self._role

    @property
    def leader_since(self) -> float:
        """Loop time at which this replica became leader; 0 if it is not."""
        return self._leadership.started_at if self._leadership else 0.0

    @property
    def commit(self) -> int:
        """Highest index known to be committed."""
        return self._log.commit

    @property
    def machine(self) -> machine.Machine:
        """The state after all applied entries."""
        return self._log.machine

    @property
    def members(self) -> pb.Members:
        """The latest members in the log, committed or not."""
        return self._log.members

    @property
    def members_committed(self) -> bool:
        """Whether the latest membership change is committed."""
        return self._log.members_committed

    @property
    def leader_address(self) -> str:
        """Listen address of the leader; ``''`` without recent contact.

        Callers are not redirected to a leader that may be down.
        """
        if self._role != LEADER and not self._timer.has_recent_leader:
            return ''
        leader = membership.find(self.members, self._leader)
        return leader.address if leader else ''

    @property
    def leader_silence_s(self) -> float:
        """Seconds since the last message of a leader, or since the start."""
        return self._timer.leader_silence_s

    @property
    def member_addresses(self) -> list[str]:
        """Listen addresses of the members."""
        return [member.address for member in self.members.replicas]

    @property
    def admitted(self) -> bool:
        """Whether this replica, with this disk, may vote."""
        return membership.is_admitted(
            self.members, self._name, self._log.identity
        )

    @property
    def leads(self) -> bool:
        """Whether this replica is leader and its lease is valid.

        A quorum has answered a message sent less than an election timeout
        ago, so no other leader can have been elected (section 6.4.1).
        """
        if self._leadership is None or not self._leadership.has_committed:
            return False
        lease_s = self._options.election_s * _LEASE_FACTOR
        return self._leadership.quorum_contact_at() + lease_s > _now()

    def silent_s(self, name: str) -> float:
        """Return the seconds since a peer last answered; 0 if not leader."""
        return self._leadership.silent_s(name) if self._leadership else 0.0

    def has_caught_up(self, name: str) -> bool:
        """Return whether a peer has all entries up to a recent commit.

        False if not leader.
        """
        return bool(self._leadership and self._leadership.has_caught_up(name))

    def match_indexes(self) -> dict[str, int]:
        """Return the match index of each peer; empty if not leader."""
        return self._leadership.match_indexes() if self._leadership else {}

    async def run(self) -> None:
        """Run elections until cancelled, after a bootstrap if needed."""
        self._timer.start()
        try:
            is_new = not self._log.identity.founded and not self.admitted
            if is_new and self._options.may_bootstrap:
                await bootstrap.try_bootstrap(
                    self._name,
                    self._log,
                    self._get_link,
                    self._options.heartbeat_s,
                )
                self._timer.restart()
            while True:
                await self._wait_for_election_timeout()
                self._timer.restart()
                if self.admitted and self._role == FOLLOWER:
                    await self._try_campaign()
        finally:
            self._step_down()

    async def propose(self, command: typing.Any) -> typing.Any:
        """Commit a command; return the result of applying it.

        :raises errors.NotLeader: if it was not appended to the log
        :raises errors.CommitUnknown: if leadership was lost before the
            commit; the command may be committed later
        """
        if self._leadership is None:
            raise errors.NotLeader(leader=self.leader_address)
        return await self._leadership.propose(command)

    async def change_membership(self, name: str, address: str) -> None:
        """Add a replica as a learner, or remove it if no address is given.

        :raises errors.NotLeader: if this replica has no valid lease
        :raises errors.UsageInvalid: if the change is not possible now
        """
        if self._leadership is None or not self.leads:
            raise errors.NotLeader(leader=self.leader_address)
        await self._leadership.change_membership(name, address)

    # -- RPC handlers ---------------------------------------------------

    async def on_identify(self) -> pb.IdentifyAnswer:
        """Return the identity of the disk and the end of the log."""
        return pb.IdentifyAnswer(
            name=self._name,
            disk=self._log.identity.disk,
            last_index=self._log.journal.last_index,
            admitted=self.admitted,
        )

    async def on_vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        """Handle a vote request (section 3.4; trial: 9.6).

        :raises errors.StorageFailed: if the vote was not stored
        """
        async with self._lock:
            granted = voting.grants_vote(self._voter_state(), request)
            if granted and not request.trial:
                self._step_down()
                await self._save_vote(request.term, request.candidate)
                self._timer.restart()
            return pb.VoteAnswer(
                term=self.term,
                granted=granted,
                disk=self._log.identity.disk,
                admitted=self.admitted,
            )

    async def on_append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        """Handle entries or a heartbeat of a leader (section 3.5).

        :raises errors.StorageFailed: if the entries were not stored
        """
        async with self._lock:
            if request.term < self.term:
                return self._append_answer(False, 0)
            await self._follow_leader(request.term, request.leader)
            journal = self._log.journal
            if request.previous_index < journal.base_index:
                return self._append_answer(False, journal.base_index)
            if journal.term(request.previous_index) != request.previous_term:
                last_index = min(
                    request.previous_index - 1,
                    journal.conflict_hint(self.commit),
                )
                return self._append_answer(False, max(0, last_index))
            await self._log.merge(request.entries)
            match_index = request.previous_index + len(request.entries)
            await self._log.advance(min(request.commit, match_index))
            self._timer.record_leader_contact()
            return self._append_answer(True, match_index)

    async def on_install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        """Handle a snapshot of a leader (section 5).

        :raises errors.StorageFailed: if the snapshot was not stored
        """
        async with self._lock:
            if request.term < self.term:
                return self._append_answer(False, 0)
            await self._follow_leader(request.term, request.leader)
            if request.index > self._log.applied:
                await self._log.install(pb.State.FromString(request.state))
            self._timer.record_leader_contact()
            return self._append_answer(True, request.index)

    # -- elections -------------------------------------------------------

    async def _wait_for_election_timeout(self) -> None:
        """Wait for an election timeout; while leader, check the quorum."""
        while True:
            if self._leadership is not None:
                await asyncio.sleep(self._options.election_s / 2)
                self._check_quorum()
                continue
            if await self._timer.wait_for_timeout():
                return

    def _check_quorum(self) -> None:
        """Step down if a quorum does not answer (section 6.2)."""
        if self._leadership is None:
            return
        silent_s = _now() - self._leadership.quorum_contact_at()
        if silent_s > 2 * self._options.election_s:
            self._step_down()

    async def _try_campaign(self) -> None:
        """Campaign; step down if our disk cannot store the vote."""
        try:
            await self._campaign()
        except errors.StorageFailed:
            self._step_down()

    async def _campaign(self) -> None:
        recently_started = self._timer.recently_started
        term = self.term + 1
        result = await self._request_votes(
            term, trial=True, recently_started=recently_started
        )
        if not result.won or (recently_started and not result.unopposed):
            self._timer.restart()
            return
        async with self._lock:
            # If we voted for another candidate during the pre-vote, a higher
            # term would depose the leader that it may have become.
            if self._timer.has_recent_leader or self.term + 1 != term:
                return
            self._role = CANDIDATE
            self._leader = ''
            await self._save_vote(term, self._name)
        result = await self._request_votes(
            term, trial=False, recently_started=recently_started
        )
        if result.term > self.term:
            await self._adopt_term(result.term)
        async with self._lock:
            if self.term != term or self._role != CANDIDATE:
                return
            self._role = FOLLOWER
            self._timer.restart()
            if result.won and (result.unopposed or not recently_started):
                self._become_leader()

    async def _request_votes(
        self, term: int, *, trial: bool, recently_started: bool
    ) -> election.Result:
        journal = self._log.journal
        request = pb.VoteRequest(
            term=term,
            candidate=self._name,
            last_index=journal.last_index,
            last_term=journal.last_term,
            trial=trial,
            unanimous=recently_started,
        )
        return await election.request_votes(
            self._name, self.members, request, self._get_link
        )

    def _voter_state(self) -> voting.VoterState:
        journal = self._log.journal
        return voting.VoterState(
            admitted=self.admitted,
            has_recent_leader=self._timer.has_recent_leader,
            recently_started=self._timer.recently_started,
            is_leader=self._role == LEADER,
            has_lease=self.leads,
            vote=self._log.vote,
            last_entry=(journal.last_term, journal.last_index),
        )

    async def _follow_leader(self, term: int, leader: str) -> None:
        """Adopt a term and its leader, as a follower."""
        if term > self.term or self._role != FOLLOWER:
            self._step_down()
        if term > self.term:
            await self._save_vote(term, '')
        self._leader = leader
        self._timer.record_leader_contact()

    async def _adopt_term(self, term: int) -> None:
        """Adopt a higher term whose leader is not known."""
        async with self._lock:
            if term > self.term:
                # After a failed write, the next message tries again.
                with contextlib.suppress(errors.StorageFailed):
                    await self._follow_leader(term, '')

    async def _save_vote(self, term: int, candidate: str) -> None:
        await self._log.save_vote(storage.Vote(term, candidate))

    # -- leadership ------------------------------------------------------

    def _become_leader(self) -> None:
        self._role = LEADER
        self._leader = self._name
        self._leadership = leadership.Leadership(
            self._name,
            self._log,
            self._get_link,
            self._on_higher_term,
            self._step_down,
            self._options.heartbeat_s,
            self._options.target_size,
        )
        self._leadership.start()

    def _step_down(self) -> None:
        if self._leadership is not None:
            self._leadership.stop()
            self._leadership = None
            self._leader = ''
        self._role = FOLLOWER

    def _on_higher_term(self, term: int) -> None:
        """Adopt a higher term in a new task; the caller's is cancelled."""
        task = asyncio.create_task(self._adopt_term(term))
        self._term_updates.add(task)
        task.add_done_callback(self._term_updates.discard)

    def _on_applied(self, entry: pb.Entry, result: typing.Any) -> None:
        if self._leadership is not None:
            self._leadership.resolve(entry, result)

    # -- helpers ---------------------------------------------------------

    def _append_answer(
        self, matched: bool, last_index: int
    ) -> pb.AppendAnswer:
        return pb.AppendAnswer(
            term=self.term,
            matched=matched,
            last_index=last_index,
            disk=self._log.identity.disk,
            admitted=self.admitted,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
