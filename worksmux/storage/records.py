"""Checksums of records, and the manifest that states what a complete table contains.

SQLite notices a torn write, but accepts a flipped bit inside a page as data. Each record therefore carries a
checksum of its table, key and value. Each table has a manifest with the number of its records and the sum of
their checksums. A record that fails its checksum is left out. A table that disagrees with its manifest is
reported as incomplete, and the caller decides whether to use its records. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

UINT64_MASK = 0xFFFFFFFFFFFFFFFF
SQLITE_INTEGER_MASK = UINT64_MASK >> 1  # SQLite integers are signed, so the top bit is not stored
SEAL_BYTES = 8  # length of the checksum that precedes an encoded manifest

StoredRecord = tuple[str, bytes, int]  # key, value, checksum as stored in SQLite


class Manifest(msgspec.Struct):
    """States how many records a table contains and what their checksums add up to."""

    record_count: int = msgspec.field(name="count")
    checksum_sum: int = msgspec.field(name="total")  # modulo 2**64
    saved_at_ms: float = msgspec.field(name="saved_at")  # since 1970

    def add(self, record_checksum: int) -> None:
        """Adds a record's checksum to the count and the sum."""
        self.record_count += 1
        self.checksum_sum = (self.checksum_sum + record_checksum) & UINT64_MASK

    def remove(self, record_checksum: int) -> None:
        """Subtracts a record's checksum from the count and the sum."""
        self.record_count -= 1
        self.checksum_sum = (self.checksum_sum - record_checksum) & UINT64_MASK


@dataclass
class Table:
    """The records that were read from one table, and whether they are all of it."""

    values: dict[str, bytes] = field(default_factory=dict)
    saved_at_ms: float = 0.0  # since 1970; 0 without a valid manifest
    is_complete: bool = False  # the manifest is valid and agrees with the records
    corrupt_records: int = 0  # records left out by their checksum; 1 if the table cannot be read


def checksum(table: str, key: str, value: bytes) -> int:
    """Returns a 64-bit checksum of a record. The lengths keep the table's name and the key apart.

    >>> checksum("a", "b", b"c") != checksum("ab", "", b"c")
    True
    """
    prefix = f"{len(table)}:{table}{len(key)}:{key}".encode()
    return xxhash.xxh3_64_intdigest(prefix + value)


def stored_checksum(table: str, key: str, value: bytes) -> int:
    """Returns the checksum of a record as SQLite stores it beside the record."""
    return checksum(table, key, value) & SQLITE_INTEGER_MASK


def seal_manifest(manifest: Manifest) -> bytes:
    """Encodes a manifest, preceded by the checksum of the encoded bytes."""
    encoded = msgspec.msgpack.encode(manifest)
    return _seal(encoded) + encoded


def unseal_manifest(data: bytes) -> Manifest | None:
    """Decodes a stored manifest; returns None if its checksum or its format is wrong."""
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
    """Checks each record against its checksum, and the table against its manifest."""
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
