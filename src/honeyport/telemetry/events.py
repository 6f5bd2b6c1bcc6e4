"""The catalogue of log events.

Each event has a number that is never reused. The reference page
``events.md`` is generated from this catalogue.
"""

import attrs

_CATALOGUE: dict[int, 'Event'] = {}


@attrs.frozen
class Event:
    """A kind of log line.

    :ivar number: its number in the catalogue
    :ivar level: a key of ``log.LEVELS``
    :ivar meaning: what happened, for the reference page
    """

    number: int
    name: str
    level: str
    meaning: str


def define(number: int, name: str, level: str, meaning: str) -> Event:
    """Add an event to the catalogue and return it.

    :raises ValueError: if the number is taken
    """
    if number in _CATALOGUE:
        raise ValueError(f'event number {number} is taken')
    event = Event(number, name, level, meaning)
    _CATALOGUE[number] = event
    return event


def catalogue() -> list[Event]:
    """Return all events, sorted by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]


STARTED = define(
    1001,
    'started',
    'info',
    'All components of the process have started; it is serving.',
)
STOPPING = define(
    1002,
    'stopping',
    'info',
    'The process received SIGTERM or SIGINT and begins to shut down.',
)
STOPPED = define(
    1003,
    'stopped',
    'info',
    'All tasks and servers of the process have been stopped.',
)
CHILD_FAILED = define(
    1004,
    'child_failed',
    'error',
    'A supervised task raised an exception; it is restarted after a pause.',
)

RELOADED = define(
    1005,
    'reloaded',
    'info',
    'The settings were reloaded; the line has the fields that changed.',
)
RELOAD_FAILED = define(
    1006,
    'reload_failed',
    'error',
    'The reloaded settings are invalid; the previous ones stay in effect.',
)
SETTINGS_READ = define(
    1007,
    'settings_read',
    'info',
    'The settings were read at startup; the line has the addresses of '
    'control.',
)

ELECTED = define(
    2001,
    'elected',
    'info',
    'This control replica was elected leader of the term.',
)
STEPPED_DOWN = define(
    2002,
    'stepped_down',
    'info',
    'This control replica stopped being the leader.',
)
TAIL_CUT = define(
    2003,
    'tail_cut',
    'warning',
    'An incomplete record at the end of a file of the Raft log was truncated.',
)
FOUNDED = define(
    2004,
    'founded',
    'info',
    'The group of control replicas was bootstrapped: all initial '
    'replicas had an empty log.',
)
UNADMITTED = define(
    2005,
    'unadmitted',
    'warning',
    'This control replica has an empty log and may not bootstrap a '
    'group; it does not vote until it is admitted.',
)
MEMBERS_CHANGED = define(
    2006, 'members_changed', 'info', 'The set of control replicas changed.'
)
SNAPSHOT_TAKEN = define(
    2007,
    'snapshot_taken',
    'info',
    'A snapshot of the state was stored and the Raft log before it truncated.',
)
SNAPSHOT_RECEIVED = define(
    2008,
    'snapshot_received',
    'info',
    'This control replica installed a snapshot from the leader.',
)
MEMBER_ADDED = define(
    2009,
    'member_added',
    'warning',
    'The leader adds a control replica as a learner: too few members vote or '
    'are expected to.',
)
MEMBER_REMOVED = define(
    2010,
    'member_removed',
    'warning',
    'The leader removes a control replica: a voter that is unreachable and '
    'whose replacement has caught up, or a learner that is not needed.',
)
SUCCESSION_FAILED = define(
    2011,
    'succession_failed',
    'warning',
    'The leader could not add or remove a control replica.',
)
STORAGE_FAILED = define(
    2012,
    'storage_failed',
    'error',
    'A write to the disk of this control replica failed.',
)
STORAGE_REGAINED = define(
    2013,
    'storage_regained',
    'info',
    'Writes to the disk of this control replica succeed again.',
)
MEMBERS_INCOMPLETE = define(
    2014,
    'members_incomplete',
    'warning',
    'The control group is not at its target size, or a member of it does '
    'not answer; the line has what the leader knows of each member, and '
    'the replicas that it could add.',
)
MEMBERS_COMPLETE = define(
    2015,
    'members_complete',
    'info',
    'The control group is at its target size again, and every member votes '
    'and answers.',
)
BUNDLE_ACCEPTED = define(
    2101, 'bundle_accepted', 'info', 'A version of the bundle was committed.'
)
BUNDLE_IN_FORCE = define(
    2102,
    'bundle_in_force',
    'info',
    'Every router that has a lease applies the committed bundle.',
)
REPLACEMENT_OVERTAKEN = define(
    2103,
    'replacement_overtaken',
    'info',
    'A submitted configuration is no newer than the accepted one; it '
    'was acknowledged without a change.',
)
REPLACEMENT_REFUSED = define(
    2104,
    'replacement_refused',
    'warning',
    'A submitted configuration is invalid and was rejected.',
)
OPERATOR_REDIRECTED = define(
    2105,
    'operator_redirected',
    'info',
    "An operator's request was redirected to the leader at the location.",
)
OPERATOR_RECEIVED = define(
    2106,
    'operator_received',
    'info',
    "An operator's request was received; the checksum of its body is the "
    'same wherever it is sent again.',
)
OPERATOR_ANSWERED = define(
    2107,
    'operator_answered',
    'info',
    "An operator's request was answered, other than by a redirect; the line "
    'has the status, and the code of the error, if any.',
)
OPERATOR_DISCONNECTED = define(
    2108,
    'operator_disconnected',
    'warning',
    'An operator closed the connection before its request was answered.',
)
REPLACEMENT_PROPOSED = define(
    2109,
    'replacement_proposed',
    'info',
    'The leader appends a submitted configuration to its log; line 2101 '
    'follows when it is committed.',
)
OPERATOR_INCOMPLETE = define(
    2110,
    'operator_incomplete',
    'warning',
    "The connection ended before an operator's request was received "
    'completely.',
)
LIST_CHANGED = define(
    2401, 'list_changed', 'info', "The platform's list of instances changed."
)
LIST_LOST = define(
    2402,
    'list_lost',
    'warning',
    "The platform's list of instances, or a part of it, cannot be read.",
)
LIST_REGAINED = define(
    2403,
    'list_regained',
    'info',
    "The platform's list of instances can be read again.",
)
PLACES_CHANGED = define(
    2404,
    'places_changed',
    'info',
    'A change of which instance holds which place was committed.',
)
PLACES_UNSAVED = define(
    2405,
    'places_unsaved',
    'warning',
    'A change of which instance holds which place was not committed; it '
    'is retried.',
)
VERSIONS_RECORDED = define(
    2407,
    'versions_recorded',
    'info',
    'The software versions that may have begun streams changed; the change '
    'was committed.',
)
VERSIONS_UNSAVED = define(
    2408,
    'versions_unsaved',
    'warning',
    'A change of the software versions that may have begun streams was not '
    'committed; it is retried. Instances of new versions get no requests '
    'meanwhile.',
)
LIST_ENTRIES_REFUSED = define(
    2406,
    'list_entries_refused',
    'warning',
    "Entries of the platform's list of instances are invalid and "
    'ignored; the line has the reasons.',
)
VIEW_CHANGED = define(
    2201,
    'view_changed',
    'info',
    'Routers joined or left the view of the fleet.',
)
ROUTER_EXPIRED = define(
    2202, 'router_expired', 'warning', 'The lease of a router expired.'
)
ROUTER_SILENT = define(
    2203,
    'router_silent',
    'warning',
    "A router's stream to control ended, or its reports are overdue.",
)
ROUTER_CALLED = define(
    2204,
    'router_called',
    'info',
    'The leader called a router that has no stream and sent its own address.',
)
ROUTERS_CHANGED = define(
    2205,
    'routers_changed',
    'info',
    'A change of the stored router addresses was committed.',
)
ROUTERS_UNSAVED = define(
    2206,
    'routers_unsaved',
    'warning',
    'A change of the stored router addresses was not committed; it is '
    'retried.',
)
EVACUATION_BEGUN = define(
    2207,
    'evacuation_begun',
    'info',
    'The evacuation of a failure domain was committed: it gets no new '
    'requests.',
)
EVACUATION_ENDED = define(
    2208,
    'evacuation_ended',
    'info',
    'The end of the evacuation of a failure domain was committed.',
)
EVACUATION_UNCONFIRMED = define(
    2209,
    'evacuation_unconfirmed',
    'warning',
    'An evacuation or its end was acknowledged before these routers confirmed '
    'it; they get it with their next lease.',
)
INSTANCES_EXCLUDED = define(
    2210,
    'instances_excluded',
    'info',
    'The instances changed to which no gateway is to send requests; the line '
    'has them and the gateways that cannot reach them.',
)
REQUEST_SUSPECTED = define(
    2501,
    'request_suspected',
    'warning',
    'Several instances crashed while they ran a request; it needs a '
    'permit to run, or is refused.',
)
SUSPECTS_CLEARED = define(
    2502,
    'suspects_cleared',
    'info',
    'Suspected requests completed or were cleared by an operator; they '
    'need no permit any more.',
)
SUSPECTS_UNSAVED = define(
    2503,
    'suspects_unsaved',
    'warning',
    'A change of the suspected requests was not committed; it is retried.',
)
PERMIT_GIVEN = define(
    2504,
    'permit_given',
    'info',
    'A gateway got the permit to run a suspected request; the fleet has '
    'one permit for it.',
)
PERMIT_REFUSED = define(
    2505,
    'permit_refused',
    'info',
    'A gateway got no permit to run a suspected request: another one '
    'holds it, or the request is refused.',
)
PARTS_SUSPECTED = define(
    2509,
    'parts_suspected',
    'info',
    'Instances crashed while they ran requests with these prompt parts; '
    'gateways are asked when they had complete answers with them.',
)
PARTS_BARRED = define(
    2506,
    'parts_barred',
    'warning',
    'Several instances crashed while they ran requests with certain prompt '
    'parts, and no request with them was answered since: all of them are '
    'refused. The line has the parts and the instances.',
)
PARTS_CLEARED = define(
    2507,
    'parts_cleared',
    'info',
    'A request with prompt parts under suspicion was answered; requests with '
    'them need no permit any more.',
)
PARTS_EXPLAINED = define(
    2508,
    'parts_explained',
    'info',
    'Other prompt parts explain the crashes that these parts were suspected '
    'of; requests with them need no permit any more.',
)
ORDER_SENT = define(
    2301, 'order_sent', 'info', 'An engine accepted an order from control.'
)
ORDER_REFUSED = define(
    2302,
    'order_refused',
    'warning',
    'An engine refused an order from control.',
)

CONFIG_APPLIED = define(
    3001,
    'config_applied',
    'info',
    'This router applied a version of the configuration.',
)
CONFIG_STALE = define(
    3002,
    'config_stale',
    'warning',
    'This router ignored a configuration that is no newer than the '
    'applied one.',
)
SESSION_LOST = define(
    3003, 'session_lost', 'warning', "This router's stream to control ended."
)
LEASE_LAPSED = define(
    3004,
    'lease_lapsed',
    'warning',
    "This router's lease expired; queued requests are refused, and new "
    'ones until it is renewed.',
)
SESSION_OPENED = define(
    3005,
    'session_opened',
    'info',
    "This router's stream to control was opened.",
)
CONFIG_UNUSABLE = define(
    3006,
    'config_unusable',
    'error',
    'An update from control does not match the state of this router; '
    'the stream is reopened and the full state requested.',
)
SESSION_FAILED = define(
    3007,
    'session_failed',
    'warning',
    'No stream to control could be opened at an address.',
)
INTRODUCED = define(
    3008,
    'introduced',
    'info',
    'The leader called this router and sent its address.',
)
ENGINE_TAKEN = define(
    3101,
    'engine_taken',
    'info',
    'This router became the steward of a backend server.',
)
ENGINE_LEFT = define(
    3102,
    'engine_left',
    'info',
    'This router is no longer the steward of a backend server.',
)
BACKEND_DOWN = define(
    3103,
    'backend_down',
    'warning',
    'A backend server failed several probes in a row and counts as down.',
)
BACKEND_UP = define(
    3104,
    'backend_up',
    'info',
    'A backend server that was down answers probes again.',
)
PREFIXES_MOVED = define(
    3105,
    'prefixes_moved',
    'info',
    'Cached prefixes of chats were copied from an engine that is leaving.',
)
REQUEST_ADMITTED = define(
    3106,
    'request_admitted',
    'debug',
    'A request got a slot of an engine; the line has what ran there, the '
    'limit, and the loads that it was computed from.',
)
REQUEST_FAILED = define(
    3201,
    'request_failed',
    'warning',
    'The handling of a request failed; the line has the error.',
)
ANSWER_RESUMED = define(
    3202,
    'answer_resumed',
    'info',
    'An interrupted answer stream is resumed from its offset.',
)
CLAIM_UNRESOLVED = define(
    3203,
    'claim_unresolved',
    'error',
    'A request with an idempotency key failed with an unknown outcome; '
    'the key stays claimed.',
)
REQUEST_SERVED = define(
    3204, 'request_served', 'info', 'A request was answered completely.'
)
REQUEST_REFUSED = define(
    3205,
    'request_refused',
    'info',
    'A request was refused, and its caller told that it did not run.',
)
REQUEST_BROKEN = define(
    3206,
    'request_broken',
    'warning',
    'A request ended without a complete answer; it may have run.',
)
REQUEST_ABANDONED = define(
    3207,
    'request_abandoned',
    'info',
    'The caller disconnected before its request was answered.',
)
ATTEMPT_FAILED = define(
    3208,
    'attempt_failed',
    'warning',
    'An instance gave no complete answer to an attempt of a request.',
)
INSTANCE_AVOIDED = define(
    3209,
    'instance_avoided',
    'warning',
    'An instance failed; this gateway sends it no requests until a pause is '
    'over.',
)
INSTANCES_APPLIED = define(
    3210,
    'instances_applied',
    'info',
    'This gateway applied a new list of instances.',
)
ALLOWANCE_SPENT = define(
    3211,
    'allowance_spent',
    'warning',
    'A request is not retried: the retry budget of its service is exhausted.',
)
EVACUATIONS_APPLIED = define(
    3214,
    'evacuations_applied',
    'info',
    'This gateway applied a new set of evacuated failure domains.',
)
INSTANCE_ENDED = define(
    3212,
    'instance_ended',
    'warning',
    'An instance crashed or stopped while requests ran on it; the line '
    'has the requests, with the account and the shared prompt parts of '
    'each.',
)
INSTANCE_LIVES = define(
    3213,
    'instance_lives',
    'info',
    'Requests on an instance were interrupted, but the instance still '
    'accepts connections.',
)
REST_ASKED = define(
    3215,
    'rest_asked',
    'warning',
    'An instance asked this gateway for a pause in requests, by Retry-After.',
)
RESTING_USED = define(
    3216,
    'resting_used',
    'warning',
    'A request was sent to an instance that had asked for a pause in '
    'requests.',
)
INSTANCE_LEAVES = define(
    3217,
    'instance_leaves',
    'info',
    'An instance announced in its answers that it is leaving.',
)
SERVICE_CUT_OFF = define(
    3218,
    'service_cut_off',
    'warning',
    'This gateway reaches no instance of a service; other gateways forward '
    'its requests from now on.',
)
SERVICE_REACHED = define(
    3219,
    'service_reached',
    'info',
    'This gateway reaches a service again, and sends requests directly.',
)
SERVICE_BRITTLE = define(
    3220,
    'service_brittle',
    'warning',
    'The instances of a service announced that they crash if they reject more '
    'than a number of requests within one second.',
)
SERVICE_NOT_BRITTLE = define(
    3221,
    'service_not_brittle',
    'info',
    'The instances of a service do not announce that they are brittle any '
    'more.',
)
STREAM_TAKEN_UP = define(
    3222,
    'stream_taken_up',
    'info',
    'A caller takes up a stream that another request began; it goes on at the '
    'software version that began it.',
)
STREAM_UNKNOWN = define(
    3223,
    'stream_unknown',
    'warning',
    'A caller takes up a stream whose software version no gateway knows; the '
    'request is refused.',
)
STREAMS_NOT_TOLD = define(
    3224,
    'streams_not_told',
    'warning',
    'Another gateway could not be told which software versions began streams; '
    'the next ones are.',
)
GATEWAY_SILENT = define(
    3226,
    'gateway_silent',
    'warning',
    'Another gateway that forwards a request sends nothing, and does not '
    'answer a question either.',
)
SILENT_ANSWER_AWAITED = define(
    3225,
    'silent_answer_awaited',
    'warning',
    'The instance of a request sends nothing, and no other attempt is better; '
    'its answer is waited for. The line has the reason.',
)
QUEUE_KEPT = define(
    3230,
    'queue_kept',
    'info',
    'This gateway begins to grant the slots of a service to all gateways.',
)
QUEUE_LEFT = define(
    3231,
    'queue_left',
    'info',
    'This gateway grants the slots of a service no longer; requests that '
    'waited here are sent at once.',
)
KEEPER_ANSWERS = define(
    3232,
    'keeper_answers',
    'info',
    'The keeper of the queue of a service answers; requests ask it for slots.',
)
KEEPER_SILENT = define(
    3233,
    'keeper_silent',
    'warning',
    'The keeper of the queue of a service does not answer; requests are sent '
    'at once until it does.',
)
SLOT_HOLDER_LOST = define(
    3234,
    'slot_holder_lost',
    'warning',
    'The link to a gateway that holds slots was lost; they count as in use '
    'until their deadlines.',
)
SLOT_REFUSED = define(
    3235,
    'slot_refused',
    'info',
    'A request got no slot; the line has the reason, the forecast and the '
    'wait.',
)
QUEUES_ENABLED = define(
    3236,
    'queues_enabled',
    'info',
    'An instance reported how slow its machine is; services with fewer slots '
    'than gateways have shared queues from now on.',
)
BODY_REFUSED = define(
    3250,
    'body_refused',
    'warning',
    'A request was refused before its body was read: there is no memory for '
    'it, it is too large, or the request would not be allowed; it was not '
    'run. One line a second at most; omitted tells how many others there '
    'were.',
)
BODIES_GIVEN_UP = define(
    3252,
    'bodies_given_up',
    'warning',
    'Bodies that stood still had to make room for others, or did not arrive '
    'in time; their requests were not run. One line a second at most; peer '
    'and request are of one of them.',
)
CONNECTIONS_CLOSED = define(
    3253,
    'connections_closed',
    'warning',
    'Connections of clients were closed: to make room for new ones '
    '(made_room), because none of the others could make room (too_many), or '
    'because a head took too long (head_late). One line a second at most; '
    'peer is the address of one of them.',
)
CALLER_CUT_OFF = define(
    3251,
    'caller_cut_off',
    'warning',
    'A caller read nothing of its answer for too long; its connection was '
    'closed.',
)
LINES_DROPPED = define(
    3901,
    'lines_dropped',
    'warning',
    'Log lines were dropped: standard output was too slow, or there '
    'were more than the rate allows.',
)
PEER_LOST = define(
    3301,
    'peer_lost',
    'warning',
    'The stream to another router ended with an error.',
)
