"""The control replica of an instance with a disk.

Imported only where there is a replica, so that other instances start faster.
"""

import attrs

from honeyport.control import catalog
from honeyport.control import evacuations
from honeyport.control import group
from honeyport.control import replacement
from honeyport.control import replica as control_replica
from honeyport.gateway import daemon as gateway_daemon
from honeyport.platform import boot
from honeyport.platform import listing
from honeyport.settings import roles
from honeyport import supervisor
from honeyport.telemetry import metrics


@attrs.frozen(kw_only=True)
class OperatorServices:
    """The services of a replica that operators call."""

    configurations: replacement.Replacements
    evacuations: evacuations.Evacuations
    node: control_replica.Replica

    @property
    def leads(self) -> bool:
        """Whether the replica leads, with a valid lease."""
        return self.node.leads

    @property
    def leader(self) -> str:
        """Internal address of the leader that it follows, or ``''``."""
        return self.node.leader_address

    @property
    def leader_silence_s(self) -> float:
        """Seconds since the last message of a leader."""
        return self.node.leader_silence_s


async def start(
    boot_settings: boot.Settings,
    tree: supervisor.Supervisor,
    gateway: gateway_daemon.Gateway,
    counters: metrics.Metrics,
) -> OperatorServices:
    """Start the replica on a gateway's server.

    :returns: its services for operators
    """
    settings = roles.Control(
        name=boot_settings.internal_address,
        domain=boot_settings.domain,
        listen=boot_settings.internal_address,
        data=boot_settings.data_folder,
        members={
            address: address for address in boot_settings.control_addresses
        },
        # A majority survives the tolerated losses.
        voters=2 * boot_settings.tolerated_losses + 1,
        may_found=boot_settings.may_found,
        signers={},
        bandwidth_mbps=boot_settings.bandwidth_mbps,
    )
    control_group = group.create(settings, tree, counters)
    instance_catalog = catalog.Catalog(
        control_group.node,
        listing.create_source(
            boot_settings.instance_list, tuple(boot_settings.regions)
        ),
        counters,
    )
    control_group.routers.use_instance_lists(instance_catalog.lists)
    gateway.register(control_group.server)
    await group.start(control_group, settings, tree)
    tree.start_task('instances', instance_catalog.run)
    tree.start_task('places', instance_catalog.persist_places)
    return OperatorServices(
        configurations=replacement.Replacements(control_group.node),
        evacuations=evacuations.Evacuations(
            control_group.node,
            control_group.routers.find_unconfirmed_evacuations,
        ),
        node=control_group.node,
    )
