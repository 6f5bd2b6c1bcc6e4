"""Adds control replicas to the group and replaces unreachable members.

A process whose replica is not a member reports it when it attaches. It is
added as a learner while too few members vote, and becomes a voter when it has
caught up (:mod:`honeyport.control.leadership`).
:mod:`honeyport.control.membership_plan` decides on each change.
"""

import asyncio
import collections
import collections.abc

from honeyport.control import membership_plan
from honeyport.control import replica
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb

_PERIOD_S = 0.5
# Longer than a restart, and short enough that a replacement votes within the
# time that platforms grant it (4 s after its start).
_UNREACHABLE_AFTER_S = 2.5
# After this time another replica is added beside a learner.
_CATCH_UP_TIMEOUT_S = 10.0

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
        self._learners_since: dict[str, float] = {}
        self._logged_state: tuple[list[str], list[str]] | None = None

    async def run(self) -> None:
        """Check the members at intervals until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            if not self._node.leads:
                self._learners_since.clear()
                self._logged_state = None
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
        """Make at most one membership change."""
        if not self._node.members_committed:
            return
        self._update_learners()
        members = [
            self._assess(member) for member in self._node.members.replicas
        ]
        candidates = self._find_candidates(members)
        self._log_state(members, candidates)
        change = membership_plan.next_change(
            members, self._target_size, candidates
        )
        if change is None:
            return
        if change.added:
            await self._add(change.added, members)
        else:
            await self._remove(change.removed)

    def _update_learners(self) -> None:
        """Record since when each member is a learner."""
        now = asyncio.get_running_loop().time()
        self._learners_since = {
            member.name: self._learners_since.get(member.name, now)
            for member in self._node.members.replicas
            if not member.voter
        }

    def _assess(self, member: pb.Replicant) -> membership_plan.Member:
        now = asyncio.get_running_loop().time()
        learner_s = now - self._learners_since.get(member.name, now)
        is_leader = member.name == self._node.name
        return membership_plan.Member(
            member.name,
            member.voter,
            answers=is_leader
            or self._node.silent_s(member.name) <= _UNREACHABLE_AFTER_S,
            caught_up=is_leader or self._node.has_caught_up(member.name),
            overdue=learner_s > _CATCH_UP_TIMEOUT_S,
        )

    def _find_candidates(
        self, members: list[membership_plan.Member]
    ) -> list[str]:
        """Return the names of the replicas that could be added.

        Prefers failure domains with few members, which minimises the votes
        lost with a domain.
        """
        domain_by_replica = self._get_domains()
        member_names = {member.name for member in members}
        member_counts = collections.Counter(
            domain
            for name, domain in domain_by_replica.items()
            if name in member_names
        )
        return sorted(
            set(domain_by_replica) - member_names,
            key=lambda name: (member_counts[domain_by_replica[name]], name),
        )

    def _log_state(
        self, members: list[membership_plan.Member], candidates: list[str]
    ) -> None:
        """Log the members whenever their state changes."""
        if membership_plan.is_complete(members, self._target_size):
            if self._logged_state is not None:
                logs.emit(events.MEMBERS_COMPLETE, target=self._target_size)
            self._logged_state = None
            return
        descriptions = [str(member) for member in members]
        if self._logged_state != (descriptions, candidates):
            self._logged_state = (descriptions, candidates)
            logs.emit(
                events.MEMBERS_INCOMPLETE,
                target=self._target_size,
                members=descriptions,
                candidates=candidates,
            )

    async def _add(
        self, name: str, members: list[membership_plan.Member]
    ) -> None:
        unusable = [member.name for member in members if not member.usable]
        logs.emit(events.MEMBER_ADDED, replica=name, gone=unusable)
        await self._node.change_membership(name, name)

    async def _remove(self, name: str) -> None:
        silent_s = round(self._node.silent_s(name), 1)
        logs.emit(events.MEMBER_REMOVED, replica=name, silent_s=silent_s)
        await self._node.change_membership(name, '')
