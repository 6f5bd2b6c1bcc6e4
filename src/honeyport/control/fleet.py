"""The leader's state of the routers: leases, view and loads.

It is kept in memory only. A new leader rebuilds it from the reports and waits
until every lease that its predecessor may have granted has ended before it
changes the members of the view.
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

_STAMPS_PER_S = 1_000_000  # a stamp is a loop time in microseconds
# A view number is the leader's term, shifted left, plus a counter.
_TERM_SHIFT_BITS = 24
_MAX_LOGGED_NAMES = 20  # in one field of a log line


@attrs.define
class Router:
    """One router's session. Times are loop times, in seconds.

    :ivar lease_expires_at: when its lease ends
    :ivar last_report_at: when its last report arrived
    :ivar written_after: a lower bound of when that report was written: the
        time of the answer that it refers to; minus infinity before its second
        report
    :ivar counted_report_number: the number of its report that is contained
        in the latest totals
    :ivar residuals: the number of running requests, by backend server
    :ivar down: instances that it cannot reach
    :ivar resting: instances that asked it to send nothing for a while
    :ivar brittle: tolerated rejections within one second, by service whose
        instances announced to it that they are brittle
    :ivar evacuated: the failure domains that are evacuated there
    :ivar silent: whether its stream ended, or its reports are overdue, while
        its lease is still valid
    :ivar replica: the address of the control replica on its instance, or
        ``''``
    :ivar advertised_member: the part of its member that gateways need
    :ivar has_view: whether it follows the views; a router that does not is
        assigned no engines
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
    brittle: dict[str, int] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    silent: bool = False
    replica: str = ''
    advertised_member: pb.Member = attrs.field(factory=pb.Member)
    has_view: bool = True

    @property
    def demand(self) -> dict[str, int]:
        """The number of running and waiting requests, by service."""
        return {
            service: load.running + load.waiting
            for service, load in self.loads.items()
        }


