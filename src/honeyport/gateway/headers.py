"""Headers between callers, gateway and instances.

A platform may configure other header names than the defaults.
"""

import asyncio
import collections.abc

import attrs
from tornado import httputil

from honeyport import errors
from honeyport import exchange
from honeyport.policy import brittle
from honeyport.policy import prefixes

# Headers that are not forwarded: the hop-by-hop headers of RFC 9110, section
# 7.6.1, and those that the gateway sets itself.
_NOT_FORWARDED_HEADERS = frozenset(
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
# The fourth field may be missing: how slow the instance's machine is now. Only
# its presence counts, as machines are slow for less time than it takes to
# learn it.
_LOAD_FIELDS = (3, 4)
# Longer numbers do not fit into the messages between processes.
_MAX_COUNT_DIGITS = 9
_CREDENTIALS_HEADER = 'Authorization'
_BEARER_PREFIX = 'bearer '


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the headers that the gateway reads or sets."""

    request_id: str = 'X-Request-Id'
    deadline_ms: str = 'Honeyport-Deadline-Ms'
    account: str = 'Honeyport-Account'
    expected_instance: str = 'Honeyport-Instance'
    digest: str = 'Honeyport-Digest'
    not_run: str = 'Honeyport-Not-Run'
    load: str = 'Honeyport-Load'
    # In every answer of a leaving instance.
    leaving: str = 'Honeyport-Leaving'
    # In every answer while an instance crashes if it rejects too many: how
    # many requests it survives rejecting within one second.
    brittle: str = 'Honeyport-Brittle'
    prompt_parts: str = 'Honeyport-Prompt-Parts'
    priority: str = 'Honeyport-Priority'
    last_event: str = 'Last-Event-Id'
    # Id of the request that brought the first event of a resumed stream.
    resumes: str = 'Honeyport-Resumes'
    # Address of an instance to copy the cached prefix from.
    copy_from: str = 'Honeyport-Copy-From'
    # Removed from requests of callers; only the gateway may set them.
    reserved: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Request:
    """A request of a caller.

    :ivar target: path and query, as sent
    :ivar headers: headers to forward to an instance
    :ivar parts: prompt parts in order; the last one is not shared
    :ivar last_event_id: id of the last event that the caller has of a stream
        that it resumes, or ``''``
    :ivar resumes: id of the request that brought the first event of this
        stream, or ``''``
    :ivar received: loop time of its arrival
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
    last_event_id: str
    resumes: str
    received: float
    deadline: float

    @property
    def path(self) -> str:
        """Path of the target, without its query."""
        return self.target.partition('?')[0]


def decode(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    names: HeaderNames,
    default_deadline_s: float,
) -> Request:
    """Decode a request.

    :param default_deadline_s: used if the caller names no deadline, in
        seconds
    :raises errors.BadRequest: if a header is malformed
    """
    now = asyncio.get_running_loop().time()
    remaining_s = _parse_deadline_s(
        headers.get(names.deadline_ms, ''), default_deadline_s
    )
    return Request(
        request_id=headers.get(names.request_id, ''),
        method=start_line.method,
        target=start_line.path,
        host=headers.get('Host', '').lower(),
        headers=_forwarded_headers(headers, names),
        body=body,
        api_key=_parse_api_key(headers),
        parts=_parse_parts(headers.get(names.prompt_parts, '')),
        last_event_id=headers.get(names.last_event, ''),
        resumes=headers.get(names.resumes, ''),
        received=now,
        deadline=now + remaining_s,
    )


def read_timeout_s(
    headers: httputil.HTTPHeaders, names: HeaderNames, default: float
) -> float:
    """Return how long a caller waits, in seconds.

    :param default: used if the caller names no time, or none that is readable
    """
    try:
        return _parse_deadline_s(headers.get(names.deadline_ms, ''), default)
    except errors.BadRequest:
        return default  # the request is refused when it is decoded


def read_destination(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> tuple[str, str, str]:
    """Return the host, the path and the API key of a request."""
    return (
        headers.get('Host', '').lower(),
        start_line.path.partition('?')[0],
        _parse_api_key(headers),
    )


def decode_forwarded(
    call: exchange.Call, headers: httputil.HTTPHeaders, names: HeaderNames
) -> Request:
    """Decode a request that another gateway has decoded before.

    :param headers: the headers of the call
    """
    return Request(
        request_id=call.request_id,
        method=call.method,
        target=call.path,
        host=headers.get('Host', '').lower(),
        headers=headers,
        body=call.body,
        api_key='',
        parts=_parse_parts(headers.get(names.prompt_parts, '')),
        last_event_id=headers.get(names.last_event, ''),
        resumes=headers.get(names.resumes, ''),
        received=asyncio.get_running_loop().time(),
        deadline=call.deadline,
    )


def forwarded_response_headers(
    headers: httputil.HTTPHeaders, names: HeaderNames
) -> httputil.HTTPHeaders:
    """Return the headers of an instance's answer that are forwarded."""
    excluded = _NOT_FORWARDED_HEADERS | _connection_options(headers)
    return _without(headers, excluded | {names.load.lower()})


def _forwarded_headers(
    headers: httputil.HTTPHeaders, names: HeaderNames
) -> httputil.HTTPHeaders:
    gateway_only = (
        names.account,
        names.deadline_ms,
        names.expected_instance,
        names.priority,
        names.copy_from,
        *names.reserved,
        _CREDENTIALS_HEADER,
    )
    excluded = _NOT_FORWARDED_HEADERS | _connection_options(headers)
    return _without(
        headers, excluded | {name.lower() for name in gateway_only}
    )


def parse_load(text: str) -> brittle.ReportedLoad | None:
    """Parse the load of an instance in the format ``running,waiting,slots``.

    A fourth field may follow: how slow its machine is now, in hundredths.

    :returns: ``None`` if it is missing or unreadable
    """
    fields = text.split(',')
    counts = [parse_count(field.strip()) for field in fields[:3]]
    if len(fields) not in _LOAD_FIELDS or None in counts:
        return None
    running, waiting, _ = counts
    has_slowdown = (
        len(fields) > 3 and parse_count(fields[3].strip()) is not None
    )
    return brittle.ReportedLoad(running, waiting, has_slowdown)


def parse_count(text: str) -> int | None:
    """Parse a number of requests.

    :returns: ``None`` if it is no number, or too large for one
    """
    if not text.isascii() or not text.isdigit():
        return None
    return int(text) if len(text) <= _MAX_COUNT_DIGITS else None


def _without(
    headers: httputil.HTTPHeaders, excluded: collections.abc.Container[str]
) -> httputil.HTTPHeaders:
    filtered = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in excluded:
            filtered.add(name, value)
    return filtered


def _connection_options(headers: httputil.HTTPHeaders) -> set[str]:
    """Return the lower-case header names listed in ``Connection``."""
    value = headers.get('Connection', '')
    return {option.strip().lower() for option in value.split(',')}


def _parse_deadline_s(text: str, default: float) -> float:
    if not text:
        return default
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise errors.BadRequest(
            f'deadline {text!r} is not a number of milliseconds'
        ) from None


def _parse_api_key(headers: httputil.HTTPHeaders) -> str:
    value = headers.get(_CREDENTIALS_HEADER, '')
    if value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return ''
    return value[len(_BEARER_PREFIX) :].strip()


def _parse_parts(text: str) -> tuple[prefixes.Part, ...]:
    """Parse prompt parts in the format ``id:tokens,id:tokens``.

    An unreadable or absurd number of tokens counts as unknown.
    """
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id:
            parts.append(prefixes.Part(part_id, parse_count(tokens) or 0))
    return tuple(parts)
