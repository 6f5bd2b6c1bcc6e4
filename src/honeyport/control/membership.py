"""Who belongs to the control group, and how that changes: one at a time.

A member is a name together with the identity of its disk. A member whose
disk is not yet known is one of the founders that has not been heard.
"""

import typing

from honeyport.control import storage
from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb


def founding(addresses: dict[str, str]) -> pb.Members:
    """Return the founding members."""
    return pb.Members(
        replicas=[
            pb.Replicant(name=name, address=address, voter=True)
            for name, address in sorted(addresses.items())
        ]
    )


def find(members: pb.Members, name: str) -> pb.Replicant | None:
    """Return a member by name."""
    for member in members.replicas:
        if member.name == name:
            return member
    return None


def admits(members: pb.Members, name: str, identity: storage.Identity) -> bool:
    """Whether a replica with this disk may vote."""
    member = find(members, name)
    if member is None or not member.voter:
        return False
    if member.disk:
        return member.disk == identity.disk
    return identity.founded


def voting(members: pb.Members) -> int:
    """Return how many members vote and are known by their disk.

    Right after the founding it is fewer than there are founders: each one's
    disk is entered on its own, and one whose answer came late learns first.
    """
    return sum(
        member.voter and bool(member.disk) for member in members.replicas
    )


def is_quorum(members: pb.Members, names: set[str]) -> bool:
    """Whether these names are more than half of the voters."""
    voters = [member.name for member in members.replicas if member.voter]
    return 2 * len(names.intersection(voters)) > len(voters)


def quorum_value(
    members: pb.Members, values: typing.Mapping[str, float]
) -> float:
    """Return the highest value that a quorum of voters has reached."""
    reached = sorted(
        values.get(member.name, float('-inf'))
        for member in members.replicas
        if member.voter
    )
    return reached[(len(reached) - 1) // 2] if reached else float('-inf')


def pin(members: pb.Members, name: str, disk: str) -> pb.Members:
    """Return the members with the disk of one of them filled in."""
    changed = pb.Members()
    changed.CopyFrom(members)
    member = find(changed, name)
    if member is not None:
        member.disk = disk
    return changed


def next_change(
    members: pb.Members,
    name: str,
    disk: str,
    admitted: bool,
    *,
    caught_up: bool,
) -> pb.Members | None:
    """Return the change that an answer of a member calls for, if any.

    A disk heard for the first time is filled in. A voter with another
    disk has lost its own and becomes a learner. A learner that has caught
    up becomes a voter.
    """
    member = find(members, name)
    if member is None or not disk:
        return None
    changed = pin(members, name, disk)
    found = find(changed, name)
    assert found is not None
    if member.voter and member.disk != disk:
        found.voter = not member.disk and admitted
        return changed
    if not member.voter and (member.disk != disk or caught_up):
        found.voter = member.disk == disk and caught_up
        return changed
    return None


def change(members: pb.Members, name: str, address: str) -> pb.Members:
    """Return the members with one added as a learner, or removed.

    :param address: where it listens; ``''`` removes it
    :raises errors.UsageInvalid: if it is there already, or is not there
    """
    present = find(members, name) is not None
    if present == bool(address):
        state = 'is' if present else 'is not'
        raise errors.UsageInvalid(f'{name} {state} a member')
    changed = pb.Members()
    for member in members.replicas:
        if member.name != name:
            changed.replicas.append(member)
    if address:
        changed.replicas.add(name=name, address=address)
    return changed
