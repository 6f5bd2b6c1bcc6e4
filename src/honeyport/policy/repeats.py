"""Limit the retries of all gateways together without coordination.

A retry is an attempt of a request at a further instance after the first one.
Each gateway enforces a budget of its own: an equal share of the fleet's fixed
allowance, plus a ratio of its own requests.
"""

import collections
import collections.abc

import attrs

# Shares of the allowance's ratio and of its extra retries that the budgets of
# all gateways add up to. A restarted gateway has forgotten its retries and may
# make them twice within a window: that is three times the extra ones, and at
# most twice what the requests of a window earn.
_RATIO_SHARE = 0.5
_EXTRA_SHARE = 1 / 3
# Assumed number of gateways while it is unknown.
_ASSUMED_GATEWAYS = 64
# Steps of a sliding window; its counts are accurate to one step.
_STEPS_PER_WINDOW = 20


@attrs.frozen(kw_only=True)
class Allowance:
    """The retries that a service allows to all gateways together.

    :ivar ratio: retries for each request
    :ivar extra: further retries within a window
    :ivar window_s: the length of the window, in seconds
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0


class _Window:
    """A sliding-window counter.

    :param length_s: the length of the window, in seconds
    :param counted_steps: steps that count, including the current one
    """

    def __init__(self, length_s: float, counted_steps: int) -> None:
        self._step_s = length_s / _STEPS_PER_WINDOW
        self._counted_steps = counted_steps
        self._steps: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        step = int(now / self._step_s)
        count = 0
        if self._steps and self._steps[-1][0] == step:
            count = self._steps.pop()[1]
        self._steps.append((step, count + 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return the number of events within the window."""
        oldest_step = int(now / self._step_s) - self._counted_steps + 1
        while self._steps and self._steps[0][0] < oldest_step:
            self._total -= self._steps.popleft()[1]
        return self._total


class _ServiceCounts:
    """The requests and retries of one service within the window.

    Retries count for one step longer than requests, so that rounding never
    allows too many retries.
    """

    def __init__(self, window_s: float) -> None:
        self.requests = _Window(window_s, _STEPS_PER_WINDOW)
        self.retries = _Window(window_s, _STEPS_PER_WINDOW + 1)


class RetryBudgets:
    """This gateway's retry budget, for each service.

    :param gateways: returns the number of serving gateways; 0 if unknown
    """

    def __init__(
        self,
        allowance: Allowance,
        gateways: collections.abc.Callable[[], int],
    ) -> None:
        self._allowance = allowance
        self._gateways = gateways
        self._by_service: dict[str, _ServiceCounts] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request.

        :param now: as loop time, in seconds
        """
        counts = self._counts(service)
        counts.requests.total(now)  # drops expired steps
        counts.requests.add(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Count a retry if it is within the budget; return whether it is.

        :param now: as loop time, in seconds
        """
        if not self.remaining(service, now):
            return False
        self._counts(service).retries.add(now)
        return True

    def remaining(self, service: str, now: float) -> int:
        """Return how many retries the budget allows now.

        :param now: as loop time, in seconds
        """
        counts = self._counts(service)
        gateways = self._gateways() or _ASSUMED_GATEWAYS
        ratio = self._allowance.ratio * _RATIO_SHARE
        max_retries = ratio * counts.requests.total(now)
        max_retries += self._allowance.extra * _EXTRA_SHARE / gateways
        return max(0, int(max_retries - counts.retries.total(now)))

    def _counts(self, service: str) -> _ServiceCounts:
        counts = self._by_service.get(service)
        if counts is None:
            counts = _ServiceCounts(self._allowance.window_s)
            self._by_service[service] = counts
        return counts
