"""Messages with a version of the bundle, as a snapshot or as a delta.

Many routers change from the same version to the next one at the same time, so
each message is built and compressed once for all of them.
"""

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import packed
from honeyport.control import machine
from honeyport.wire import honeyport_pb2 as pb

# Versions that are kept as the base of a delta; routers with an older one get
# a snapshot. They cover a second of changes in quick succession.
_MAX_KEPT_VERSIONS = 16


class BundleVersions:
    """The recent versions, and the messages that update to the newest one."""

    def __init__(self) -> None:
        self._entries_by_version: dict[int, bundle_entries.Entries] = {}
        self._messages: dict[int, pb.Config] = {}
        self._newest_version = 0

    def add(self, accepted: machine.Accepted) -> None:
        """Keep a version, so that deltas can be based on it."""
        if accepted.version in self._entries_by_version:
            return
        self._entries_by_version[accepted.version] = accepted.entries
        while len(self._entries_by_version) > _MAX_KEPT_VERSIONS:
            del self._entries_by_version[next(iter(self._entries_by_version))]

    def has(self, version: int) -> bool:
        """Whether a delta can be based on a version."""
        return version in self._entries_by_version

    def message(self, base: int, accepted: machine.Accepted) -> pb.Config:
        """Return the message that updates a router to the accepted version.

        :param base: the version that it has; 0 for an unknown one
        """
        if self._newest_version != accepted.version:
            self._newest_version = accepted.version
            self._messages.clear()
        if base not in self._messages:
            self._messages[base] = self._make_message(base, accepted)
        return self._messages[base]

    def _make_message(
        self, base: int, accepted: machine.Accepted
    ) -> pb.Config:
        config = pb.Config(version=accepted.version, digest=accepted.digest)
        base_entries = self._entries_by_version.get(base) if base else None
        if base_entries is None:
            config.snapshot = packed.pack_snapshot(accepted.entries)
            return config
        delta = bundle_entries.diff(
            base, base_entries, accepted.version, accepted.entries
        )
        config.base = base
        config.delta = packed.pack_delta(delta)
        return config
