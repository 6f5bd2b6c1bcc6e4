"""Whether a gateway reaches the instances of a service at all.

A failed connection looks the same whether the instance is down or the gateway
is cut off. A gateway counts as cut off from a service if connections to all
its instances failed, or to many of them, and none succeeded in between. It
counts as connected again with the first connection; requests are sent
directly again in a growing share, since the connections of all of them are to
be opened.
"""

import collections.abc

import attrs

# Failed instances that show the same as all instances of a large service.
_SUFFICIENT_FAILURES = 8
# Time in which the share of direct requests grows from none to all.
_RETURN_RAMP_S = 1.0

InstanceIds = collections.abc.Collection[str]


@attrs.define
class _Service:
    """The connections to the instances of one service.

    :ivar refused_by_id: whether the last attempt was refused rather than not
        answered, for the instances to which connections failed since the last
        one that succeeded
    :ivar first_failed_at: loop time of the first of these failures
    :ivar is_cut_off: whether this gateway is cut off from the service
    :ivar returned_at: loop time at which it last stopped being cut off
    """

    refused_by_id: dict[str, bool] = attrs.field(factory=dict)
    first_failed_at: float = 0.0
    is_cut_off: bool = False
    returned_at: float = float('-inf')


@attrs.frozen(kw_only=True)
class Connected:
    """What a new connection to a service shows.

    :ivar was_cut_off: whether the gateway was cut off until now
    :ivar failed: instances that failed although the gateway is not cut off
    """

    was_cut_off: bool = False
    failed: frozenset[str] = frozenset()


class Connectivity:
    """The services that a gateway is cut off from."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    @property
    def cut_off(self) -> list[str]:
        """Names of the services that the gateway is cut off from."""
        return sorted(
            name
            for name, service in self._services.items()
            if service.is_cut_off
        )

    def is_cut_off(self, service: str) -> bool:
        """Whether the gateway is cut off from a service."""
        state = self._services.get(service)
        return state is not None and state.is_cut_off

    def is_suspected(self, service: str) -> bool:
        """Whether connections failed and none succeeded since then."""
        state = self._services.get(service)
        return state is not None and bool(state.refused_by_id)

    def failing_s(self, service: str, now: float) -> float:
        """Return for how long all connections to a service have failed.

        :param now: as loop time, in seconds
        """
        state = self._services.get(service)
        if state is None or not state.refused_by_id:
            return 0.0
        return now - state.first_failed_at

    def direct_share(self, service: str, now: float) -> float:
        """Return the share of requests to send directly, from 0 to 1.

        :param now: as loop time, in seconds
        """
        state = self._services.get(service)
        if state is None:
            return 1.0
        if state.is_cut_off:
            return 0.0
        return min((now - state.returned_at) / _RETURN_RAMP_S, 1.0)

    def trusted_since(self, service: str) -> float:
        """Return from when on open connections to a service were in use.

        If new connections are refused, those that are open may work. If they
        are not answered, the others do not work either, unless they were in
        use later.

        :returns: loop time in seconds, minus infinity for any time
        """
        state = self._services.get(service)
        if state is None or all(state.refused_by_id.values()):
            return float('-inf')
        return state.first_failed_at

    def record_connected(
        self, service: str, instance: str, now: float
    ) -> Connected:
        """Record a new connection to an instance.

        :param now: as loop time, in seconds
        """
        state = self._services.get(service)
        if state is None:
            return Connected()
        others = state.refused_by_id.keys() - {instance}
        state.refused_by_id.clear()
        if state.is_cut_off:
            state.is_cut_off = False
            state.returned_at = now
            return Connected(was_cut_off=True)
        if now - state.returned_at >= _RETURN_RAMP_S:
            del self._services[service]
        return Connected(failed=frozenset(others))

    def record_failed(
        self, service: str, instance: str, now: float, *, refused: bool
    ) -> None:
        """Record a connection to an instance that could not be made.

        :param now: as loop time, in seconds
        :param refused: whether it was refused; otherwise there was no answer
        """
        state = self._services.setdefault(service, _Service())
        if not state.refused_by_id:
            state.first_failed_at = now
        state.refused_by_id[instance] = refused

    def untested(self, service: str, instances: InstanceIds) -> list[str]:
        """Return the instances to which no connection failed lately."""
        state = self._services.get(service)
        failed = state.refused_by_id if state else {}
        return [instance for instance in instances if instance not in failed]

    def try_declare_cut_off(
        self, service: str, instances: InstanceIds
    ) -> bool:
        """Declare the gateway cut off if enough connections failed.

        :param instances: those that it should reach
        :returns: whether it was declared cut off by this call
        """
        state = self._services.get(service)
        if state is None or state.is_cut_off:
            return False
        if not instances or not state.refused_by_id:
            return False
        is_sufficient = len(state.refused_by_id) >= _SUFFICIENT_FAILURES
        if not is_sufficient and self.untested(service, instances):
            return False
        state.is_cut_off = True
        return True
