"""Events recorded during a soak by callers, instances and operators."""

import collections
import typing

import attrs


# The problem of a complete response without the last events of its stream.
ENDED_EARLY = 'the stream ended normally, but is incomplete'


@attrs.frozen
class RequestEvent:
    """The arrival or the execution of a request at an instance."""

    request_id: str
    instance: str
    time: float


@attrs.frozen
class Held:
    """The requests at an instance as one more arrived, that one included.

    Requests whose deadline has passed are not counted: their gateways close
    the connections, which the instance sees a moment later.
    """

    instance: str
    time: float
    requests: int
    slots: int


@attrs.frozen
class BackoffWindow:
    """A period in which an instance has asked for no requests.

    :ivar request_id: the request whose response asked for it
    :ivar start_s: seconds from the response to the start of the period
    :ivar end_s: seconds from the response to its end
    """

    request_id: str
    instance: str
    time: float
    start_s: float
    end_s: float


@attrs.define
class Silence:
    """The time that an instance sent nothing for a request that it ran.

    :ivar left_at: when the gateway closed the connection meanwhile
    """

    instance: str
    start: float
    left_at: float | None = None


@attrs.frozen
class RequestResult:
    """The result of a caller's request.

    :ivar sent_at: time of sending
    :ivar status: 0 if the connection ended without a response
    :ivar is_whole: whether all of the response arrived
    :ivar problem: the defect of the response, or ``''``
    """

    request_id: str
    kind: str
    key: str
    node: str
    sent_at: float
    duration_s: float
    status: int
    is_whole: bool
    problem: str


@attrs.frozen
class StreamResult:
    """A stream that broke and that its caller took up with another request.

    :ivar request_id: the request that brought its first event
    :ivar versions: software versions of its events
    :ivar went_on: whether the last request brought further events, or its end
    :ivar has_instances: whether two instances of its version were running
    """

    request_id: str
    node: str
    sent_at: float
    versions: frozenset[str]
    went_on: bool
    has_instances: bool


@attrs.frozen
class AcceptedConfiguration:
    """An acknowledged configuration.

    :ivar keys: the API keys in it
    """

    version: int
    keys: frozenset[str]
    time: float


@attrs.define
class Disturbance:
    """A period in which a fault affected a node or an instance.

    :ivar is_planned: whether it is no reason to cut a request that runs
    """

    name: str
    start: float
    end: float = float('inf')
    is_planned: bool = False


class Records:
    """The input of the checks; times are of the event loop's clock."""

    def __init__(self) -> None:
        self.executions: dict[str, list[RequestEvent]] = (
            collections.defaultdict(list)
        )
        self.arrivals: list[RequestEvent] = []
        self.backoff_windows: list[BackoffWindow] = []
        self.held_by_instances: list[Held] = []
        self.queues_expected_at = 0.0  # from then on, if not disturbed
        self.peak_memory_mb: dict[str, float] = {}
        self.sent_request_ids: set[str] = set()
        self.silences: dict[str, list[Silence]] = collections.defaultdict(list)
        self.results: list[RequestResult] = []
        self.streams: list[StreamResult] = []
        # Requests whose stream had no framing and was closed by a fault after
        # a whole event, which nothing tells from its end.
        self.closed_without_framing: set[str] = set()
        self.accepted: list[AcceptedConfiguration] = []
        self.sent_configurations: dict[int, list[bytes]] = (
            collections.defaultdict(list)
        )
        self.configuration_reads: list[tuple[float, str, bytes]] = []
        self.final_configuration: bytes | None = None
        self.removed_instances: list[tuple[str, float]] = []
        self.crash_times: list[float] = []  # of instances, by a fatal body
        self.fatal_request_ids: set[str] = set()  # those with this body
        # By the id of the prompt part that caused them.
        self.part_crashes: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.part_arrivals: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.disturbances: list[Disturbance] = []
        self.violations: list[str] = []
        self.recovery_deadline = 0.0

    def is_disturbed(
        self,
        start: float,
        end: float,
        name: str | None = None,
        *,
        by_planned: bool = True,
    ) -> bool:
        """Return whether a fault overlapped a period.

        :param name: of a node or an instance; ``None`` means any
        :param by_planned: whether planned ones count
        """
        return any(
            disturbance.start < end and disturbance.end > start
            for disturbance in self.disturbances
            if name is None or disturbance.name == name
            if by_planned or not disturbance.is_planned
        )

    def record_memory(self, name: str, used_mb: float) -> None:
        """Record the memory that a node's process uses."""
        peak_mb = self.peak_memory_mb.get(name, 0.0)
        self.peak_memory_mb[name] = max(peak_mb, used_mb)

    def add_violation(self, violation: str) -> None:
        """Record a violation detected while the soak runs."""
        self.violations.append(violation)

    def executions_of(self, request_id: str) -> typing.Sequence[RequestEvent]:
        """Return the executions of a request on all instances."""
        return self.executions.get(request_id, ())
