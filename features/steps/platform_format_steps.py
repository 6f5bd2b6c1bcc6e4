"""Steps about the platform's settings file and configuration."""

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
    context.lines = _SETTINGS


@behave.given('its line "{line}"')
def step_line(context, line):
    context.lines += line + '\n'


@behave.when('the settings are read')
def step_read(context):
    path = context.folder / 'boot'
    path.write_text(context.lines)
    _keep(context, lambda: boot.load(path))


@behave.when('the settings are read from a file that is not there')
def step_read_missing(context):
    _keep(context, lambda: boot.load(context.folder / 'missing'))


@behave.then('the process is called "{name}" in "{zone}"')
def step_called(context, name, zone):
    assert (context.found.name, context.found.domain) == (name, zone)


@behave.then('control is sought at "{first}" and "{second}"')
def step_control(context, first, second):
    assert context.found.control_addresses == (first, second)


@behave.then('a revoked key is dead after {seconds:d} seconds')
def step_revocation(context, seconds):
    assert context.found.revocation_s == seconds


@behave.then('"{domain}" is known as a failure domain')
def step_domain(context, domain):
    assert domain in context.found.regions


@behave.then('"{domain}" is in the region "{region}"')
def step_region(context, domain, region):
    assert context.found.regions[domain] == region, context.found.regions


@behave.then(
    'a cold instance that is made for {per_s:g} a second tolerates {most:g}'
)
def step_cold(context, per_s, most):
    found = cold.tolerance(
        3.0,
        per_s,
        multiple=context.found.cold_multiple,
        extra=context.found.cold_extra,
    )
    assert abs(found.max_requests - most) < 1e-9, found


@behave.then('they are refused with "{message}"')
@behave.then('it is refused with "{message}"')
def step_refused(context, message):
    assert context.error is not None, context.found
    assert message in context.error.detail, context.error.detail


# -- configuration -------------------------------------------------------


@behave.given("the platform's example of a configuration")
def step_example(context):
    context.tree = json.loads(json.dumps(_EXAMPLE))


@behave.given('its {field} is {value}')
def step_field(context, field, value):
    *path, last = [
        int(part) if part.isdigit() else part for part in field.split('.')
    ]
    place = context.tree
    for part in path:
        place = place[part]
    place[last] = json.loads(value)


@behave.when('it is decoded')
def step_decode(context):
    document = json.dumps(context.tree).encode()
    _keep(context, lambda: configuration.decode(document, 5.0))


@behave.when('the first half of it is decoded')
def step_decode_half(context):
    document = json.dumps(context.tree).encode()
    half = document[: len(document) // 2]
    _keep(context, lambda: configuration.decode(half, 5.0))


@behave.then('"{call}" with key "{key}" goes to "{service}" for "{account}"')
def step_goes(context, call, key, service, account):
    match = _match(context, call, key)
    assert list(match.route.weights) == [service], match
    assert match.account == account


@behave.then(
    'instances of "{service}" are cold for {cold_s:g} seconds and made for '
    '{per_s:g} a second'
)
def step_cold_service(context, service, cold_s, per_s):
    found = context.found.services[service]
    assert (found.cold_s, found.cold_rate) == (cold_s, per_s), found


@behave.then('"{call}" with key "{key}" may run in {regions} alone')
def step_regions(context, call, key, regions):
    found = _match(context, call, key)
    assert found.regions == set(regions.split(', ')), found.regions


@behave.then('"{call}" with key "{key}" may run anywhere')
def step_anywhere(context, call, key):
    assert _match(context, call, key).regions is None


@behave.then('its streams may be resumed on "{place}" alone')
def step_resumable(context, place):
    found = [
        name for name, one in context.found.routes.items() if one.resumable
    ]
    assert found == [place], found


@behave.then('requests on "{place}" are never repeated')
def step_never(context, place):
    assert not context.found.routes[place].repeatable


def _match(context, call, key):
    """Return where a call with a key goes."""
    host, _, path = call.split(' ')[1].partition('/')
    return routes.Table(context.found).find(host, f'/{path}', key)


def _keep(context, make):
    """Keep what a function returns, or the error that it raises."""
    context.found = context.error = None
    try:
        context.found = make()
    except errors.HoneyportError as error:
        context.error = error
