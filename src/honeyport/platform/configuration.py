"""The operator's configuration as a bundle of the product."""

import collections.abc
import json
import sys
import typing

from honeyport.bundle import model
from honeyport import errors

# A lease has to outlive this share of the time in which a revoked key
# dies, and to end before all of it: callers are owed service for 0.6 of
# it without contact. A router counts 0.9 of the lease, from the sending.
_LEASE_SHARE = 0.8
_SEMANTICS = {
    'streaming': model.STREAMING,
    'idempotent': model.IDEMPOTENT,
    'non_idempotent': model.NON_IDEMPOTENT,
}

Fields = collections.abc.Mapping[str, typing.Any]


def decode(document: bytes, revocation_s: float) -> model.Bundle:
    """Return the bundle that a document describes.

    :param revocation_s: after this long a revoked key is dead everywhere
    :raises errors.BundleInvalid: if it cannot be read in full, or breaks a
        rule
    """
    try:
        tree = json.loads(document)
    except (ValueError, UnicodeDecodeError) as error:
        raise errors.BundleInvalid(f'not JSON: {error}') from None
    top = _Object(tree, 'configuration')
    services = {
        one.text('name'): _service(one) for one in top.objects('services')
    }
    bundle = model.Bundle(
        version=top.whole('version', least=1),
        signers=model.Signers(keys={}),
        services=services,
        backends={},
        accounts=_accounts(top),
        routes=_routes(top, services),
        requests=_limits(top.child('limits')),
        timing=model.Timing(lease_ms=int(revocation_s * 1000 * _LEASE_SHARE)),
    )
    return bundle


class _Object:
    """A JSON object whose fields are checked as they are taken.

    :param path: where it stands, for messages
    """

    def __init__(self, value: typing.Any, path: str) -> None:
        if not isinstance(value, dict):
            raise errors.BundleInvalid(f'{path}: expected an object')
        self._fields: Fields = value
        self._path = path

    @property
    def path(self) -> str:
        return self._path

    def fail(self, name: str, expected: str) -> typing.NoReturn:
        raise errors.BundleInvalid(f'{self._path}.{name}: expected {expected}')

    def has(self, name: str) -> bool:
        return self._fields.get(name) is not None

    def text(self, name: str) -> str:
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            self.fail(name, 'text')
        return value

    def whole(self, name: str, default: int | None = None, least: int = 0):
        return int(self._finite(name, default, least))

    def number(self, name: str, default: float = 0.0) -> float:
        """Return a number that is not negative."""
        return float(self._finite(name, default, 0))

    def _finite(
        self, name: str, default: float | None, least: float
    ) -> int | float:
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.fail(name, 'a number')
        if not abs(value) <= sys.float_info.max:
            self.fail(name, 'a finite number')
        if value < least:
            self.fail(name, f'at least {least}')
        return value

    def flag(self, name: str) -> bool:
        value = self._fields.get(name, False)
        if not isinstance(value, bool):
            self.fail(name, 'true or false')
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        value = self._fields.get(name, [])
        if not isinstance(value, list) or not all(
            isinstance(one, str) for one in value
        ):
            self.fail(name, 'a list of texts')
        return tuple(value)

    def objects(self, name: str) -> 'list[_Object]':
        value = self._fields.get(name, [])
        if not isinstance(value, list):
            self.fail(name, 'a list')
        return [
            _Object(one, f'{self._path}.{name}[{number}]')
            for number, one in enumerate(value)
        ]

    def child(self, name: str) -> '_Object':
        return _Object(self._fields.get(name, {}), f'{self._path}.{name}')


def _service(one: _Object) -> model.Service:
    return model.Service(
        kind=model.ENGINE if one.has('engine') else model.SERVICE,
        health_path=one.text('health_path'),
        max_connections=one.whole('max_connections', least=1),
        cold_s=one.number('cold_start_s'),
        cold_rate=one.number('cold_per_s'),
    )


def _routes(
    top: _Object, services: collections.abc.Container[str]
) -> dict[str, model.Route]:
    """Return the routes by host and prefix, which no two may share."""
    routes: dict[str, model.Route] = {}
    for one in top.objects('routes'):
        route = _route(one, services)
        place = f'{route.host}{route.prefix}'
        if place in routes:
            raise errors.BundleInvalid(
                f'{one.path}: another route has {place}'
            )
        routes[place] = route
    return routes


def _route(
    one: _Object, services: collections.abc.Container[str]
) -> model.Route:
    weights = _weights(one)
    for name in weights:
        if name not in services:
            raise errors.BundleInvalid(f'{one.path}: no service {name!r}')
    kind = one.text('route_kind')
    return model.Route(
        host=one.text('host').lower(),
        prefix=one.text('path_prefix'),
        # What is not known must not be repeated.
        semantics=_SEMANTICS.get(kind, model.NON_IDEMPOTENT),
        weights=weights,
        timeout_ms=one.whole('timeout_ms', least=1),
        objective_ms=one.whole('target_latency_ms', 500),
        gap_ms=one.whole('gap_target_ms', 300),
        priority=one.whole('priority', 0),
        attempts=one.whole('max_attempts', 1, least=1),
        public=one.flag('public'),
        # Requests say which parts of their prompts they share.
        prefix_cached=one.flag('sticky'),
        resumable=one.flag('resumable'),
        regions=one.texts('allowed_regions'),
    )


def _weights(one: _Object) -> dict[str, int]:
    """Return the shares of a route's services."""
    if not one.has('traffic_split'):
        return {one.text('service'): 1}
    weights: dict[str, int] = {}
    for part in one.objects('traffic_split'):
        name = part.text('service')
        weights[name] = weights.get(name, 0) + part.whole('weight')
    if not sum(weights.values()):
        one.fail('traffic_split', 'weights that add up to more than 0')
    return weights


def _accounts(top: _Object) -> dict[str, model.Account]:
    accounts: dict[str, model.Account] = {}
    holders: dict[str, str] = {}
    for one in top.objects('tenants'):
        name = one.text('name')
        keys = one.texts('api_keys')
        for key in keys:
            if holders.setdefault(key, name) != name:
                raise errors.BundleInvalid(
                    f'{one.path}: {holders[key]!r} holds one of its keys'
                )
        priority = one.whole('priority') if one.has('priority') else None
        accounts[name] = model.Account(
            keys=keys,
            priority=priority,
            regions=one.texts('allowed_regions'),
        )
    return accounts


def _limits(one: _Object) -> model.RequestLimits:
    usual = model.RequestLimits()
    return model.RequestLimits(
        header_bytes=one.whole('max_header_bytes', usual.header_bytes),
        body_bytes=one.whole('max_body_bytes', usual.body_bytes),
        header_ms=one.whole('header_timeout_ms', usual.header_ms),
        idle_ms=one.whole('idle_timeout_ms', usual.idle_ms),
    )