class Fleet:
    """The routers of one term.

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
        self._base_view = term << _TERM_SHIFT_BITS
        self._view = pb.View(number=self._base_view)
        self._platform_states: dict[str, str] = {}
        self._lists = lists or instance_lists.InstanceLists()
        self._loads = loads.Loads(self._lists)
        self._known_domains: set[str] = set()
        self._exclusions = reach.ExclusionTracker()
        self._excluded: frozenset[str] = frozenset()

    @property
    def view(self) -> pb.View:
        """The latest view; without members before the first one."""
        return self._view

    @property
    def has_view(self) -> bool:
        """Whether a view was published in this term, empty or not."""
        return self._view.number != self._base_view

    @property
    def loads(self) -> loads.Loads:
        """The loads of all routers, added up."""
        return self._loads

    @property
    def routers(self) -> list[Router]:
        """All routers with a valid lease, sorted by name."""
        return [self._routers[name] for name in sorted(self._routers)]

    def reachable_members(self) -> dict[str, pb.Member]:
        """Return the routers that callers may be sent to, by name.

        Unlike the view, it does not wait for the leases of a former leader:
        no engine is assigned according to it.
        """
        return {
            router.member.router: router.advertised_member
            for router in self.routers
            if not router.silent and not router.member.leaving
        }

    def leaving_names(self) -> tuple[str, ...]:
        """Return the names of the routers that are shutting down."""
        return tuple(
            router.member.router
            for router in self.routers
            if router.member.leaving
        )

    def attached_replicas(self) -> dict[str, str]:
        """Return the control replicas on the instances of attached routers.

        :returns: address to failure domain
        """
        return {
            router.replica: router.member.domain
            for router in self.routers
            if router.replica and not router.silent
        }

    def is_alive(self, router: str, incarnation: str) -> bool:
        """Whether an incarnation of a router has a lease."""
        session = self._routers.get(router)
        return (
            session is not None and session.member.incarnation == incarnation
        )

    def register(self, hello: pb.Hello, now: float, lease_s: float) -> Router:
        """Begin a router's session and grant a lease.

        :param now: loop time, in seconds
        """
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
                # Only gateways forward requests of each other's callers.
                peer_address=hello.peer_address if hello.no_view else '',
            ),
            has_view=not hello.no_view,
        )
        self._routers[hello.router] = router
        self._known_domains.add(hello.domain)
        return router

    def apply_report(
        self, router: Router, report: pb.Report, now: float, lease_s: float
    ) -> None:
        """Store a router's report and renew its lease."""
        router.lease_expires_at = max(router.lease_expires_at, now + lease_s)
        router.last_report_at = now
        router.report_number = report.number
        router.written_after = report.stamp / _STAMPS_PER_S or float('-inf')
        router.silent = False
        router.config_version = report.config_version
        router.view = report.view
        name = router.member.router
        is_listed_leaving = self._platform_states.get(name) == 'leaving'
        router.member.leaving = report.leaving or is_listed_leaving
        router.loads = {load.service: load for load in report.loads}
        router.residuals = {
            load.backend: load.running for load in report.residuals
        }
        router.down = frozenset(report.down)
        router.resting = frozenset(report.resting)
        router.brittle = {
            entry.service: entry.rejections for entry in report.brittle
        }
        router.evacuated = frozenset(report.evacuated)
        if report.cut_off != router.advertised_member.cut_off:
            advertised_member = pb.Member()
            advertised_member.CopyFrom(router.advertised_member)
            del advertised_member.cut_off[:]
            advertised_member.cut_off.extend(report.cut_off)
            router.advertised_member = advertised_member

    def stamp(self, now: float) -> int:
        """Return a loop time as the stamp that reports echo."""
        return int(now * _STAMPS_PER_S)

    def has_lease(self, router: Router) -> bool:
        """Whether this session of the router is current and has a lease."""
        return self._routers.get(router.member.router) is router

    def remove(self, router: Router) -> None:
        """Remove a router that has shut down."""
        if self.has_lease(router):
            del self._routers[router.member.router]

    def mark_silent(self, router: Router) -> None:
        """Mark a router that stopped reporting without a shutdown.

        Its lease is still valid, so it keeps its engines; callers are no
        longer sent there.
        """
        if self.has_lease(router) and not router.silent:
            router.silent = True
            logs.emit(events.ROUTER_SILENT, router=router.member.router)

    def set_platform_states(self, states: dict[str, str]) -> None:
        """Set the instances' states according to the platform's list.

        :param states: name to state, such as ``leaving``
        """
        self._platform_states = states

    def refresh(self, now: float) -> bool:
        """Remove routers without a lease; return whether the view changed."""
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
        view_numbers = [
            router.view for router in self._routers.values() if router.has_view
        ]
        return min([self._view.number, *view_numbers])

    def settled_version(self) -> int:
        """Return the lowest version in force on a router with a lease."""
        return min(
            (router.config_version for router in self._routers.values()),
            default=0,
        )

    def update_loads(self, now: float, max_age_s: float) -> None:
        """Add up the reports and update :attr:`loads`.

        An old load counts as zero, since it would raise the mean that the
        bound is a multiple of, and so does that of a router whose stream has
        ended. The age is counted from when the report was written, not from
        its arrival.

        :param now: loop time, in seconds
        :param max_age_s: the maximum age of a report
        """
        totals: collections.Counter[str] = collections.Counter()
        running: collections.Counter[str] = collections.Counter()
        down: set[str] = set()
        for router in self._routers.values():
            if router.last_report_at < now - max_age_s:
                self.mark_silent(router)
            running.update(router.residuals)
            if router.has_view:  # it alone probes its engines
                down.update(router.down)
            router.counted_report_number = router.report_number
            if not router.silent and router.written_after >= now - max_age_s:
                totals.update(router.demand)
        leaving = [
            name
            for name, state in self._platform_states.items()
            if state == 'leaving'
        ]
        self._loads.update(
            loads.LoadTotals(
                totals=dict(totals),
                codes=_encode_loads(running, self._unreachable(now)),
                settled=self.settled_view(),
                settled_version=self.settled_version(),
                down=tuple(sorted(down)),
                leaving=tuple(sorted(leaving)),
                brittle=self._brittle(),
            )
        )

    def _brittle(self) -> dict[str, int]:
        """Return the least tolerance that was reported, by service."""
        brittle: dict[str, int] = {}
        for router in self._routers.values():
            if router.silent:
                continue
            for service, rejections in router.brittle.items():
                brittle[service] = min(
                    rejections, brittle.get(service, rejections)
                )
        return brittle

    def _unreachable(self, now: float) -> frozenset[str]:
        """Return the instances to which no gateway is to send requests."""
        gateways = [
            router
            for router in self._routers.values()
            if not router.silent and not router.has_view
        ]
        observations = [
            reach.GatewayReport(
                router.member.domain, router.down, router.resting
            )
            for router in gateways
        ]
        silent_domains = self._known_domains - {
            observation.domain for observation in observations
        }
        excluded = self._exclusions.update(
            observations, self._lists.domains, silent_domains, now
        )
        if excluded != self._excluded:
            self._excluded = excluded
            logs.emit(
                events.INSTANCES_EXCLUDED,
                instances=sorted(excluded)[:_MAX_LOGGED_NAMES],
                count=len(excluded),
                reporters=sorted(
                    router.member.router
                    for router in gateways
                    if not excluded.isdisjoint(router.down | router.resting)
                )[:_MAX_LOGGED_NAMES],
            )
        return excluded

    def find_unconfirmed_evacuations(
        self, domains: frozenset[str]
    ) -> list[str]:
        """Return the names of the routers that do not apply evacuations yet.

        Routers that stopped reporting are left out.

        :param domains: the evacuated failure domains
        """
        return [
            router.member.router
            for router in self.routers
            if not router.silent and router.evacuated != domains
        ]

    def in_force(self, version: int, now: float) -> bool:
        """Whether every router with a lease applies a version."""
        if now < self._stable_at:
            return False
        return all(
            router.config_version >= version
            for router in self._routers.values()
        )


def _encode_loads(
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
