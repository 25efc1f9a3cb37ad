"""The tree along which the committed state is replicated. Each node computes its parent from who is present.

The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..policy.hashing import mix

CHILDREN_PER_NODE = 8
ORDER_SALT = 5
HASHED_BYTES = 8  # length of the end of a name that is hashed


def parent_of(node: str, others: Iterable[str], voters: Iterable[str]) -> str:
    """Returns the node that `node` pulls from if its own voter does not lead; empty if there is none.

    Voters are at the top. All other nodes follow in the order of a hash, which keeps their positions largely
    stable when nodes come and go.

    >>> parent_of("c", ["a", "b"], ["a"]), parent_of("a", ["b"], ["a", "b"])
    ('a', 'b')
    """
    present = {*others, node}
    present_voters = sorted(present.intersection(voters))
    if node in present_voters:
        other_voters = [voter for voter in present_voters if voter != node]
        return other_voters[0] if other_voters else ""
    non_voters = sorted(present.difference(present_voters), key=tree_order)
    position = non_voters.index(node)
    voter_children = len(present_voters) * CHILDREN_PER_NODE
    if position < voter_children:
        return present_voters[position % len(present_voters)]
    return non_voters[(position - voter_children) // CHILDREN_PER_NODE]


def tree_order(node: str) -> int:
    """Returns the hash by which nodes are ordered in the tree."""
    return mix(int.from_bytes(node.encode()[-HASHED_BYTES:], "little"), ORDER_SALT)
