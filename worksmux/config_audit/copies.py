"""Copies of audit logs on other nodes, so that any node can answer for all, including those that have gone.

The copies of a node's log are held by the nodes that come first in a hash of both names (rendezvous hashing).
All other nodes are candidates, whether they are present or not. So all nodes agree on the holders without a
message. A holder that returns requests the records that it lacks. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

COPIES_PER_NODE = 2
MAX_RECORDS_PER_REPLY = 200
MAX_REPLY_BYTES = 300_000
COPY_QUERY = 0  # query number of a request that fetches records for a stored copy


class CopyRequest(msgspec.Struct, tag="want"):
    """Requests the records of a node's log after an index, as far as the receiver has them."""

    node: str = msgspec.field(name="front")
    after_index: int = msgspec.field(name="after")
    query_number: int = msgspec.field(default=COPY_QUERY, name="number")


class CopyReply(msgspec.Struct, tag="have"):
    """Carries encoded records of a node's log. `last_index` is the newest index that the sender has."""

    node: str = msgspec.field(name="front")
    after_index: int = msgspec.field(name="after")
    records: list[bytes]
    last_index: int = msgspec.field(name="last")
    query_number: int = msgspec.field(default=COPY_QUERY, name="number")


Message = CopyRequest | CopyReply


def copy_holders(node: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes that hold copies of a node's log.

    >>> holders = {node: copy_holders(node, "abcd") for node in "abcd"}
    >>> all(len(names) == COPIES_PER_NODE and node not in names for node, names in holders.items())
    True
    """

    def score(other: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{node}\0{other}".encode())

    return sorted(set(nodes) - {node}, key=score)[:COPIES_PER_NODE]


def first_page(records: list[bytes]) -> list[bytes]:
    """Returns as many records as fit into one reply, and at least one if there is any."""
    page: list[bytes] = []
    size = 0
    for record in records[:MAX_RECORDS_PER_REPLY]:
        size += len(record)
        if page and size > MAX_REPLY_BYTES:
            break
        page.append(record)
    return page
