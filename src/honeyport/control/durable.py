"""The log of a replica: in memory, on its disk, and applied."""

import collections.abc
import typing

from honeyport.control import journal
from honeyport.control import machine
from honeyport.control import membership
from honeyport.control import storage
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_KEPT_TAIL = 200  # applied entries kept for followers that lag a little
# After a snapshot that the disk did not take, the next try comes so many
# entries later: a tenth of the usual distance between two.
_RETRY_SHARE = 0.1

Persist = collections.abc.Callable[..., collections.abc.Awaitable[None]]
OnApplied = collections.abc.Callable[[pb.Entry, typing.Any], None]

_FIELDS: dict[type, str] = {
    pb.Members: 'members',
    pb.AcceptBundle: 'bundle',
    pb.ClaimBatch: 'claims',
    pb.Empty: 'empty',
    pb.ReplaceBundle: 'replace',
    pb.PlaceChange: 'places',
    pb.RouterChange: 'routers',
    pb.SuspectChange: 'suspects',
    pb.EvacuationChange: 'evacuations',
}


class DurableLog:
    """Entries that are synced before anybody hears of them.

    :param disk: the storage, not loaded yet
    :param persist: runs a blocking function of the storage, in order
    :param founding: the founding members, name to address
    :param snapshot_entries: applied entries after which a snapshot is due
    :param on_applied: called with each applied entry and its result
    """

    def __init__(
        self,
        disk: storage.Storage,
        persist: Persist,
        founding: dict[str, str],
        snapshot_entries: int,
        on_applied: OnApplied,
    ) -> None:
        contents = disk.load()
        self._disk = disk
        self._persist = persist
        self._snapshot_entries = snapshot_entries
        self._on_applied = on_applied
        self._sound = True  # whether the last write succeeded
        self._vote = contents.vote
        self._machine = machine.Machine()
        self._journal = journal.Journal()
        self._applied = 0
        self._snapshot_due = snapshot_entries
        # Settings may name other instances at the next start: what was noted
        # at the founding decides who is a member before the first entry.
        founders = disk.identity.founders or founding
        self._founding = membership.founding(founders)
        self._base_members = self._founding
        self._restore(contents.snapshot, contents.entries)
        self._commit = self._applied
        self._written = self._journal.last_index

    @property
    def identity(self) -> storage.Identity:
        """Which disk this is."""
        return self._disk.identity

    @property
    def vote(self) -> storage.Vote:
        """The highest term seen, and the vote given in it."""
        return self._vote

    @property
    def journal(self) -> journal.Journal:
        """The entries in memory."""
        return self._journal

    @property
    def machine(self) -> machine.Machine:
        """The state after all applied entries."""
        return self._machine

    @property
    def commit(self) -> int:
        """The highest index known to be committed."""
        return self._commit

    @property
    def applied(self) -> int:
        """The index of the last applied entry."""
        return self._applied

    @property
    def written(self) -> int:
        """The index up to which our disk has the entries."""
        return self._written

    @property
    def founding(self) -> pb.Members:
        """The founding members."""
        return self._founding

    @property
    def members(self) -> pb.Members:
        """The members in force: the latest in the log (section 4.1)."""
        return self._journal.members() or self._base_members

    @property
    def members_settled(self) -> bool:
        """Whether the latest change of members is committed."""
        return self.members_at(self._commit) == self.members

    def members_at(self, index: int) -> pb.Members:
        """Return the members in force at an index."""
        return self._journal.members(index) or self._base_members

    async def found(self) -> None:
        """Note on the disk that it took part in the founding, and who else."""
        founders = {
            member.name: member.address for member in self._founding.replicas
        }
        await self._sync(self._disk.found, founders)

    async def save_vote(self, vote: storage.Vote) -> None:
        """Sync a term and a vote.

        :raises errors.StorageFailed: if the disk did not take them
        """
        before = self._vote
        self._vote = vote  # a snapshot that begins meanwhile keeps it
        try:
            await self._sync(self._disk.append, [], vote)
        except errors.StorageFailed:
            self._vote = before
            raise

    def append(self, command: typing.Any) -> pb.Entry:
        """Add our own entry in the current term; it is not synced yet."""
        entry = pb.Entry(
            index=self._journal.last_index + 1, term=self._vote.term
        )
        getattr(entry, _FIELDS[type(command)]).CopyFrom(command)
        self._journal.append(entry)
        return entry

    async def merge(self, entries: typing.Sequence[pb.Entry]) -> None:
        """Take a leader's entries, and sync all that is not synced."""
        fresh = self._journal.merge(entries)
        if fresh:
            self._written = min(self._written, fresh[0].index - 1)
        await self.write_rest()

    async def write_rest(self) -> None:
        """Sync the entries that are not on our disk yet."""
        entries = self._journal.slice(
            self._written + 1, self._journal.last_index
        )
        if entries:
            await self._sync(self._disk.append, entries)
            self._written = entries[-1].index

    async def advance(self, commit: int) -> None:
        """Apply entries up to a committed index."""
        self._commit = max(self._commit, commit)
        if self._applied >= self._commit:
            return
        while self._applied < self._commit:
            entry = self._journal.get(self._applied + 1)
            result = self._machine.apply(entry)
            self._applied += 1
            self._on_applied(entry, result)
        await self._compact()

    def snapshot(self) -> pb.State:
        """Return the state as it is now."""
        state = self._machine.save()
        state.index = self._applied
        state.term = self._journal.term(self._applied)
        state.members.CopyFrom(self.members_at(self._applied))
        return state

    async def install(self, state: pb.State) -> None:
        """Take a leader's snapshot in place of our log."""
        await self._sync(self._disk.compact, state, [], self._vote)
        self._restore(state, [])
        self._commit = self._applied
        self._written = self._applied
        logs.emit(events.SNAPSHOT_RECEIVED, index=state.index)

    async def _compact(self) -> None:
        if self._applied < self._snapshot_due:
            return
        state = self.snapshot()
        tail = self._journal.slice(
            state.index + 1, self._journal.last_index - state.index
        )
        # Before the disk takes it: nobody else begins one meanwhile.
        self._snapshot_due = state.index + self._snapshot_entries
        try:
            await self._sync(self._disk.compact, state, tail, self._vote)
        except errors.StorageFailed:
            retry = max(1, int(self._snapshot_entries * _RETRY_SHARE))
            self._snapshot_due = state.index + retry
            return
        kept_from = max(self._journal.base_index, state.index - _KEPT_TAIL)
        self._base_members = self.members_at(kept_from)
        self._journal.cut(kept_from)
        logs.emit(events.SNAPSHOT_TAKEN, index=state.index)

    async def _sync(
        self, function: typing.Callable[..., None], *args: typing.Any
    ) -> None:
        """Run a function of the storage; say so when it starts to fail."""
        try:
            await self._persist(function, *args)
        except errors.StorageFailed as error:
            if self._sound:
                logs.emit(
                    events.STORAGE_FAILED,
                    code=error.code,
                    detail=error.detail,
                    term=self._vote.term,
                    written=self._written,
                )
            self._sound = False
            raise
        if not self._sound:
            logs.emit(events.STORAGE_REGAINED, written=self._written)
        self._sound = True

    def _restore(
        self, state: pb.State | None, entries: typing.Sequence[pb.Entry]
    ) -> None:
        if state is None:
            self._journal = journal.Journal(0, 0, entries)
            return
        self._machine.restore(state)
        self._applied = state.index
        self._snapshot_due = state.index + self._snapshot_entries
        self._base_members = state.members
        self._journal = journal.Journal(state.index, state.term, entries)
