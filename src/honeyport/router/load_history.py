"""A router's own loads in its recent reports."""

import collections

Loads = dict[str, int]


class LoadHistory:
    """The loads of the latest reports, by the time of the report."""

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, Loads]] = (
            collections.deque()
        )

    def record(self, loads: Loads, now: float, kept_s: float) -> None:
        """Add a report's loads; drop the reports that are too old.

        :param loads: the number of requests, by service
        :param now: loop time, in seconds
        :param kept_s: how long reports are kept, in seconds
        """
        self._reports.append((now, loads))
        while self._reports[0][0] < now - kept_s:
            self._reports.popleft()

    def since(self, service: str, start: float) -> list[int]:
        """Return a service's loads in the reports since a time.

        The last report before that time is included, since it was still the
        latest one then.

        :param start: loop time, in seconds
        """
        loads: list[int] = []
        for reported_at, by_service in reversed(self._reports):
            loads.append(by_service.get(service, 0))
            if reported_at <= start:
                break
        return loads
