"""All states of a control group, and what planned changes lead to.

A state is a list of members and of candidates. While no change is planned, a
learner that answers becomes a voter. A candidate that is added either answers
or not; both are followed.
"""

import itertools

import attrs

from honeyport.control import membership_plan

_MAX_CANDIDATES = 3
_MAX_CHANGES = 100
_KINDS = {
    'voter': {'voter': True, 'answers': True},
    'lost voter': {'voter': True, 'answers': False},
    'learner': {'voter': False, 'answers': True},
    'lost learner': {'voter': False, 'answers': False},
    'overdue learner': {'voter': False, 'answers': True, 'overdue': True},
}


@attrs.frozen
class State:
    """Members, the leader first, and candidates.

    :ivar doomed: the candidates that will not answer
    """

    members: tuple[membership_plan.Member, ...]
    candidates: tuple[str, ...]
    doomed: frozenset[str] = frozenset()

    @property
    def answering_voters(self):
        """The number of voters that answer."""
        return sum(m.voter and m.answers for m in self.members)

    @property
    def has_quorum(self):
        """Whether more than half of the voters answer."""
        return 2 * self.answering_voters > sum(m.voter for m in self.members)


def states(target_size):
    """Yield all states of a group whose leader has a quorum."""
    leader = membership_plan.Member('leader', voter=True, answers=True)
    for count in range(2 * target_size):
        for kinds in itertools.combinations_with_replacement(_KINDS, count):
            members = (
                leader,
                *(
                    membership_plan.Member(f'm{number}', **_KINDS[kind])
                    for number, kind in enumerate(kinds)
                ),
            )
            for candidate_count in range(_MAX_CANDIDATES + 1):
                names = tuple(f'c{n}' for n in range(candidate_count))
                for doomed in range(candidate_count + 1):
                    state = State(members, names, frozenset(names[:doomed]))
                    if state.has_quorum:
                        yield state


def follow(state, target_size):
    """Yield the state and those that follow, until nothing changes.

    :raises AssertionError: if the changes do not come to an end
    """
    for _ in range(_MAX_CHANGES):
        yield state
        following = _next_state(state, target_size)
        if following is None:
            return
        state = following
    raise AssertionError(('changes without end', state))


def can_be_complete(state, target_size):
    """Return whether there are enough replicas that answer or will."""
    usable = sum(member.usable for member in state.members)
    sound = len(state.candidates) - len(state.doomed)
    return usable + sound >= target_size


def _next_state(state, target_size):
    change = membership_plan.next_change(
        state.members, target_size, state.candidates
    )
    if change is None:
        return _promote(state)
    if change.added:
        return _add(state, change.added)
    return _remove(state, change.removed)


def _add(state, name):
    member = membership_plan.Member(
        name, voter=False, answers=name not in state.doomed
    )
    return State(
        (*state.members, member),
        tuple(other for other in state.candidates if other != name),
        state.doomed - {name},
    )


def _remove(state, name):
    """Remove a member; one that answers attaches as a candidate."""
    removed = next(m for m in state.members if m.name == name)
    members = tuple(m for m in state.members if m.name != name)
    if not removed.answers:
        return attrs.evolve(state, members=members)
    doomed = state.doomed | ({name} if removed.overdue else set())
    return State(members, (*state.candidates, name), doomed)


def _promote(state):
    for member in state.members:
        if not member.voter and member.usable:
            promoted = attrs.evolve(member, voter=True)
            members = tuple(
                promoted if other is member else other
                for other in state.members
            )
            return attrs.evolve(state, members=members)
    return None
