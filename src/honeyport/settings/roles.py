"""The settings of each role of a process."""

import attrs

from honeyport.settings import fields
from honeyport.telemetry import log as logs

_EXPORTERS = ('none', 'console')


@attrs.frozen(kw_only=True)
class Common:
    """Settings that all roles share."""

    name: str = fields.field('unique name of this instance')
    domain: str = fields.field('failure domain of this instance')
    log_level: str = fields.field(
        'minimum level of log lines',
        'info',
        check=fields.one_of(*logs.LEVELS),
    )
    traces: str = fields.field(
        'exporter of spans', 'none', check=fields.one_of(*_EXPORTERS)
    )


@attrs.frozen(kw_only=True)
class Router(Common):
    """Settings of a router."""

    listen: str = fields.field(
        'IP:PORT to listen on for callers', check=fields.address
    )
    peer_listen: str = fields.field(
        'IP:PORT to listen on for other routers', check=fields.address
    )
    control: tuple[str, ...] = fields.field(
        'IP:PORT of each control replica, or of other instances that know '
        'the leader'
    )
    replica: str = fields.field(
        'IP:PORT of the control replica in this process; empty if there is '
        'none',
        '',
    )
    regions: dict[str, str] = fields.field(
        'failure domain to region', factory=dict
    )
    cold_multiple: float = fields.field(
        'requests that a cold instance tolerates within one second, as a '
        "multiple of its service's cold_rate",
        1.5,
        check=fields.at_least(0),
    )
    cold_extra: float = fields.field(
        'requests that a cold instance tolerates in addition to cold_multiple',
        5.0,
        check=fields.at_least(0),
    )
    shared_queues: bool = fields.field(
        'whether requests to a service with fewer slots than gateways wait in '
        'one queue for all gateways',
        False,
    )
    shared_queues_if_uneven: bool = fields.field(
        'whether shared_queues is switched on once an instance reports how '
        'slow its machine is, which it shares with others',
        False,
    )
    held_max_mb: float = fields.field(
        'memory for requests and answers that callers and instances have not '
        'read yet, in megabytes; as it runs out, bodies that stand still are '
        'given up, and requests with large bodies are refused first; 0: an '
        "eighth of the machine's memory",
        0.0,
        check=fields.at_least(0),
    )
    max_connections: int = fields.field(
        'number of connections of callers; above it those that stand still '
        'are closed, idle ones first; 0: half of the file descriptors, and '
        "at most what fits into an eighth of the machine's memory",
        0,
        check=fields.at_least(0),
    )
    responses_max_mb: float = fields.field(
        'memory for responses that are read but not complete, all together, '
        'in megabytes; above it the largest is cut off',
        64.0,
        check=fields.at_least(1),
    )
    drain_s: float = fields.field(
        'maximum wait for running requests at shutdown, in seconds',
        600.0,
        check=fields.at_least(0),
    )


@attrs.frozen(kw_only=True)
class Control(Common):
    """Settings of a control replica."""

    listen: str = fields.field(
        'IP:PORT to listen on for routers, operators and other replicas',
        check=fields.address,
    )
    http_listen: str = fields.field(
        'IP:PORT to listen on for /metrics and /healthz',
        '127.0.0.1:0',
        check=fields.address,
    )
    data: str = fields.field('path of the data folder')
    members: dict[str, str] = fields.field(
        'initial replicas of the group, including this one: name to IP:PORT'
    )
    voters: int = fields.field(
        'number of replicas that vote, once there are as many; at least the '
        'number of initial replicas',
        0,
        check=fields.at_least(0),
    )
    reach: dict[str, str] = fields.field(
        'replicas that are reached at another address than their own: name '
        'to IP:PORT',
        factory=dict,
    )
    may_found: bool = fields.field(
        'whether this replica may bootstrap the group if its log is empty',
        True,
    )
    signers: dict[str, str] = fields.field(
        'keys that may sign the first bundle: name to public key'
    )
    threshold: int = fields.field(
        'number of signatures that the first bundle needs',
        1,
        check=fields.at_least(1),
    )
    seed: str | None = fields.field(
        'file of a signed bundle that is submitted while there is none', None
    )
    instance_list: str | None = fields.field(
        "IP:PORT of the platform's instance list", None
    )
    election_ms: int = fields.field(
        'minimum election timeout in milliseconds; the maximum is twice that',
        600,
        check=fields.at_least(50),
    )
    heartbeat_ms: int = fields.field(
        "interval of the leader's heartbeats, in milliseconds",
        120,
        check=fields.at_least(10),
    )
    bandwidth_mbps: float = fields.field(
        'bandwidth of the network link in Mbit/s; half of it may be used to '
        'send lists and configurations to routers that connect',
        1000.0,
        check=fields.at_least(0.1),
    )
    snapshot_entries: int = fields.field(
        'number of log entries after which a snapshot is taken',
        2000,
        check=fields.at_least(10),
    )


@attrs.frozen(kw_only=True)
class Engine(Common):
    """Settings of a stand-in engine."""

    listen: str = fields.field('IP:PORT to listen on', check=fields.address)
    slots: int = fields.field('number of requests that run at once', 8)
    token_ms: float = fields.field(
        'time between two tokens, in milliseconds', 5.0
    )
    first_token_ms: float = fields.field(
        'time to the first token if the prefix is cached, in milliseconds',
        10.0,
    )
    miss_ms: float = fields.field(
        'additional time to the first token if the prefix is not cached, in '
        'milliseconds',
        40.0,
    )
    cache_chats: int = fields.field(
        'number of chats whose prefixes fit into the cache', 200
    )
    load_lag_s: float = fields.field(
        'age of the load that it reports, in seconds', 0.5
    )
    checks_fencing: bool = fields.field(
        'whether it refuses orders with an outdated fencing token', True
    )
    weights: str = fields.field(
        'IP:PORT of the weight store; empty if there is none', ''
    )
    executions: str = fields.field(
        'file for the log of executions; empty for no log', ''
    )


@attrs.frozen(kw_only=True)
class WeightStore(Common):
    """Settings of a stand-in weight store."""

    listen: str = fields.field('IP:PORT to listen on', check=fields.address)
    at_once: int = fields.field('number of loads that run at once', 2)
    load_ms: float = fields.field('duration of a load, in milliseconds', 200.0)
    executions: str = fields.field(
        'file for the log of loads; empty for no log', ''
    )


@attrs.frozen(kw_only=True)
class Service(Common):
    """Settings of a stand-in plain service."""

    listen: str = fields.field('IP:PORT to listen on', check=fields.address)
    work_ms: float = fields.field(
        'duration of a request, in milliseconds', 5.0
    )
    executions: str = fields.field(
        'file for the log of executions; empty for no log', ''
    )


@attrs.frozen(kw_only=True)
class InstanceList(Common):
    """Settings of a stand-in for the platform's list of instances."""

    listen: str = fields.field('IP:PORT to listen on', check=fields.address)
    lag_s: float = fields.field('age of its answers, in seconds', 2.0)
    instances: dict[str, str] = fields.field(
        'instances: name to state, live or leaving', factory=dict
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``."""
    host, _, port = address.rpartition(':')
    return host, int(port)
