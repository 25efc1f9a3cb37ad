"""Identity of beginnings: chained hashes over fixed-size blocks of token ids, and which of them sessions
share.

The chain is the usual one of engines that keep text by blocks: a block's hash covers its ids and the hash
before it, so that equal hashes mean equal beginnings.  Version and block size seed the chain.
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from collections.abc import Sequence

import xxhash

WIDTH = array("I").itemsize


def chain(ids: bytes, block: int, seed: int) -> list[int]:
    """The hash of each whole block of `block` ids, packed as native unsigned ints.

    >>> a, b = (chain(array("I", [1, 2, 3, 4, last]).tobytes(), 2, 7) for last in (5, 6))
    >>> a == b, len(a), chain(array("I", [1, 2, 3, 9]).tobytes(), 2, 7)[0] == a[0]
    (True, 2, True)
    """
    step, found, last = block * WIDTH, [], seed & 0xFFFFFFFFFFFFFFFF
    for start in range(0, len(ids) - step + 1, step):
        last = xxhash.xxh3_64_intdigest(ids[start : start + step], last)
        found.append(last)
    return found


class Shared:
    """Tells how much of a prompt several sessions begin with, from the block hashes that it has been shown.

    Keeps at most `bound` blocks, the longest unseen given up first; a block is shared once `sessions`
    different sessions have shown it.  Two hash bits of a block's first session and a count are kept, not the
    sessions.
    """

    def __init__(self, bound: int, sessions: int = 2) -> None:
        self.bound, self.sessions = bound, sessions
        self.seen: OrderedDict[int, tuple[int, int]] = (
            OrderedDict()
        )  # block: its last session, how many changes

    def show(self, hashes: Sequence[int], session: int) -> int:
        """How many blocks at the front are shared, after `session` has shown these; 0 for a job without
        session counts as a session of its own only through its caller, who passes a number that is never used
        again."""
        depth = 0
        for at, block in enumerate(hashes):
            last, count = self.seen.pop(block, (session, 1))
            if last != session:
                last, count = session, count + 1
            self.seen[block] = (last, count)
            if count >= self.sessions and depth == at:
                depth = at + 1
        while len(self.seen) > self.bound:
            self.seen.popitem(last=False)
        return depth
