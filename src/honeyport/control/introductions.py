"""Calls of a leader to routers that have no stream to it.

The routers' addresses are part of the replicated state, so that they survive
a restart of all processes (:mod:`honeyport.policy.roster`).
"""

import asyncio

import grpc

from honeyport.control import replica
from honeyport.control import sessions
from honeyport import errors
from honeyport.policy import roster
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

# Pause between two checks for missing routers.
_CHECK_INTERVAL_S = 0.25
# Same as a router's timeout for the first message of a leader.
_CALL_TIMEOUT_S = 0.5
# Each call opens a connection; too many at once would delay the heartbeats.
_MAX_CONCURRENT_CALLS = 16


class Introductions:
    """Calls missing routers while this replica leads, and removes old ones.

    :param routers: the streams of attached routers
    """

    def __init__(
        self,
        node: replica.Replica,
        routers: sessions.Sessions,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._sessions = routers
        self._metrics = counters
        self._schedule = roster.ReconnectSchedule()
        self._calls: set[asyncio.Task[None]] = set()
        self._outcomes: dict[str, str] = {}  # of the latest call, by router

    async def run(self) -> None:
        """Call missing routers periodically, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if not self._node.leads:
                self._schedule = roster.ReconnectSchedule()
                self._outcomes.clear()
                continue
            self._call_missing()
            self._reset_outcomes()
            await self._remove_expired()

    async def _remove_expired(self) -> None:
        """Commit the removal of routers that were missing for too long."""
        expired = self._schedule.expired(self._node.machine.routers, _now())
        if not expired:
            return
        try:
            await self._node.propose(pb.RouterChange(removed=expired))
        except errors.HoneyportError as error:  # retried in the next round
            logs.emit(
                events.ROUTERS_UNSAVED, code=error.code, detail=error.detail
            )
            return
        logs.emit(events.ROUTERS_CHANGED, put=[], removed=expired)

    def _reset_outcomes(self) -> None:
        """Have the next call to a router that attached logged again."""
        for name in self._sessions.attached:
            self._outcomes.pop(name, None)

    def _call_missing(self) -> None:
        addresses = self._node.machine.routers
        free_calls = _MAX_CONCURRENT_CALLS - len(self._calls)
        for name in self._schedule.due(
            addresses, self._sessions.attached, _now(), free_calls
        ):
            task = asyncio.create_task(self._introduce(name, addresses[name]))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _introduce(self, name: str, address: str) -> None:
        """Send the leader's address to a router, which then attaches."""
        introduction = pb.Redirect(
            leader=self._node.leader_address,
            replicas=self._node.member_addresses,
        )
        channel = channels.connect(address)
        try:
            await rpc.ContactStub(channel).Introduce(
                introduction, timeout=_CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError as error:
            self._record_outcome(name, error.code().name.lower())
        else:
            self._record_outcome(name, 'told')
        finally:
            await channel.close()

    def _record_outcome(self, name: str, outcome: str) -> None:
        """Count a call; log its outcome if it differs from the last one."""
        self._metrics.count('control_introductions', outcome=outcome)
        if self._outcomes.get(name) != outcome:
            self._outcomes[name] = outcome
            logs.emit(events.ROUTER_CALLED, router=name, outcome=outcome)


def _now() -> float:
    return asyncio.get_running_loop().time()
