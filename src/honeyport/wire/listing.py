"""Compressed deltas of the instance list, sent by the leader to routers.

A list is hashed into partitions with a digest each, so that a router that
knows another list gets only the partitions that differ.
"""

import collections.abc
import zlib

import xxhash

from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb

# Partitions with a digest each: what another leader has read differs in few.
_PARTITION_COUNT = 256
_DIGEST_BYTES = 4  # a differing partition goes unnoticed once in 2**32

Instances = collections.abc.Iterable[pb.Instance]


def pack(
    put: Instances,
    removed: collections.abc.Iterable[str] = (),
    parts: collections.abc.Iterable[int] = (),
) -> bytes:
    """Return a compressed change of a list; empty if nothing changes.

    :param put: instances that are new or changed
    :param removed: identifiers of removed instances
    :param parts: partitions that ``put`` replaces as a whole
    """
    change = pb.InstanceChange(put=put, removed=removed, parts=parts)
    return (
        zlib.compress(change.SerializeToString()) if change.ByteSize() else b''
    )


def apply(known: pb.Instances, message: pb.InstanceList) -> pb.Instances:
    """Apply a message to a list; return the new list.

    :param known: the current list
    :raises errors.ListUnusable: if the message is based on another list
    """
    if message.base and message.base != known.number:
        raise errors.ListUnusable(
            f'list {message.number} is based on list {message.base}, but the '
            f'current list is {known.number}'
        )
    change = pb.InstanceChange()
    if message.change:
        change.ParseFromString(zlib.decompress(message.change))
    by_id = {}
    if message.base:
        by_id = {instance.id: instance for instance in known.instances}
    parts = set(change.parts)
    if parts:
        by_id = {
            instance_id: instance
            for instance_id, instance in by_id.items()
            if part(instance_id) not in parts
        }
    for instance_id in change.removed:
        by_id.pop(instance_id, None)
    by_id |= {instance.id: instance for instance in change.put}
    return pb.Instances(
        number=message.number,
        instances=[by_id[instance_id] for instance_id in sorted(by_id)],
        versions=message.versions,
    )


def part(instance_id: str) -> int:
    """Return the partition of a list to which an instance belongs."""
    return xxhash.xxh3_64_intdigest(instance_id.encode()) % _PARTITION_COUNT


def digests(instances: Instances) -> bytes:
    """Return the concatenated digests of all partitions of a list.

    ``cold_ms`` is left out because it depends on when a list was made.

    :param instances: sorted by identifier
    """
    hashers = [xxhash.xxh3_64() for _ in range(_PARTITION_COUNT)]
    for instance in instances:
        fields = (
            instance.id,
            instance.service,
            instance.address,
            instance.domain,
            instance.leaving,
            instance.slots,
            instance.place,
            instance.version,
        )
        hashers[part(instance.id)].update(repr(fields).encode())
    return b''.join(hasher.digest()[:_DIGEST_BYTES] for hasher in hashers)


def differing_parts(left: bytes, right: bytes) -> list[int]:
    """Return the partitions whose digests differ between two lists.

    :param left: the digests of one list, from :func:`digests`
    :param right: the digests of the other list
    """
    size = _DIGEST_BYTES
    if len(left) != len(right):
        return list(range(_PARTITION_COUNT))
    return [
        number
        for number in range(_PARTITION_COUNT)
        if left[number * size : (number + 1) * size]
        != right[number * size : (number + 1) * size]
    ]
