"""Parse the ``Retry-After`` header (RFC 9110, section 10.2.3)."""

import email.utils
import math
import time

# Statuses that reject a request and may have a ``Retry-After`` header.
_REJECTION_STATUSES = frozenset((429, 503))


def is_rejection(status: int) -> bool:
    """Whether an answer's status rejects the request for now."""
    return status in _REJECTION_STATUSES


def requested_backoff_s(status: int, text: str) -> float | None:
    """Return the backoff that an answer requests, or ``None``.

    :param status: of the answer
    :param text: the value of its ``Retry-After`` header, or ``''``
    :returns: in seconds, more than 0
    """
    return parse_delay_s(text) if is_rejection(status) else None


def parse_delay_s(text: str) -> float | None:
    """Return the delay in a header, or ``None`` if invalid or already past.

    Accepts fractions of seconds as well, which some platforms send. A date is
    compared with the local clock.

    :param text: the header's value, or ``''``
    :returns: in seconds, more than 0; may be ``inf``
    """
    text = text.strip()
    try:
        delay_s = float(text)
    except ValueError:
        delay_s = _parse_date(text) - time.time()
    if math.isnan(delay_s) or delay_s <= 0:
        return None
    return delay_s


def _parse_date(date: str) -> float:
    """Return a date in seconds since the epoch; ``-inf`` if invalid."""
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, OverflowError):
        return float('-inf')
