"""Who keeps copies of whose account, and what is asked for: so that any front answers for all, the dead too.
Free of I/O.

Each front's keepers are the first `KEEPERS` of all names by a hash of both, whether they are there or not, so
that all agree on them without a word; one that is gone is asked in vain, one that comes asks anew.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

KEEPERS = 2
MOST = 200  # records in one answer
MOST_BYTES = 300_000


class Want(msgspec.Struct, tag="want"):
    """The records of a front's account after an index, as far as the one asked has them."""

    front: str
    after: int
    number: int = 0  # of a question that is waited for; 0: for a copy


class Have(msgspec.Struct, tag="have"):
    front: str
    after: int
    records: list[bytes]
    last: int  # the newest that the one asked has
    number: int = 0


Message = Want | Have


def keepers(front: str, fronts: Iterable[str]) -> list[str]:
    """
    >>> all(len(keepers(name, "abcd")) == 2 and name not in keepers(name, "abcd") for name in "abcd")
    True
    """
    others = sorted(
        set(fronts) - {front}, key=lambda name: xxhash.xxh3_64_intdigest(f"{front}\0{name}".encode())
    )
    return others[:KEEPERS]


def page(records: list[bytes]) -> list[bytes]:
    """As many as fit into one answer, one at least."""
    found: list[bytes] = []
    size = 0
    for data in records[:MOST]:
        size += len(data)
        if found and size > MOST_BYTES:
            break
        found.append(data)
    return found
