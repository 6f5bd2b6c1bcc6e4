"""The routes and accounts of one version of the configuration."""

import collections.abc
import random

import attrs

from honeyport.bundle import model
from honeyport import errors


@attrs.frozen
class Match:
    """The route and client account of a request.

    :ivar name: name of the route
    :ivar account: client account, or ``''`` on a public route
    :ivar priority: 0 is the highest
    :ivar regions: regions in which it may run; ``None`` for any
    """

    name: str
    route: model.Route
    account: str
    priority: int
    regions: frozenset[str] | None = None


class Table:
    """Routes and API keys of a configuration.

    :param bundle: the configuration in force
    """

    def __init__(self, bundle: model.Bundle) -> None:
        self._version = bundle.version
        self._routes = bundle.routes
        self._accounts = bundle.accounts
        self._services = bundle.services
        self._account_by_key = {
            key: name
            for name, account in bundle.accounts.items()
            for key in account.keys
        }
        self._routes_by_host: dict[str, list[tuple[str, model.Route]]] = {}
        for name, route in bundle.routes.items():
            self._routes_by_host.setdefault(route.host, []).append(
                (name, route)
            )
        for routes in self._routes_by_host.values():
            routes.sort(
                key=lambda named_route: len(named_route[1].prefix),
                reverse=True,
            )

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._version

    def find(self, host: str, path: str, api_key: str) -> Match:
        """Return the route with the longest matching path prefix.

        :raises errors.UnknownRoute: if no route matches
        :raises errors.UnknownKey: if no client account holds the API key
        """
        for name, route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return self._match(name, route, api_key)
        raise errors.UnknownRoute(f'no route for {host}{path}')

    def find_by_name(self, name: str, account_name: str) -> Match:
        """Return the route and client account of an admitted request.

        :param account_name: ``''`` on a public route
        :raises errors.UnknownRoute: if there is no such route
        :raises errors.UnknownAccount: if there is no such client account
        """
        route = self._routes.get(name)
        if route is None:
            raise errors.UnknownRoute(f'no route {name!r}')
        if self._is_open(route):
            return _match_public(name, route)
        if account_name not in self._accounts:
            raise errors.UnknownAccount(f'no client account {account_name!r}')
        return self._match_account(name, route, account_name)

    def _is_open(self, route: model.Route) -> bool:
        """Whether a route needs no API key."""
        return route.public or not self._accounts

    def _match(self, name: str, route: model.Route, api_key: str) -> Match:
        if self._is_open(route):
            return _match_public(name, route)
        account_name = self._account_by_key.get(api_key)
        if account_name is None:
            raise errors.UnknownKey('no client account holds this API key')
        return self._match_account(name, route, account_name)

    def _match_account(
        self, name: str, route: model.Route, account_name: str
    ) -> Match:
        account = self._accounts[account_name]
        account_priority = account.priority
        priority = (
            route.priority if account_priority is None else account_priority
        )
        regions = _intersect_regions(route.regions, account.regions)
        return Match(name, route, account_name, priority, regions)


def _match_public(name: str, route: model.Route) -> Match:
    regions = _intersect_regions(route.regions, ())
    return Match(name, route, '', route.priority, regions)


def _intersect_regions(
    route_regions: collections.abc.Collection[str],
    account_regions: collections.abc.Collection[str],
) -> frozenset[str] | None:
    """Return the regions that a route and an account both allow.

    An empty list allows any region; ``None`` is returned if both are empty.
    The result is empty if the lists have no region in common.
    """
    if not route_regions and not account_regions:
        return None
    if not route_regions or not account_regions:
        return frozenset(route_regions or account_regions)
    return frozenset(route_regions) & frozenset(account_regions)


def pick_service(route: model.Route) -> str:
    """Pick a service of a route at random, by weight."""
    if len(route.weights) == 1:
        return next(iter(route.weights))
    names = list(route.weights)
    return random.choices(names, list(route.weights.values()))[0]
