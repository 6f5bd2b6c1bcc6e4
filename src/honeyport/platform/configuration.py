"""Decoding of the operator's JSON configuration into a bundle."""

import collections.abc
import json
import sys
import typing

from honeyport.bundle import model
from honeyport import errors

# Lease duration as a fraction of the revocation time. A gateway without
# contact must serve for 0.6 of that time and stop before its end. It counts
# 0.9 of the lease, from the sending of its report.
_LEASE_FRACTION = 0.8
_SEMANTICS = {
    'streaming': model.STREAMING,
    'idempotent': model.IDEMPOTENT,
    'non_idempotent': model.NON_IDEMPOTENT,
}

Fields = collections.abc.Mapping[str, typing.Any]


def decode(document: bytes, revocation_s: float) -> model.Bundle:
    """Return the bundle that a JSON document describes.

    :param revocation_s: time until a revoked key is rejected everywhere, in
        seconds
    :raises errors.BundleInvalid: if the document is incomplete or invalid
    """
    try:
        value = json.loads(document)
    except (ValueError, UnicodeDecodeError) as error:
        raise errors.BundleInvalid(f'not JSON: {error}') from None
    root = _Object(value, 'configuration')
    services = {
        service.string('name'): _service(service)
        for service in root.object_list('services')
    }
    bundle = model.Bundle(
        version=root.integer('version', minimum=1),
        signers=model.Signers(keys={}),
        services=services,
        backends={},
        accounts=_accounts(root),
        routes=_routes(root, services),
        requests=_limits(root.child('limits')),
        timing=model.Timing(
            lease_ms=int(revocation_s * 1000 * _LEASE_FRACTION)
        ),
    )
    return bundle


class _Object:
    """A JSON object whose accessors check the types of its fields.

    :param path: its path in the document, for error messages
    :raises errors.BundleInvalid: from the constructor if it is no object,
        from an accessor if the field is missing or invalid
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

    def string(self, name: str) -> str:
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            self.fail(name, 'a non-empty string')
        return value

    def integer(self, name: str, default: int | None = None, minimum: int = 0):
        return int(self._finite_number(name, default, minimum))

    def number(self, name: str, default: float = 0.0) -> float:
        """Return a finite number of at least 0."""
        return float(self._finite_number(name, default, 0))

    def _finite_number(
        self, name: str, default: float | None, minimum: float
    ) -> int | float:
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.fail(name, 'a number')
        if not abs(value) <= sys.float_info.max:
            self.fail(name, 'a finite number')
        if value < minimum:
            self.fail(name, f'at least {minimum}')
        return value

    def boolean(self, name: str) -> bool:
        value = self._fields.get(name, False)
        if not isinstance(value, bool):
            self.fail(name, 'true or false')
        return value

    def string_list(self, name: str) -> tuple[str, ...]:
        value = self._fields.get(name, [])
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            self.fail(name, 'a list of strings')
        return tuple(value)

    def object_list(self, name: str) -> 'list[_Object]':
        value = self._fields.get(name, [])
        if not isinstance(value, list):
            self.fail(name, 'a list')
        return [
            _Object(item, f'{self._path}.{name}[{index}]')
            for index, item in enumerate(value)
        ]

    def child(self, name: str) -> '_Object':
        return _Object(self._fields.get(name, {}), f'{self._path}.{name}')


def _service(service: _Object) -> model.Service:
    return model.Service(
        kind=model.ENGINE if service.has('engine') else model.SERVICE,
        health_path=service.string('health_path'),
        max_connections=service.integer('max_connections', minimum=1),
        cold_s=service.number('cold_start_s'),
        cold_rate=service.number('cold_per_s'),
    )


def _routes(
    root: _Object, services: collections.abc.Container[str]
) -> dict[str, model.Route]:
    """Return the routes by host and path prefix.

    :raises errors.BundleInvalid: if two routes have the same host and prefix
    """
    routes: dict[str, model.Route] = {}
    for entry in root.object_list('routes'):
        route = _route(entry, services)
        location = f'{route.host}{route.prefix}'
        if location in routes:
            raise errors.BundleInvalid(
                f'{entry.path}: another route already has {location}'
            )
        routes[location] = route
    return routes


def _route(
    route: _Object, services: collections.abc.Container[str]
) -> model.Route:
    weights = _weights(route)
    for name in weights:
        if name not in services:
            raise errors.BundleInvalid(
                f'{route.path}: unknown service {name!r}'
            )
    kind = route.string('route_kind')
    return model.Route(
        host=route.string('host').lower(),
        prefix=route.string('path_prefix'),
        # Unknown kinds are not idempotent, so they are never retried.
        semantics=_SEMANTICS.get(kind, model.NON_IDEMPOTENT),
        weights=weights,
        timeout_ms=route.integer('timeout_ms', minimum=1),
        objective_ms=route.integer('target_latency_ms', 500),
        gap_ms=route.integer('gap_target_ms', 300),
        priority=route.integer('priority', 0),
        attempts=route.integer('max_attempts', 1, minimum=1),
        public=route.boolean('public'),
        # Requests of sticky routes name their cacheable prompt prefixes.
        prefix_cached=route.boolean('sticky'),
        resumable=route.boolean('resumable'),
        regions=route.string_list('allowed_regions'),
    )


def _weights(route: _Object) -> dict[str, int]:
    """Return the weights of a route's services by name."""
    if not route.has('traffic_split'):
        return {route.string('service'): 1}
    weights: dict[str, int] = {}
    for split in route.object_list('traffic_split'):
        name = split.string('service')
        weights[name] = weights.get(name, 0) + split.integer('weight')
    if not sum(weights.values()):
        route.fail('traffic_split', 'weights that add up to more than 0')
    return weights


def _accounts(root: _Object) -> dict[str, model.Account]:
    accounts: dict[str, model.Account] = {}
    account_by_key: dict[str, str] = {}
    for tenant in root.object_list('tenants'):
        name = tenant.string('name')
        keys = tenant.string_list('api_keys')
        for key in keys:
            if account_by_key.setdefault(key, name) != name:
                raise errors.BundleInvalid(
                    f'{tenant.path}: API key already assigned to '
                    f'{account_by_key[key]!r}'
                )
        priority = (
            tenant.integer('priority') if tenant.has('priority') else None
        )
        accounts[name] = model.Account(
            keys=keys,
            priority=priority,
            regions=tenant.string_list('allowed_regions'),
        )
    return accounts


def _limits(limits: _Object) -> model.RequestLimits:
    defaults = model.RequestLimits()
    return model.RequestLimits(
        header_bytes=limits.integer('max_header_bytes', defaults.header_bytes),
        body_bytes=limits.integer('max_body_bytes', defaults.body_bytes),
        header_ms=limits.integer('header_timeout_ms', defaults.header_ms),
        idle_ms=limits.integer('idle_timeout_ms', defaults.idle_ms),
    )
