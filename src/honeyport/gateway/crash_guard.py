"""Requests that may crash instances: permits, and reports of crashes."""

import collections.abc
import contextlib

from honeyport import errors
from honeyport.gateway import exchanges
from honeyport.policy import placement
from honeyport.policy import suspicion
from honeyport.router import suspects
from honeyport.router import witness


class CrashGuard:
    """Holds back requests that may crash their instance, and reports those.

    :param detector: detects instances that ended with requests running
    :param suspect_tracker: permits for requests that may crash instances
    """

    def __init__(
        self,
        detector: witness.EndDetector,
        suspect_tracker: suspects.SuspectTracker,
    ) -> None:
        self._end_detector = detector
        self._suspects = suspect_tracker

    def check_not_barred(self, exchange: exchanges.Exchange) -> None:
        """Check that a request is not barred.

        :raises errors.HoneyportError: if it is
        """
        self._suspects.check_not_barred(exchange.traits)

    def needs_permit(self, exchange: exchanges.Exchange) -> bool:
        """Whether a request may be sent only with a permit."""
        return self._suspects.needs_permit(exchange.traits)

    @contextlib.asynccontextmanager
    async def hold_permit(
        self, exchange: exchanges.Exchange
    ) -> collections.abc.AsyncIterator[bool]:
        """Hold a permit for a request that may crash its instance.

        The value of the context is whether the request has one.

        :raises errors.HoneyportError: if it may not be sent now
        """
        # If each possible run crashed its instance, the request needs a permit
        # or its parts may be barred. So wait until it is known whether the
        # last one did, and what follows from it.
        is_in_question = (
            exchange.possible_runs > 0
            and self._suspects.is_under_suspicion(exchange.traits)
        )
        if (
            is_in_question
            or exchange.possible_runs >= suspicion.PERMIT_MIN_ENDS
        ):
            await self._end_detector.wait_probed(exchange.instance_id)
        if is_in_question:
            await self._suspects.wait_decided()
        async with self._suspects.admit(
            exchange.traits,
            lambda call: self._end_detector.call_when_probed(
                exchange.instance_id, call
            ),
        ) as has_permit:
            yield has_permit

    def record_success(self, exchange: exchanges.Exchange) -> None:
        """Record a complete answer to a request."""
        self._suspects.record_success(exchange.traits, exchange.sent_at)

    def record_failure(
        self,
        exchange: exchanges.Exchange,
        instance: placement.Instance,
        error: errors.HoneyportError,
    ) -> None:
        """Report a failed attempt on an instance to the end detector."""
        if isinstance(error, (errors.BackendSilent, errors.DeadlinePassed)):
            self._end_detector.record_timeout(instance, exchange.traits)
        elif isinstance(error, (errors.BackendLost, errors.RequestWithdrawn)):
            # A request that was withdrawn may have run until then.
            self._end_detector.record_broken(instance, exchange.traits)
        elif isinstance(error, errors.ConnectionRefused):
            self._end_detector.record_refused(instance)
        elif isinstance(error, errors.Misdirected):
            self._end_detector.record_gone(instance.id, witness.ADDRESS_REUSED)
