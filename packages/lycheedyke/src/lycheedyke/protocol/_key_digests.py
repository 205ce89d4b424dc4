"""Digests of the keys by which callers are identified.

Only digests are kept and sent to peers. Keys are drawn at random, so a digest
without a secret does not reveal them.
"""

import hashlib

DIGEST_BYTES = 16


def digest_key(key: str) -> bytes:
    """Returns the digest of a caller's key."""
    encoded = key.encode(errors='surrogateescape')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
