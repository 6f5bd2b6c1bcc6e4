"""What a request may have in common with others that crash instances."""

import collections.abc
import hashlib

import attrs

from honeyport.policy import fingerprints


# Parts of one prompt that are considered; further ones are left out.
MAX_PARTS = 256


@attrs.frozen
class Traits:
    """A request as others see it, whatever its id.

    :ivar fingerprint: identifies it also if it is sent again
        (:mod:`honeyport.policy.fingerprints`)
    :ivar service: the service that it is sent to
    :ivar account: the client account, or ``''`` on a public route
    :ivar parts: ids of its prompt parts in order, without the last one, which
        no other request has
    """

    fingerprint: str
    service: str = ''
    account: str = ''
    parts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PartSet:
    """Requests to a service whose prompts have certain parts.

    :ivar parts: ids of the parts that each of them has, sorted
    """

    service: str
    parts: tuple[str, ...]

    @property
    def key(self) -> str:
        """An identifier in the format of a fingerprint, in hexadecimal."""
        digest = hashlib.sha256()
        for field in (self.service, *self.parts):
            encoded = field.encode()
            # The length makes the boundaries of the fields unambiguous.
            digest.update(len(encoded).to_bytes(4, 'big'))
            digest.update(encoded)
        return digest.digest()[: fingerprints.LENGTH_BYTES].hex()

    def matches(self, request: Traits) -> bool:
        """Whether a request is one of them."""
        return request.service == self.service and set(self.parts).issubset(
            request.parts
        )

    def covers(self, other: 'PartSet') -> bool:
        """Whether all requests of another set belong to it."""
        return other.service == self.service and set(self.parts).issubset(
            other.parts
        )

    def __str__(self) -> str:
        return f'{"+".join(self.parts)} ({self.service})'


def take_with_parts(
    requests: collections.abc.Iterable[Traits], max_parts: int
) -> list[Traits]:
    """Return requests that have prompt parts, up to a number of parts.

    :param max_parts: maximum number of parts of all of them
    """
    taken = []
    for request in requests:
        max_parts -= len(request.parts)
        if max_parts < 0:
            break
        if request.parts:
            taken.append(request)
    return taken
