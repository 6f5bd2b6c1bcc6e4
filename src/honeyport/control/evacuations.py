"""Operators' orders to evacuate a failure domain and to end an evacuation.

An acknowledged order is part of the replicated state. The routers' streams
carry the evacuated domains ahead of leases and configurations, so that every
router with a lease from this leader has them. An order is acknowledged once
the attached routers apply it: if the leader is lost right after, they do not
have to wait for the next one.
"""

import asyncio
import collections.abc

from honeyport.control import replica
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

# Longest wait for the routers. With the wait for a leader, it stays below the
# second for which operators wait.
_MAX_ROUTER_WAIT_S = 0.25
_POLL_INTERVAL_S = 0.01
# Maximum number of routers that a log line names.
_MAX_ROUTERS_LOGGED = 8

# Takes the evacuated domains; returns the routers that do not apply them yet.
FindUnconfirmed = collections.abc.Callable[[frozenset[str]], list[str]]


class Evacuations:
    """Commits evacuations on one control replica.

    :param find_unconfirmed: returns the names of the attached routers that
        do not apply the given evacuated domains
    """

    def __init__(
        self, node: replica.Replica, find_unconfirmed: FindUnconfirmed
    ) -> None:
        self._node = node
        self._find_unconfirmed = find_unconfirmed

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
        await self._wait_for_routers()

    async def _wait_for_routers(self) -> None:
        """Wait until the attached routers apply the latest evacuations.

        Routers that do not confirm them in time get them with their next
        lease.
        """
        deadline = _now() + _MAX_ROUTER_WAIT_S
        while routers := self._find_unconfirmed(self.evacuated):
            if _now() >= deadline:
                logs.emit(
                    events.EVACUATION_UNCONFIRMED,
                    count=len(routers),
                    routers=routers[:_MAX_ROUTERS_LOGGED],
                )
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
