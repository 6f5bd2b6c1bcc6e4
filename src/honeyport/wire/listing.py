"""Lists of instances on their way from the leader to the routers.

A list of 3,000 instances is 203 kB as a message and 51 kB compressed (one
list with random identifiers and addresses). Links of routers take 0.6 MB a
second, and the one of a leader of 300 routers 12.5.
"""

import collections.abc
import zlib

import xxhash

from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb

# Parts of a list that have a digest each, 1 kB in all. Of 3,000 instances 12
# stand in one, and what another leader has read differs in a few of them.
_PARTS = 256
# Two lists that differ in a part are taken for alike once in 4e9.
_DIGEST_BYTES = 4

Instances = collections.abc.Iterable[pb.Instance]


def pack(
    put: Instances,
    removed: collections.abc.Iterable[str] = (),
    parts: collections.abc.Iterable[int] = (),
) -> bytes:
    """Return a change of a list, compressed; empty if nothing changes.

    :param parts: the parts of the list that ``put`` names in full
    """
    change = pb.InstanceChange(put=put, removed=removed, parts=parts)
    return (
        zlib.compress(change.SerializeToString()) if change.ByteSize() else b''
    )


def apply(known: pb.Instances, message: pb.InstanceList) -> pb.Instances:
    """Return the list that a message leads to.

    :param known: the list that there is
    :raises errors.ListUnusable: if the message changes another list
    """
    if message.base and message.base != known.number:
        raise errors.ListUnusable(
            f'list {message.number} changes list {message.base}, and list '
            f'{known.number} is known'
        )
    change = pb.InstanceChange()
    if message.change:
        change.ParseFromString(zlib.decompress(message.change))
    by_id = {}
    if message.base:
        by_id = {one.id: one for one in known.instances}
    parts = set(change.parts)
    if parts:
        by_id = {
            name: one for name, one in by_id.items() if part(name) not in parts
        }
    for name in change.removed:
        by_id.pop(name, None)
    by_id |= {one.id: one for one in change.put}
    return pb.Instances(
        number=message.number,
        instances=[by_id[name] for name in sorted(by_id)],
    )


def part(instance: str) -> int:
    """Return the part of a list in which an instance stands."""
    return xxhash.xxh3_64_intdigest(instance.encode()) % _PARTS


def digests(instances: Instances) -> bytes:
    """Return the digests of all parts of a list, one after the other.

    For how long each instance is cold is left out: it differs with the time
    at which a list was made.

    :param instances: by identifier
    """
    found = [xxhash.xxh3_64() for _ in range(_PARTS)]
    for one in instances:
        fields = (
            one.id,
            one.service,
            one.address,
            one.domain,
            one.leaving,
            one.slots,
            one.place,
        )
        found[part(one.id)].update(repr(fields).encode())
    return b''.join(one.digest()[:_DIGEST_BYTES] for one in found)


def differing_parts(one: bytes, other: bytes) -> list[int]:
    """Return the parts that differ between two lists, by their digests."""
    size = _DIGEST_BYTES
    if len(one) != len(other):
        return list(range(_PARTS))
    return [
        number
        for number in range(_PARTS)
        if one[number * size : (number + 1) * size]
        != other[number * size : (number + 1) * size]
    ]
