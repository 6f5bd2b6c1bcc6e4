"""The routers as the leader sees them: leases, view and loads.

All of this is soft: a new leader learns it from the routers, and waits
out every lease its predecessor may have granted before it changes who is
in the view.
"""

import collections
import typing

import attrs

from honeyport.control import instance_lists
from honeyport.control import loads
from honeyport.policy import reach
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import instance_load

_STAMPS_A_S = 1_000_000  # a stamp is a time in microseconds
_TERM_SHIFT = 24  # a view's number is its leader's term and a counter


@attrs.define
class Router:
    """One router's session.

    :ivar heard: when its last report arrived
    :ivar as_of: a time before that report was written, by our clock: the
        router had our answer of then; never before its second report
    :ivar counted: the number of its report that the latest sum contains
    :ivar reach: what callers need of it
    :ivar has_view: whether it follows the views; others own nothing by them
    """

    member: pb.Member
    lease_expires_at: float
    last_report_at: float
    written_after: float = float('-inf')
    config_version: int = 0
    view: int = 0
    loads: dict[str, pb.PoolLoad] = attrs.field(factory=dict)
    report_number: int = 0
    counted_report_number: int = 0
    residuals: dict[str, int] = attrs.field(factory=dict)
    down: frozenset[str] = frozenset()
    resting: frozenset[str] = frozenset()
    silent: bool = False
    replica: str = ''
    advertised_member: pb.Member = attrs.field(factory=pb.Member)
    has_view: bool = True

    @property
    def demand(self) -> dict[str, int]:
        """What runs and what waits for room, by service."""
        return {
            service: load.running + load.waiting
            for service, load in self.loads.items()
        }


