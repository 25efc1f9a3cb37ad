"""The local health multiplier: a node that is slow itself gives others more time (Lifeguard, LHA-Probe).

The module does no I/O.
"""

from __future__ import annotations

MAX_LEVEL = 8


class LocalHealth:
    """This node's health level. 0 is healthy; each level above lengthens the timeouts applied to other nodes.

    >>> health = LocalHealth(); health.degrade(); health.degrade(); health.improve()
    >>> health.level, health.timeout_multiplier
    (1, 2)
    """

    def __init__(self) -> None:
        self.level = 0

    def degrade(self, by: int = 1) -> None:
        """Raises the level by `by`, up to MAX_LEVEL.

        The causes are a failed probe, a silent helper, a suspicion of this node and a late tick.
        """
        self.level = min(MAX_LEVEL, self.level + by)

    def improve(self) -> None:
        """Lowers the level by one after a probe that was answered in time."""
        self.level = max(0, self.level - 1)

    @property
    def timeout_multiplier(self) -> int:
        """Returns the factor by which timeouts are lengthened."""
        return 1 + self.level
