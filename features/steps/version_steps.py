"""Steps about the messages that update routers to a new version."""

import zlib

import behave

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.control import machine
from honeyport.control import versions
from honeyport import errors
from honeyport.router import fleetstate
from honeyport.wire import honeyport_pb2 as pb

_SERVICES = {'app': model.Service(kind=model.SERVICE)}


def make_accepted(version, routes):
    """Return an accepted version with some routes, as on the leader."""
    bundle = model.Bundle(
        version=version,
        signers=model.Signers(keys={}),
        services=_SERVICES,
        backends={},
        routes={
            f'host/{number}/': model.Route(
                host='host',
                prefix=f'/{number}/',
                weights={'app': 1},
                timeout_ms=1000,
            )
            for number in range(routes)
        },
    )
    contents = bundle_entries.EntrySet(bundle_entries.to_entries(bundle))
    return machine.Accepted(version, contents.digest(version), contents)


def make_router_state(context, version):
    """Return the state of a router that has a version."""
    state = fleetstate.FleetState()
    accepted_version = make_accepted(version, 1)
    state.apply_config(versions.BundleVersions().message(0, accepted_version))
    assert state.version == version
    return state


@behave.given(
    'the versions {old:d} and {new:d}, which differ by {count:d} routes'
)
def step_versions(context, old, new, count):
    context.count = count
    context.newest = make_accepted(new, count + 1)
    context.versions = versions.BundleVersions()
    context.versions.add(make_accepted(old, 1))
    context.versions.add(context.newest)


@behave.then('two routers at version {version:d} get the same message')
def step_same(context, version):
    context.message = context.versions.message(version, context.newest)
    second_message = context.versions.message(version, context.newest)
    assert context.message is second_message


@behave.then('it is smaller than a tenth of the routes')
def step_small(context):
    total_bytes = sum(map(len, context.newest.entries.values()))
    assert context.message.ByteSize() < total_bytes / 10, (
        context.message.ByteSize()
    )


@behave.then(
    'a router at version {old:d} that applies it has all routes of version '
    '{new:d}'
)
def step_takes(context, old, new):
    state = make_router_state(context, old)
    assert state.apply_config(context.message)
    assert state.version == new
    assert len(state.bundle.routes) == context.count + 1


@behave.then('a router at version {version:d} gets the whole configuration')
def step_whole(context, version):
    message = context.versions.message(version, context.newest)
    assert message.snapshot and not message.delta


@behave.then(
    'a router at version {version:d} that gets the message for version '
    '{old:d} fails with "{code}"'
)
def step_unfit(context, version, old, code):
    context.state = make_router_state(context, version)
    try:
        context.state.apply_config(
            context.versions.message(old, context.newest)
        )
    except errors.HoneyportError as error:
        assert error.code == code, error.code
        return
    raise AssertionError('the message was applied')


@behave.then('its version is still {version:d}')
def step_still_version(context, version):
    assert context.state.version == version


@behave.given(
    'a control group that has a whole configuration of {count:d} routes'
)
def step_whole_configuration(context, count):
    context.machine = machine.Machine()
    apply_replacement(context.machine, 1, count)
    context.before = context.machine.accepted
    context.count = count


@behave.when('an operator sends the same configuration with one more route')
def step_one_more(context):
    apply_replacement(context.machine, 2, context.count + 1)


@behave.then('the two versions share the entries of all {count:d} routes')
def step_share(context, count):
    after = context.machine.accepted
    shared = [
        key
        for key, value in context.before.entries.items()
        if key.startswith('routes/') and after.entries[key] is value
    ]
    assert len(shared) == count, len(shared)
    expected = make_accepted(2, count + 1)
    assert after.digest == expected.digest


def apply_replacement(group, version, routes):
    """Apply a log entry with a whole configuration."""
    text = bundle_entries.canonical(make_accepted(version, routes).entries)
    command = pb.ReplaceBundle(
        version=version, entries=zlib.compress(text.encode())
    )
    group.apply(pb.Entry(index=version, term=1, replace=command))
