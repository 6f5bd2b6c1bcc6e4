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

Instances = collections.abc.Iterable[pb.Instance]


def pack(put: Instances, removed: collections.abc.Iterable[str]) -> bytes:
    """Return a change of a list, compressed; empty if nothing changes."""
    change = pb.InstanceChange(put=put, removed=removed)
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
    for name in change.removed:
        by_id.pop(name, None)
    by_id |= {one.id: one for one in change.put}
    return pb.Instances(
        number=message.number,
        instances=[by_id[name] for name in sorted(by_id)],
    )


def digest(instances: Instances) -> str:
    """Return what tells whether two lists name the same instances.

    For how long each is cold is left out: it differs with the time at which
    a list was made.
    """
    found = xxhash.xxh3_128()
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
        found.update(repr(fields).encode())
    return found.hexdigest()
