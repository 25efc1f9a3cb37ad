"""Copies of audit logs on other nodes, so that any node can answer for all, also for those that are gone.
Free of I/O.

The holders of a node's copies are the first of all other nodes by a hash of both names (rendezvous
hashing), whether they are present or not. So all nodes agree on them without a message; a holder that comes
back asks for what it lacks.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

COPIES_PER_NODE = 2
MAX_RECORDS_PER_REPLY = 200
MAX_REPLY_BYTES = 300_000
COPY_QUERY = 0  # the query number of a request that fetches records for a copy


class CopyRequest(msgspec.Struct, tag="want"):
    """Asks for the records of a node's log after an index, as far as the receiver has them."""

    node: str = msgspec.field(name="front")
    after_index: int = msgspec.field(name="after")
    query_number: int = msgspec.field(default=COPY_QUERY, name="number")


class CopyReply(msgspec.Struct, tag="have"):
    """`records` are encoded; `last_index` is the newest that the sender has."""

    node: str = msgspec.field(name="front")
    after_index: int = msgspec.field(name="after")
    records: list[bytes]
    last_index: int = msgspec.field(name="last")
    query_number: int = msgspec.field(default=COPY_QUERY, name="number")


Message = CopyRequest | CopyReply


def copy_holders(node: str, nodes: Iterable[str]) -> list[str]:
    """The nodes that hold copies of a node's log.

    >>> holders = {node: copy_holders(node, "abcd") for node in "abcd"}
    >>> all(len(found) == COPIES_PER_NODE and node not in found for node, found in holders.items())
    True
    """

    def score(other: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{node}\0{other}".encode())

    return sorted(set(nodes) - {node}, key=score)[:COPIES_PER_NODE]


def first_page(records: list[bytes]) -> list[bytes]:
    """As many records as fit into one reply, but at least one if there is any."""
    page: list[bytes] = []
    size = 0
    for record in records[:MAX_RECORDS_PER_REPLY]:
        size += len(record)
        if page and size > MAX_REPLY_BYTES:
            break
        page.append(record)
    return page
