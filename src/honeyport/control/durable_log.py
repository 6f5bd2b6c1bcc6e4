"""Log of a replica: entries in memory and on disk, and their application."""

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

# Applied entries kept in memory after a snapshot, for lagging followers.
_KEPT_ENTRIES = 200
# Interval until a failed snapshot is retried, relative to the usual interval.
_RETRY_INTERVAL_FACTOR = 0.1

Persist = collections.abc.Callable[..., collections.abc.Awaitable[None]]
OnApplied = collections.abc.Callable[[pb.Entry, typing.Any], None]

_COMMAND_FIELDS: dict[type, str] = {
    pb.Members: 'members',
    pb.AcceptBundle: 'bundle',
    pb.ClaimBatch: 'claims',
    pb.Empty: 'empty',
    pb.ReplaceBundle: 'replace',
    pb.PlaceChange: 'places',
    pb.RouterChange: 'routers',
    pb.SuspectChange: 'suspects',
    pb.EvacuationChange: 'evacuations',
    pb.VersionChange: 'versions',
}


class DurableLog:
    """Replicated log with its vote, snapshots and state machine.

    :param disk: the storage, not loaded yet
    :param persist: runs blocking storage functions one after the other
    :param initial_members: name to address, for a disk without a record
    :param snapshot_entries: applied entries between two snapshots
    :param on_applied: called with each applied entry and its result
    """

    def __init__(
        self,
        disk: storage.Storage,
        persist: Persist,
        initial_members: dict[str, str],
        snapshot_entries: int,
        on_applied: OnApplied,
    ) -> None:
        contents = disk.load()
        self._disk = disk
        self._persist = persist
        self._snapshot_entries = snapshot_entries
        self._on_applied = on_applied
        self._last_write_succeeded = True
        self._vote = contents.vote
        self._machine = machine.Machine()
        self._journal = journal.Journal()
        self._applied = 0
        self._snapshot_due = snapshot_entries
        # The members recorded at the bootstrap take precedence, since the
        # settings may have changed since then.
        recorded_members = disk.identity.founders or initial_members
        self._initial_members = membership.initial_members(recorded_members)
        self._base_members = self._initial_members
        self._restore(contents.snapshot, contents.entries)
        self._commit = self._applied
        self._synced_index = self._journal.last_index

    @property
    def identity(self) -> storage.Identity:
        """Identity of the disk."""
        return self._disk.identity

    @property
    def vote(self) -> storage.Vote:
        """Highest term seen, and the candidate voted for in it."""
        return self._vote

    @property
    def journal(self) -> journal.Journal:
        """The log entries in memory."""
        return self._journal

    @property
    def machine(self) -> machine.Machine:
        """The state after all applied entries."""
        return self._machine

    @property
    def commit(self) -> int:
        """Highest index known to be committed."""
        return self._commit

    @property
    def applied(self) -> int:
        """Index of the last applied entry."""
        return self._applied

    @property
    def synced_index(self) -> int:
        """Index up to which entries are synced to our disk."""
        return self._synced_index

    @property
    def initial_members(self) -> pb.Members:
        """Members before the first entry of the log."""
        return self._initial_members

    @property
    def members(self) -> pb.Members:
        """The latest members in the log, committed or not (section 4.1)."""
        return self._journal.members() or self._base_members

    @property
    def members_committed(self) -> bool:
        """Whether the latest membership change is committed."""
        return self.members_at(self._commit) == self.members

    def members_at(self, index: int) -> pb.Members:
        """Return the latest members up to an index."""
        return self._journal.members(index) or self._base_members

    async def mark_founded(self) -> None:
        """Record the bootstrap and the initial members on the disk.

        :raises errors.StorageFailed: if the write failed
        """
        recorded_members = {
            member.name: member.address
            for member in self._initial_members.replicas
        }
        await self._call_storage(self._disk.mark_founded, recorded_members)

    async def save_vote(self, vote: storage.Vote) -> None:
        """Sync a term and a vote.

        :raises errors.StorageFailed: if the write failed; the vote in memory
            is then the previous one
        """
        previous_vote = self._vote
        self._vote = vote  # included in a snapshot that starts meanwhile
        try:
            await self._call_storage(self._disk.append, [], vote)
        except errors.StorageFailed:
            self._vote = previous_vote
            raise

    def append(self, command: typing.Any) -> pb.Entry:
        """Append an entry of the current term without syncing it."""
        entry = pb.Entry(
            index=self._journal.last_index + 1, term=self._vote.term
        )
        getattr(entry, _COMMAND_FIELDS[type(command)]).CopyFrom(command)
        self._journal.append(entry)
        return entry

    async def merge(self, entries: typing.Sequence[pb.Entry]) -> None:
        """Merge a leader's entries and sync all unsynced ones.

        :raises errors.StorageFailed: if the write failed
        """
        new_entries = self._journal.merge(entries)
        if new_entries:
            self._synced_index = min(
                self._synced_index, new_entries[0].index - 1
            )
        await self.sync_pending()

    async def sync_pending(self) -> None:
        """Sync the entries that are only in memory.

        :raises errors.StorageFailed: if the write failed
        """
        entries = self._journal.slice(
            self._synced_index + 1, self._journal.last_index
        )
        if entries:
            await self._call_storage(self._disk.append, entries)
            self._synced_index = entries[-1].index

    async def advance(self, commit: int) -> None:
        """Advance the commit index, and apply entries up to it."""
        self._commit = max(self._commit, commit)
        if self._applied >= self._commit:
            return
        while self._applied < self._commit:
            entry = self._journal.get(self._applied + 1)
            result = self._machine.apply(entry)
            self._applied += 1
            self._on_applied(entry, result)
        await self._take_snapshot()

    def snapshot(self) -> pb.State:
        """Return a snapshot of all applied entries."""
        state = self._machine.save()
        state.index = self._applied
        state.term = self._journal.term(self._applied)
        state.members.CopyFrom(self.members_at(self._applied))
        return state

    async def install(self, state: pb.State) -> None:
        """Replace the log by a leader's snapshot.

        :raises errors.StorageFailed: if the write failed
        """
        await self._call_storage(self._disk.compact, state, [], self._vote)
        self._restore(state, [])
        self._commit = self._applied
        self._synced_index = self._applied
        logs.emit(events.SNAPSHOT_RECEIVED, index=state.index)

    async def _take_snapshot(self) -> None:
        if self._applied < self._snapshot_due:
            return
        state = self.snapshot()
        later_entries = self._journal.slice(
            state.index + 1, self._journal.last_index - state.index
        )
        # Set before the write, so that no other snapshot starts meanwhile.
        self._snapshot_due = state.index + self._snapshot_entries
        try:
            await self._call_storage(
                self._disk.compact, state, later_entries, self._vote
            )
        except errors.StorageFailed:
            retry_entries = max(
                1, int(self._snapshot_entries * _RETRY_INTERVAL_FACTOR)
            )
            self._snapshot_due = state.index + retry_entries
            return
        new_base_index = max(
            self._journal.base_index, state.index - _KEPT_ENTRIES
        )
        self._base_members = self.members_at(new_base_index)
        self._journal.truncate_prefix(new_base_index)
        logs.emit(events.SNAPSHOT_TAKEN, index=state.index)

    async def _call_storage(
        self, function: typing.Callable[..., None], *args: typing.Any
    ) -> None:
        """Run a storage function; log when writes start or stop failing."""
        try:
            await self._persist(function, *args)
        except errors.StorageFailed as error:
            if self._last_write_succeeded:
                logs.emit(
                    events.STORAGE_FAILED,
                    code=error.code,
                    detail=error.detail,
                    term=self._vote.term,
                    written=self._synced_index,
                )
            self._last_write_succeeded = False
            raise
        if not self._last_write_succeeded:
            logs.emit(events.STORAGE_REGAINED, written=self._synced_index)
        self._last_write_succeeded = True

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
