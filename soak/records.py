"""What callers, backend servers and operators saw, and when."""

import collections
import typing

import attrs


@attrs.frozen
class Run:
    """A request that an instance of a backend server began to work on."""

    request_id: str
    instance: str
    at: float


@attrs.frozen
class Wish:
    """What an instance asked for in its answer to a request.

    :ivar since_s: from the answer until nothing may come any more
    :ivar until_s: from the answer until something may come again
    """

    request_id: str
    instance: str
    at: float
    since_s: float
    until_s: float


@attrs.frozen
class Ended:
    """How a caller's request ended.

    :ivar status: 0 if the connection ended without an answer
    :ivar problem: what was wrong with the answer, or ``''``
    """

    request_id: str
    kind: str
    key: str
    node: str
    sent: float
    took_s: float
    status: int
    problem: str


@attrs.frozen
class Accepted:
    """A configuration that was acknowledged.

    :ivar keys: the API keys that it holds
    """

    version: int
    keys: frozenset[str]
    at: float


@attrs.define
class Span:
    """A time in which a node or a backend server was disturbed."""

    name: str
    since: float
    until: float = float('inf')


class Records:
    """Everything that the checks look at; times are of the soak's clock."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.arrivals: list[Run] = []
        self.wishes: list[Wish] = []
        self.asked: set[str] = set()
        self.ended: list[Ended] = []
        self.accepted: list[Accepted] = []
        self.sent: dict[int, list[bytes]] = collections.defaultdict(list)
        self.reads: list[tuple[float, str, bytes]] = []
        self.final_read: bytes | None = None
        self.gone: list[tuple[str, float]] = []
        self.ends: list[float] = []  # of instances, under one request
        self.disturbed: list[Span] = []
        self.notes: list[str] = []
        self.calm_since = 0.0

    def is_disturbed(
        self, since: float, until: float, name: str | None = None
    ) -> bool:
        """Whether a name, or anything, was disturbed between two times."""
        return any(
            span.since < until and span.until > since
            for span in self.disturbed
            if name is None or span.name == name
        )

    def note(self, violation: str) -> None:
        """Note a broken promise that was seen while the soak ran."""
        self.notes.append(violation)

    def runs_of(self, request_id: str) -> typing.Sequence[Run]:
        """Return the runs of a request."""
        return self.runs.get(request_id, ())
