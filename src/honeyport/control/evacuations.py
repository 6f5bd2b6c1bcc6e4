"""Orders of operators to evacuate a failure domain, and to take it back.

From the moment at which an order is acknowledged it is part of the replicated
state. The routers' streams carry the evacuated domains ahead of everything
that lets a router serve, so that a router with a lease from this leader knows
them.
"""

from honeyport.control import replica
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb


class Desk:
    """Takes orders about failure domains on one control replica."""

    def __init__(self, node: replica.Replica) -> None:
        self._node = node

    @property
    def evacuated(self) -> frozenset[str]:
        """The domains that are evacuated, as far as this replica knows."""
        return self._node.machine.evacuated

    async def begin(self, domain: str) -> None:
        """Return once it is committed that a domain gets nothing new.

        The same order may come again, whatever became of the one before.

        :raises errors.NotLeader: if another replica has to be asked
        :raises errors.CommitUnknown: if nobody knows whether it is in force
        """
        await self._commit(pb.EvacuationChange(begun=[domain]))
        logs.emit(events.EVACUATION_BEGUN, domain=domain)

    async def end(self, domain: str) -> None:
        """Return once it is committed that a domain is taken back.

        :raises errors.NotLeader: if another replica has to be asked
        :raises errors.CommitUnknown: if nobody knows whether it is in force
        """
        await self._commit(pb.EvacuationChange(ended=[domain]))
        logs.emit(events.EVACUATION_ENDED, domain=domain)

    async def _commit(self, change: pb.EvacuationChange) -> None:
        """Commit a change, also one that changes nothing.

        An order that was sent before this one may be on its way to the log;
        what is in force is decided by their order there alone.
        """
        if not self._node.leads:
            raise errors.NotLeader(self._node.leader_address)
        await self._node.propose(change)
