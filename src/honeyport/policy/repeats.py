"""How many offers beyond the first all gateways together may make.

Each gateway keeps its own part of the allowance and asks nobody: of the fixed
part its share by the number of gateways, of the part that grows with the
requests what its own requests earn. So the sum holds in a partition, too,
where each side sees fewer gateways only after those beyond are gone.
"""

import collections.abc

import attrs

from honeyport.policy import retries

# Parts of the allowance that are used. The rest of the fixed part is for
# gateways that start anew and begin with a full budget: twice in a window.
_RATIO_SHARE = 0.75
_EXTRA_SHARE = 0.4
# While a gateway does not know how many there are.
_MANY_GATEWAYS = 64


@attrs.frozen(kw_only=True)
class Allowance:
    """What a service takes beyond the first offer of each request.

    :ivar ratio: of the requests
    :ivar extra: on top, within the window that the operators count in
    """

    ratio: float = 0.2
    extra: float = 50.0


class Budgets:
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
        self._budgets: dict[str, retries.Budget] = {}

    def earn(self, service: str) -> None:
        """Count a request."""
        self._of(service).earn()

    def spend(self, service: str) -> bool:
        """Take one more offer out; return whether there was one."""
        return self._of(service).spend()

    def _of(self, service: str) -> retries.Budget:
        gateways = self._gateways() or _MANY_GATEWAYS
        most = self._allowance.extra * _EXTRA_SHARE / gateways
        budget = self._budgets.get(service)
        if budget is None:
            share = self._allowance.ratio * _RATIO_SHARE
            budget = retries.Budget(share, most)
            self._budgets[service] = budget
        budget.limit(most)
        return budget