class Fleet:
    """The routers of one leadership.

    :param term: the leader's term
    :param stable_at: loop time from which the view may change
    :param lists: the lists of instances that the routers have, if any
    """

    def __init__(
        self,
        term: int,
        stable_at: float,
        lists: instance_lists.InstanceLists | None = None,
    ) -> None:
        self._stable_at = stable_at
        self._routers: dict[str, Router] = {}
        self._base_view = term << _TERM_SHIFT
        self._view = pb.View(number=self._base_view)
        self._listed: dict[str, str] = {}
        self._lists = lists or instance_lists.InstanceLists()
        self._loads = loads.Loads(self._lists)
        self._domains_seen: set[str] = set()
        self._reach = reach.Reach()

    @property
    def view(self) -> pb.View:
        """The latest view; without members before the first."""
        return self._view

    @property
    def has_view(self) -> bool:
        """Whether there was a view in this leadership, empty or not."""
        return self._view.number != self._base_view

    @property
    def loads(self) -> loads.Loads:
        """What runs on all routers together."""
        return self._loads

    @property
    def routers(self) -> list[Router]:
        """All routers whose lease stands, by name."""
        return [self._routers[name] for name in sorted(self._routers)]

    def reachable_members(self) -> dict[str, pb.Member]:
        """Return the routers that callers may be sent to, by name.

        Unlike the view, this does not wait for the leases of a former
        leader: nobody owns anything by it.
        """
        return {
            router.member.router: router.advertised_member
            for router in self.routers
            if not router.silent and not router.member.leaving
        }

    def leaving_names(self) -> tuple[str, ...]:
        """Return the names of those that leave in an orderly way."""
        return tuple(
            router.member.router
            for router in self.routers
            if router.member.leaving
        )

    def attached_replicas(self) -> dict[str, str]:
        """Return the control replicas beside routers that are here.

        :returns: the address of each and its failure domain
        """
        return {
            router.replica: router.member.domain
            for router in self.routers
            if router.replica and not router.silent
        }

    def is_alive(self, router: str, incarnation: str) -> bool:
        """Whether this incarnation of a router holds a lease."""
        found = self._routers.get(router)
        return found is not None and found.member.incarnation == incarnation

    def register(self, hello: pb.Hello, now: float, lease_s: float) -> Router:
        """Take up a router's session."""
        member = pb.Member(
            router=hello.router,
            incarnation=hello.incarnation,
            domain=hello.domain,
            address=hello.address,
            peer_address=hello.peer_address,
        )
        router = Router(
            member,
            now + lease_s,
            now,
            config_version=hello.config_version,
            view=hello.view,
            replica=hello.replica,
            advertised_member=pb.Member(
                router=hello.router,
                domain=hello.domain,
                address=hello.address,
            ),
            has_view=not hello.no_view,
        )
        self._routers[hello.router] = router
        self._domains_seen.add(hello.domain)
        return router

    def apply_report(
        self, router: Router, report: pb.Report, now: float, lease_s: float
    ) -> None:
        """Take a report; it renews the lease."""
        router.lease_expires_at = max(router.lease_expires_at, now + lease_s)
        router.last_report_at = now
        router.report_number = report.number
        router.written_after = report.stamp / _STAMPS_A_S or float('-inf')
        router.silent = False
        router.config_version = report.config_version
        router.view = report.view
        name = router.member.router
        listed = self._listed.get(name) == 'leaving'
        router.member.leaving = report.leaving or listed
        router.loads = {load.service: load for load in report.loads}
        router.residuals = {
            load.backend: load.running for load in report.residuals
        }
        router.down = frozenset(report.down)
        router.resting = frozenset(report.resting)

    def stamp(self, now: float) -> int:
        """Return a time in the form in which reports bring it back."""
        return int(now * _STAMPS_A_S)

    def has_lease(self, router: Router) -> bool:
        """Whether this session's router still has its lease."""
        return self._routers.get(router.member.router) is router

    def remove(self, router: Router) -> None:
        """Forget a router that has finished its work."""
        if self.has_lease(router):
            del self._routers[router.member.router]

    def mark_silent(self, router: Router) -> None:
        """Note that a router's stream ended though it did not leave.

        Its lease stands, so it keeps its engines; callers are no longer
        sent there.
        """
        if self.has_lease(router) and not router.silent:
            router.silent = True
            logs.emit(events.ROUTER_SILENT, router=router.member.router)

    def set_platform_states(self, listed: dict[str, str]) -> None:
        """Take what the platform's instance list says."""
        self._listed = listed

    def refresh(self, now: float) -> bool:
        """Drop lapsed routers; return whether there is a new view."""
        for name, router in list(self._routers.items()):
            if router.lease_expires_at <= now:
                logs.emit(events.ROUTER_EXPIRED, router=name)
                del self._routers[name]
        if now < self._stable_at:
            return False
        members = [router.member for router in self.routers]
        if _identities(members) == _identities(self._view.members):
            return False
        view = pb.View(number=self._view.number + 1)
        view.members.extend(members)
        self._view = view
        logs.emit(events.VIEW_CHANGED, view=view.number, routers=len(members))
        return True

    def settled_view(self) -> int:
        """Return the highest view that every router with a lease has."""
        if not self.has_view:
            return 0
        reached = [
            router.view for router in self._routers.values() if router.has_view
        ]
        return min([self._view.number, *reached])

    def settled_version(self) -> int:
        """Return the lowest version in force on a router with a lease."""
        return min(
            (router.config_version for router in self._routers.values()),
            default=0,
        )

    def update_loads(self, now: float, fresh_s: float) -> None:
        """Add up the reports; :attr:`loads` then tells the routers.

        A load from too long ago counts as none: it must not raise the mean
        that the bound is a multiple of. What decides is when the report was
        written, however late it came.

        :param fresh_s: how old a report may be
        """
        totals: collections.Counter[str] = collections.Counter()
        running: collections.Counter[str] = collections.Counter()
        down: set[str] = set()
        for router in self._routers.values():
            if router.last_report_at < now - fresh_s:
                self.mark_silent(router)
            running.update(router.residuals)
            if router.has_view:  # as the steward, it alone knows
                down.update(router.down)
            router.counted_report_number = router.report_number
            if router.written_after >= now - fresh_s:
                totals.update(router.demand)
        leaving = [
            name for name, state in self._listed.items() if state == 'leaving'
        ]
        self._loads.update(
            loads.LoadTotals(
                totals=dict(totals),
                codes=_codes(running, self._unreachable(now)),
                settled=self.settled_view(),
                settled_version=self.settled_version(),
                down=tuple(sorted(down)),
                leaving=tuple(sorted(leaving)),
            )
        )

    def _unreachable(self, now: float) -> frozenset[str]:
        """Return the instances that all gateways leave alone."""
        heard = [
            router
            for router in self._routers.values()
            if not router.silent and not router.has_view
        ]
        words = [
            reach.Word(router.member.domain, router.down, router.resting)
            for router in heard
        ]
        silent = self._domains_seen - {word.domain for word in words}
        return self._reach.judge(words, self._lists.domains, silent, now)

    def in_force(self, version: int, now: float) -> bool:
        """Whether every router that may serve applies a version."""
        if now < self._stable_at:
            return False
        return all(
            router.config_version >= version
            for router in self._routers.values()
        )


def _codes(
    running: collections.Counter[str], unreachable: frozenset[str]
) -> dict[str, int]:
    codes = {
        name: instance_load.encode(count) for name, count in running.items()
    }
    for name in unreachable:
        codes[name] = instance_load.encode(running[name], unreachable=True)
    return codes


def _identities(
    members: typing.Iterable[pb.Member],
) -> list[tuple[str, str, bool]]:
    return sorted(
        (member.router, member.incarnation, member.leaving)
        for member in members
    )
