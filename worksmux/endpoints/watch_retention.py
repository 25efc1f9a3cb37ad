"""Which watches are kept open while none of them delivers anything.

A slow watch cannot be told from a dead one while both are silent. If each watch is closed after a fixed time,
nothing is ever received from a source that is slower; if a dead one is kept, no other is tried. So new
watches are opened beside the older ones, and once too many are open one of them makes room for the next:

- the oldest, once it has been silent for longer than a timeout, which doubles each time (exponential
  backoff);
- else one of the others, such that the ages of those that are left stay spaced like a geometric series. So at
  each moment one watch is old enough for a source of about any delay below the timeout.

No I/O; times are milliseconds on this node's clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .watch_progress import WatchProgress


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """Limits of the watches that have not delivered anything yet."""

    max_watches: int
    min_timeout_ms: float  # of the oldest watch's silence
    max_timeout_ms: float


class WatchRetention:
    """Chooses the watch that makes room for another one."""

    def __init__(self, limits: RetentionLimits) -> None:
        self.limits = limits
        self.timeout_ms = limits.min_timeout_ms

    def reset(self) -> None:
        """Begins with the shortest timeout again, after a watch has delivered or the source has moved."""
        self.timeout_ms = self.limits.min_timeout_ms

    def make_room(self, watches: Sequence[WatchProgress], now_ms: float) -> int | None:
        """Returns the index of the watch to close before another is opened, or None if there is room.

        Args:
            watches: the open watches that have not delivered anything, oldest first.
            now_ms: the present time.
        """
        if len(watches) < self.limits.max_watches:
            return None
        if watches[0].silence_ms(now_ms) > self.timeout_ms:
            self.timeout_ms = min(2 * self.timeout_ms, self.limits.max_timeout_ms)
            return 0
        return min(range(1, len(watches)), key=lambda index: _age_ratio_without(watches, index, now_ms))


def _age_ratio_without(watches: Sequence[WatchProgress], index: int, now_ms: float) -> float:
    """Returns the ratio of the ages that are neighbours if this watch is closed.

    The youngest watch is its own younger neighbour: the next one will have its age when room is made again.
    """
    younger = index + 1 if index + 1 < len(watches) else index
    return watches[index - 1].age_ms(now_ms) / max(1.0, watches[younger].age_ms(now_ms))
