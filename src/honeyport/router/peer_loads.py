"""What runs through all other routers, as the leader's sums tell it.

The sums are the same for all routers; each takes off the report of its own
that they contain.
"""

import collections.abc

from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import instance_load

Counts = dict[str, int]


class PeerLoads:
    """The latest sums, without our own part."""

    def __init__(self) -> None:
        self._totals: Counts = {}
        self._running: Counts = {}
        self._own_totals: Counts = {}
        self._own_running: Counts = {}
        self._by_service: Counts = {}
        self._by_service_before: Counts = {}
        self._by_backend: Counts = {}
        self._unreachable: set[str] = set()

    @property
    def by_backend(self) -> Counts:
        """What other routers have running, by backend server."""
        return self._by_backend

    @property
    def unreachable(self) -> set[str]:
        """The instances that gateways of several domains cannot reach."""
        return self._unreachable

    def recent_minimum(self, service: str) -> int:
        """Return the lesser of the last two things heard of a service."""
        return min(
            self._by_service.get(service, 0),
            self._by_service_before.get(service, 0),
        )

    def take(self, loads: pb.Loads, listed: pb.Instances) -> None:
        """Take the loads of all routers, or what changed of them.

        :param listed: the list of instances that is known here
        :raises errors.ListUnusable: if indexes are those of another list
        """
        self._totals = {load.service: load.running for load in loads.totals}
        if not loads.base:
            self._running = {}
            self._unreachable = set()
        for name, load in _named(loads, listed):
            if load.running:
                self._running[name] = load.running
            else:
                self._running.pop(name, None)
            if load.unreachable:
                self._unreachable.add(name)
            else:
                self._unreachable.discard(name)
        self._by_service_before = self._by_service
        self._take_off_own()

    def apply_own_report(self, report: pb.Report) -> None:
        """Take the report of ours that the loads of all contain."""
        self._own_totals = {
            load.service: load.running + load.waiting for load in report.loads
        }
        self._own_running = {
            load.backend: load.running for load in report.residuals
        }
        self._take_off_own()

    def _take_off_own(self) -> None:
        """Work out what all other routers have."""
        self._by_service = _without(self._totals, self._own_totals)
        self._by_backend = _without(self._running, self._own_running)


def _named(
    loads: pb.Loads, listed: pb.Instances
) -> collections.abc.Iterator[tuple[str, instance_load.Load]]:
    """Return what is told of backend servers, by name."""
    for load in loads.residuals:
        yield load.backend, instance_load.Load(load.running)
    if not loads.steps:
        return
    if loads.instances != listed.number:
        raise errors.ListUnusable(
            f'loads of list {loads.instances}, and list {listed.number} is '
            'known'
        )
    index = -1
    for step, code in zip(loads.steps, loads.codes, strict=True):
        index += step
        yield listed.instances[index].id, instance_load.decode(code)


def _without(total: Counts, part: Counts) -> Counts:
    """Return what is left of each total, where anything is."""
    left = {key: count - part.get(key, 0) for key, count in total.items()}
    return {key: count for key, count in left.items() if count > 0}
