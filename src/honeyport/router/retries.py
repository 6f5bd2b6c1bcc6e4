"""A budget for retries, so that a failing service is not buried."""

_LARGEST = 20.0


class Budget:
    """Retries are a share of the requests, with a few to begin with.

    :param share: retries for each request
    """

    def __init__(self, share: float = 0.2) -> None:
        self._share = share
        self._tokens = _LARGEST

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(_LARGEST, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry out; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
