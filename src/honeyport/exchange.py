"""A request on its way and the frames of its answer.

Wherever an answer is produced (an engine's client, a hop to another
router) it is an asynchronous iterator of frames: one ``Head``, any number
of ``Data`` in order, one ``End``. What goes wrong is raised. An answer
without its ``End`` is not whole.
"""

import asyncio
import collections.abc

import attrs

from honeyport.policy import retry_after

NOT_RESUMED = -1

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class Call:
    """One request.

    :param deadline: loop time at which its caller gives up
    :param key: the idempotency key of a non-repeatable request, or ``''``
    :param resume_after: number of the last event that the caller has;
        0 if it has none, ``NOT_RESUMED`` if this is not a resumption
    :param parent: the ``traceparent`` of the span around it
    :param patience_s: how long to queue for room, at most
    :param linger: whether to go on for a while without a caller
    """

    request_id: str
    service: str
    account: str
    chat: str
    method: str
    path: str
    deadline: float
    headers: Headers = ()
    body: bytes = b''
    attempt: int = 1
    key: str = ''
    resume_after: int = NOT_RESUMED
    traceparent: str = ''
    priority: int = 0
    queue_timeout_s: float = 0.0
    linger: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether running it twice does no harm."""
        return not self.key

    @property
    def is_resumption(self) -> bool:
        """Whether this asks for the rest of a stream."""
        return self.resume_after != NOT_RESUMED

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()


@attrs.frozen
class Head:
    """The beginning of an answer."""

    status: int
    headers: Headers
    backend: str
    recorded: bool = False  # the outcome of an earlier run

    @property
    def retry_after_s(self) -> float | None:
        """When a backend server that turned this away may be asked again."""
        named = (
            value
            for name, value in self.headers
            if name.lower() == 'retry-after'
        )
        return retry_after.requested_s(self.status, next(named, ''))

    @property
    def is_success(self) -> bool:
        """Whether the backend server did what was asked."""
        return 200 <= self.status < 300

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of events."""
        return any(
            name.lower() == 'content-type' and value.startswith('text/event')
            for name, value in self.headers
        )


@attrs.frozen
class Data:
    """A part of the answer's body; numbered 1, 2, 3, ..."""

    number: int
    payload: bytes


@attrs.frozen
class End:
    """The end of a whole answer.

    :param frames: how many ``Data`` frames there were
    :param length: the bytes of all their payloads
    """

    frames: int
    length: int


Frame = Head | Data | End
Answer = collections.abc.AsyncGenerator[Frame, None]
