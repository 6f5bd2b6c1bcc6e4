"""Fingerprints of requests that are independent of their ids.

A request that a caller sends again has a new id, but the same account, host,
path and body. A query distinguishes requests only if there is no body. Headers
never do, since client libraries may vary them.
"""

import hashlib

# Length of the truncated hash. A collision takes 2**64 tries to find, and its
# requests are of one client account, which is part of what is hashed.
LENGTH_BYTES = 16


def compute(account: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal.

    :param account: the client account, or ``''`` on a public route
    :param target: path and query
    """
    path = target.partition('?')[0]
    digest = hashlib.sha256()
    for part in (account, host, path if body else target):
        encoded = part.encode()
        # The length makes the boundaries of the parts unambiguous.
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(body)
    return digest.digest()[:LENGTH_BYTES].hex()
