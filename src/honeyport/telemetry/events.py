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

RELOADED = define(1005, 'reloaded', 'info', 'The settings were read again.')
RELOAD_FAILED = define(
    1006, 'reload_failed', 'error', 'The new settings are invalid; ignored.'
)
SETTINGS_READ = define(
    1007, 'settings_read', 'info', 'What the settings named at the start.'
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
MEMBER_ADDED = define(
    2009,
    'member_added',
    'warning',
    'A new replica learns: votes are missing, or a member is silent.',
)
MEMBER_REMOVED = define(
    2010,
    'member_removed',
    'warning',
    'A silent replica is no member any more; its successor votes.',
)
SUCCESSION_FAILED = define(
    2011, 'succession_failed', 'warning', 'A change of members failed.'
)
STORAGE_FAILED = define(
    2012, 'storage_failed', 'error', 'The disk of this replica failed a write.'
)
STORAGE_REGAINED = define(
    2013, 'storage_regained', 'info', 'The disk takes writes again.'
)
BUNDLE_ACCEPTED = define(2101, 'bundle_accepted', 'info', 'It is committed.')
BUNDLE_IN_FORCE = define(
    2102, 'bundle_in_force', 'info', 'Every router with a lease applies it.'
)
REPLACEMENT_OVERTAKEN = define(
    2103,
    'replacement_overtaken',
    'info',
    'A configuration that is in force or overtaken is acknowledged again.',
)
REPLACEMENT_REFUSED = define(
    2104, 'replacement_refused', 'warning', 'A configuration is invalid.'
)
OPERATOR_REDIRECTED = define(
    2105, 'operator_redirected', 'info', 'Another replica leads.'
)
LIST_CHANGED = define(
    2401, 'list_changed', 'info', "The platform's list of instances changed."
)
LIST_LOST = define(
    2402,
    'list_lost',
    'warning',
    "The platform's list, or a part, cannot be read.",
)
LIST_REGAINED = define(
    2403, 'list_regained', 'info', "The platform's list is read again."
)
PLACES_CHANGED = define(
    2404, 'places_changed', 'info', 'The log has which instance keeps what.'
)
PLACES_UNSAVED = define(
    2405,
    'places_unsaved',
    'warning',
    'A change of places was not committed; it is tried again.',
)
LIST_ENTRIES_REFUSED = define(
    2406,
    'list_entries_refused',
    'warning',
    "Entries of the platform's list name no instance to use.",
)
VIEW_CHANGED = define(2201, 'view_changed', 'info', 'Routers came or went.')
ROUTER_EXPIRED = define(
    2202, 'router_expired', 'warning', 'A router let its lease lapse.'
)
ROUTER_SILENT = define(
    2203,
    'router_silent',
    'warning',
    "A router's stream ended or its reports are missing.",
)
ROUTER_CALLED = define(
    2204,
    'router_called',
    'info',
    'A router without a stream was told where the leader is.',
)
ROUTERS_CHANGED = define(
    2205, 'routers_changed', 'info', 'Where routers listen is remembered.'
)
ROUTERS_UNSAVED = define(
    2206,
    'routers_unsaved',
    'warning',
    'Where routers listen was not committed; it is tried again.',
)
EVACUATION_BEGUN = define(
    2207,
    'evacuation_begun',
    'info',
    'A failure domain gets nothing new; the order is committed.',
)
EVACUATION_ENDED = define(
    2208,
    'evacuation_ended',
    'info',
    'An evacuated failure domain is taken back; the order is committed.',
)
REQUEST_SUSPECTED = define(
    2501,
    'request_suspected',
    'warning',
    'Several instances ended under a request; it is watched, or barred.',
)
SUSPECTS_CLEARED = define(
    2502,
    'suspects_cleared',
    'info',
    'Requests under suspicion ran to their end, or an operator cleared them.',
)
SUSPECTS_UNSAVED = define(
    2503,
    'suspects_unsaved',
    'warning',
    'Requests under suspicion were not committed; it is tried again.',
)
PERMIT_GIVEN = define(
    2504,
    'permit_given',
    'info',
    'A gateway may run a request under suspicion, alone in the fleet.',
)
PERMIT_REFUSED = define(
    2505,
    'permit_refused',
    'info',
    'A request under suspicion runs elsewhere, or is barred.',
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
SESSION_OPENED = define(
    3005, 'session_opened', 'info', 'The stream to control stands.'
)
CONFIG_UNUSABLE = define(
    3006,
    'config_unusable',
    'error',
    'A version does not fit the one held here; the stream starts over.',
)
SESSION_FAILED = define(
    3007,
    'session_failed',
    'warning',
    'An address that was asked for the leader led to no stream.',
)
INTRODUCED = define(
    3008, 'introduced', 'info', 'A leader called and said where it is.'
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
REQUEST_SERVED = define(
    3204, 'request_served', 'info', 'A request got the whole answer.'
)
REQUEST_REFUSED = define(
    3205, 'request_refused', 'info', 'A request was not run, and it said so.'
)
REQUEST_BROKEN = define(
    3206, 'request_broken', 'warning', 'A request ended without its answer.'
)
REQUEST_ABANDONED = define(
    3207, 'request_abandoned', 'info', 'The caller left before the answer.'
)
ATTEMPT_FAILED = define(
    3208,
    'attempt_failed',
    'warning',
    'An instance did not give a whole answer to an attempt.',
)
INSTANCE_AVOIDED = define(
    3209, 'instance_avoided', 'warning', 'An instance gets no work for now.'
)
INSTANCES_APPLIED = define(
    3210, 'instances_applied', 'info', 'A new list of instances is used here.'
)
ALLOWANCE_SPENT = define(
    3211,
    'allowance_spent',
    'warning',
    'A request is not offered again: the allowance for that is spent.',
)
EVACUATIONS_APPLIED = define(
    3214,
    'evacuations_applied',
    'info',
    'Which failure domains are evacuated, as it is in force here now.',
)
INSTANCE_ENDED = define(
    3212,
    'instance_ended',
    'warning',
    'An instance ended while requests ran there; they are named.',
)
INSTANCE_LIVES = define(
    3213,
    'instance_lives',
    'info',
    'Requests broke on an instance that takes connections.',
)
REST_ASKED = define(
    3215,
    'rest_asked',
    'warning',
    'An instance asked this gateway to send it nothing for a time.',
)
RESTING_USED = define(
    3216,
    'resting_used',
    'warning',
    'A request was sent to an instance that had asked for rest.',
)
INSTANCE_LEAVES = define(
    3217,
    'instance_leaves',
    'info',
    'An instance says in its answers that it leaves.',
)
LINES_DROPPED = define(
    3901,
    'lines_dropped',
    'warning',
    'Log lines were dropped: standard output took them too slowly.',
)
PEER_LOST = define(3301, 'peer_lost', 'warning', 'The stream to a peer ended.')
