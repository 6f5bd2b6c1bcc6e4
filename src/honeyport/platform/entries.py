"""The entries of the platform's instance list, each decoded by itself.

An entry may come from another writer: fields may be missing or of another
type, a state may be unknown, bytes may be unreadable. Such an entry names no
instance to use and takes nothing from the others.
"""

import collections.abc
import ipaddress
import json
import math
import re
import typing

import attrs

from honeyport.policy import readings
from honeyport.wire import honeyport_pb2 as pb

_LEAVING = 'draining'
_STATES = ('ready', _LEAVING)
_MOST_SLOTS = 2**31 - 1  # what the message to the gateways holds
_MOST_PORT = 2**16 - 1
_MOST_COLD_MS = 2**31 - 1
# The page after a page that is no JSON as a whole; nothing follows it.
_NEXT = re.compile(r'"next"\s*:\s*(null|"[^"\\]*")\s*}\s*$')

Check = collections.abc.Callable[[typing.Any], bool]


@attrs.frozen(kw_only=True)
class Page:
    """One page of the list.

    :ivar entries: as they came
    :ivar next: the page that follows, or ``''`` if it is the last one
    """

    entries: list[typing.Any]
    next: str


def decode_page(body: bytes) -> Page:
    """Return what can be read of a page.

    :raises ValueError: if that does not tell whether another page follows
    """
    # Bytes that are no UTF-8 spoil the text they stand in, not the page.
    text = body.decode('utf-8', 'surrogateescape')
    try:
        page = json.loads(text)
    except (ValueError, RecursionError):
        return _salvage(text)
    if not isinstance(page, dict) or not isinstance(
        page.get('instances'), list
    ):
        raise ValueError('no list of instances')
    following = page.get('next') or ''
    if not isinstance(following, str):
        raise ValueError('the next page has no name')
    return Page(entries=page['instances'], next=following)


def decode(entry: typing.Any) -> pb.Instance | readings.RefusedEntry:
    """Return the instance that an entry names, or why it names none."""
    if not isinstance(entry, dict):
        return readings.RefusedEntry(reason='not an object')
    name = entry.get('id')
    known = name if _is_text(name) else ''
    for field, check in _REQUIRED.items():
        if field not in entry:
            return readings.RefusedEntry(
                id=known, reason=f'{field} is missing'
            )
        if not check(entry[field]):
            return readings.RefusedEntry(
                id=known, reason=f'{field} is unusable'
            )
    for field, check in _OPTIONAL.items():
        if field in entry and not check(entry[field]):
            return readings.RefusedEntry(
                id=known, reason=f'{field} is unusable'
            )
    return pb.Instance(
        id=entry['id'],
        service=entry['service'],
        address=entry['address'],
        domain=entry['zone'],
        leaving=entry['state'] == _LEAVING,
        slots=entry['slots'],
        cold_ms=min(math.ceil(entry['cold_remaining_ms']), _MOST_COLD_MS),
    )


def _salvage(text: str) -> Page:
    """Return the entries of a page that is no JSON as a whole."""
    following = _NEXT.search(text)
    if following is None:
        raise ValueError('not JSON, and its end is missing')
    named = json.loads(following[1])
    decoder = json.JSONDecoder()
    entries: list[typing.Any] = []
    position = text.find('[')
    while (position := text.find('{', position)) >= 0:
        try:
            entry, position = decoder.raw_decode(text, position)
        except (ValueError, RecursionError):
            position += 1
            continue
        entries.append(entry)
    # The entry that spoiled the page names nothing, and is counted.
    return Page(entries=[*entries, None], next=named or '')


def _is_text(value: typing.Any) -> bool:
    return isinstance(value, str) and value != '' and value.isprintable()


def _is_whole(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_slots(value: typing.Any) -> bool:
    return _is_whole(value) and 1 <= value <= _MOST_SLOTS


def _is_time_left(value: typing.Any) -> bool:
    if _is_whole(value):
        return value >= 0
    return isinstance(value, float) and math.isfinite(value) and value >= 0


def _is_state(value: typing.Any) -> bool:
    return isinstance(value, str) and value in _STATES


def _is_address(value: typing.Any) -> bool:
    if not _is_text(value):
        return False
    host, _, port = value.rpartition(':')
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= _MOST_PORT


def _is_list(value: typing.Any) -> bool:
    return isinstance(value, list)


_REQUIRED: dict[str, Check] = {
    'id': _is_text,
    'service': _is_text,
    'address': _is_address,
    'zone': _is_text,
    'version': _is_text,
    'slots': _is_slots,
    'state': _is_state,
    'cold_remaining_ms': _is_time_left,
}
# What only entries of engines have.
_OPTIONAL: dict[str, Check] = {'stage': _is_text, 'models': _is_list}
