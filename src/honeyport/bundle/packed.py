"""Versions of a bundle on their way to the routers: compressed entries.

Whole ones and differences alike; the leader writes them, a router reads them.
"""

import json
import typing
import zlib

from honeyport.bundle import entries as bundle_entries
from honeyport.wire import honeyport_pb2 as pb


def pack_snapshot(entries: bundle_entries.Entries) -> bytes:
    """Return all entries of a version as they are sent."""
    return _pack(entries)


def pack_delta(delta: bundle_entries.Delta) -> bytes:
    """Return a difference as it is sent."""
    return _pack([delta.put, delta.removed])


def unpack_snapshot(data: bytes) -> bundle_entries.Entries:
    """Return all entries of a version that was packed."""
    return json.loads(zlib.decompress(data))


def unpack_delta(config: pb.Config) -> bundle_entries.Delta:
    """Return the delta that a message brings."""
    put, removed = json.loads(zlib.decompress(config.delta))
    return bundle_entries.Delta(
        config.base, config.version, put, tuple(removed)
    )


def _pack(tree: typing.Any) -> bytes:
    return zlib.compress(bundle_entries.canonical(tree).encode())
