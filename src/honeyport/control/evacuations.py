"""Operators' orders to evacuate a failure domain and to end an evacuation.

An acknowledged order is part of the replicated state. The routers' streams
carry the evacuated domains ahead of leases and configurations, so that every
router with a lease from this leader has them.
"""

from honeyport.control import replica
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb


class Evacuations:
    """Commits evacuations on one control replica."""

    def __init__(self, node: replica.Replica) -> None:
        self._node = node

    @property
    def evacuated(self) -> frozenset[str]:
        """The evacuated domains in this replica's state."""
        return self._node.machine.evacuated

    async def order(self, domain: str, *, ends: bool) -> None:
        """Commit that an evacuation begins or ends.

        An order may be repeated. It is committed even if it changes nothing,
        because an opposite one may be pending, and the log's order decides.

        :param ends: whether the evacuation ends, instead of beginning
        :raises errors.NotLeader: if another replica leads
        :raises errors.CommitUnknown: if the commit's outcome is unknown
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
