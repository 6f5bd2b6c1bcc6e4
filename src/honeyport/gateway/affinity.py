"""In which order instances suit a prompt.

The last part of a prompt is the request's own; the one before it is what
returning requests share, and it decides: rendezvous hashing puts the same
prefix on the same instance everywhere.
"""

import collections.abc

from honeyport.gateway import headers as gateway_headers
from honeyport.router import placement

Parts = collections.abc.Sequence[gateway_headers.Part]


def order(parts: Parts, places: collections.abc.Iterable[str]) -> list[str]:
    """Return places, the one that suits a prompt best first.

    :param parts: not empty
    """
    found = list(places)
    deciding = parts[-2] if len(parts) > 1 else parts[-1]
    return placement.rank(deciding.id, found, len(found))


def shared(parts: Parts) -> Parts:
    """Return the parts that other requests have, too."""
    return parts[:-1]
