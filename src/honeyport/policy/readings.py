"""Merge a reading of the platform's instance list into the known instances.

A reading may contain entries that cannot be used, or lack later pages. It
still updates the instances that it does contain, so that one invalid entry
does not hide changes of all others.
"""

import collections.abc

import attrs

from honeyport.wire import honeyport_pb2 as pb


@attrs.frozen(kw_only=True)
class RefusedEntry:
    """An entry of the list that cannot be used.

    :ivar id: the id of its instance, or ``''`` if that cannot be read
    """

    id: str = ''
    reason: str


@attrs.frozen(kw_only=True)
class Reading:
    """The result of reading the list.

    :ivar instances: the usable instances, in the order of the list
    :ivar refused_entries: the entries that cannot be used
    :ivar missing_reason: why a part of the list could not be read, or ``''``
    :ivar retry_after_s: the delay that the server requested before the next
        reading, in seconds; 0 if none
    """

    instances: collections.abc.Sequence[pb.Instance] = ()
    refused_entries: collections.abc.Sequence[RefusedEntry] = ()
    missing_reason: str = ''
    retry_after_s: float = 0.0


Instances = collections.abc.Iterable[pb.Instance]


def merge(known: Instances, reading: Reading) -> list[pb.Instance]:
    """Return the known instances after a reading, sorted by id.

    If a part of the list could not be read, instances that the rest does not
    contain stay known.
    """
    known_by_id = {instance.id: instance for instance in known}
    merged: dict[str, pb.Instance] = {}
    for instance in reading.instances:
        duplicate = merged.get(instance.id)
        merged[instance.id] = (
            _merge_duplicates(instance, duplicate, known_by_id)
            if duplicate
            else instance
        )
    if reading.missing_reason:
        refused_ids = {refusal.id for refusal in reading.refused_entries}
        for instance_id, instance in known_by_id.items():
            if instance_id not in refused_ids and instance_id not in merged:
                merged[instance_id] = _copy(instance)
    return [merged[instance_id] for instance_id in sorted(merged)]


def _merge_duplicates(
    later: pb.Instance,
    earlier: pb.Instance,
    known_by_id: dict[str, pb.Instance],
) -> pb.Instance:
    """Return the merged entries of an instance that is listed twice.

    It is leaving if either entry says so. Keeps the entry with the address
    that was known before, else the earlier one.
    """
    known = known_by_id.get(later.id)
    kept = earlier
    if known is not None and later.address == known.address:
        kept = later
    merged = _copy(kept)
    merged.leaving = later.leaving or earlier.leaving
    return merged


def _copy(instance: pb.Instance) -> pb.Instance:
    copied = pb.Instance()
    copied.CopyFrom(instance)
    return copied
