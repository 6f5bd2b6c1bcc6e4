"""Which headers carry what, between callers, gateway and instances.

The names are settings: a platform brings its own. The defaults are the
product's.
"""

import asyncio
import collections.abc

import attrs
from tornado import httputil

from honeyport import errors
from honeyport.policy import prefixes

# RFC 9110, section 7.6.1: they concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    )
)
_CREDENTIALS = 'Authorization'
_SCHEME = 'bearer '


@attrs.frozen(kw_only=True)
class HeaderNames:
    """The names of the headers that mean something to the gateway."""

    request_id: str = 'X-Request-Id'
    deadline_ms: str = 'Honeyport-Deadline-Ms'
    account: str = 'Honeyport-Account'
    expected_instance: str = 'Honeyport-Instance'
    digest: str = 'Honeyport-Digest'
    not_run: str = 'Honeyport-Not-Run'
    load: str = 'Honeyport-Load'
    # In any answer of an instance that leaves.
    leaving: str = 'Honeyport-Leaving'
    prompt_parts: str = 'Honeyport-Prompt-Parts'
    priority: str = 'Honeyport-Priority'
    last_event: str = 'Last-Event-Id'
    # Address of an instance whose cached prefix may be copied.
    copy_from: str = 'Honeyport-Copy-From'
    # Set by the gateway alone, whatever a caller sent.
    reserved: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Request:
    """What a caller asks for.

    :ivar target: path and query, as they were sent
    :ivar headers: what is passed on to an instance
    :ivar parts: the parts of its prompt, in order; the last is its own
    :ivar deadline: loop time after which the caller waits no longer
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes
    api_key: str
    parts: tuple[prefixes.Part, ...]
    received: float
    deadline: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


def decode(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    names: HeaderNames,
    longest_s: float,
) -> Request:
    """Return the request that a caller sent.

    :param longest_s: the deadline of a caller that names none, in seconds
    :raises errors.BadRequest: if a header has no meaning
    """
    now = asyncio.get_running_loop().time()
    left_s = _seconds(headers.get(names.deadline_ms, ''), longest_s)
    return Request(
        request_id=headers.get(names.request_id, ''),
        method=start_line.method,
        target=start_line.path,
        host=headers.get('Host', '').lower(),
        headers=_passed_on(headers, names),
        body=body,
        api_key=_api_key(headers),
        parts=_parts(headers.get(names.prompt_parts, '')),
        received=now,
        deadline=now + left_s,
    )


def answer_headers(
    headers: httputil.HTTPHeaders, names: HeaderNames
) -> httputil.HTTPHeaders:
    """Return an instance's headers without those of its connection."""
    hidden = _HOP_BY_HOP | _named_by_connection(headers)
    return _without(headers, hidden | {names.load.lower()})


def _passed_on(
    headers: httputil.HTTPHeaders, names: HeaderNames
) -> httputil.HTTPHeaders:
    own = (
        names.account,
        names.deadline_ms,
        names.expected_instance,
        names.priority,
        names.copy_from,
        *names.reserved,
        _CREDENTIALS,
    )
    hidden = _HOP_BY_HOP | _named_by_connection(headers)
    return _without(headers, hidden | {name.lower() for name in own})


def _without(
    headers: httputil.HTTPHeaders, hidden: collections.abc.Container[str]
) -> httputil.HTTPHeaders:
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in hidden:
            kept.add(name, value)
    return kept


def _named_by_connection(headers: httputil.HTTPHeaders) -> set[str]:
    listed = headers.get('Connection', '')
    return {name.strip().lower() for name in listed.split(',')}


def _seconds(text: str, default: float) -> float:
    if not text:
        return default
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise errors.BadRequest(
            f'the deadline {text!r} is not a number of milliseconds'
        ) from None


def _api_key(headers: httputil.HTTPHeaders) -> str:
    value = headers.get(_CREDENTIALS, '')
    if value[: len(_SCHEME)].lower() != _SCHEME:
        return ''
    return value[len(_SCHEME) :].strip()


def _parts(text: str) -> tuple[prefixes.Part, ...]:
    """Return the parts in ``id:tokens,id:tokens``."""
    found = []
    for item in text.split(','):
        name, _, tokens = item.strip().partition(':')
        if name:
            found.append(
                prefixes.Part(name, int(tokens) if tokens.isdigit() else 0)
            )
    return tuple(found)
