"""Splitting of server-sent event streams at event boundaries."""

import re

# A line and the blank line that ends its event, each ended by LF, CRLF or CR
# (WHATWG HTML, section 9.2.5). A CR at the end of the data may be the first
# half of a CRLF, unless the line before ended with a CR, too.
_EVENT_END = re.compile(
    rb'(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|(?<=\r)\r|\r(?=[^\n]))'
)
_MAX_END_BYTES = 4
_ID_FIELD = b'id:'
_COMMENT = b':'


class EventSplitter:
    """Buffers a partial event until it is complete.

    Callers only get complete events; a broken stream is resumed on another
    instance after the last one.
    """

    def __init__(self) -> None:
        self._partial = b''
        self._last_event_id = ''
        self._events = 0

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event, or ``''``."""
        return self._last_event_id

    @property
    def has_events(self) -> bool:
        """Whether any event was complete."""
        return self._events > 0

    @property
    def events(self) -> int:
        """Number of complete events."""
        return self._events

    @property
    def is_within_event(self) -> bool:
        """Whether an event is incomplete.

        Blank lines and comments may follow the last event.
        """
        if not self._partial:
            return False
        lines = self._partial.splitlines()
        return self._partial[-1:] not in b'\r\n' or any(
            _is_field(line) for line in lines
        )

    def describe_cut(self, *, is_resumed: bool) -> str:
        """Return why a stream that ends here is incomplete, or ``''``.

        :param is_resumed: whether the stream goes on after an event that was
            received before; there may be none left
        """
        if self.is_within_event:
            return 'the stream ended inside an event'
        if not self._events and not is_resumed:
            return 'the stream ended before its first event'
        return ''

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are now complete."""
        data = self._partial + chunk
        # The rest of the partial event has been searched before.
        start = max(0, len(self._partial) - _MAX_END_BYTES)
        end = 0
        for match in _EVENT_END.finditer(data, start):
            end = match.end()
        self._partial = data[end:]
        complete = data[:end]
        lines = complete.splitlines()
        self._events += _count_events(lines)
        self._last_event_id = _last_event_id(lines) or self._last_event_id
        return complete

    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

    def discard_partial(self) -> None:
        """Discard the partial event; another instance sends it again."""
        self._partial = b''


def _is_field(line: bytes) -> bool:
    """Whether a line belongs to an event."""
    return bool(line) and not line.startswith(_COMMENT)


def _count_events(lines: list[bytes]) -> int:
    """Count the events in lines that end with a blank line."""
    count = 0
    has_fields = False
    for line in lines:
        if line:
            has_fields = has_fields or _is_field(line)
        else:
            count += has_fields
            has_fields = False
    return count


def _last_event_id(lines: list[bytes]) -> str:
    """Return the last event id in the lines of events, or ``''``."""
    for line in reversed(lines):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('ascii', 'replace')
    return ''
