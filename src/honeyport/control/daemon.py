"""Process that runs a control replica."""

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

    :raises errors.StorageDamaged: if its data folder is corrupt
    """
    counters = metrics.Metrics()
    control_group = group.create(settings, tree, counters)
    genesis = model.Signers(
        threshold=settings.threshold, keys=settings.signers
    )
    operator_service = operators.OperatorService(
        control_group.node, control_group.routers, genesis
    )
    rpc.add_OperatorServicer_to_server(operator_service, control_group.server)
    await group.start(control_group, settings, tree)
    reconciler = orders.EngineReconciler(
        control_group.node, control_group.routers, counters
    )
    tree.start_task('orders', reconciler.run)
    if settings.seed:
        seed_text = pathlib.Path(settings.seed).read_text(encoding='utf-8')
        signed = signing.from_json(seed_text)
        tree.start_task('seed', lambda: operator_service.seed(signed))
    if settings.instance_list:
        poller = instances.Poller(
            settings.instance_list, control_group.node, control_group.routers
        )
        tree.start_task('instances', poller.run)
    status_server = status.serve(settings.http_listen, counters, lambda: '')
    tree.on_stop('status', supervisor.close_hook(status_server))
    return control_group.node
