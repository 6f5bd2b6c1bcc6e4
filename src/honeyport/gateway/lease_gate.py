"""Whether a request may be served here now, by the lease of this gateway."""

import asyncio

from honeyport import errors
from honeyport.policy import admission
from honeyport.router import fleetstate


class Gate:
    """Lets requests in while the lease stands.

    :param state: what this instance knows of the fleet
    """

    def __init__(self, state: fleetstate.FleetState) -> None:
        self._state = state
        self._started = float('-inf')
        self._has_served = False
        self._opened = asyncio.Event()

    def start(self) -> None:
        """Note that callers may come from now on."""
        self._started = _now()

    def take_news(self) -> None:
        """Look at the lease; let in who waits if it stands."""
        if self._state.may_serve:
            self._has_served = True
            self._opened.set()

    def check(self) -> None:
        """Raise an error unless requests may be sent now.

        :raises errors.NotReady: without a configuration or a lease
        """
        try:
            self._state.check_lease()
        except errors.NotReady as error:
            back_s = admission.retry_after_s(self._standing(), _now())
            raise errors.NotReady(error.detail, retry_after=back_s) from None

    async def enter(self, deadline: float) -> float:
        """Return once requests may be sent; wait if that is due soon.

        :param deadline: when the caller leaves
        :returns: how long it waited, in seconds
        :raises errors.NotReady: if they may not
        """
        if self._state.may_serve:
            return 0.0
        began = _now()
        until = admission.lease_wait_deadline(
            self._standing(), deadline, began
        )
        if until is not None:
            try:
                async with asyncio.timeout_at(until):
                    await self._opened.wait()
            except TimeoutError:
                pass  # what follows says why, and when to come back
        self.check()
        return _now() - began

    def _standing(self) -> admission.StartState:
        return admission.StartState(
            started=self._started, has_served=self._has_served
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
