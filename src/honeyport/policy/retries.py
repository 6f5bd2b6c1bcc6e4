"""A budget for retries, so that a failing service is not buried."""

_LARGEST = 20.0  # without a limit from outside: a failure of a few seconds


class RetryBudget:
    """Retries are a share of the requests, with a few to begin with.

    :param share: retries for each request
    :param most: how many may be saved up; it begins with so many
    """

    def __init__(self, share: float = 0.2, most: float = _LARGEST) -> None:
        self._share = share
        self._most = most
        self._tokens = most

    def record_request(self) -> None:
        """Count a request."""
        self._tokens = min(self._most, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one retry out; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
