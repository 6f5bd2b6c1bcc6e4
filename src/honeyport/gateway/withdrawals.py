"""Withdrawal of requests that are barred while an instance has them.

Such a request may still wait there, and crash the instance as soon as it runs.
Instances drop a request when its connection closes. One whose response has
begun is running already, and is not withdrawn; nor is one that the leader
permitted.
"""

import asyncio
import collections.abc
import typing

import attrs

from honeyport import errors
from honeyport.gateway import exchanges
from honeyport.router import suspects

T = typing.TypeVar('T')


@attrs.frozen(eq=False)
class _Attempt:
    """An attempt that is running; its timeout expires to withdraw it."""

    exchange: exchanges.Exchange
    timeout: asyncio.Timeout


class Withdrawals:
    """The attempts of this gateway that may be withdrawn."""

    def __init__(self, suspect_tracker: suspects.SuspectTracker) -> None:
        self._suspects = suspect_tracker
        self._attempts: set[_Attempt] = set()
        suspect_tracker.add_listener(self._withdraw_barred)

    async def run(
        self,
        exchange: exchanges.Exchange,
        send: collections.abc.Callable[[], collections.abc.Awaitable[T]],
    ) -> T:
        """Send a request to an instance and return the response.

        :raises errors.RequestWithdrawn: if the request is barred before its
            response begins
        """
        exchange.is_response_begun = False
        attempt = _Attempt(exchange, asyncio.timeout(None))
        self._attempts.add(attempt)
        try:
            async with attempt.timeout:
                return await send()
        except TimeoutError:
            if not attempt.timeout.expired():
                raise
            raise errors.RequestWithdrawn() from None
        finally:
            self._attempts.discard(attempt)

    def _withdraw_barred(self) -> None:
        """Withdraw the requests that the latest suspects concern."""
        now = asyncio.get_running_loop().time()
        for attempt in list(self._attempts):
            exchange = attempt.exchange
            if exchange.has_permit or exchange.is_response_begun:
                continue
            if self._suspects.is_withdrawn(exchange.traits):
                self._attempts.remove(attempt)
                attempt.timeout.reschedule(now)
