"""The loads of all other routers, derived from the leader's totals.

The totals are the same for all routers. Each router subtracts its own report
that they include.
"""

import collections.abc

from honeyport import errors
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import instance_load

Counts = dict[str, int]


class PeerLoads:
    """The latest totals without this router's own loads."""

    def __init__(self) -> None:
        self._totals: Counts = {}
        self._running: Counts = {}
        self._own_totals: Counts = {}
        self._own_running: Counts = {}
        self._by_service: Counts = {}
        self._previous_by_service: Counts = {}
        self._by_backend: Counts = {}
        self._unreachable: set[str] = set()

    @property
    def by_backend(self) -> Counts:
        """Requests that other routers are running, by backend server."""
        return self._by_backend

    @property
    def unreachable(self) -> set[str]:
        """Instances that gateways of several failure domains can't reach."""
        return self._unreachable

    def recent_minimum(self, service: str) -> int:
        """Return the minimum of the last two loads of a service."""
        return min(
            self._by_service.get(service, 0),
            self._previous_by_service.get(service, 0),
        )

    def apply(self, loads: pb.Loads, instance_list: pb.Instances) -> None:
        """Apply the loads of all routers, or changes to them.

        :param instance_list: the list of instances that is known here
        :raises errors.ListUnusable: if the loads refer to another list
        """
        self._totals = {load.service: load.running for load in loads.totals}
        if not loads.base:
            self._running = {}
            self._unreachable = set()
        for name, load in _iter_loads(loads, instance_list):
            if load.running:
                self._running[name] = load.running
            else:
                self._running.pop(name, None)
            if load.unreachable:
                self._unreachable.add(name)
            else:
                self._unreachable.discard(name)
        self._previous_by_service = self._by_service
        self._subtract_own()

    def apply_own_report(self, report: pb.Report) -> None:
        """Apply the report of this router that the totals include."""
        self._own_totals = {
            load.service: load.running + load.waiting for load in report.loads
        }
        self._own_running = {
            load.backend: load.running for load in report.residuals
        }
        self._subtract_own()

    def _subtract_own(self) -> None:
        """Compute the loads of all other routers."""
        self._by_service = _subtract(self._totals, self._own_totals)
        self._by_backend = _subtract(self._running, self._own_running)


def _iter_loads(
    loads: pb.Loads, instance_list: pb.Instances
) -> collections.abc.Iterator[tuple[str, instance_load.Load]]:
    """Yield the name and the load of each backend server in a message.

    :raises errors.ListUnusable: if the loads refer to another list
    """
    for load in loads.residuals:
        yield load.backend, instance_load.Load(load.running)
    if not loads.steps:
        return
    if loads.instances != instance_list.number:
        raise errors.ListUnusable(
            f'the loads refer to list {loads.instances}, but the known one is '
            f'{instance_list.number}'
        )
    index = -1
    for step, code in zip(loads.steps, loads.codes, strict=True):
        index += step
        yield instance_list.instances[index].id, instance_load.decode(code)


def _subtract(total: Counts, own: Counts) -> Counts:
    """Return each total minus its part; drop those that are not positive."""
    remainder = {key: count - own.get(key, 0) for key, count in total.items()}
    return {key: count for key, count in remainder.items() if count > 0}
