"""Steps about answers that end inside their head."""

import asyncio

import attrs
import behave

from features.steps import detour_steps
from features.steps import gateway_steps
from features.support import caller
from features.support import cut_heads
from features.support import instances

_REQUEST_ID = 'q-1'
# More than the retries of a scenario.
_BUDGET = 1e6
_TIMEOUT_S = 4.0
# Until a gateway sees that an idle connection was closed.
_CLOSED_S = 0.02
_FAILED_STATUS = 502
_ROUTES = (
    'non_idempotent',
    'idempotent',
    'streaming',
    'streaming resumable',
)
# Routes whose requests may be sent again.
_REPEATED = ('idempotent', 'streaming resumable')
_RESUMABLE = ('streaming resumable',)
_EVENTS = b''.join(
    f'id: {number}\ndata: token {number} of v1\n\n'.encode()
    for number in range(1, instances.EVENTS + 1)
)


@attrs.define
class Case:
    """A request, and what became of it.

    :ivar steps: of the instances, in order
    """

    route: str
    name: str
    position: int
    end: str
    steps: list[str]
    response: caller.Response | None = None
    arrivals: list[instances.Arrival] = attrs.field(factory=list)

    @property
    def kind(self):
        """The kind of the head that was cut."""
        return cut_heads.KINDS[self.name]

    @property
    def is_answered(self):
        """Whether the cut head is a whole answer."""
        return self.kind.is_answer(_REQUEST_ID, self.position, self.end)

    @property
    def is_begun(self):
        """Whether the cut head began a stream."""
        size = len(self.kind.head(_REQUEST_ID))
        return self.kind.is_stream and self.position == size


@behave.given('a gateway for all kinds of requests')
def step_gateway(context):
    _start(context, gateway_steps.GatewayFixture(['answer'], _BUDGET))


@behave.given(
    'a gateway for all kinds of requests that reaches no instance, and '
    'another one that does'
)
def step_gateways(context):
    _start(context, detour_steps.CutOffFixture(['answer'], extra=_BUDGET))


@behave.given('a gateway for non_idempotent requests and one instance')
def step_one_instance(context):
    _start(context, gateway_steps.GatewayFixture(['answer'], _BUDGET, count=1))


def _start(context, fixture):
    context.fixture = fixture
    context.run(fixture.start(_ROUTES[0]))
    context.to_stop.append(fixture.stop)


@behave.when('instances cut an answer {name} at each byte of its head')
def step_cut(context, name):
    def steps(route, cut):
        is_stream = cut_heads.KINDS[name].is_stream
        if is_stream or route.startswith('streaming'):
            return [cut, 'stream']
        return [cut, 'answer']

    context.run(_send_all(context, _routes(name), name, steps))


@behave.when('all instances cut an answer {name} at each byte of its head')
def step_all_cut(context, name):
    context.run(_send_all(context, _REPEATED, name, lambda route, cut: [cut]))


@behave.when(
    'a stream breaks off, and the next answer, {name}, is cut at each byte '
    'of its head'
)
def step_cut_resumed(context, name):
    def steps(route, cut):
        return ['stream cut later', cut, 'stream']

    context.run(_send_all(context, _RESUMABLE, name, steps))


@behave.when(
    'instances end the head of an answer {name} early, with a blank line'
)
def step_end_early(context, name):
    def steps(route, cut):
        is_stream = cut_heads.KINDS[name].is_stream
        return [cut, 'stream' if is_stream else 'answer']

    ends = (cut_heads.ENDED_BY_BLANK_LINE,)
    context.run(_send_all(context, _routes(name), name, steps, ends))


def _routes(name):
    """Return the kinds of routes whose requests may have such an answer."""
    is_stream = cut_heads.KINDS[name].is_stream
    return _ROUTES if is_stream else _ROUTES[:2]


async def _send_all(context, routes, name, steps, ends=cut_heads.ENDS):
    """Send a request for each route, end of a connection and position.

    :param steps: returns those of the instances, for a route and the cut
    """
    context.cases = []
    for route in routes:
        _configure(context.fixture, route)
        for end in ends:
            for position in cut_heads.positions(name, _REQUEST_ID, end):
                cut = cut_heads.step(name, position, end)
                case = Case(route, name, position, end, steps(route, cut))
                await _send(context.fixture, case)
                context.cases.append(case)


def _configure(fixture, route):
    if isinstance(fixture, detour_steps.CutOffFixture):
        fixture.other.configure(route)
    fixture.configure(route)


