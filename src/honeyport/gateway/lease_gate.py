"""Admission of requests by the lease of this gateway."""

import asyncio

from honeyport import errors
from honeyport.policy import admission
from honeyport.router import fleetstate


class LeaseGate:
    """Admits requests while the gateway holds a lease.

    :param state: this instance's view of the fleet
    """

    def __init__(self, state: fleetstate.FleetState) -> None:
        self._state = state
        self._started_at = float('-inf')
        self._has_served = False
        self._open_event = asyncio.Event()

    def start(self) -> None:
        """Record that the gateway accepts callers from now on."""
        self._started_at = _now()

    def update(self) -> None:
        """Admit waiting requests if the lease is valid."""
        if self._state.may_serve:
            self._has_served = True
            self._open_event.set()

    def check_lease(self) -> None:
        """Check that requests may be sent now.

        :raises errors.NotReady: without a configuration or a lease
        """
        try:
            self._state.check_lease()
        except errors.NotReady as error:
            retry_after_s = admission.retry_after_s(
                self._start_state(), _now()
            )
            raise errors.NotReady(
                error.detail, retry_after=retry_after_s
            ) from None

    async def wait_until_open(self, deadline: float) -> float:
        """Wait until requests may be sent, if a lease is due soon.

        :param deadline: loop time after which the caller waits no longer
        :returns: time waited, in seconds
        :raises errors.NotReady: if requests may not be sent
        """
        if self._state.may_serve:
            return 0.0
        started_at = _now()
        until = admission.lease_wait_deadline(
            self._start_state(), deadline, started_at
        )
        if until is not None:
            try:
                async with asyncio.timeout_at(until):
                    await self._open_event.wait()
            except TimeoutError:
                pass  # check_lease raises with the reason and retry time
        self.check_lease()
        return _now() - started_at

    def _start_state(self) -> admission.StartState:
        return admission.StartState(
            started=self._started_at, has_held_lease=self._has_served
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
