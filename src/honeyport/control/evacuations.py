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


class Evacuations:
    """Takes orders about failure domains on one control replica."""

    def __init__(self, node: replica.Replica) -> None:
        self._node = node

    @property
    def evacuated(self) -> frozenset[str]:
        """The domains that are evacuated, as far as this replica knows."""
        return self._node.machine.evacuated

    async def order(self, domain: str, *, ends: bool) -> None:
        """Return once it is committed that a domain gets nothing new.

        The same order may come again, whatever became of the one before. It
        is committed also where it changes nothing: another one may be on its
        way to the log, and their order there alone decides.

        :param ends: whether the domain is taken back
        :raises errors.NotLeader: if another replica has to be asked
        :raises errors.CommitUnknown: if nobody knows whether it is in force
        """
        if not self._node.leads:
            raise errors.NotLeader(leader=self._node.leader_address)
        if ends:
            change = pb.EvacuationChange(ended=[domain])
            event = events.EVACUATION_ENDED
        else:
            change = pb.EvacuationChange(begun=[domain])
            event = events.EVACUATION_BEGUN
        await self._node.propose(change)
        logs.emit(event, domain=domain)
