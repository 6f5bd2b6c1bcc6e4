"""The attrs classes of a bundle, the configuration of a fleet.

Field names are the names in YAML; classes and fields are documented on a
generated reference page.
"""

import attrs

from honeyport.settings import fields

ENGINE = 'engine'
SERVICE = 'service'

# Values of Route.semantics: whether a request may be repeated.
IDEMPOTENT = 'idempotent'
NON_IDEMPOTENT = 'non_idempotent'
STREAMING = 'streaming'


@attrs.frozen(kw_only=True)
class Timing:
    """Intervals, leases and retention times of the fleet."""

    report_ms: int = fields.field(
        "interval of a router's reports to control, in milliseconds",
        250,
        check=fields.at_least(20),
    )
    lease_ms: int = fields.field(
        'duration of the lease that control grants with its answer to a '
        'report, in milliseconds',
        2000,
        check=fields.at_least(200),
    )
    address_ttl_s: int = fields.field(
        'time that callers may cache an address, in seconds',
        30,
        check=fields.at_least(1),
    )
    probe_ms: int = fields.field(
        "interval of the steward's probes of a backend server, in "
        'milliseconds',
        1000,
        check=fields.at_least(50),
    )
    orders_ms: int = fields.field(
        'interval of checks which model the engines have loaded, in '
        'milliseconds',
        2000,
        check=fields.at_least(50),
    )
    linger_ms: int = fields.field(
        'time that a request keeps running after its caller disconnected, if '
        'it may reconnect, in milliseconds',
        3000,
        check=fields.at_least(0),
    )
    claim_retention_s: int = fields.field(
        'time that the outcome of a non-repeatable request is stored, in '
        'seconds',
        3600,
        check=fields.at_least(60),
    )


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on load, queues and answers."""

    bound: float = fields.field(
        'maximum load of an engine, as a multiple of the mean load',
        1.25,
        check=fields.at_least(1),
    )
    queue: int = fields.field(
        'maximum number of requests queued for a backend server',
        64,
        check=fields.at_least(0),
    )
    deadline_s: float = fields.field(
        'deadline of a request that sets none, in seconds', 60.0
    )
    warm_wait_ms: int = fields.field(
        'maximum time that a chat queues for the engine that has its prefix '
        'cached, in milliseconds',
        300,
        check=fields.at_least(0),
    )
    hot_chats: int = fields.field(
        'number of recent chats whose prefixes are transferred when their '
        'engine leaves',
        64,
        check=fields.at_least(0),
    )
    transfers_at_once: int = fields.field(
        'number of prefixes that a steward transfers at once',
        2,
        check=fields.at_least(1),
    )
    loads_at_once: int = fields.field(
        'maximum number of engines that load from the weight store at once',
        2,
        check=fields.at_least(1),
    )
    answer_bytes: int = fields.field(
        'maximum size of the answer to a non-repeatable request, in bytes',
        65536,
    )


@attrs.frozen(kw_only=True)
class Model:
    """A model that engines load."""

    version: str = fields.field('version of the model')
    adapters: tuple[str, ...] = fields.field(
        'adapters that are loaded with the model', factory=tuple
    )


@attrs.frozen(kw_only=True)
class Service:
    """A service: a set of interchangeable backend servers."""

    kind: str = fields.field(
        'engine: model engines; service: replicas of a plain service',
        check=fields.one_of(ENGINE, SERVICE),
    )
    model: str | None = fields.field('model that its engines load', None)
    health_path: str = fields.field('path of the health check', '/health')
    max_connections: int = fields.field(
        'maximum number of connections that an instance accepts',
        256,
        check=fields.at_least(1),
    )
    cold_s: float = fields.field(
        'time that an instance is cold after its start, in seconds; 0: none',
        0.0,
        check=fields.at_least(0),
    )
    cold_rate: float = fields.field(
        'requests per second that a cold instance can serve',
        0.0,
        check=fields.at_least(0),
    )


@attrs.frozen(kw_only=True)
class Backend:
    """A backend server: a model engine or a replica of a plain service."""

    service: str = fields.field('service that it belongs to')
    address: str = fields.field(
        'IP:PORT that it listens on', check=fields.address
    )
    domain: str = fields.field('failure domain that it is in')
    slots: int = fields.field(
        'maximum number of requests that run at once',
        8,
        check=fields.at_least(1),
    )
    role: str = fields.field(
        'role that the engine is ordered to take', 'mixed'
    )
    checks_fencing: bool = fields.field(
        'whether it refuses orders with an outdated fencing token', True
    )


@attrs.frozen(kw_only=True)
class Account:
    """A client account, whose requests share one weight."""

    share: float = fields.field(
        'weight of the account while requests are queued',
        1.0,
        check=fields.at_least(0.001),
    )
    keys: tuple[str, ...] = fields.field(
        'API keys of the account', factory=tuple
    )
    priority: int | None = fields.field(
        'priority of its requests, 0 is the highest; overrides the priority '
        'of the route',
        None,
    )
    regions: tuple[str, ...] = fields.field(
        'regions in which its requests may run; empty: all',
        factory=tuple,
    )


@attrs.frozen(kw_only=True)
class Route:
    """A rule that maps requests to services, with limits and objectives."""

    host: str = fields.field('host name of the requests')
    prefix: str = fields.field('prefix of the path; begins and ends with /')
    semantics: str = fields.field(
        'whether a request may be repeated: idempotent, non_idempotent or '
        'streaming',
        IDEMPOTENT,
        check=fields.one_of(IDEMPOTENT, NON_IDEMPOTENT, STREAMING),
    )
    weights: dict[str, int] = fields.field(
        'service to its weight in the distribution of the requests'
    )
    timeout_ms: int = fields.field(
        'maximum time until the complete answer, in milliseconds',
        check=fields.at_least(1),
    )
    objective_ms: int = fields.field(
        'latency objective of an answer, or of the first event of a stream, '
        'in milliseconds',
        500,
    )
    gap_ms: int = fields.field(
        'objective for the time between two events of a stream, in '
        'milliseconds',
        300,
    )
    priority: int = fields.field(
        'priority of the requests, 0 is the highest', 0
    )
    attempts: int = fields.field(
        'maximum number of instances that a request may run on',
        1,
        check=fields.at_least(1),
    )
    public: bool = fields.field('whether requests need no API key', False)
    prefix_cached: bool = fields.field(
        'whether requests declare the prompt prefixes that they share', False
    )
    resumable: bool = fields.field(
        'whether another instance may resume an interrupted stream', False
    )
    regions: tuple[str, ...] = fields.field(
        'regions in which the requests may run; empty: all',
        factory=tuple,
    )

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.semantics == STREAMING:
            return self.resumable
        return self.semantics == IDEMPOTENT


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = fields.field(
        'maximum size of the request header, in bytes', 16384
    )
    body_bytes: int = fields.field(
        'maximum size of the request body, in bytes', 4194304
    )
    header_ms: int = fields.field(
        'maximum time to receive the request header, in milliseconds', 3000
    )
    idle_ms: int = fields.field(
        'time after which an idle connection is closed, in milliseconds',
        15000,
    )


@attrs.frozen(kw_only=True)
class Signers:
    """The keys that may sign the next bundle."""

    threshold: int = fields.field(
        'number of signatures that the next bundle needs',
        1,
        check=fields.at_least(1),
    )
    keys: dict[str, str] = fields.field('key name to public key in base64')


@attrs.frozen(kw_only=True)
class Bundle:
    """One version of the configuration of a fleet."""

    version: int = fields.field(
        'version that this bundle is based on, plus one',
        check=fields.at_least(1),
    )
    signers: Signers = fields.field('keys that may sign the next bundle')
    services: dict[str, Service] = fields.field('services by name')
    backends: dict[str, Backend] = fields.field('backend servers by name')
    models: dict[str, Model] = fields.field('models by name', factory=dict)
    accounts: dict[str, Account] = fields.field(
        'client accounts by name', factory=dict
    )
    timing: Timing = fields.field(
        'intervals, leases and retention times', factory=Timing
    )
    limits: Limits = fields.field(
        'limits on load, queues and answers', factory=Limits
    )
    routes: dict[str, Route] = fields.field(
        'routes by name, which requests match by host and path',
        factory=dict,
    )
    requests: RequestLimits = fields.field(
        "limits on callers' requests", factory=RequestLimits
    )
