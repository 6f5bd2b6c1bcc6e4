"""How many offers beyond the first all gateways together may make.

Each gateway keeps its own part of the allowance and asks nobody: of the fixed
part its share by the number of gateways, of the part that grows with the
requests what its own requests earn. So the sum holds in a partition, too,
where each side sees fewer gateways only after those beyond are gone.

The load this answers: an instance crashes and all that ran there breaks at
one moment. Of 52 streams that broke so at 10 gateways, 33 were not offered
again while each gateway could save up two offers and no more; so what counts
is all that was requested within the operators' window, not a trickle.
"""

import collections
import collections.abc

import attrs

# Parts of the allowance that are used. A gateway that starts anew has
# forgotten what it repeated, and may do so twice within a window: that is
# three times the fixed part, and at the worst twice what the requests of one
# window earn.
_RATIO_SHARE = 0.5
_EXTRA_SHARE = 1 / 3
# While a gateway does not know how many there are.
_MANY_GATEWAYS = 64
# Steps of a window; what is counted is exact to one of them.
_STEPS = 20


@attrs.frozen(kw_only=True)
class Allowance:
    """What a service takes beyond the first offer of each request.

    :ivar ratio: of the requests
    :ivar extra: on top, within the window that the operators count in
    :ivar window_s: the length of that window, in seconds
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0


class _Window:
    """Counts what happened in the last seconds.

    :param length_s: of the window
    :param kept: steps that are counted, the present one included
    """

    def __init__(self, length_s: float, kept: int) -> None:
        self._step_s = length_s / _STEPS
        self._kept = kept
        self._steps: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one."""
        step = int(now / self._step_s)
        count = 0
        if self._steps and self._steps[-1][0] == step:
            count = self._steps.pop()[1]
        self._steps.append((step, count + 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return how many there were."""
        oldest = int(now / self._step_s) - self._kept + 1
        while self._steps and self._steps[0][0] < oldest:
            self._total -= self._steps.popleft()[1]
        return self._total


class _Ledger:
    """Requests and repeated offers of one service.

    Of the requests at most a window counts, of the repeated offers a step
    more than that: so the counts err to one side.
    """

    def __init__(self, window_s: float) -> None:
        self.requests = _Window(window_s, _STEPS)
        self.repeats = _Window(window_s, _STEPS + 1)


class RetryBudgets:
    """This gateway's part of the allowance, for each service.

    :param gateways: returns how many gateways take requests; 0 if unknown
    """

    def __init__(
        self,
        allowance: Allowance,
        gateways: collections.abc.Callable[[], int],
    ) -> None:
        self._allowance = allowance
        self._gateways = gateways
        self._ledgers: dict[str, _Ledger] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""
        ledger = self._of(service)
        ledger.requests.total(now)  # drops what is too old to count
        ledger.requests.add(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one more offer out; return whether there was one."""
        ledger = self._of(service)
        gateways = self._gateways() or _MANY_GATEWAYS
        earned = self._allowance.ratio * _RATIO_SHARE
        most = earned * ledger.requests.total(now)
        most += self._allowance.extra * _EXTRA_SHARE / gateways
        if ledger.repeats.total(now) + 1 > most:
            return False
        ledger.repeats.add(now)
        return True

    def _of(self, service: str) -> _Ledger:
        ledger = self._ledgers.get(service)
        if ledger is None:
            ledger = _Ledger(self._allowance.window_s)
            self._ledgers[service] = ledger
        return ledger
