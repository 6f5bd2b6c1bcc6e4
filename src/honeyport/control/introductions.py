"""A leader's calls to routers that have no stream to it.

Where the routers listen is part of the replicated state, so that it outlives
a loss of all processes (:mod:`honeyport.policy.reconnects`).
"""

import asyncio

import grpc

from honeyport.control import replica
from honeyport.control import sessions
from honeyport import errors
from honeyport.policy import reconnects
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

# Between two looks at who is missing, in seconds: half of the first pause
# before a call.
_PERIOD_S = 0.25
# For one call, in seconds: what a router allows for the first word of a
# leader.
_CALL_S = 0.5
# Calls at once. Each has a connection of its own; a new leader that called 216
# routers within a second answered its followers too late, and the next one did
# the same.
_MOST_CALLS = 16


class Introductions:
    """Calls missing routers while this replica leads, and forgets old ones.

    :param routers: the streams that stand
    """

    def __init__(
        self,
        node: replica.Replica,
        routers: sessions.Sessions,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._sessions = routers
        self._counters = counters
        self._roster = reconnects.ReconnectSchedule()
        self._calls: set[asyncio.Task[None]] = set()
        self._outcomes: dict[str, str] = {}  # of the latest call, by router

    async def run(self) -> None:
        """Look for missing routers every now and then, until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            if not self._node.leads:
                self._roster = reconnects.ReconnectSchedule()
                self._outcomes.clear()
                continue
            self._call_missing()
            self._forget_outcomes()
            await self._forget()

    async def _forget(self) -> None:
        """Commit that some are called no longer, if there are any."""
        gone = self._roster.expired(self._node.machine.routers, _now())
        if not gone:
            return
        try:
            await self._node.propose(pb.RouterChange(removed=gone))
        except errors.HoneyportError as error:  # tried again in a moment
            logs.emit(
                events.ROUTERS_UNSAVED, code=error.code, detail=error.detail
            )
            return
        logs.emit(events.ROUTERS_CHANGED, put=[], removed=gone)

    def _forget_outcomes(self) -> None:
        """Have the next call to a router that came back logged again."""
        for name in self._sessions.attached:
            self._outcomes.pop(name, None)

    def _call_missing(self) -> None:
        known = self._node.machine.routers
        room = _MOST_CALLS - len(self._calls)
        for name in self._roster.due(
            known, self._sessions.attached, _now(), room
        ):
            task = asyncio.create_task(self._call(name, known[name]))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _call(self, name: str, address: str) -> None:
        """Tell one router where we are; it attaches by itself."""
        introduction = pb.Redirect(
            leader=self._node.leader_address,
            replicas=self._node.member_addresses,
        )
        channel = channels.connect(address)
        try:
            await rpc.ContactStub(channel).Introduce(
                introduction, timeout=_CALL_S
            )
        except grpc.aio.AioRpcError as error:
            self._note(name, error.code().name.lower())
        else:
            self._note(name, 'told')
        finally:
            await channel.close()

    def _note(self, name: str, outcome: str) -> None:
        """Count a call, and log it if it ended unlike the one before."""
        self._counters.count('control_introductions', outcome=outcome)
        if self._outcomes.get(name) != outcome:
            self._outcomes[name] = outcome
            logs.emit(events.ROUTER_CALLED, router=name, outcome=outcome)


def _now() -> float:
    return asyncio.get_running_loop().time()
