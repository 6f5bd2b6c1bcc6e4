"""Adds control replicas to the group and replaces unreachable members.

A process whose replica is not a member reports it when it attaches. It is
added as a learner while there are too few members, or while one of them is
unreachable, and becomes a voter when it has caught up. An unreachable member
is removed only after its replacement has become a voter.
"""

import asyncio
import collections
import collections.abc

from honeyport.control import replica
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_PERIOD_S = 0.5
# Longer than a restart, and short enough that a replacement votes within the
# time that platforms grant it (4 s after its start).
_UNREACHABLE_AFTER_S = 2.5

GetDomains = collections.abc.Callable[[], dict[str, str]]


class MembershipManager:
    """Adds and replaces members while this replica leads.

    :param get_domains: returns the replicas that are attached: address to
        failure domain
    :param target_size: number of members when none is being replaced
    """

    def __init__(
        self,
        node: replica.Replica,
        get_domains: GetDomains,
        target_size: int,
    ) -> None:
        self._node = node
        self._get_domains = get_domains
        self._target_size = target_size
        self._logged_state: tuple[list[str], list[str]] | None = None

    async def run(self) -> None:
        """Check the members at intervals until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            if not self._node.leads:
                self._logged_state = None
                continue
            self._log_members()
            try:
                await self._step()
            except errors.HoneyportError as error:
                logs.emit(
                    events.SUCCESSION_FAILED,
                    code=error.code,
                    detail=error.detail,
                )

    def _log_members(self) -> None:
        """Log the members whenever their state changes."""
        members = list(self._node.members.replicas)
        is_complete = len(members) == self._target_size and all(
            member.voter and not self._is_unreachable(member)
            for member in members
        )
        if is_complete:
            if self._logged_state is not None:
                logs.emit(events.MEMBERS_COMPLETE, target=self._target_size)
            self._logged_state = None
            return
        descriptions = [self._describe(member) for member in members]
        candidates = sorted(
            set(self._get_domains()) - {member.name for member in members}
        )
        if self._logged_state != (descriptions, candidates):
            self._logged_state = (descriptions, candidates)
            logs.emit(
                events.MEMBERS_INCOMPLETE,
                target=self._target_size,
                members=descriptions,
                candidates=candidates,
            )

    def _describe(self, member: pb.Replicant) -> str:
        role = 'voter' if member.voter else 'learner'
        state = 'silent' if self._is_unreachable(member) else 'answers'
        return f'{member.name} {role} {state}'

    async def _step(self) -> None:
        """Make at most one membership change."""
        members = list(self._node.members.replicas)
        unreachable = [
            member for member in members if self._is_unreachable(member)
        ]
        if len(members) > self._target_size:
            if unreachable and all(
                member.voter for member in members if member not in unreachable
            ):
                await self._remove(unreachable[0])
            return
        is_due = unreachable or len(members) < self._target_size
        candidate = self._choose_candidate(members)
        if is_due and candidate and all(member.voter for member in members):
            await self._add(candidate, unreachable)

    def _is_unreachable(self, member: pb.Replicant) -> bool:
        if member.name == self._node.name:
            return False
        return self._node.silent_s(member.name) > _UNREACHABLE_AFTER_S

    def _choose_candidate(self, members: list[pb.Replicant]) -> str:
        """Return the name of the replica to add next, or ``''``.

        Prefers the failure domain with the fewest members, which minimises
        the votes lost with a domain.
        """
        domain_by_replica = self._get_domains()
        member_names = {member.name for member in members}
        member_counts = collections.Counter(
            domain
            for name, domain in domain_by_replica.items()
            if name in member_names
        )
        candidates = sorted(set(domain_by_replica) - member_names)
        return min(
            candidates,
            key=lambda name: member_counts[domain_by_replica[name]],
            default='',
        )

    async def _add(self, name: str, unreachable: list[pb.Replicant]) -> None:
        names = [member.name for member in unreachable]
        logs.emit(events.MEMBER_ADDED, replica=name, gone=names)
        await self._node.change_membership(name, name)

    async def _remove(self, unreachable: pb.Replicant) -> None:
        silent_s = round(self._node.silent_s(unreachable.name), 1)
        logs.emit(
            events.MEMBER_REMOVED, replica=unreachable.name, silent_s=silent_s
        )
        await self._node.change_membership(unreachable.name, '')
