"""Steps about the connectivity of a gateway to a service."""

import behave

from honeyport.policy import connectivity

_SERVICE = 'app'
_CUT_AT = 100.0  # loop time in seconds


@behave.given('a service with {count:d} instances')
def step_service(context, count):
    context.connectivity = connectivity.Connectivity()
    context.names = [f'i-{number}' for number in range(count)]


@behave.when('connections to {count:d} of them fail, one after the other')
def step_fail(context, count):
    _fail(context, count, refused=False)


@behave.when(
    'connections to {count:d} of them are refused, one after the other'
)
def step_refused(context, count):
    _fail(context, count, refused=True)


@behave.when('a connection succeeds')
def step_connected(context):
    context.connected = context.connectivity.record_connected(
        _SERVICE, context.names[-1], _CUT_AT
    )


@behave.when('another instance is listed')
def step_listed(context):
    context.names.append('new')


@behave.then('{count:d} instances are known to have failed')
def step_known_failed(context, count):
    failed = context.connected.failed
    assert failed == set(context.names[:count]), failed


@behave.then('the gateway is cut off')
def step_cut_off(context):
    assert context.connectivity.is_cut_off(_SERVICE)
    assert context.connectivity.cut_off == [_SERVICE]
    assert context.connectivity.direct_share(_SERVICE, _CUT_AT) == 0.0


@behave.then('the gateway is not cut off')
def step_not_cut_off(context):
    assert not context.connectivity.is_cut_off(_SERVICE)
    assert context.connectivity.cut_off == []
    assert context.connectivity.direct_share(_SERVICE, _CUT_AT) == 1.0


@behave.then('only the new instance is untested')
def step_untested(context):
    untested = context.connectivity.untested(_SERVICE, context.names)
    assert untested == ['new'], untested


@behave.then(
    '{seconds:g} seconds later half of the requests are sent directly'
)
def step_half(context, seconds):
    _check_share(context, seconds, 0.5)


@behave.then('{seconds:g} seconds later all requests are sent directly')
def step_all(context, seconds):
    _check_share(context, seconds, 1.0)


@behave.then('open connections are used always')
def step_trusted(context):
    since = context.connectivity.trusted_since(_SERVICE)
    assert since == float('-inf'), since


@behave.then('open connections are used if they were in use after the cut')
def step_trusted_later(context):
    since = context.connectivity.trusted_since(_SERVICE)
    assert since == _CUT_AT, since


def _fail(context, count, *, refused):
    for name in context.names[:count]:
        context.connectivity.record_failed(
            _SERVICE, name, _CUT_AT, refused=refused
        )
        context.connectivity.try_declare_cut_off(_SERVICE, context.names)


def _check_share(context, seconds, expected):
    share = context.connectivity.direct_share(_SERVICE, _CUT_AT + seconds)
    assert share == expected, share
