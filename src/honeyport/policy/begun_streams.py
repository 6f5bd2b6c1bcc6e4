"""Records of the software versions that began streams."""

import collections.abc

import attrs

# Beyond it, the oldest records are dropped.
_MAX_RECORDS = 50_000
_PURGE_INTERVAL_S = 1.0


@attrs.frozen
class BegunStream:
    """A stream whose first event was passed on to its caller.

    :ivar request_id: id of the request that brought this event
    :ivar version: software version of the instance that sent it
    :ivar expires_at: loop time after which its caller does not resume it
    """

    request_id: str
    service: str
    version: str
    expires_at: float


class Records:
    """A bounded number of begun streams, by the id of their request."""

    def __init__(self) -> None:
        self._streams: dict[str, BegunStream] = {}
        self._purge_at = float('-inf')

    def __len__(self) -> int:
        return len(self._streams)

    def add(self, stream: BegunStream, now: float) -> None:
        """Add a stream, or replace its record."""
        if now >= self._purge_at:
            self._purge(now)
        self._streams.pop(stream.request_id, None)
        self._streams[stream.request_id] = stream
        if len(self._streams) > _MAX_RECORDS:
            del self._streams[next(iter(self._streams))]

    def find(self, request_id: str, now: float) -> BegunStream | None:
        """Return the stream that a request began, if it is known."""
        stream = self._streams.get(request_id)
        return stream if stream and stream.expires_at > now else None

    def live(self, now: float) -> collections.abc.Iterator[BegunStream]:
        """Yield the streams that may be resumed."""
        for stream in self._streams.values():
            if stream.expires_at > now:
                yield stream

    def _purge(self, now: float) -> None:
        self._streams = {
            stream.request_id: stream for stream in self.live(now)
        }
        self._purge_at = now + _PURGE_INTERVAL_S
