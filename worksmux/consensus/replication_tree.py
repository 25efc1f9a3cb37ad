"""The tree along which the committed state is replicated: each node computes its place from who is present.
Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ..policy.hashing import mix

CHILDREN_PER_NODE = 8
ORDER_SALT = 5
HASHED_BYTES = 8  # of the end of a name


def parent_of(node: str, others: Iterable[str], voters: Iterable[str]) -> str:
    """The node that `node` pulls from if its own voter does not lead; empty if there is none.

    Voters are at the top. All others come below in the order of a hash, which keeps their places when nodes
    come and go.

    >>> parent_of("c", ["a", "b"], ["a"]), parent_of("a", ["b"], ["a", "b"])
    ('a', 'b')
    """
    present = {*others, node}
    top = sorted(present.intersection(voters))
    if node in top:
        other_voters = [voter for voter in top if voter != node]
        return other_voters[0] if other_voters else ""
    below = sorted(present.difference(top), key=place_of)
    position = below.index(node)
    top_places = len(top) * CHILDREN_PER_NODE
    if position < top_places:
        return top[position % len(top)]
    return below[(position - top_places) // CHILDREN_PER_NODE]


def place_of(node: str) -> int:
    """A node's place in the order of the tree."""
    return mix(int.from_bytes(node.encode()[-HASHED_BYTES:], "little"), ORDER_SALT)
