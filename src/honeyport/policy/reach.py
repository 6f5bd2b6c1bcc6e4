"""Exclude instances for all gateways, from the reports of some gateways.

An instance is excluded if gateways of two failure domains report it, or of
all domains that have gateways. A failure domain without reporting gateways is
excluded as a whole if enough of its instances are unreachable.

The exclusion of an unreachable instance or a failure domain expires, so that
requests can detect its return; if it is reported again soon, the next one
lasts twice as long, up to a maximum. An instance in backoff is excluded only
as long as enough gateways report it.
"""

import collections
import collections.abc

import attrs

_AGREEING_DOMAINS_NEEDED = 2
# Duration of the first and of the longest exclusion. The first is longer than
# a failure is reported, so that only new failures extend it; the longest is
# what an instance that is back waits at most for its first request.
_FIRST_EXCLUSION_S = 2.0
_MAX_EXCLUSION_S = 8.0
# If an instance is reported again within this time after an exclusion, the
# duration doubles.
_SAME_OUTAGE_S = 5.0
# Unreachable instances from which on a domain with silent gateways is lost.
# Two crashes while all gateways of the domain are killed are less likely.
_LOSS_MIN_INSTANCES = 2
# The same for a domain without known gateways: minimum number, and minimum
# share of its instances.
_LOSS_MIN_INSTANCES_NO_GATEWAY = 5
_LOSS_MIN_SHARE_NO_GATEWAY = 0.03

NameSet = collections.abc.Set[str]


@attrs.frozen
class GatewayReport:
    """The instances that one gateway reports.

    :ivar domain: the failure domain of the gateway
    :ivar down: the instances that it recently failed to connect to
    :ivar resting: the instances that requested a backoff from it
    """

    domain: str
    down: NameSet
    resting: NameSet = frozenset()


@attrs.define
class _Exclusion:
    until: float
    duration_s: float


class _ExclusionSet:
    """Names that are excluded for a time that doubles with each repetition."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Exclusion] = {}

    def active(self, now: float) -> set[str]:
        """Return the names that are excluded now."""
        expired = [
            name
            for name, exclusion in self._by_name.items()
            if exclusion.until < now - _SAME_OUTAGE_S
        ]
        for name in expired:
            del self._by_name[name]
        return {
            name
            for name, exclusion in self._by_name.items()
            if exclusion.until > now
        }

    def add(self, name: str, now: float) -> None:
        """Exclude a name, unless it is excluded already."""
        exclusion = self._by_name.get(name)
        if exclusion is None:
            duration_s = _FIRST_EXCLUSION_S
        elif exclusion.until > now:
            return
        else:
            duration_s = min(2 * exclusion.duration_s, _MAX_EXCLUSION_S)
        self._by_name[name] = _Exclusion(now + duration_s, duration_s)


class ExclusionTracker:
    """The instances and failure domains that are excluded at present."""

    def __init__(self) -> None:
        self._instances = _ExclusionSet()
        self._domains = _ExclusionSet()

    def update(
        self,
        reports: collections.abc.Iterable[GatewayReport],
        domain_by_instance: collections.abc.Mapping[str, str],
        silent_domains: NameSet,
        now: float,
    ) -> frozenset[str]:
        """Return the instances to which no gateway is to send requests.

        :param reports: of all gateways that currently report
        :param domain_by_instance: the failure domain of each instance
        :param silent_domains: the failure domains that had gateways, none of
            which currently reports
        :param now: as loop time, in seconds
        """
        reports = list(reports)
        reporting_domains = {report.domain for report in reports}
        for instance in _agreed(reports, lambda report: report.down):
            self._instances.add(instance, now)
        unreachable = self._instances.active(now)
        resting = _agreed(reports, lambda report: report.resting)
        for domain in _lost_domains(
            unreachable, domain_by_instance, silent_domains, reporting_domains
        ):
            self._domains.add(domain, now)
        lost_domains = self._domains.active(now) - reporting_domains
        if not lost_domains:
            return frozenset(unreachable | resting)
        in_lost_domains = {
            name
            for name, domain in domain_by_instance.items()
            if domain in lost_domains
        }
        return frozenset(unreachable | resting | in_lost_domains)


def _agreed(
    reports: collections.abc.Iterable[GatewayReport],
    instances_of: collections.abc.Callable[[GatewayReport], NameSet],
) -> set[str]:
    """Return the instances that gateways of enough domains report.

    :param instances_of: returns the instances of one report that count
    """
    reporting_domains = set()
    by_instance: dict[str, set[str]] = {}
    for report in reports:
        reporting_domains.add(report.domain)
        for instance in instances_of(report):
            by_instance.setdefault(instance, set()).add(report.domain)
    needed = min(_AGREEING_DOMAINS_NEEDED, len(reporting_domains))
    return {
        instance
        for instance, agreeing in by_instance.items()
        if len(agreeing) >= needed
    }


def _lost_domains(
    unreachable: set[str],
    domain_by_instance: collections.abc.Mapping[str, str],
    silent_domains: NameSet,
    reporting_domains: NameSet,
) -> set[str]:
    """Return the failure domains that are lost as a whole."""
    unreachable_counts = collections.Counter(
        domain_by_instance[instance]
        for instance in unreachable & domain_by_instance.keys()
    )
    if not unreachable_counts.keys() - reporting_domains:
        return set()
    domain_sizes = collections.Counter(domain_by_instance.values())
    return {
        domain
        for domain, count in unreachable_counts.items()
        if domain not in reporting_domains
        and count
        >= _min_unreachable(
            domain_sizes[domain], no_known_gateway=domain not in silent_domains
        )
    }


def _min_unreachable(size: int, *, no_known_gateway: bool) -> float:
    """Return how many unreachable instances show the loss of a domain.

    :param size: the number of its instances
    """
    if not no_known_gateway:
        return _LOSS_MIN_INSTANCES
    return max(
        _LOSS_MIN_INSTANCES_NO_GATEWAY, _LOSS_MIN_SHARE_NO_GATEWAY * size
    )
