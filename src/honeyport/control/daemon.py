"""A control replica as a process of its own."""

import pathlib

from honeyport.bundle import model
from honeyport.bundle import signing
from honeyport.control import group
from honeyport.control import instances
from honeyport.control import operators
from honeyport.control import orders
from honeyport.control import replica
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics
from honeyport.telemetry import status
from honeyport.wire import honeyport_pb2_grpc as rpc


async def start(
    settings: roles.Control, tree: supervisor.Supervisor
) -> replica.Replica:
    """Start a control replica under a supervisor.

    :raises errors.StorageDamaged: if its data folder cannot be trusted
    """
    counters = metrics.Metrics()
    parts = group.create(settings, tree, counters)
    genesis = model.Signers(
        threshold=settings.threshold, keys=settings.signers
    )
    desk = operators.OperatorService(parts.node, parts.routers, genesis)
    rpc.add_OperatorServicer_to_server(desk, parts.server)
    await group.start(parts, settings, tree)
    keeper = orders.EngineReconciler(parts.node, parts.routers, counters)
    tree.task('orders', keeper.run)
    if settings.seed:
        text = pathlib.Path(settings.seed).read_text(encoding='utf-8')
        signed = signing.from_json(text)
        tree.task('seed', lambda: desk.seed(signed))
    if settings.instance_list:
        poller = instances.Poller(
            settings.instance_list, parts.node, parts.routers
        )
        tree.task('instances', poller.run)
    page = status.serve(settings.http_listen, counters, lambda: '')
    tree.on_stop('status', supervisor.closer(page))
    return parts.node
