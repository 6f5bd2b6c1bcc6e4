"""What one reading of the instance list changes.

The load this answers: a list in which some entries cannot be used, or whose
later pages cannot be read. Taken whole or not at all, one such entry among
122 hides all others: instances that leave go on getting requests, and a new
leader has no instance to name.
"""

import collections.abc

import attrs

from honeyport.wire import honeyport_pb2 as pb


@attrs.frozen(kw_only=True)
class RefusedEntry:
    """An entry of the list that names no instance to use.

    :ivar id: the instance that it speaks of, if that much can be read
    """

    id: str = ''
    reason: str


@attrs.frozen(kw_only=True)
class Reading:
    """What was read of the list.

    :ivar instances: those that may be used, in the order of the list
    :ivar refusals: the entries that were left out
    :ivar missing: why the rest of the list could not be read, or ``''``
    :ivar again_s: when whoever serves it wants to be asked again, in seconds;
        0 if it does not say
    """

    instances: collections.abc.Sequence[pb.Instance] = ()
    refusals: collections.abc.Sequence[RefusedEntry] = ()
    missing: str = ''
    retry_after_s: float = 0.0


Instances = collections.abc.Iterable[pb.Instance]


def merge(former: Instances, reading: Reading) -> list[pb.Instance]:
    """Return the instances that are known after a reading, by id.

    Where a part of the list could not be read, the instances that were known
    before stay: nothing says that they are gone.
    """
    before = {one.id: one for one in former}
    found: dict[str, pb.Instance] = {}
    for one in reading.instances:
        other = found.get(one.id)
        found[one.id] = _agree(one, other, before) if other else one
    if reading.missing:
        refused = {refusal.id for refusal in reading.refusals}
        for name, one in before.items():
            if name not in refused and name not in found:
                found[name] = _copy(one)
    return [found[name] for name in sorted(found)]


def _agree(
    one: pb.Instance, other: pb.Instance, before: dict[str, pb.Instance]
) -> pb.Instance:
    """Return what holds of an instance that is listed twice.

    It leaves if one of the entries says so. Of two addresses the one that was
    known before holds, else the first; an instance that is reached under a
    wrong one turns the request away.
    """
    known = before.get(one.id)
    kept = other
    if known is not None and one.address == known.address:
        kept = one
    merged = _copy(kept)
    merged.leaving = one.leaving or other.leaving
    return merged


def _copy(one: pb.Instance) -> pb.Instance:
    copied = pb.Instance()
    copied.CopyFrom(one)
    return copied
