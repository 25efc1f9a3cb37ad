"""Identifies prompt prefixes by chained hashes over blocks of token ids, and finds the shared prefixes.

The chain is the usual one of engines with a paged KV cache: the hash of a block covers its ids and the
previous hash, so that equal hashes mean equal prefixes.  The version of the tokenizer seeds the chain.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Sequence

import xxhash

WIDTH = array("I").itemsize


def block_hashes(ids: bytes, block: int, seed: int) -> list[int]:
    """The hash of each complete block of `block` ids; ids are packed as native unsigned ints.

    >>> a, b = (block_hashes(array("I", [1, 2, 3, 4, last]).tobytes(), 2, 7) for last in (5, 6))
    >>> a == b, len(a), block_hashes(array("I", [1, 2, 3, 9]).tobytes(), 2, 7)[0] == a[0]
    (True, 2, True)
    """
    step, hashes, last = block * WIDTH, [], seed & 0xFFFFFFFFFFFFFFFF
    for start in range(0, len(ids) - step + 1, step):
        last = xxhash.xxh3_64_intdigest(ids[start : start + step], last)
        hashes.append(last)
    return hashes


class SharedPrefixes:
    """Finds how much of a prompt is a prefix that several sessions share.

    At most `bound` blocks are remembered; the least recently used block is forgotten first.  A block is
    shared after `sessions` different sessions.  For each block only its last session and the number of
    changes of session are kept, not the set of sessions.
    """

    def __init__(self, bound: int, sessions: int = 2) -> None:
        self.bound, self.sessions = bound, sessions
        # By block hash: the last session, and the number of changes of session plus one.
        self.seen: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def observe(self, hashes: Sequence[int], session: int) -> int:
        """Records the blocks of one prompt of `session`; returns how many of its first blocks are shared.

        For a request without a session the caller passes a number that it never uses again.
        """
        depth = 0
        for index, block in enumerate(hashes):
            last, count = self.seen.pop(block, (session, 1))
            if last != session:
                last, count = session, count + 1
            self.seen[block] = (last, count)
            if count >= self.sessions and depth == index:
                depth = index + 1
        while len(self.seen) > self.bound:
            self.seen.popitem(last=False)
        return depth
