"""Steps for which connections make room."""

import behave

from honeyport.policy import connection_room

_NOW = 1000.0
_MB = 1_000_000


@behave.given('connections that are {connections}, each for that many seconds')
def step_connections(context, connections):
    context.connections = []
    for number, text in enumerate(connections.split(', '), 1):
        phase, seconds = text.split()
        connection = connection_room.Connection(number, 0.0)
        connection.enter(
            connection_room.Phase[phase.upper()], _NOW - float(seconds)
        )
        context.connections.append(connection)


@behave.given('{count:d} idle connections')
def step_idle(context, count):
    context.connections = [
        connection_room.Connection(number, _NOW - number - 1)
        for number in range(count)
    ]


@behave.then('to make room those numbered {closed} are closed, in this order')
def step_closed(context, closed):
    selected = connection_room.select_closed(context.connections, _NOW)
    expected = [] if closed == '-' else [int(n) for n in closed.split(', ')]
    assert [each.key for each in selected] == expected, selected


@behave.then('to make room {count:d} are closed')
def step_count(context, count):
    selected = connection_room.select_closed(context.connections, _NOW)
    assert len(selected) == count, selected


@behave.then(
    '{descriptors:d} file descriptors and {memory:d} MB allow {callers:d} '
    'connections of callers and {page:d} at another address'
)
def step_room(context, descriptors, memory, callers, page):
    actual = (
        connection_room.max_for_callers(descriptors, memory * _MB),
        connection_room.max_for_page(descriptors),
    )
    assert actual == (callers, page), actual
