"""Hash keys of engine names."""

from __future__ import annotations

import xxhash


def key_of(name: bytes) -> int:
    """Returns the 64-bit hash key of an engine's name, which is the same on every node.

    Failure: the policy's hash takes 64 bits of input. Names such as "n1-reader-1" and "n2-reader-1" end in
    the same bytes, so that their last 8 bytes as a number collide, and one engine gets the requests of both.
    Hashing the full name keeps the keys apart.

    >>> key_of(b"n1-reader-1") != key_of(b"n2-reader-1") and key_of(b"e") < 2**64
    True
    """
    return xxhash.xxh3_64_intdigest(name)
