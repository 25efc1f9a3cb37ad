"""Records with checksums, grouped in tables whose manifests say what the whole must be.  Pure, no I/O.

SQLite keeps a torn write out, yet takes a flipped bit in a page for data.  So each record carries a checksum
of its table, key and value, and each table a manifest: how many records, and the sum of their checksums.  A
record that fails is left out; a table whose manifest fails is told as broken, and whoever reads it decides
what that is worth.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import xxhash

WORD = 0xFFFFFFFFFFFFFFFF


class Manifest(msgspec.Struct):
    """What a table must be; `saved_at` is milliseconds since 1970."""

    count: int
    total: int
    saved_at: float


@dataclass
class Table:
    """What was read of one table."""

    values: dict[str, bytes] = field(default_factory=dict)
    saved_at: float = 0.0
    whole: bool = False  # the manifest is there and agrees
    bad: int = 0  # records left out


def checksum(table: str, key: str, value: bytes) -> int:
    """
    >>> checksum("a", "b", b"c") != checksum("ab", "", b"c")
    True
    """
    head = f"{len(table)}:{table}{len(key)}:{key}".encode()
    return xxhash.xxh3_64_intdigest(head + value)


def seal(value: bytes) -> bytes:
    """A manifest's bytes with their own checksum in front."""
    return xxhash.xxh3_64_intdigest(value).to_bytes(8, "little") + value


def unseal(data: bytes) -> bytes | None:
    value = data[8:]
    return (
        value if len(data) > 8 and data[:8] == xxhash.xxh3_64_intdigest(value).to_bytes(8, "little") else None
    )


def check(table: str, rows: list[tuple[str, bytes, int]], manifest: bytes | None) -> Table:
    """Rows as they were read, against their checksums and the manifest."""
    found = Table()
    total = 0
    for key, value, stored in rows:
        own = checksum(table, key, value)
        if own & (WORD >> 1) != stored:
            found.bad += 1
            continue
        found.values[key] = value
        total = (total + own) & WORD
    plain = unseal(manifest) if manifest is not None else None
    if plain is not None:
        try:
            told = msgspec.msgpack.decode(plain, type=Manifest)
        except msgspec.DecodeError:
            return found
        found.saved_at = told.saved_at
        found.whole = not found.bad and told.count == len(found.values) and told.total == total
    return found
