"""The hash key of an engine's name."""

from __future__ import annotations

import xxhash


def key_of(address: bytes) -> int:
    """The 64-bit key under which an engine is hashed, the same at every node.

    Failure: the policy's hash takes 64 bits of its input. The last bytes of names such as "n1-reader-1" and
    "n2-reader-1" are the same, so that taken as a number they collide and one engine gets the requests of
    both.

    >>> key_of(b"n1-reader-1") != key_of(b"n2-reader-1") and key_of(b"e") < 2**64
    True
    """
    return xxhash.xxh3_64_intdigest(address)
