"""A front's doubt of itself (Lifeguard, Dadgar, Phillips and Currey 2018): one that is slow or starved
gives others more time before it accuses them.  Pure.
"""

from __future__ import annotations

MOST = 8


class Health:
    """`level` 0: it has no reason to doubt itself.

    >>> health = Health(); health.worse(); health.worse(); health.better(); health.level, health.factor
    (1, 2)
    """

    def __init__(self) -> None:
        self.level = 0

    def worse(self, by: int = 1) -> None:
        """A probe failed, a helper did not say so, it was accused itself, or its own clock rang late."""
        self.level = min(MOST, self.level + by)

    def better(self) -> None:
        """A probe was answered in time."""
        self.level = max(0, self.level - 1)

    @property
    def factor(self) -> int:
        """Times its patience with others."""
        return 1 + self.level
