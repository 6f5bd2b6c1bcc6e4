"""Decides which membership change a leader makes next, without I/O.

Learners do not count for a quorum: they may be added and removed at any time.
A voter is removed only if it does not answer, once its replacement has caught
up and right before that becomes a voter. In the other order the replacement's
vote would need the replacement itself for a quorum; if it were lost at that
moment, no change could be committed any more.
"""

import typing

import attrs


@attrs.frozen
class Member:
    """What a leader knows about a member of its group.

    :ivar answers: whether it answered recently; true for the leader
    :ivar caught_up: whether its log has all entries up to a recent commit
    :ivar overdue: whether it is a learner that should vote by now
    """

    name: str
    voter: bool
    answers: bool
    caught_up: bool = False
    overdue: bool = False

    @property
    def usable(self) -> bool:
        """Whether it votes, or is expected to."""
        return self.answers and (self.caught_up or not self.overdue)

    @property
    def ready(self) -> bool:
        """Whether it is a learner that may become a voter."""
        return not self.voter and self.answers and self.caught_up

    def __str__(self) -> str:
        words = [self.name, 'voter' if self.voter else 'learner']
        if not self.answers:
            words.append('silent')
        if self.ready:
            words.append('caught_up')
        elif self.overdue:
            words.append('overdue')
        return ' '.join(words)


@attrs.frozen
class Change:
    """A membership change: one of both names is empty.

    :ivar added: name of the replica to add as a learner
    :ivar removed: name of the member to remove
    """

    added: str = ''
    removed: str = ''


def is_complete(members: typing.Sequence[Member], target_size: int) -> bool:
    """Return whether as many members as wanted vote, and all answer."""
    return len(members) == target_size and all(
        member.voter and member.answers for member in members
    )


def next_change(
    members: typing.Sequence[Member],
    target_size: int,
    candidates: typing.Sequence[str],
) -> Change | None:
    """Return the next membership change, or ``None`` if there is none.

    The changes come to an end: a candidate is added only while too few
    members vote or are expected to, and a learner is removed only when
    enough members vote, or to make room.

    :param members: the committed members; a quorum of the voters answers
    :param target_size: number of members when none is being replaced
    :param candidates: replicas that could be added, the best first
    """
    voters = [member for member in members if member.voter]
    learners = [member for member in members if not member.voter]
    has_replacement = any(learner.ready for learner in learners)
    if has_replacement or len(voters) > target_size:
        for voter in voters:
            if not voter.answers:
                return Change(removed=voter.name)
    if sum(voter.answers for voter in voters) >= target_size:
        return Change(removed=learners[0].name) if learners else None
    usable_count = sum(member.usable for member in members)
    if usable_count >= target_size or not candidates:
        return None
    if len(members) >= 2 * target_size:
        # Each learner that is lost takes part in replication until removed.
        for learner in learners:
            if not learner.usable:
                return Change(removed=learner.name)
    return Change(added=candidates[0])
