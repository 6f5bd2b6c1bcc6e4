"""The in-memory log of a replica: the entries after a snapshot."""

import typing

from honeyport.wire import honeyport_pb2 as pb


class Journal:
    """Log entries in memory, addressed by index.

    :param base_index: index of the last entry that is not kept
    :param base_term: term of that entry
    :param entries: the entries that follow it
    """

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: typing.Sequence[pb.Entry] = (),
    ) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries = list(entries)
        # Indexed apart because members() is called for each report.
        self._member_changes = [
            entry for entry in entries if _is_member_change(entry)
        ]

    @property
    def base_index(self) -> int:
        """Index of the last entry that is no longer kept."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term(self.last_index)

    def term(self, index: int) -> int:
        """Return the term of the entry at an index, or -1 if unknown."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return -1
        return self._entries[index - self._base_index - 1].term

    def conflict_hint(self, commit: int) -> int:
        """Return the last index before the last term (section 3.5).

        :param commit: commit index, the lowest that is returned
        """
        index = self.last_index
        while index > commit and self.term(index) == self.last_term:
            index -= 1
        return index

    def get(self, index: int) -> pb.Entry:
        """Return the entry at an index."""
        return self._entries[index - self._base_index - 1]

    def slice(self, first: int, max_count: int) -> list[pb.Entry]:
        """Return up to ``max_count`` entries from an index on."""
        start = first - self._base_index - 1
        return self._entries[start : start + max_count]

    def append(self, entry: pb.Entry) -> None:
        """Append an entry."""
        self._entries.append(entry)
        if _is_member_change(entry):
            self._member_changes.append(entry)

    def merge(self, entries: typing.Sequence[pb.Entry]) -> list[pb.Entry]:
        """Append a leader's entries, after removing conflicting ones.

        Raft, figure 2, AppendEntries, rules 3 and 4.

        :returns: the entries that were appended
        """
        for position, entry in enumerate(entries):
            if entry.index <= self._base_index:
                continue
            if self.term(entry.index) == entry.term:
                continue
            del self._entries[entry.index - self._base_index - 1 :]
            new_entries = list(entries[position:])
            self._entries += new_entries
            self._member_changes = [
                change
                for change in self._member_changes
                if change.index < entry.index
            ]
            self._member_changes += filter(_is_member_change, new_entries)
            return new_entries
        return []

    def truncate_prefix(self, index: int) -> None:
        """Remove the entries up to and including an index."""
        term = self.term(index)
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term
        self._member_changes = [
            change for change in self._member_changes if change.index > index
        ]

    def members(self, up_to: int | None = None) -> pb.Members | None:
        """Return the latest members in the kept entries, if any.

        :param up_to: highest index to consider; ``None`` for all
        """
        for entry in reversed(self._member_changes):
            if up_to is None or entry.index <= up_to:
                return entry.members
        return None


def _is_member_change(entry: pb.Entry) -> bool:
    """Return whether an entry changes the members."""
    return entry.WhichOneof('command') == 'members'
