"""Members of the control group, changed one at a time.

A member is a name together with the identity of its disk. The disk is empty
for an initial member that has not answered the leader yet.
"""

import typing

from honeyport.control import storage
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb


def initial_members(addresses: dict[str, str]) -> pb.Members:
    """Return the initial members, all of them voters.

    :param addresses: name to listen address
    """
    return pb.Members(
        replicas=[
            pb.Replicant(name=name, address=address, voter=True)
            for name, address in sorted(addresses.items())
        ]
    )


def find(members: pb.Members, name: str) -> pb.Replicant | None:
    """Return the member of a name, or ``None``."""
    for member in members.replicas:
        if member.name == name:
            return member
    return None


def is_admitted(
    members: pb.Members, name: str, identity: storage.Identity
) -> bool:
    """Return whether a replica with this disk may vote."""
    member = find(members, name)
    if member is None or not member.voter:
        return False
    if member.disk:
        return member.disk == identity.disk
    return identity.founded


def voter_count(members: pb.Members) -> int:
    """Return the number of voters whose disk is recorded.

    After the bootstrap it is lower than the number of initial members until
    the leader has recorded each one's disk.
    """
    return sum(
        member.voter and bool(member.disk) for member in members.replicas
    )


def is_quorum(members: pb.Members, names: set[str]) -> bool:
    """Return whether these names are more than half of the voters."""
    voters = [member.name for member in members.replicas if member.voter]
    return 2 * len(names.intersection(voters)) > len(voters)


def quorum_value(
    members: pb.Members, values: typing.Mapping[str, float]
) -> float:
    """Return the highest value that a quorum of voters has reached.

    :param values: value of each member; a missing one counts as -inf
    """
    reached = sorted(
        values.get(member.name, float('-inf'))
        for member in members.replicas
        if member.voter
    )
    return reached[(len(reached) - 1) // 2] if reached else float('-inf')


def with_disk(members: pb.Members, name: str, disk: str) -> pb.Members:
    """Return a copy of the members with the disk of one member set."""
    changed = pb.Members()
    changed.CopyFrom(members)
    member = find(changed, name)
    if member is not None:
        member.disk = disk
    return changed


def change_after_answer(
    members: pb.Members,
    name: str,
    disk: str,
    admitted: bool,
    *,
    may_vote: bool,
) -> pb.Members | None:
    """Return the members after a member's answer, or ``None`` if unchanged.

    A disk that is named for the first time is recorded. A voter with
    another disk has lost its own and becomes a learner. A learner that may
    vote becomes a voter.

    :param disk: identity of the disk in the answer
    :param admitted: whether the member considers itself admitted
    :param may_vote: whether a learner with a recorded disk is to vote
    """
    member = find(members, name)
    if member is None or not disk:
        return None
    changed = with_disk(members, name, disk)
    changed_member = find(changed, name)
    assert changed_member is not None
    if member.voter and member.disk != disk:
        changed_member.voter = not member.disk and admitted
        return changed
    if not member.voter and (member.disk != disk or may_vote):
        changed_member.voter = member.disk == disk and may_vote
        return changed
    return None


def add_or_remove(members: pb.Members, name: str, address: str) -> pb.Members:
    """Return the members with one added as a learner, or removed.

    :param address: listen address of the learner; ``''`` removes
    :raises errors.UsageInvalid: if the one to add is a member already, or
        the one to remove is none
    """
    is_member = find(members, name) is not None
    if is_member == bool(address):
        verb = 'is' if is_member else 'is not'
        raise errors.UsageInvalid(f'{name} {verb} a member')
    changed = pb.Members()
    for member in members.replicas:
        if member.name != name:
            changed.replicas.append(member)
    if address:
        changed.replicas.add(name=name, address=address)
    return changed
