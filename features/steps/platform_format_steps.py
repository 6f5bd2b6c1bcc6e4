"""Steps about decoding the platform's settings file and configuration."""

import json

import behave

from honeyport import errors
from honeyport.gateway import routes
from honeyport.platform import boot
from honeyport.platform import configuration
from honeyport.policy import cold

_SETTINGS = """\
node_name=edge-thu-duc-1
zone=thu-duc
ip=10.1.0.19
listen.frontend=10.1.0.19:8227
listen.ready=10.1.0.19:8220
listen.control_plane=10.1.0.19:8229
listen.directory=10.1.0.19:8224
internal_port_range=7340,7355
seeds=10.1.0.19:8229,10.2.0.36:8229
bootstrap=true
data_directory=/data/my-edge
bounds.revocation_ms=5000
cloud.address=10.200.0.61:8223
"""
_EXAMPLE = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'ficu95.example',
            'path_prefix': '/pufi791/',
            'route_kind': 'streaming',
            'timeout_ms': 4000,
            'target_latency_ms': 500,
            'priority': 0,
            'service': 'huvo11a',
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'gap_target_ms': 300,
        },
        {
            'name': 'r-2',
            'host': 'ficu95.example',
            'path_prefix': '/lohu930/',
            'route_kind': 'streaming',
            'timeout_ms': 6000,
            'target_latency_ms': 800,
            'priority': 1,
            'traffic_split': [{'service': 'huvo11a', 'weight': 90}],
            'max_attempts': 1,
            'public': False,
            'sticky': True,
            'resumable': False,
        },
    ],
    'services': [
        {
            'name': 'huvo11a',
            'health_path': '/health',
            'max_connections': 370,
            'engine': {'slots': 64},
        }
    ],
    'limits': {'max_header_bytes': 16384, 'idle_timeout_ms': 15000},
    'tenants': [
        {'name': 'hule930', 'api_keys': ['n2ct', 'anfq'], 'priority': 1},
        {'name': 'other', 'api_keys': ['zzzz']},
    ],
}


# -- settings ------------------------------------------------------------


@behave.given("the platform's settings file")
def step_settings(context):
    context.settings_text = _SETTINGS


@behave.given('its line "{line}"')
def step_line(context, line):
    context.settings_text += line + '\n'


@behave.when('the settings are read')
def step_read(context):
    path = context.folder / 'boot'
    path.write_text(context.settings_text)
    _store_result(context, lambda: boot.load(path))


@behave.when('the settings are read from a missing file')
def step_read_missing(context):
    _store_result(context, lambda: boot.load(context.folder / 'missing'))


@behave.then('the instance is named "{name}" in the failure domain "{zone}"')
def step_named(context, name, zone):
    assert (context.decoded.name, context.decoded.domain) == (name, zone)


@behave.then('the control addresses are "{first}" and "{second}"')
def step_control(context, first, second):
    assert context.decoded.control_addresses == (first, second)


@behave.then('a revoked key is rejected after {seconds:d} seconds')
def step_revocation(context, seconds):
    assert context.decoded.revocation_s == seconds


@behave.then('"{domain}" is a known failure domain')
def step_domain(context, domain):
    assert domain in context.decoded.regions


@behave.then('"{domain}" is in the region "{region}"')
def step_region(context, domain, region):
    assert context.decoded.regions[domain] == region, context.decoded.regions


@behave.then(
    'a cold instance with a cold rate of {per_s:g} a second tolerates '
    '{max_requests:g} requests'
)
def step_cold(context, per_s, max_requests):
    actual = cold.cold_limit(
        3.0,
        per_s,
        multiple=context.decoded.cold_multiple,
        extra=context.decoded.cold_extra,
    )
    assert abs(actual.max_requests - max_requests) < 1e-9, actual


@behave.then('they are refused with "{message}"')
@behave.then('it is refused with "{message}"')
def step_refused(context, message):
    assert context.error is not None, context.decoded
    assert message in context.error.detail, context.error.detail


# -- configuration -------------------------------------------------------


@behave.given('an example configuration')
def step_example(context):
    context.document = json.loads(json.dumps(_EXAMPLE))


@behave.given('its {field} is {value}')
def step_field(context, field, value):
    *path, last_key = [
        int(part) if part.isdigit() else part for part in field.split('.')
    ]
    parent = context.document
    for key in path:
        parent = parent[key]
    parent[last_key] = json.loads(value)


@behave.when('it is decoded')
def step_decode(context):
    encoded = json.dumps(context.document).encode()
    _store_result(context, lambda: configuration.decode(encoded, 5.0))


@behave.when('the first half of it is decoded')
def step_decode_half(context):
    encoded = json.dumps(context.document).encode()
    half = encoded[: len(encoded) // 2]
    _store_result(context, lambda: configuration.decode(half, 5.0))


@behave.then(
    '"{request}" with key "{key}" is routed to "{service}" for account '
    '"{account}"'
)
def step_routed(context, request, key, service, account):
    match = _find_route(context, request, key)
    assert list(match.route.weights) == [service], match
    assert match.account == account


@behave.then(
    'instances of "{service}" are cold for {cold_s:g} seconds with a cold '
    'rate of {per_s:g} a second'
)
def step_cold_service(context, service, cold_s, per_s):
    actual = context.decoded.services[service]
    assert (actual.cold_s, actual.cold_rate) == (cold_s, per_s), actual


@behave.then('"{request}" with key "{key}" may run only in {regions}')
def step_regions(context, request, key, regions):
    actual = _find_route(context, request, key)
    assert actual.regions == set(regions.split(', ')), actual.regions


@behave.then('"{request}" with key "{key}" may run in any region')
def step_anywhere(context, request, key):
    assert _find_route(context, request, key).regions is None


@behave.then('only the route "{place}" is resumable')
def step_resumable(context, place):
    actual = [
        name
        for name, route in context.decoded.routes.items()
        if route.resumable
    ]
    assert actual == [place], actual


@behave.then('requests on the route "{place}" are never retried')
def step_never(context, place):
    assert not context.decoded.routes[place].repeatable


def _find_route(context, request, key):
    """Return the route and account of a request with a key."""
    host, _, path = request.split(' ')[1].partition('/')
    return routes.Table(context.decoded).find(host, f'/{path}', key)


def _store_result(context, function):
    """Store the result of a function, or the error that it raises."""
    context.decoded = context.error = None
    try:
        context.decoded = function()
    except errors.HoneyportError as error:
        context.error = error
