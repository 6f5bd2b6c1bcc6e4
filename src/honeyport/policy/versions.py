"""Which software versions of a service may have streams.

If a service has had one version for as long as a stream can last, that one
began every stream. A version that is new to the list got no requests before,
and an instance stays listed for some seconds after its end, so that no
version is missed in a short time without a list.
"""

import collections.abc

# A longer time without contact to control may hide a version.
_MAX_GAP_S = 3.0

Versions = collections.abc.Mapping[str, collections.abc.Set[str]]


class VersionHistory:
    """The software versions that the lists of instances have shown.

    :param window_s: the longest time in which a stream is taken up again
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._listed: Versions = {}
        # Loop time at which a version was last listed, by service.
        self._gone: dict[str, dict[str, float]] = {}
        self._known_since = float('inf')
        self._observed_at = float('-inf')

    @property
    def services(self) -> collections.abc.Collection[str]:
        """The services of the latest list."""
        return self._listed.keys()

    def versions(self, service: str) -> collections.abc.Set[str]:
        """Return the listed versions of a service."""
        return self._listed.get(service, frozenset())

    def silence_s(self, now: float) -> float:
        """Return the seconds since control was last heard."""
        return now - self._observed_at

    def observe(self, now: float, listed: Versions) -> None:
        """Record the latest list, also if it did not change.

        :param listed: the versions of each service
        """
        if self.silence_s(now) > _MAX_GAP_S:
            self._known_since = now
        self._observed_at = now
        if listed is self._listed:
            return
        for service, versions in self._listed.items():
            for version in versions - listed.get(service, frozenset()):
                self._gone.setdefault(service, {})[version] = now
        self._listed = listed
        self._drop_expired(now)

    def only_version(self, service: str, now: float) -> str | None:
        """Return the only version that can have begun a stream.

        :returns: ``None`` if there were several, or if it is not known
        """
        window_start = now - self._window_s
        if self._known_since > window_start:
            return None
        gone = self._gone.get(service, {})
        versions = self.versions(service) | {
            version for version, at in gone.items() if at > window_start
        }
        return next(iter(versions)) if len(versions) == 1 else None

    def settled_in_s(self, service: str, now: float) -> float:
        """Return the seconds until one version may be the only one.

        A lower bound: of the versions listed now, one at most may stay.
        """
        if len(self.versions(service)) > 1:
            return self._window_s
        known_since = max(
            (self._known_since, *self._gone.get(service, {}).values())
        )
        return max(0.0, known_since + self._window_s - now)

    def known_for_s(self, now: float) -> float:
        """Return for how long control was heard without a gap."""
        return now - self._known_since

    def _drop_expired(self, now: float) -> None:
        window_start = now - self._window_s
        for service in list(self._gone):
            recent = {
                version: at
                for version, at in self._gone[service].items()
                if at > window_start
            }
            if recent:
                self._gone[service] = recent
            else:
                del self._gone[service]
