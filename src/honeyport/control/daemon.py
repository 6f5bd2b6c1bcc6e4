"""A control replica as a process."""

import asyncio
import concurrent.futures
import functools
import pathlib
import typing
import zlib

from honeyport.bundle import model
from honeyport.bundle import signing
from honeyport.control import instances
from honeyport.control import links
from honeyport.control import operators
from honeyport.control import orders
from honeyport.control import replica
from honeyport.control import sessions
from honeyport.control import storage
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.telemetry import status
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2_grpc as rpc

_STOP_GRACE_S = 0.2


class Disk:
    """Runs the storage's blocking functions in order, off the loop."""

    def __init__(self) -> None:
        self._thread = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix='disk'
        )

    async def run(
        self, function: typing.Callable[..., None], *args: typing.Any
    ) -> None:
        """Call a function on the disk's thread."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._thread, function, *args)


async def start(
    settings: roles.Control, tree: supervisor.Supervisor
) -> replica.Replica:
    """Start a control replica under a supervisor.

    :raises errors.StorageDamaged: if its data folder cannot be trusted
    """
    counters = metrics.Metrics()
    store = storage.Storage(settings.data)
    node = replica.Replica(
        settings.name,
        store,
        Disk().run,
        settings.members,
        functools.partial(_connect, settings),
        replica.Options(
            settings.election_ms / 1000,
            settings.heartbeat_ms / 1000,
            settings.snapshot_entries,
        ),
        seed=zlib.crc32(settings.name.encode()),
    )
    routers = sessions.Sessions(node, counters)
    genesis = model.Signers(
        threshold=settings.threshold, keys=settings.signers
    )
    desk = operators.Operators(node, routers, genesis)
    server = channels.server()
    rpc.add_ReplicaServicer_to_server(links.ReplicaServicer(node), server)
    rpc.add_SessionServicer_to_server(routers, server)
    rpc.add_OperatorServicer_to_server(desk, server)
    server.add_insecure_port(settings.listen)
    await server.start()
    tree.on_stop('storage', _closer(store))
    tree.on_stop('grpc', lambda: server.stop(_STOP_GRACE_S))
    tree.task('replica', node.run)
    tree.task('sessions', routers.run)
    tree.task('claims', routers.run_claims)
    keeper = orders.Orders(node, routers, counters)
    tree.task('orders', keeper.run)
    if settings.seed:
        text = pathlib.Path(settings.seed).read_text(encoding='utf-8')
        signed = signing.from_json(text)
        tree.task('seed', lambda: desk.seed(signed))
    if settings.instance_list:
        poller = instances.Poller(settings.instance_list, node, routers)
        tree.task('instances', poller.run)
    _expose(settings, tree, node, counters)
    return node


def _connect(
    settings: roles.Control, name: str, address: str
) -> links.GrpcLink:
    """Return a link to another replica."""
    target = settings.reach.get(name, address)
    return links.GrpcLink(target, settings.election_ms / 1000)


def _expose(
    settings: roles.Control,
    tree: supervisor.Supervisor,
    node: replica.Replica,
    counters: metrics.Metrics,
) -> None:
    counters.gauge('control_term', lambda: node.term)
    counters.gauge('control_commit', lambda: node.commit)
    counters.gauge('control_leads', lambda: node.leads)
    counters.gauge(
        'control_bundle_version', lambda: node.machine.accepted.version
    )
    page = status.serve(settings.http_listen, counters, lambda: '')
    tree.on_stop('status', status.closer(page))


def _closer(store: storage.Storage) -> supervisor.Stop:
    async def close() -> None:
        store.close()

    return close
