"""A control replica with its gRPC server and router streams."""

import asyncio
import concurrent.futures
import functools
import typing
import zlib

import attrs
import grpc

from honeyport.control import introductions
from honeyport.control import links
from honeyport.control import membership
from honeyport.control import membership_manager
from honeyport.control import replica
from honeyport.control import sessions
from honeyport.control import storage
from honeyport.control import suspicion_service
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2_grpc as rpc

_STOP_GRACE_S = 0.2


class DiskThread:
    """Runs blocking storage functions in order on a thread of its own."""

    def __init__(self) -> None:
        self._thread = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix='disk'
        )

    async def run(
        self, function: typing.Callable[..., None], *args: typing.Any
    ) -> None:
        """Call a function on the thread and wait until it returns."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._thread, function, *args)


@attrs.frozen
class Group:
    """Components of a process that runs a control replica."""

    node: replica.Replica
    routers: sessions.Sessions
    server: grpc.aio.Server
    introductions: introductions.Introductions


def create(
    settings: roles.Control,
    tree: supervisor.Supervisor,
    counters: metrics.Metrics,
) -> Group:
    """Create a control replica, to be started by :func:`start`.

    :raises errors.StorageDamaged: if its data folder is damaged or in use
    """
    store = storage.Storage(settings.data)
    node = replica.Replica(
        settings.name,
        store,
        DiskThread().run,
        settings.members,
        functools.partial(_connect, settings),
        replica.Options(
            settings.election_ms / 1000,
            settings.heartbeat_ms / 1000,
            settings.snapshot_entries,
            settings.may_found,
            _target_size(settings),
        ),
        seed=zlib.crc32(settings.name.encode()),
    )
    routers = sessions.Sessions(node, counters, settings.bandwidth_mbps)
    server = channels.server()
    rpc.add_ReplicaServicer_to_server(links.ReplicaServicer(node), server)
    rpc.add_SessionServicer_to_server(routers, server)
    clearance_servicer = suspicion_service.SuspicionService(
        node, routers.suspects
    )
    rpc.add_SuspicionServicer_to_server(clearance_servicer, server)
    tree.on_stop('storage', _close_on_stop(store))
    counters.gauge('control_term', lambda: node.term)
    counters.gauge('control_commit', lambda: node.commit)
    counters.gauge('control_leads', lambda: node.leads)
    counters.gauge(
        'control_voters', lambda: membership.voter_count(node.members)
    )
    counters.gauge(
        'control_bundle_version', lambda: node.machine.accepted.version
    )
    counters.gauge('domains_evacuated', lambda: len(node.machine.evacuated))
    router_calls = introductions.Introductions(node, routers, counters)
    return Group(node, routers, server, router_calls)


async def start(
    group: Group, settings: roles.Control, tree: supervisor.Supervisor
) -> None:
    """Start the server and the tasks of a control replica."""
    group.server.add_insecure_port(settings.listen)
    await group.server.start()
    tree.on_stop('grpc', lambda: group.server.stop(_STOP_GRACE_S))
    tree.start_task('replica', group.node.run)
    tree.start_task('sessions', group.routers.run)
    tree.start_task('claims', group.routers.run_claims)
    tree.start_task('introductions', group.introductions.run)
    tree.start_task('suspects', group.routers.suspects.persist)
    manager = membership_manager.MembershipManager(
        group.node,
        lambda: group.routers.fleet.attached_replicas(),
        _target_size(settings),
    )
    tree.start_task('succession', manager.run)


def _target_size(settings: roles.Control) -> int:
    return max(settings.voters, len(settings.members))


def _connect(
    settings: roles.Control, name: str, address: str
) -> links.GrpcLink:
    """Return a link to another replica.

    :param address: used unless the settings map the name to another one
    """
    target = settings.reach.get(name, address)
    return links.GrpcLink(target, settings.election_ms / 1000)


def _close_on_stop(store: storage.Storage) -> supervisor.Stop:
    async def close() -> None:
        store.close()

    return close
