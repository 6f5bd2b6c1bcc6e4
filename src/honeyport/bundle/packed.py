"""Compressed snapshots and deltas of a bundle's entries.

The leader packs them, and routers unpack them.
"""

import json
import typing
import zlib

from honeyport.bundle import entries as bundle_entries
from honeyport.wire import honeyport_pb2 as pb


def pack_snapshot(entries: bundle_entries.Entries) -> bytes:
    """Return all entries of a version in compressed form."""
    return _pack(entries)


def pack_delta(delta: bundle_entries.Delta) -> bytes:
    """Return a delta in compressed form, without its version numbers."""
    return _pack([delta.put, delta.removed])


def unpack_snapshot(data: bytes) -> bundle_entries.Entries:
    """Return the entries that :func:`pack_snapshot` compressed."""
    return json.loads(zlib.decompress(data))


def unpack_delta(config: pb.Config) -> bundle_entries.Delta:
    """Return the delta in a message."""
    put, removed = json.loads(zlib.decompress(config.delta))
    return bundle_entries.Delta(
        config.base, config.version, put, tuple(removed)
    )


def _pack(value: typing.Any) -> bytes:
    return zlib.compress(bundle_entries.canonical(value).encode())
