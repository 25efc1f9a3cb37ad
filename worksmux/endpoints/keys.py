"""By which number an engine, or anything else with a speaking name, is hashed."""

from __future__ import annotations

import xxhash


def key_of(address: bytes) -> int:
    """The number by which an engine with a speaking name is hashed, the same at every front.

    Guards against names that end alike: the module's hash takes 64 bits, and the ends of such names as
    "n1-reader-1" and "n2-reader-1" are the same, so that one engine got what was due to both.

    >>> key_of(b"n1-reader-1") != key_of(b"n2-reader-1") and key_of(b"e") < 2**64
    True
    """
    return xxhash.xxh3_64_intdigest(address)
