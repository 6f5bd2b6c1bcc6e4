"""The catalogue of log events.

Each event has a number that never changes its meaning. ``docs/events.md``
lists the same catalogue; a test keeps the two alike.
"""

import attrs

_CATALOGUE: dict[int, 'Event'] = {}


@attrs.frozen
class Event:
    """One kind of log line."""

    number: int
    name: str
    level: str
    meaning: str


def define(number: int, name: str, level: str, meaning: str) -> Event:
    """Enter an event in the catalogue and return it."""
    if number in _CATALOGUE:
        raise ValueError(f'event number {number} is taken')
    event = Event(number, name, level, meaning)
    _CATALOGUE[number] = event
    return event


def catalogue() -> list[Event]:
    """Return all events in the order of their numbers."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]


STARTED = define(1001, 'started', 'info', 'The process serves.')
STOPPING = define(1002, 'stopping', 'info', 'SIGTERM or SIGINT came.')
STOPPED = define(1003, 'stopped', 'info', 'All children have ended.')
CHILD_FAILED = define(
    1004, 'child_failed', 'error', 'A child ended with an error; restarted.'
)

ELECTED = define(2001, 'elected', 'info', 'This replica leads the term.')
STEPPED_DOWN = define(2002, 'stepped_down', 'info', 'It leads no longer.')
TAIL_CUT = define(
    2003, 'tail_cut', 'warning', 'A torn record at the end of the log is cut.'
)
FOUNDED = define(2004, 'founded', 'info', 'All replicas were empty; founded.')
UNADMITTED = define(
    2005, 'unadmitted', 'warning', 'An empty disk: no vote until readmitted.'
)
MEMBERS_CHANGED = define(
    2006, 'members_changed', 'info', 'The set of control replicas changed.'
)
SNAPSHOT_TAKEN = define(2007, 'snapshot_taken', 'info', 'The log is cut.')
SNAPSHOT_RECEIVED = define(
    2008, 'snapshot_received', 'info', 'State was taken from the leader.'
)
BUNDLE_ACCEPTED = define(2101, 'bundle_accepted', 'info', 'It is committed.')
BUNDLE_IN_FORCE = define(
    2102, 'bundle_in_force', 'info', 'Every router with a lease applies it.'
)
VIEW_CHANGED = define(2201, 'view_changed', 'info', 'Routers came or went.')
ROUTER_EXPIRED = define(
    2202, 'router_expired', 'warning', 'A router let its lease lapse.'
)
ORDER_SENT = define(2301, 'order_sent', 'info', 'An engine got an order.')
ORDER_REFUSED = define(
    2302, 'order_refused', 'warning', 'An engine refused an order.'
)

CONFIG_APPLIED = define(3001, 'config_applied', 'info', 'Now in force here.')
CONFIG_STALE = define(
    3002, 'config_stale', 'warning', 'A lower version came; it is ignored.'
)
SESSION_LOST = define(
    3003, 'session_lost', 'warning', 'The stream to control ended.'
)
LEASE_LAPSED = define(
    3004, 'lease_lapsed', 'warning', 'No lease: new work is refused.'
)
ENGINE_TAKEN = define(3101, 'engine_taken', 'info', 'Steward of an engine.')
ENGINE_LEFT = define(3102, 'engine_left', 'info', 'No longer its steward.')
BACKEND_DOWN = define(
    3103, 'backend_down', 'warning', 'A backend server does not answer.'
)
BACKEND_UP = define(3104, 'backend_up', 'info', 'It answers again.')
PREFIXES_MOVED = define(
    3105, 'prefixes_moved', 'info', 'Warm prefixes left a leaving engine.'
)
REQUEST_FAILED = define(
    3201, 'request_failed', 'warning', 'A request ended with an error.'
)
ANSWER_RESUMED = define(
    3202, 'answer_resumed', 'info', 'A cut stream goes on from its offset.'
)
CLAIM_UNRESOLVED = define(
    3203, 'claim_unresolved', 'error', 'A claim has no recorded outcome.'
)
PEER_LOST = define(3301, 'peer_lost', 'warning', 'The stream to a peer ended.')
