"""A request inside the router and the frames of its answer.

Every producer of an answer (a backend server's client, the stream to
another router) returns an asynchronous iterator of frames: one ``Head``,
any number of ``Data`` in order, one ``End``. Errors are raised. An answer
without its ``End`` is incomplete.
"""

import asyncio
import collections.abc

import attrs

from honeyport.policy import retry_after

NOT_RESUMED = -1

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class Call:
    """A request that the router handles.

    :param deadline: loop time at which the caller's timeout expires
    :param attempt: number of this attempt, from 1
    :param key: the idempotency key of a non-repeatable request, or ``''``
    :param resume_after: number of the last event that the caller has;
        0 if it has none, ``NOT_RESUMED`` if this is not a resumption
    :param traceparent: the W3C ``traceparent`` of the enclosing span
    :param queue_timeout_s: maximum time to queue for a backend server
    :param linger: whether the request keeps running for
        ``timing.linger_ms`` after the caller disconnected
    :param origin: name of the gateway that the caller sent it to, if that one
        cannot reach the service, or ``''``
    :param route: name of the route by which that gateway admitted it
    :param config_version: version of the configuration that has this route
    :param offers: number of instances that it was offered to before
    :param tried: ids of these instances
    :param version: the only software version whose instances may run it;
        ``None`` for any
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
    origin: str = ''
    route: str = ''
    config_version: int = 0
    offers: int = 0
    tried: tuple[str, ...] = ()
    version: str | None = None

    @property
    def repeatable(self) -> bool:
        """Whether it is safe to run the request more than once."""
        return not self.key

    @property
    def is_resumption(self) -> bool:
        """Whether the request resumes an interrupted stream."""
        return self.resume_after != NOT_RESUMED

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - asyncio.get_running_loop().time()


@attrs.frozen
class Head:
    """The status and headers of an answer.

    :param backend: name of the backend server that answered
    :param recorded: whether it is the stored outcome of an earlier run
    :param running: number of requests in flight at the gateway that forwarded
        the request
    :param version: software version of the instance that answered it
    """

    status: int
    headers: Headers
    backend: str
    recorded: bool = False
    running: int = 0
    version: str = ''

    @property
    def retry_after_s(self) -> float | None:
        """Seconds until the next request, if the server asked for a pause."""
        retry_after_values = (
            value
            for name, value in self.headers
            if name.lower() == 'retry-after'
        )
        return retry_after.requested_backoff_s(
            self.status, next(retry_after_values, '')
        )

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return any(
            name.lower() == 'content-type' and value.startswith('text/event')
            for name, value in self.headers
        )


@attrs.frozen
class Data:
    """A part of the answer's body.

    :param number: consecutive, from 1
    """

    number: int
    payload: bytes


@attrs.frozen
class End:
    """The end of a complete answer.

    :param frames: number of its ``Data`` frames
    :param length: total size of their payloads, in bytes
    """

    frames: int
    length: int


Frame = Head | Data | End
Answer = collections.abc.AsyncGenerator[Frame, None]
