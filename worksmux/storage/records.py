"""Checksums of records, and the manifest that says what a whole table contains. Pure, no I/O.

SQLite notices a torn write, but takes a flipped bit inside a page for data. Each record therefore carries a
checksum of its table, key and value, and each table has a manifest with the number of its records and the sum
of their checksums. A record that fails its checksum is left out. A table that disagrees with its manifest is
reported as not whole, and the reader decides what it is still worth.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

UINT64_MASK = 0xFFFFFFFFFFFFFFFF
SQLITE_INTEGER_MASK = UINT64_MASK >> 1  # SQLite's integers are signed: the top bit is not stored
SEAL_BYTES = 8  # a manifest's own checksum, in front of its bytes

StoredRecord = tuple[str, bytes, int]  # key, value, checksum as SQLite holds it


class Manifest(msgspec.Struct):
    """What a table must contain."""

    record_count: int = msgspec.field(name="count")
    checksum_sum: int = msgspec.field(name="total")  # modulo 2**64
    saved_at_ms: float = msgspec.field(name="saved_at")  # since 1970

    def add(self, record_checksum: int) -> None:
        """Counts a record in."""
        self.record_count += 1
        self.checksum_sum = (self.checksum_sum + record_checksum) & UINT64_MASK

    def remove(self, record_checksum: int) -> None:
        """Counts a record out."""
        self.record_count -= 1
        self.checksum_sum = (self.checksum_sum - record_checksum) & UINT64_MASK


@dataclass
class Table:
    """What was read of one table."""

    values: dict[str, bytes] = field(default_factory=dict)
    saved_at_ms: float = 0.0  # since 1970; 0 without a valid manifest
    is_complete: bool = False  # a valid manifest is there and agrees with the records
    corrupt_records: int = 0  # records left out


def checksum(table: str, key: str, value: bytes) -> int:
    """64 bits over a record; the lengths keep table and key apart.

    >>> checksum("a", "b", b"c") != checksum("ab", "", b"c")
    True
    """
    head = f"{len(table)}:{table}{len(key)}:{key}".encode()
    return xxhash.xxh3_64_intdigest(head + value)


def stored_checksum(table: str, key: str, value: bytes) -> int:
    """The checksum as SQLite holds it beside the record."""
    return checksum(table, key, value) & SQLITE_INTEGER_MASK


def seal_manifest(manifest: Manifest) -> bytes:
    """The stored form of a manifest: its bytes with their own checksum in front."""
    encoded = msgspec.msgpack.encode(manifest)
    return _seal(encoded) + encoded


def unseal_manifest(data: bytes) -> Manifest | None:
    """The manifest, or None if its checksum or its form is wrong."""
    encoded = data[SEAL_BYTES:]
    if not encoded or data[:SEAL_BYTES] != _seal(encoded):
        return None
    try:
        return msgspec.msgpack.decode(encoded, type=Manifest)
    except msgspec.DecodeError:
        return None


def _seal(encoded: bytes) -> bytes:
    return xxhash.xxh3_64_intdigest(encoded).to_bytes(SEAL_BYTES, "little")


def verify_table(name: str, records: Iterable[StoredRecord], manifest: Manifest | None) -> Table:
    """Checks records against their checksums and the whole against the manifest."""
    table = Table()
    actual = Manifest(0, 0, 0.0)
    for key, value, stored in records:
        if stored_checksum(name, key, value) != stored:
            table.corrupt_records += 1
            continue
        table.values[key] = value
        actual.add(checksum(name, key, value))
    if manifest is not None:
        table.saved_at_ms = manifest.saved_at_ms
        table.is_complete = (
            not table.corrupt_records
            and manifest.record_count == len(table.values)
            and manifest.checksum_sum == actual.checksum_sum
        )
    return table
