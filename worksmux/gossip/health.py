"""The local health multiplier: a node that is slow itself gives others more time (Lifeguard, LHA-Probe).
Pure."""

from __future__ import annotations

MAX_LEVEL = 8


class LocalHealth:
    """`level` 0 is healthy; each level above lengthens the timeouts that this node applies to others.

    >>> health = LocalHealth(); health.degrade(); health.degrade(); health.improve()
    >>> health.level, health.timeout_multiplier
    (1, 2)
    """

    def __init__(self) -> None:
        self.level = 0

    def degrade(self, by: int = 1) -> None:
        """A probe failed, a helper was silent, this node was suspected itself, or its timer fired late."""
        self.level = min(MAX_LEVEL, self.level + by)

    def improve(self) -> None:
        """A probe was answered in time."""
        self.level = max(0, self.level - 1)

    @property
    def timeout_multiplier(self) -> int:
        return 1 + self.level