async def _send(fixture, case):
    fixture.script.replace(case.steps)
    fixture.script.arrivals.clear()
    # Another request each time: one that breaks connections again and again
    # may crash its instances, and needs a permit.
    path = f'/r/{case.position}?end={case.end[0]}'
    async with asyncio.timeout(_TIMEOUT_S):
        case.response = await gateway_steps.send_request(
            fixture, path=path, request_id=_REQUEST_ID
        )
    case.arrivals = list(fixture.script.arrivals)
    if case.is_answered:
        await asyncio.sleep(_CLOSED_S)  # its connection is kept until then


@behave.then('each caller gets the whole answer of an instance, or a failure')
def step_whole_or_failure(context):
    assert context.cases
    for case in context.cases:
        _check_answer(case)


def _check_answer(case):
    response = case.response
    if response.status == _FAILED_STATUS:
        assert instances.NAMES.digest not in response.headers, case
        assert not case.is_answered, case
    elif case.is_answered:
        assert str(response.status) in case.kind.status, case
        assert response.is_complete and not response.body, case
    elif case.is_begun and case.route not in _REPEATED:
        assert not response.is_complete and not response.body, case
    else:
        assert case.route in _REPEATED, case
        assert response.status == 200 and response.is_complete, case
        is_stream = case.steps[-1] == 'stream'
        body = _EVENTS if is_stream else instances.BODY
        assert response.body == body, case


@behave.then('only requests that may be repeated were repeated')
def step_repeated(context):
    for case in context.cases:
        is_repeated = case.route in _REPEATED and not case.is_answered
        assert len(case.arrivals) == 1 + is_repeated, case


@behave.then('no caller gets more than the head of a stream')
def step_no_answer(context):
    for case in context.cases:
        is_failure = case.response.status == _FAILED_STATUS
        assert is_failure or case.is_begun or case.is_answered, case
        if not is_failure:
            assert case.response.is_complete == case.is_answered, case
            assert not case.response.body, case


@behave.then('each caller gets two events and sees that its stream broke off')
def step_two_events(context):
    assert context.cases
    events = b'\n\n'.join(_EVENTS.split(b'\n\n')[:2]) + b'\n\n'
    for case in context.cases:
        assert case.response.status == 200, case
        assert not case.response.is_complete, case
        assert case.response.body == events, case
        assert len(case.arrivals) == 2, case


@behave.when(
    'the instance cuts the second answer on a connection at each byte of its '
    'head'
)
def step_cut_second(context):
    def steps(end, position):
        cut = cut_heads.step('with a length', position, end)
        return ['answer', cut, 'answer']

    context.run(_send_series(context, cut_heads.ENDS, steps))


@behave.when(
    'the instance answers and writes another head up to each of its bytes'
)
def step_stale(context):
    def steps(end, position):
        return [f'answer, and bytes of another: {position}', 'answer']

    context.run(_send_series(context, [''], steps))


async def _send_series(context, ends, steps):
    """Send a series of requests for each end and position of a cut.

    :param steps: returns those of the instance
    """
    context.series = []
    script = context.fixture.script
    for end in ends:
        for position in cut_heads.positions('with a length', _REQUEST_ID, end):
            series = steps(end, position)
            script.replace(series)
            script.arrivals.clear()
            responses = [
                await gateway_steps.send_request(
                    context.fixture, path=f'/r/{position}?n={number}'
                )
                for number in range(len(series))
            ]
            context.series.append((responses, list(script.arrivals)))


def _is_whole(response):
    body = (response.status, response.body, response.is_complete)
    return body == (200, instances.BODY, True)


@behave.then('the second request fails, also on the connection of the first')
def step_second_fails(context):
    for responses, arrivals in context.series:
        assert len(arrivals) == len(responses), responses
        assert _is_whole(responses[0]), responses
        assert responses[1].status == _FAILED_STATUS, responses
    # A gateway that probes an instance uses the probe's connection first.
    assert any(
        first.connection == second.connection
        for _, (first, second, _) in context.series
    )


@behave.then('the third request is answered on another connection')
def step_third(context):
    for responses, (_, second, third) in context.series:
        assert _is_whole(responses[2]), responses
        assert second.connection != third.connection, third


@behave.then('each next request is answered on another connection')
def step_next_answered(context):
    for position, (responses, arrivals) in enumerate(context.series):
        assert all(map(_is_whole, responses)), responses
        first, second = arrivals
        is_kept = first.connection == second.connection
        assert is_kept == (position == 0), (position, arrivals)
