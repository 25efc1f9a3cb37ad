"""Ranks engines for a key by weighted rendezvous hashing, only as far as the ranking is read.

Up to LEAF_ENGINES engines are ranked together.  More engines are kept in a binary tree by the bits of their
hashed keys, with at most LEAF_ENGINES in each leaf.  For each key the children of a node are ordered by
weighted rendezvous hashing, and the engines of a leaf are ranked once the ranking reaches the leaf.  So each
engine comes first in proportion to its weight, and ranking costs no more among thousands of engines.  An
engine that joins or leaves moves few keys, as long as no leaf splits or merges.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate, islice
from math import log
from operator import attrgetter

from .hashing import hash_score, hash_scores, mix
from .state import Engine

# A leaf that splits or merges moves many of its keys, so this is far above the leaf sizes of most fleets.
LEAF_ENGINES = 512
KEY_BITS = 64  # bits of a hashed key
RANKED_AT_ONCE = 32  # engines taken at a time by an iteration over a ranking


class _Node:
    """Node of the tree: engines whose hashed keys begin with the same bits."""

    __slots__ = ("start", "end", "weight", "path_hash", "children")

    def __init__(self, start: int, end: int, weight: float, path_hash: int) -> None:
        self.start, self.end = start, end  # slice of the engines sorted by hashed key
        self.weight, self.path_hash = weight, path_hash
        self.children: tuple[_Node, ...] = ()


class Ranking:
    """Engines in the order of a key, ranked when they are first read."""

    def __init__(self, total: int, engines: Iterator[Engine]) -> None:
        self._total, self._engines = total, engines
        self._ranked: list[Engine] = []

    def __len__(self) -> int:
        return self._total

    def ranked_slice(self, start: int, end: int) -> list[Engine]:
        """Returns the engines from rank `start` to below rank `end`."""
        missing_count = end - len(self._ranked)
        if missing_count > 0:
            self._ranked += islice(self._engines, missing_count)
        return self._ranked[start:end]

    def __iter__(self) -> Iterator[Engine]:
        start = 0
        while ranked_slice := self.ranked_slice(start, start + RANKED_AT_ONCE):
            yield from ranked_slice
            start += RANKED_AT_ONCE


class RankedEngines:
    """Engines that can be ranked, with their weights at the time of construction."""

    def __init__(self, engines: Sequence[Engine]) -> None:
        key_hash, weight = attrgetter("key_hash"), attrgetter("weight")
        self._engines = sorted(engines, key=key_hash) if len(engines) > LEAF_ENGINES else engines
        self._key_hashes: list[int] = list(map(key_hash, self._engines))
        self._weight_sums = [0.0, *accumulate(map(weight, self._engines))]
        self._root = self._node(0, len(self._engines), 0, 1)

    def _node(self, start: int, end: int, prefix: int, path: int) -> _Node:
        """Builds a node; `prefix` is its smallest hashed key, `path` a 1 and the leading bits of its keys."""
        node = _Node(start, end, self._weight_sums[end] - self._weight_sums[start], mix(path, 5))
        depth = path.bit_length() - 1
        if end - start > LEAF_ENGINES and depth < KEY_BITS:
            second_half_start = prefix + (1 << KEY_BITS - 1 - depth)
            middle = bisect_left(self._key_hashes, second_half_start, start, end)
            node.children = tuple(
                self._node(*child)
                for child in (
                    (start, middle, prefix, 2 * path),
                    (middle, end, second_half_start, 2 * path + 1),
                )
                if child[0] < child[1]
            )
        return node

    def ranked(self, key: int) -> Ranking:
        """Returns the ranking for a hashed key."""
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
    """Returns the engines by weighted rendezvous hashing; `key_hashes` are their hashed keys, if known."""
    scores = hash_scores(key, [engine.key_hash for engine in engines] if key_hashes is None else key_hashes)
    ranks = [-log(score) / engine.weight for score, engine in zip(scores, engines, strict=True)]
    return [engines[position] for position in sorted(range(len(ranks)), key=ranks.__getitem__)]
