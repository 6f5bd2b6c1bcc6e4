"""The routes and accounts of one version of the configuration."""

import collections.abc
import random

import attrs

from honeyport.bundle import model
from honeyport import errors


@attrs.frozen
class Match:
    """Where a request goes, and on whose account.

    :ivar account: its client account, or ``''`` on a public route
    :ivar priority: its rank, 0 first
    :ivar regions: the only ones in which it may run; ``None`` for any
    """

    name: str
    route: model.Route
    account: str
    priority: int
    regions: frozenset[str] | None = None


class Table:
    """Finds the route of a request.

    :param bundle: the configuration in force here
    """

    def __init__(self, bundle: model.Bundle) -> None:
        self._version = bundle.version
        self._accounts = bundle.accounts
        self._services = bundle.services
        self._holders = {
            key: name
            for name, account in bundle.accounts.items()
            for key in account.keys
        }
        self._hosts: dict[str, list[tuple[str, model.Route]]] = {}
        for name, route in bundle.routes.items():
            self._hosts.setdefault(route.host, []).append((name, route))
        for routes in self._hosts.values():
            routes.sort(key=lambda pair: len(pair[1].prefix), reverse=True)

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self._version

    def find(self, host: str, path: str, api_key: str) -> Match:
        """Return the route with the longest prefix of a path.

        :raises errors.UnknownRoute: if there is none
        :raises errors.UnknownKey: if it needs a key that nobody holds
        """
        for name, route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return self._match(name, route, api_key)
        raise errors.UnknownRoute(f'no route for {host}{path}')

    def _match(self, name: str, route: model.Route, api_key: str) -> Match:
        if route.public or not self._accounts:
            regions = _common(route.regions, ())
            return Match(name, route, '', route.priority, regions)
        holder = self._holders.get(api_key)
        if holder is None:
            raise errors.UnknownKey('no client account holds this API key')
        account = self._accounts[holder]
        rank = account.priority
        priority = route.priority if rank is None else rank
        regions = _common(route.regions, account.regions)
        return Match(name, route, holder, priority, regions)


def _common(
    one: collections.abc.Collection[str],
    other: collections.abc.Collection[str],
) -> frozenset[str] | None:
    """Return the regions that two lists allow; an empty one allows any.

    Where both name some, both bind, also if they have none in common.
    """
    if not one and not other:
        return None
    if not one or not other:
        return frozenset(one or other)
    return frozenset(one) & frozenset(other)


def pick_service(route: model.Route) -> str:
    """Return one of a route's services by its weight."""
    if len(route.weights) == 1:
        return next(iter(route.weights))
    names = list(route.weights)
    return random.choices(names, list(route.weights.values()))[0]
