"""One replica of the control log: Raft with pre-vote and leader lease.

The sections named here are those of "Consensus: Bridging Theory and
Practice" (Ongaro, 2014). One task waits for elections; what a leader does
is in :mod:`honeyport.control.leadership`.
"""

import asyncio
import contextlib
import typing

import attrs

from honeyport.control import ballots
from honeyport.control import durable
from honeyport.control import founding
from honeyport.control import leadership
from honeyport.control import machine
from honeyport.control import membership
from honeyport.control import storage
from honeyport.control import timer
from honeyport.control import voting
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb

_LEASE_SHARE = 0.9  # of the election timeout: room for drifting clocks

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'


@attrs.frozen
class Options:
    """Timing of a replica, in seconds."""

    election_s: float = 0.6
    heartbeat_s: float = 0.12
    snapshot_entries: int = 2000
    may_found: bool = True


class Replica:
    """A member of the control group.

    :param name: its name among the members
    :param disk: its storage, not loaded yet
    :param persist: runs a blocking function of the storage, in order
    :param members: the founding members, name to address
    :param connect: makes a link from a name and an address
    :param seed: for the election timeouts
    """

    def __init__(
        self,
        name: str,
        disk: storage.Storage,
        persist: durable.Persist,
        members: dict[str, str],
        connect: leadership.Connect,
        options: Options,
        seed: int,
    ) -> None:
        self._name = name
        self._reach = leadership.Links(connect).reach
        self._options = options
        self._timer = timer.ElectionTimer(options.election_s, seed)
        self._log = durable.DurableLog(
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
        self._obeying: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """The name of this replica."""
        return self._name

    @property
    def term(self) -> int:
        """The highest term seen."""
        return self._log.vote.term

    @property
    def role(self) -> str:
        """follower, candidate or leader."""
        return self._role

    @property
    def leader_since(self) -> float:
        """The loop time at which this replica became leader."""
        return self._leadership.since if self._leadership else 0.0

    @property
    def commit(self) -> int:
        """The highest index known to be committed."""
        return self._log.commit

    @property
    def machine(self) -> machine.Machine:
        """The state after all applied entries."""
        return self._log.machine

    @property
    def members(self) -> pb.Members:
        """The members in force."""
        return self._log.members

    @property
    def leader_address(self) -> str:
        """Where the leader listens, or ``''`` if none was heard lately.

        Whoever is sent to a leader that ended loses a try, and is sent there
        again by the next follower that is asked.
        """
        if self._role != LEADER and not self._timer.hears_leader:
            return ''
        found = membership.find(self.members, self._leader)
        return found.address if found else ''

    @property
    def member_addresses(self) -> list[str]:
        """Where the members listen."""
        return [member.address for member in self.members.replicas]

    @property
    def admitted(self) -> bool:
        """Whether this replica, with this disk, may vote."""
        return membership.admits(self.members, self._name, self._log.identity)

    @property
    def leads(self) -> bool:
        """Whether this replica is leader and its lease stands.

        A quorum has answered a message sent less than an election timeout
        ago, so nobody else can have been elected (section 6.4.1).
        """
        if self._leadership is None or not self._leadership.has_committed:
            return False
        lease_s = self._options.election_s * _LEASE_SHARE
        return self._leadership.quorum_heard() + lease_s > _now()

    def silent_s(self, name: str) -> float:
        """Return for how long a peer has not answered; 0 if not leading."""
        return self._leadership.silent_s(name) if self._leadership else 0.0

    def match_indexes(self) -> dict[str, int]:
        """Return how far each peer's log is known to match."""
        return self._leadership.matched() if self._leadership else {}

    async def run(self) -> None:
        """Take part until cancelled."""
        self._timer.start()
        try:
            is_new = not self._log.identity.founded and not self.admitted
            if is_new and self._options.may_found:
                await founding.decide(
                    self._name,
                    self._log,
                    self._reach,
                    self._options.heartbeat_s,
                )
                self._timer.wait_again()
            while True:
                await self._await_timeout()
                self._timer.wait_again()
                if self.admitted and self._role == FOLLOWER:
                    await self._try_campaign()
        finally:
            self._step_down()

    async def propose(self, command: typing.Any) -> typing.Any:
        """Commit a command; return the result of applying it.

        :raises errors.NotLeader: if it was not put into the log
        :raises errors.CommitUnknown: if leadership was lost meanwhile
        """
        if self._leadership is None:
            raise errors.NotLeader(leader=self.leader_address)
        return await self._leadership.propose(command)

    async def change_membership(self, name: str, address: str) -> None:
        """Add a replica as a learner, or remove it if no address is given.

        :raises errors.UsageInvalid: if the change makes no sense now
        """
        if self._leadership is None or not self.leads:
            raise errors.NotLeader(leader=self.leader_address)
        await self._leadership.change(name, address)

    # -- what other replicas ask ----------------------------------------

    async def on_identify(self) -> pb.IdentifyAnswer:
        """Say which disk this is."""
        return pb.IdentifyAnswer(
            name=self._name,
            disk=self._log.identity.disk,
            last_index=self._log.journal.last_index,
            admitted=self.admitted,
        )

    async def on_vote(self, request: pb.VoteRequest) -> pb.VoteAnswer:
        """Answer a request for a vote (section 3.4; trial: 9.6)."""
        async with self._lock:
            granted = voting.may_vote(self._voter(), request)
            if granted and not request.trial:
                self._step_down()
                await self._save_vote(request.term, request.candidate)
                self._timer.wait_again()
            return pb.VoteAnswer(
                term=self.term,
                granted=granted,
                disk=self._log.identity.disk,
                admitted=self.admitted,
            )

    async def on_append(self, request: pb.AppendRequest) -> pb.AppendAnswer:
        """Take a leader's entries (section 3.5)."""
        async with self._lock:
            if request.term < self.term:
                return self._append_answer(False, 0)
            await self._follow(request.term, request.leader)
            journal = self._log.journal
            if request.previous_index < journal.base_index:
                return self._append_answer(False, journal.base_index)
            if journal.term(request.previous_index) != request.previous_term:
                hint = min(
                    request.previous_index - 1,
                    journal.conflict_hint(self.commit),
                )
                return self._append_answer(False, max(0, hint))
            await self._log.merge(request.entries)
            matched = request.previous_index + len(request.entries)
            await self._log.advance(min(request.commit, matched))
            self._timer.hear()
            return self._append_answer(True, matched)

    async def on_install(self, request: pb.InstallRequest) -> pb.AppendAnswer:
        """Take a leader's snapshot (section 5)."""
        async with self._lock:
            if request.term < self.term:
                return self._append_answer(False, 0)
            await self._follow(request.term, request.leader)
            if request.index > self._log.applied:
                await self._log.install(pb.State.FromString(request.state))
            self._timer.hear()
            return self._append_answer(True, request.index)

    # -- elections -------------------------------------------------------

    async def _await_timeout(self) -> None:
        """Return when nothing was heard for an election timeout."""
        while True:
            if self._leadership is not None:
                await asyncio.sleep(self._options.election_s / 2)
                self._check_quorum()
                continue
            if await self._timer.expire():
                return

    def _check_quorum(self) -> None:
        """Give up leading if a quorum is silent (section 6.2)."""
        if self._leadership is None:
            return
        silent_s = _now() - self._leadership.quorum_heard()
        if silent_s > 2 * self._options.election_s:
            self._step_down()

    async def _try_campaign(self) -> None:
        """Stand for election, unless our disk takes no vote."""
        try:
            await self._campaign()
        except errors.StorageFailed:
            self._step_down()

    async def _campaign(self) -> None:
        early = self._timer.is_early
        term = self.term + 1
        count = await self._poll(term, trial=True, early=early)
        if not count.won or (early and not count.unopposed):
            self._timer.wait_again()
            return
        async with self._lock:
            # A vote given during the trial goes first: a higher term now
            # would unseat whoever wins by it, and all would wait anew.
            if self._timer.hears_leader or self.term + 1 != term:
                return
            self._role = CANDIDATE
            self._leader = ''
            await self._save_vote(term, self._name)
        count = await self._poll(term, trial=False, early=early)
        if count.term > self.term:
            await self._obey(count.term)
        async with self._lock:
            if self.term != term or self._role != CANDIDATE:
                return
            self._role = FOLLOWER
            self._timer.wait_again()
            if count.won and (count.unopposed or not early):
                self._lead()

    async def _poll(
        self, term: int, *, trial: bool, early: bool
    ) -> ballots.Count:
        journal = self._log.journal
        request = pb.VoteRequest(
            term=term,
            candidate=self._name,
            last_index=journal.last_index,
            last_term=journal.last_term,
            trial=trial,
            unanimous=early,
        )
        return await ballots.poll(
            self._name, self.members, request, self._reach
        )

    def _voter(self) -> voting.Voter:
        journal = self._log.journal
        return voting.Voter(
            admitted=self.admitted,
            hears_leader=self._timer.hears_leader,
            is_early=self._timer.is_early,
            is_leader=self._role == LEADER,
            has_lease=self.leads,
            vote=self._log.vote,
            last=(journal.last_term, journal.last_index),
        )

    async def _follow(self, term: int, leader: str) -> None:
        """Accept a term and its leader."""
        if term > self.term or self._role != FOLLOWER:
            self._step_down()
        if term > self.term:
            await self._save_vote(term, '')
        self._leader = leader
        self._timer.hear()

    async def _obey(self, term: int) -> None:
        """Accept a higher term whose leader is not known."""
        async with self._lock:
            if term > self.term:
                # If our disk does not take it, the next message tries again.
                with contextlib.suppress(errors.StorageFailed):
                    await self._follow(term, '')

    async def _save_vote(self, term: int, candidate: str) -> None:
        await self._log.save_vote(storage.Vote(term, candidate))

    # -- leading ---------------------------------------------------------

    def _lead(self) -> None:
        self._role = LEADER
        self._leader = self._name
        self._leadership = leadership.Leadership(
            self._name,
            self._log,
            self._reach,
            self._on_term,
            self._step_down,
            self._options.heartbeat_s,
        )
        self._leadership.begin()

    def _step_down(self) -> None:
        if self._leadership is not None:
            self._leadership.end()
            self._leadership = None
            self._leader = ''
        self._role = FOLLOWER

    def _on_term(self, term: int) -> None:
        """Obey a higher term from a task that this will end."""
        task = asyncio.create_task(self._obey(term))
        self._obeying.add(task)
        task.add_done_callback(self._obeying.discard)

    def _on_applied(self, entry: pb.Entry, result: typing.Any) -> None:
        if self._leadership is not None:
            self._leadership.resolve(entry, result)

    # -- shared ----------------------------------------------------------

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
