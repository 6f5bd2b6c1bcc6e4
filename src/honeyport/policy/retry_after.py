"""What a ``Retry-After`` header says (RFC 9110, section 10.2.3)."""

import email.utils
import math
import time


def seconds(text: str) -> float | None:
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
