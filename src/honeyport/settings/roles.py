"""The settings of each role."""

import attrs

from honeyport.settings import fields
from honeyport.telemetry import log as logs

_EXPORTERS = ('none', 'console')


@attrs.frozen(kw_only=True)
class Common:
    """What every process is told."""

    name: str = fields.field('the name of this instance, unique')
    domain: str = fields.field('its failure domain')
    log_level: str = fields.field(
        'the lowest level that is logged',
        'info',
        check=fields.one_of(*logs.LEVELS),
    )
    traces: str = fields.field(
        'where spans go', 'none', check=fields.one_of(*_EXPORTERS)
    )


@attrs.frozen(kw_only=True)
class Router(Common):
    """A router: callers, peers, engines."""

    listen: str = fields.field('where callers connect', check=fields.address)
    peer_listen: str = fields.field(
        'where other routers connect', check=fields.address
    )
    control: tuple[str, ...] = fields.field(
        'where to ask for control, IP:PORT each: control replicas, or any '
        'other instances'
    )
    replica: str = fields.field(
        'IP:PORT of the control replica in the same process, or none', ''
    )
    regions: dict[str, str] = fields.field(
        'the region of each failure domain', factory=dict
    )
    cold_multiple: float = fields.field(
        'the multiple of cold_rate of a service that a cold instance '
        'tolerates within one second',
        1.5,
        check=fields.at_least(0),
    )
    cold_extra: float = fields.field(
        'requests that it tolerates on top of that',
        5.0,
        check=fields.at_least(0),
    )
    drain_s: float = fields.field(
        'longest wait for requests in flight at a stop, in seconds',
        600.0,
        check=fields.at_least(0),
    )


@attrs.frozen(kw_only=True)
class Control(Common):
    """A control replica."""

    listen: str = fields.field(
        'where routers, operators and other replicas connect',
        check=fields.address,
    )
    http_listen: str = fields.field(
        'where /metrics and /healthz are served',
        '127.0.0.1:0',
        check=fields.address,
    )
    data: str = fields.field('the data folder')
    members: dict[str, str] = fields.field(
        'the founding replicas: name to IP:PORT, this one included'
    )
    voters: int = fields.field(
        'how many replicas vote, once so many are there; at least the '
        'founders',
        0,
        check=fields.at_least(0),
    )
    reach: dict[str, str] = fields.field(
        'where to reach a member from here, if not at its own address',
        factory=dict,
    )
    may_found: bool = fields.field(
        'whether an empty disk may take part in founding the group', True
    )
    signers: dict[str, str] = fields.field(
        'who may sign the first bundle: key name to public key'
    )
    threshold: int = fields.field(
        'how many signatures the first bundle needs',
        1,
        check=fields.at_least(1),
    )
    seed: str | None = fields.field(
        'a signed bundle to submit while there is none', None
    )
    instance_list: str | None = fields.field(
        "IP:PORT of the platform's instance list", None
    )
    election_ms: int = fields.field(
        'shortest election timeout in milliseconds; the longest is twice it',
        600,
        check=fields.at_least(50),
    )
    heartbeat_ms: int = fields.field(
        'pause between heartbeats of the leader in milliseconds',
        120,
        check=fields.at_least(10),
    )
    bandwidth_mbps: float = fields.field(
        'bandwidth of its link in Mbit/s: half of it is for lists and '
        'configurations of routers that attach',
        1000.0,
        check=fields.at_least(0.1),
    )
    snapshot_entries: int = fields.field(
        'log entries after which a snapshot is taken',
        2000,
        check=fields.at_least(10),
    )


@attrs.frozen(kw_only=True)
class Engine(Common):
    """A stand-in engine."""

    listen: str = fields.field('where it serves', check=fields.address)
    slots: int = fields.field('requests it runs at once', 8)
    token_ms: float = fields.field('milliseconds between tokens', 5.0)
    first_token_ms: float = fields.field(
        'milliseconds until the first token of a cached prefix', 10.0
    )
    miss_ms: float = fields.field(
        'milliseconds more where the prefix is not cached', 40.0
    )
    cache_chats: int = fields.field('chats whose prefix fits', 200)
    load_lag_s: float = fields.field('how old its load report is', 0.5)
    checks_fencing: bool = fields.field(
        'whether it refuses orders with an old fencing number', True
    )
    weights: str = fields.field('IP:PORT of the weight store, or none', '')
    executions: str = fields.field('file for the log of executions', '')


@attrs.frozen(kw_only=True)
class WeightStore(Common):
    """A stand-in weight store."""

    listen: str = fields.field('where it serves', check=fields.address)
    at_once: int = fields.field('loads that it serves at once', 2)
    load_ms: float = fields.field('milliseconds of a load', 200.0)
    executions: str = fields.field('file for the log of loads', '')


@attrs.frozen(kw_only=True)
class Service(Common):
    """A stand-in plain service."""

    listen: str = fields.field('where it serves', check=fields.address)
    work_ms: float = fields.field('milliseconds of work a call', 5.0)
    executions: str = fields.field('file for the log of executions', '')


@attrs.frozen(kw_only=True)
class InstanceList(Common):
    """A stand-in for the platform's lagging list of instances."""

    listen: str = fields.field('where it serves', check=fields.address)
    lag_s: float = fields.field('how old its answers are', 2.0)
    instances: dict[str, str] = fields.field(
        'name to state: live or leaving', factory=dict
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``."""
    host, _, port = address.rpartition(':')
    return host, int(port)
