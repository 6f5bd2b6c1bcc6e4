"""What a ``Retry-After`` header says (RFC 9110, section 10.2.3)."""

import email.utils
import math
import time

# Answers that turn a request away and may name a time until the next one.
_TURNED_AWAY = frozenset((429, 503))


def is_rejection(status: int) -> bool:
    """Whether an answer's status says that the request was turned away."""
    return status in _TURNED_AWAY


def requested_s(status: int, text: str) -> float | None:
    """Return for how long who answers wants nothing, or ``None``.

    :param status: of the answer
    :param text: the value of its header, or ``''``
    """
    return parse_s(text) if is_rejection(status) else None


def parse_s(text: str) -> float | None:
    """Return the time that a header names, or ``None`` if it names none.

    Platforms write fractions as well. A date counts from the time of day
    here. Times that are over, or not a number, ask for nothing.

    :param text: the header's value, or ``''``
    :returns: more than 0; ``inf`` where the header says so
    """
    text = text.strip()
    try:
        left_s = float(text)
    except ValueError:
        left_s = _until(text) - time.time()
    if math.isnan(left_s) or left_s <= 0:
        return None
    return left_s


def _until(date: str) -> float:
    """Return a date in seconds since the epoch; long ago if it is none."""
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, OverflowError):
        return float('-inf')
