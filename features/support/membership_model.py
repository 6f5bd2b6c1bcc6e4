"""All states of a control group, and what planned changes lead to.

A state is a list of members and of candidates. A learner that answers catches
up, and becomes a voter as soon as the voters that answer can confirm it. A
candidate that is added either answers or not; both are followed.
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
    'ready learner': {'voter': False, 'answers': True, 'caught_up': True},
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


def follow(state, target_size, promotes_first):
    """Yield the state and those that follow, until nothing changes.

    :param promotes_first: whether learners become voters before planned
        changes, where both are possible
    :raises AssertionError: if the changes do not come to an end
    """
    for _ in range(_MAX_CHANGES):
        yield state
        following = _next_state(state, target_size, promotes_first)
        if following is None:
            return
        state = following
    raise AssertionError(('changes without end', state))


def can_be_complete(state, target_size):
    """Return whether there are enough replicas that answer or will."""
    usable = sum(member.usable for member in state.members)
    sound = len(state.candidates) - len(state.doomed)
    return usable + sound >= target_size


def _next_state(state, target_size, promotes_first):
    promoted = _promote(state, target_size)
    if promoted is not None and promotes_first:
        return promoted
    change = membership_plan.next_change(
        state.members, target_size, state.candidates
    )
    if change is None:
        return promoted or _catch_up(state)
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


def _promote(state, target_size):
    """Return the state after a ready learner became a voter, if it may."""
    voter_count = sum(m.voter for m in state.members)
    is_confirmed = (
        state.answering_voters == voter_count
        or 2 * state.answering_voters > voter_count + 1
    )
    if voter_count >= target_size or not is_confirmed:
        return None
    return _change_first(state, lambda m: m.ready, voter=True, caught_up=False)


def _catch_up(state):
    """Return the state after a learner caught up, if one answers."""
    return _change_first(
        state,
        lambda m: not m.voter and m.usable and not m.caught_up,
        caught_up=True,
    )


def _change_first(state, condition, **fields):
    for member in state.members:
        if condition(member):
            changed = attrs.evolve(member, **fields)
            members = tuple(
                changed if other is member else other
                for other in state.members
            )
            return attrs.evolve(state, members=members)
    return None
