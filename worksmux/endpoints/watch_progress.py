"""How far a watch on the source of the endpoint list has come, and why it ended.

No I/O; times are milliseconds on this node's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class WatchStage(Enum):
    """The stages of a watch, in their order; a protocol without response heads has no `HEAD`."""

    CONNECTED = "connected"
    HEAD = "head"
    FIRST_BYTE = "first_byte"
    FIRST_EVENT = "first_event"  # an object or a heartbeat
    FIRST_OBJECT = "first_object"


class WatchEnd(Enum):
    """Why a watch ended."""

    LOST = "lost"  # by the remote side, or the connection was never established
    REFUSED = "refused"  # the response has another status than 200
    CORRUPT = "corrupt"  # an event could not be parsed
    REPLACED = "replaced"  # another watch delivered an event
    NO_ROOM = "no_room"  # closed to open another watch, as too many were open without an event
    BEHIND = "behind"  # its list is older than that of the watch in use
    SILENT = "silent"  # another watch works, and this one stayed silent
    BUFFER_LIMIT = "buffer_limit"  # the incomplete objects of all watches exceeded their limit
    MOVED = "moved"  # the source has a new address
    STOPPED = "stopped"  # the process ends


@dataclass(slots=True)
class WatchProgress:
    """When one watch reached its stages."""

    opened_at_ms: float
    last_data_at_ms: float = 0.0  # of the last received bytes or stage; the opening before that
    reached_at_ms: dict[WatchStage, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Counts the opening as the first sign of the watch."""
        self.last_data_at_ms = self.opened_at_ms

    def reach(self, stage: WatchStage, now_ms: float) -> bool:
        """Records a stage; returns whether it was reached for the first time."""
        self.last_data_at_ms = now_ms
        if stage in self.reached_at_ms:
            return False
        self.reached_at_ms[stage] = now_ms
        return True

    def has_reached(self, stage: WatchStage) -> bool:
        """Whether the watch has come to this stage."""
        return stage in self.reached_at_ms

    def age_ms(self, now_ms: float) -> float:
        """Time since the watch was opened."""
        return now_ms - self.opened_at_ms

    def silence_ms(self, now_ms: float) -> float:
        """Time since the last received bytes."""
        return now_ms - self.last_data_at_ms

    def is_receiving(self, now_ms: float, within_ms: float) -> bool:
        """Whether response data came within the last `within_ms`."""
        return self.has_reached(WatchStage.FIRST_BYTE) and self.silence_ms(now_ms) <= within_ms

    def time_delivering_ms(self, now_ms: float) -> float:
        """Time since the first event, 0 without one."""
        return now_ms - self.reached_at_ms.get(WatchStage.FIRST_EVENT, now_ms)

    def log_fields(self, now_ms: float) -> dict[str, int | None]:
        """Returns the ms from the opening to each stage, None for one not reached, and age and silence."""
        fields: dict[str, int | None] = {}
        for stage in WatchStage:
            reached_at_ms = self.reached_at_ms.get(stage)
            fields[f"{stage.value}_ms"] = (
                None if reached_at_ms is None else round(reached_at_ms - self.opened_at_ms)
            )
        return fields | {"age_ms": round(self.age_ms(now_ms)), "silent_ms": round(self.silence_ms(now_ms))}
