"""Engines ranked for a key by weighted rendezvous hashing, as far as the ranking is looked at.

Up to LEAF_ENGINES engines are ranked all together.  More of them lie in a binary tree by the bits of their
hashed keys, with LEAF_ENGINES at most in each leaf: for a key, the child that its hash and the children's
weights prefer comes first, and a leaf's engines are ranked when the ranking gets to them.  So the first
engine gets what its weight is due, an engine that comes or goes moves few keys as long as no leaf splits or
joins, and ranking costs no more among thousands.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate, islice
from math import log
from operator import attrgetter

from .hashing import hash_score, hash_scores, mix
from .state import Engine

# Where a leaf splits or joins many of its keys move, so this is far from most fleets' leaves.
LEAF_ENGINES = 512
KEY_BITS = 64  # of a hashed key
RANKED_AT_ONCE = 32  # engines taken from a ranking by an iteration over it


class _Node:
    """Engines whose hashed keys begin with the same bits."""

    __slots__ = ("start", "end", "weight", "path_hash", "children")

    def __init__(self, start: int, end: int, weight: float, path_hash: int) -> None:
        self.start, self.end = start, end  # a slice of the engines in the order of their hashed keys
        self.weight, self.path_hash = weight, path_hash
        self.children: tuple[_Node, ...] = ()


class Ranking:
    """The engines in the order that a key gives them, ranked when they are first needed."""

    def __init__(self, total: int, engines: Iterator[Engine]) -> None:
        self._total, self._engines = total, engines
        self._ranked: list[Engine] = []

    def __len__(self) -> int:
        return self._total

    def part(self, start: int, end: int) -> list[Engine]:
        missing = end - len(self._ranked)
        if missing > 0:
            self._ranked += islice(self._engines, missing)
        return self._ranked[start:end]

    def __iter__(self) -> Iterator[Engine]:
        start = 0
        while part := self.part(start, start + RANKED_AT_ONCE):
            yield from part
            start += RANKED_AT_ONCE


class RankedEngines:
    """Engines with their weights, as they were when this was made."""

    def __init__(self, engines: Sequence[Engine]) -> None:
        key_hash, weight = attrgetter("key_hash"), attrgetter("weight")
        self._engines = sorted(engines, key=key_hash) if len(engines) > LEAF_ENGINES else engines
        self._key_hashes: list[int] = list(map(key_hash, self._engines))
        self._weight_sums = [0.0, *accumulate(map(weight, self._engines))]
        self._root = self._node(0, len(self._engines), 0, 1)

    def _node(self, start: int, end: int, prefix: int, path: int) -> _Node:
        """`prefix` is the smallest hashed key of the node; `path` has its bits behind a leading one."""
        node = _Node(start, end, self._weight_sums[end] - self._weight_sums[start], mix(path, 5))
        depth = path.bit_length() - 1
        if end - start > LEAF_ENGINES and depth < KEY_BITS:
            half = prefix + (1 << KEY_BITS - 1 - depth)
            middle = bisect_left(self._key_hashes, half, start, end)
            node.children = tuple(
                self._node(*child)
                for child in ((start, middle, prefix, 2 * path), (middle, end, half, 2 * path + 1))
                if child[0] < child[1]
            )
        return node

    def ranked(self, key: int) -> Ranking:
        return Ranking(len(self._engines), self._walk(self._root, key))

    def _walk(self, node: _Node, key: int) -> Iterator[Engine]:
        if not node.children:
            yield from self._leaf(node, key)
            return
        for child in sorted(
            node.children, key=lambda child: -log(hash_score(key, child.path_hash)) / child.weight
        ):
            yield from self._walk(child, key)

    def _leaf(self, node: _Node, key: int) -> list[Engine]:
        leaf = slice(node.start, node.end)
        return rank(key, self._engines[leaf], self._key_hashes[leaf])


def rank(key: int, engines: Sequence[Engine], key_hashes: Sequence[int] | None = None) -> list[Engine]:
    """All of the engines by weighted rendezvous hashing; `key_hashes` are theirs, if at hand."""
    scores = hash_scores(key, [engine.key_hash for engine in engines] if key_hashes is None else key_hashes)
    ranks = [-log(score) / engine.weight for score, engine in zip(scores, engines, strict=True)]
    return [engines[at] for at in sorted(range(len(ranks)), key=ranks.__getitem__)]
