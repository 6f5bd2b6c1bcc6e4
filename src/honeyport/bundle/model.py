"""The attrs classes of a bundle, the configuration of a fleet."""

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
    """Periods and leases of the fleet."""

    report_ms: int = fields.field(
        "pause between a router's reports, in milliseconds",
        250,
        check=fields.at_least(20),
    )
    lease_ms: int = fields.field(
        'how long a router may serve after a report that was answered',
        2000,
        check=fields.at_least(200),
    )
    address_ttl_s: int = fields.field(
        'how long callers keep an address', 30, check=fields.at_least(1)
    )
    probe_ms: int = fields.field(
        'pause between probes of a backend server by its steward',
        1000,
        check=fields.at_least(50),
    )
    orders_ms: int = fields.field(
        'pause between two looks at what engines have loaded',
        2000,
        check=fields.at_least(50),
    )
    linger_ms: int = fields.field(
        'how long an answer goes on for a caller that may come back',
        3000,
        check=fields.at_least(0),
    )
    claim_retention_s: int = fields.field(
        'how long the outcome of a non-repeatable request is kept',
        3600,
        check=fields.at_least(60),
    )


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds on load."""

    bound: float = fields.field(
        'most load of an engine, as a multiple of the mean',
        1.25,
        check=fields.at_least(1),
    )
    queue: int = fields.field(
        'most requests waiting for one backend server',
        64,
        check=fields.at_least(0),
    )
    deadline_s: float = fields.field(
        'deadline of a request that names none', 60.0
    )
    warm_wait_ms: int = fields.field(
        'longest wait for room where a returning chat has its prefix',
        300,
        check=fields.at_least(0),
    )
    hot_chats: int = fields.field(
        'chats of an engine whose prefixes are moved when it leaves',
        64,
        check=fields.at_least(0),
    )
    transfers_at_once: int = fields.field(
        'prefixes that one steward moves at once',
        2,
        check=fields.at_least(1),
    )
    loads_at_once: int = fields.field(
        'most engines that load from the weight store at once',
        2,
        check=fields.at_least(1),
    )
    answer_bytes: int = fields.field(
        'largest answer of a non-repeatable request', 65536
    )


@attrs.frozen(kw_only=True)
class Model:
    """A model that engines load."""

    version: str = fields.field('its version')
    adapters: tuple[str, ...] = fields.field(
        'adapters loaded with it', factory=tuple
    )


@attrs.frozen(kw_only=True)
class Service:
    """A service that callers name."""

    kind: str = fields.field(
        'engine or service', check=fields.one_of(ENGINE, SERVICE)
    )
    model: str | None = fields.field('the model of its engines', None)
    health_path: str = fields.field('path of its health check', '/health')
    max_connections: int = fields.field(
        'most connections that one of its instances takes from all callers',
        256,
        check=fields.at_least(1),
    )
    cold_s: float = fields.field(
        'how long an instance is cold after its start, in seconds; 0: never',
        0.0,
        check=fields.at_least(0),
    )
    cold_rate: float = fields.field(
        'requests a second that an instance is made for while it is cold',
        0.0,
        check=fields.at_least(0),
    )


@attrs.frozen(kw_only=True)
class Backend:
    """One backend server: a model engine or a plain service's replica."""

    service: str = fields.field('the service it belongs to')
    address: str = fields.field('IP:PORT', check=fields.address)
    domain: str = fields.field('its failure domain')
    slots: int = fields.field(
        'most requests at once, whatever the mean',
        8,
        check=fields.at_least(1),
    )
    role: str = fields.field('the role its engine takes', 'mixed')
    checks_fencing: bool = fields.field(
        'whether it refuses orders with an old fencing number', True
    )


@attrs.frozen(kw_only=True)
class Account:
    """A client account."""

    share: float = fields.field(
        'its weight when backend servers are full',
        1.0,
        check=fields.at_least(0.001),
    )
    keys: tuple[str, ...] = fields.field(
        'API keys whose holder is this account', factory=tuple
    )
    priority: int | None = fields.field(
        'rank of its requests, 0 first; goes before the route', None
    )
    regions: tuple[str, ...] = fields.field(
        'the only regions in which its requests may run; none: any',
        factory=tuple,
    )


@attrs.frozen(kw_only=True)
class Route:
    """Which requests go to which service, and what they may cost."""

    host: str = fields.field('host name that callers send')
    prefix: str = fields.field('start of the path; begins and ends in /')
    semantics: str = fields.field(
        'what a repetition may do',
        IDEMPOTENT,
        check=fields.one_of(IDEMPOTENT, NON_IDEMPOTENT, STREAMING),
    )
    weights: dict[str, int] = fields.field(
        'services, and their shares of the requests'
    )
    timeout_ms: int = fields.field(
        'longest time until the final answer', check=fields.at_least(1)
    )
    objective_ms: int = fields.field(
        'latency objective of an answer, or of its first event', 500
    )
    gap_ms: int = fields.field(
        'longest pause between two events of a stream that is on time', 300
    )
    priority: int = fields.field('rank of its requests, 0 first', 0)
    attempts: int = fields.field(
        'most instances that one request may run on',
        1,
        check=fields.at_least(1),
    )
    public: bool = fields.field('whether it needs no API key', False)
    prefix_cached: bool = fields.field(
        'whether its requests say which parts of a prompt they share', False
    )
    resumable: bool = fields.field(
        'whether a stream may go on at another instance', False
    )
    regions: tuple[str, ...] = fields.field(
        'the only regions in which its requests may run; none: any',
        factory=tuple,
    )

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time."""
        if self.semantics == STREAMING:
            return self.resumable
        return self.semantics == IDEMPOTENT


@attrs.frozen(kw_only=True)
class RequestLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = fields.field('largest header', 16384)
    body_bytes: int = fields.field('largest body', 4194304)
    header_ms: int = fields.field('longest wait for a whole header', 3000)
    idle_ms: int = fields.field('how long a connection may stay idle', 15000)


@attrs.frozen(kw_only=True)
class Signers:
    """Who may change the bundle."""

    threshold: int = fields.field(
        'signatures that the next bundle needs', 1, check=fields.at_least(1)
    )
    keys: dict[str, str] = fields.field('key name to public key, base64')


@attrs.frozen(kw_only=True)
class Bundle:
    """The whole configuration of a fleet at one version."""

    version: int = fields.field(
        'one more than the version it is based on', check=fields.at_least(1)
    )
    signers: Signers = fields.field('who signs the next bundle')
    services: dict[str, Service] = fields.field('services by name')
    backends: dict[str, Backend] = fields.field('backend servers by name')
    models: dict[str, Model] = fields.field('models by name', factory=dict)
    accounts: dict[str, Account] = fields.field(
        'client accounts by name', factory=dict
    )
    timing: Timing = fields.field('periods and leases', factory=Timing)
    limits: Limits = fields.field('bounds on load', factory=Limits)
    routes: dict[str, Route] = fields.field(
        'routes by name, for callers that name a host and a path',
        factory=dict,
    )
    requests: RequestLimits = fields.field(
        'what callers may send', factory=RequestLimits
    )
