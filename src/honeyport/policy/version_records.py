"""Which software versions may have begun streams, on record.

A version is recorded before routers learn of its instances, and stays on
record for as long as a stream that it began may last. So the record names
all versions that can have begun a stream, also if all processes end.
"""

import collections.abc

from honeyport.policy import versions

# A version that was not listed for this time has no streams: those that it
# began last for less, also at gateways that had an older list for a while.
_UNLISTED_S = 30.0
# Stands for all versions before the first record of a service.
EARLIER = ''

Records = collections.abc.Mapping[str, frozenset[str]]


class VersionRecorder:
    """Decides which versions are to be on record, in one leader's term."""

    def __init__(self) -> None:
        # Loop time from which a recorded version was not listed.
        self._unlisted_since: dict[tuple[str, str], float] = {}

    def plan(
        self, recorded: Records, listed: versions.Versions, now: float
    ) -> dict[str, frozenset[str]]:
        """Return the versions to record for each service.

        :param recorded: the versions on record
        :param listed: those of the latest reading of the list
        :returns: without versions if a service needs no record any more
        """
        unlisted_since = {}
        planned = {}
        for service in recorded.keys() | listed.keys():
            current = frozenset(listed.get(service, ()))
            kept = set()
            for version in recorded.get(service, {EARLIER}) - current:
                key = (service, version)
                unlisted_since[key] = self._unlisted_since.get(key, now)
                if now - unlisted_since[key] < _UNLISTED_S:
                    kept.add(version)
            planned[service] = current | kept
        self._unlisted_since = unlisted_since
        return planned


def only_version(recorded: collections.abc.Collection[str]) -> str | None:
    """Return the only version of a record, or ``None``."""
    if len(recorded) != 1 or EARLIER in recorded:
        return None
    return next(iter(recorded))
