"""Versions of the bundle as routers get them: compressed, made once for all.

Many routers go from the same version to the next one at the same moment, so
the message is built and compressed once. A change of 1,100 routes is 0.3 MB
as it is: sent to 78 routers, it fills a link of 100 Mbit/s for two seconds.
"""

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import packed
from honeyport.control import machine
from honeyport.wire import honeyport_pb2 as pb

# Versions that a router may still have; older ones get a snapshot. A second
# of the quickest series of changes seen (one in 60 ms).
_KEPT_VERSIONS = 16


class BundleVersions:
    """The recent versions, and the messages that lead to the newest one."""

    def __init__(self) -> None:
        self._kept: dict[int, bundle_entries.Entries] = {}
        self._messages: dict[int, pb.Config] = {}
        self._newest = 0

    def add(self, accepted: machine.Accepted) -> None:
        """Remember a version, so that deltas can start from it."""
        if accepted.version in self._kept:
            return
        self._kept[accepted.version] = accepted.entries
        while len(self._kept) > _KEPT_VERSIONS:
            del self._kept[next(iter(self._kept))]

    def has(self, version: int) -> bool:
        """Whether a delta can start from a version."""
        return version in self._kept

    def message(self, base: int, accepted: machine.Accepted) -> pb.Config:
        """Return what brings a router to the accepted version.

        :param base: the version it has; 0 for none that we know
        """
        if self._newest != accepted.version:
            self._newest = accepted.version
            self._messages.clear()
        if base not in self._messages:
            self._messages[base] = self._make(base, accepted)
        return self._messages[base]

    def _make(self, base: int, accepted: machine.Accepted) -> pb.Config:
        config = pb.Config(version=accepted.version, digest=accepted.digest)
        old = self._kept.get(base) if base else None
        if old is None:
            config.snapshot = packed.pack_snapshot(accepted.entries)
            return config
        delta = bundle_entries.diff(
            base, old, accepted.version, accepted.entries
        )
        config.base = base
        config.delta = packed.pack_delta(delta)
        return config
