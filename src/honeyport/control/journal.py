"""The log of a replica in memory: entries after a snapshot's index."""

import typing

from honeyport.wire import honeyport_pb2 as pb


class Journal:
    """Entries by index; the first one follows the snapshot."""

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: typing.Sequence[pb.Entry] = (),
    ) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries = list(entries)
        # Apart from all others: the leader asks who its members are with
        # each report and for each stream, thousands of times a second.
        self._changes = [entry for entry in entries if _is_change(entry)]

    @property
    def base_index(self) -> int:
        """The index of the last entry that is no longer kept."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term(self.last_index)

    def term(self, index: int) -> int:
        """Return the term at an index, or -1 if it is not known."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return -1
        return self._entries[index - self._base_index - 1].term

    def conflict_hint(self, commit: int) -> int:
        """Return the last index before the term we end in (section 3.5)."""
        index = self.last_index
        while index > commit and self.term(index) == self.last_term:
            index -= 1
        return index

    def get(self, index: int) -> pb.Entry:
        """Return the entry at an index."""
        return self._entries[index - self._base_index - 1]

    def slice(self, first: int, most: int) -> list[pb.Entry]:
        """Return up to ``most`` entries from an index on."""
        start = first - self._base_index - 1
        return self._entries[start : start + most]

    def append(self, entry: pb.Entry) -> None:
        """Add an entry at the end."""
        self._entries.append(entry)
        if _is_change(entry):
            self._changes.append(entry)

    def merge(self, entries: typing.Sequence[pb.Entry]) -> list[pb.Entry]:
        """Add a leader's entries; drop ours from the first conflict on.

        Raft, figure 2, AppendEntries, rules 3 and 4.

        :returns: the entries that are new here
        """
        for position, entry in enumerate(entries):
            if entry.index <= self._base_index:
                continue
            if self.term(entry.index) == entry.term:
                continue
            del self._entries[entry.index - self._base_index - 1 :]
            fresh = list(entries[position:])
            self._entries += fresh
            self._changes = [
                change
                for change in self._changes
                if change.index < entry.index
            ]
            self._changes += filter(_is_change, fresh)
            return fresh
        return []

    def cut(self, index: int) -> None:
        """Forget the entries up to an index."""
        term = self.term(index)
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term
        self._changes = [
            change for change in self._changes if change.index > index
        ]

    def members(self, upto: int | None = None) -> pb.Members | None:
        """Return the latest change of members that is in the log."""
        for entry in reversed(self._changes):
            if upto is None or entry.index <= upto:
                return entry.members
        return None


def _is_change(entry: pb.Entry) -> bool:
    """Whether an entry changes who the members are."""
    return entry.WhichOneof('command') == 'members'
