"""Decoding of the entries of the platform's instance list.

Each entry is validated by itself. Missing fields, wrong types, unknown states
and undecodable bytes refuse one entry and do not affect the others.
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

_DRAINING = 'draining'
_STATES = ('ready', _DRAINING)
_MAX_SLOTS = 2**31 - 1  # fits the message to the gateways
_MAX_PORT = 2**16 - 1
_MAX_COLD_MS = 2**31 - 1  # fits the message to the gateways
# The token of the next page, at the end of a page that is not valid JSON.
_NEXT_TOKEN = re.compile(r'"next"\s*:\s*(null|"[^"\\]*")\s*}\s*$')

Check = collections.abc.Callable[[typing.Any], bool]


@attrs.frozen(kw_only=True)
class Page:
    """One page of the list.

    :ivar entries: the JSON values of its entries, not validated
    :ivar next: the token of the next page, or ``''`` on the last page
    """

    entries: list[typing.Any]
    next: str


def decode_page(body: bytes) -> Page:
    """Decode a page; one that is not valid JSON is decoded in part.

    :raises ValueError: if its entries or the next page's token are unreadable
    """
    # Undecodable bytes invalidate the field that contains them, not the page.
    text = body.decode('utf-8', 'surrogateescape')
    try:
        page = json.loads(text)
    except (ValueError, RecursionError):
        return _decode_invalid_page(text)
    if not isinstance(page, dict) or not isinstance(
        page.get('instances'), list
    ):
        raise ValueError('instances is not a list')
    next_token = page.get('next') or ''
    if not isinstance(next_token, str):
        raise ValueError('next is not a string')
    return Page(entries=page['instances'], next=next_token)


def decode(entry: typing.Any) -> pb.Instance | readings.RefusedEntry:
    """Return the instance in an entry, or why the entry is refused."""
    if not isinstance(entry, dict):
        return readings.RefusedEntry(reason='not an object')
    raw_id = entry.get('id')
    instance_id = raw_id if _is_text(raw_id) else ''
    for field, check in _REQUIRED.items():
        if field not in entry:
            return readings.RefusedEntry(
                id=instance_id, reason=f'{field} is missing'
            )
        if not check(entry[field]):
            return readings.RefusedEntry(
                id=instance_id, reason=f'{field} is unusable'
            )
    for field, check in _OPTIONAL.items():
        if field in entry and not check(entry[field]):
            return readings.RefusedEntry(
                id=instance_id, reason=f'{field} is unusable'
            )
    return pb.Instance(
        id=entry['id'],
        service=entry['service'],
        address=entry['address'],
        domain=entry['zone'],
        leaving=entry['state'] == _DRAINING,
        slots=entry['slots'],
        version=entry['version'],
        cold_ms=min(math.ceil(entry['cold_remaining_ms']), _MAX_COLD_MS),
    )


def _decode_invalid_page(text: str) -> Page:
    """Return the decodable entries of a page that is not valid JSON.

    :raises ValueError: if the page is cut off before the next page's token
    """
    match = _NEXT_TOKEN.search(text)
    if match is None:
        raise ValueError('not JSON, and the next page is unknown')
    next_token = json.loads(match[1])
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
    # None stands for the undecodable entry, so that it counts as refused.
    return Page(entries=[*entries, None], next=next_token or '')


def _is_text(value: typing.Any) -> bool:
    return isinstance(value, str) and value != '' and value.isprintable()


def _is_integer(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_slot_count(value: typing.Any) -> bool:
    return _is_integer(value) and 1 <= value <= _MAX_SLOTS


def _is_duration(value: typing.Any) -> bool:
    if _is_integer(value):
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
    return 1 <= int(port) <= _MAX_PORT


def _is_list(value: typing.Any) -> bool:
    return isinstance(value, list)


_REQUIRED: dict[str, Check] = {
    'id': _is_text,
    'service': _is_text,
    'address': _is_address,
    'zone': _is_text,
    'version': _is_text,
    'slots': _is_slot_count,
    'state': _is_state,
    'cold_remaining_ms': _is_duration,
}
# Fields that only entries of engines have.
_OPTIONAL: dict[str, Check] = {'stage': _is_text, 'models': _is_list}
