"""Who votes: as many replicas as the tolerated losses need.

A process whose replica is no member says so when it attaches. While fewer
replicas vote than should, it is added as a learner, and votes when it has
caught up. Once a member has been silent for long, a newcomer is added in its
stead, and only when that one votes is the silent member removed: one change
at a time, and the group never waits for more than it has lost.
"""

import asyncio
import collections

from honeyport.control import replica
from honeyport.control import sessions
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_PERIOD_S = 0.5
# Longer than a restart takes (2 s), and short enough that a successor has
# its vote within the time that platforms give it (4 s after its start).
_GONE_S = 2.5


class Succession:
    """Adds and replaces members while this replica leads.

    :param most: how many members vote while none is replaced
    """

    def __init__(
        self, node: replica.Replica, routers: sessions.Sessions, most: int
    ) -> None:
        self._node = node
        self._sessions = routers
        self._most = most

    async def run(self) -> None:
        """Look at the members every now and then, until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            if not self._node.leads:
                continue
            try:
                await self._step()
            except errors.HoneyportError as error:
                logs.emit(
                    events.SUCCESSION_FAILED,
                    code=error.code,
                    detail=error.detail,
                )

    async def _step(self) -> None:
        """Make the one change that is due, if any."""
        members = list(self._node.members.replicas)
        gone = [one for one in members if self._is_gone(one)]
        if len(members) > self._most:
            if gone and all(one.voter for one in members if one not in gone):
                await self._remove(gone[0])
            return
        is_due = gone or len(members) < self._most
        newcomer = self._newcomer(members)
        if is_due and newcomer and all(one.voter for one in members):
            await self._add(newcomer, gone)

    def _is_gone(self, member: pb.Replicant) -> bool:
        if member.name == self._node.name:
            return False
        return self._node.silent_s(member.name) > _GONE_S

    def _newcomer(self, members: list[pb.Replicant]) -> str:
        """Return who is added next, or ``''``.

        It comes from the failure domain that has the fewest members, so
        that losing a domain loses as few votes as can be.
        """
        found = self._sessions.fleet.attached_replicas()
        known = {one.name for one in members}
        domains = collections.Counter(
            domain for name, domain in found.items() if name in known
        )
        candidates = sorted(set(found) - known)
        return min(
            candidates, key=lambda name: domains[found[name]], default=''
        )

    async def _add(self, name: str, gone: list[pb.Replicant]) -> None:
        names = [one.name for one in gone]
        logs.emit(events.MEMBER_ADDED, replica=name, gone=names)
        await self._node.change_membership(name, name)

    async def _remove(self, gone: pb.Replicant) -> None:
        silent_s = round(self._node.silent_s(gone.name), 1)
        logs.emit(events.MEMBER_REMOVED, replica=gone.name, silent_s=silent_s)
        await self._node.change_membership(gone.name, '')
