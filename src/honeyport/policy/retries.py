"""A local retry budget, so that retries do not overload a failing service."""

# Covers a failure of a few seconds.
_DEFAULT_MAX_RETRIES = 20.0


class RetryBudget:
    """A token bucket of retries, which is filled by requests.

    :param share: retries that each request earns
    :param max_retries: the capacity, which is also the initial number
    """

    def __init__(
        self, share: float = 0.2, max_retries: float = _DEFAULT_MAX_RETRIES
    ) -> None:
        self._share = share
        self._max_retries = max_retries
        self._tokens = max_retries

    def record_request(self) -> None:
        """Count a request, which earns a share of a retry."""
        self._tokens = min(self._max_retries, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend a retry if one is left; return whether it may be sent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
