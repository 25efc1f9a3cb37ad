"""Which updates ride on the next message (SWIM §4.1, infection-style dissemination).

Each update is sent about as often as it takes until most likely every node has it, which grows with the
logarithm of their number.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2

from .members import MembershipUpdate

RETRANSMIT_FACTOR = 3.0  # times the logarithm of the number of nodes
MAX_UPDATES_PER_MESSAGE = 10


@dataclass(slots=True)
class QueuedUpdate:
    update: MembershipUpdate
    times_sent: int = 0


class UpdateQueue:
    """The latest update of each node that is still to be sent."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: MembershipUpdate) -> None:
        """Queues an update in place of an older one of the same node."""
        self._queued[update.name] = QueuedUpdate(update)

    def fill(self, updates: list[MembershipUpdate], node_count: int) -> None:
        """Adds the updates sent least often until the message is full, and counts them as sent."""
        max_times = ceil(RETRANSMIT_FACTOR * log2(node_count + 1))
        for queued in sorted(self._queued.values(), key=lambda queued: queued.times_sent):
            if len(updates) >= MAX_UPDATES_PER_MESSAGE:
                break
            if queued.update not in updates:
                updates.append(queued.update)
            queued.times_sent += 1
            if queued.times_sent >= max_times:
                del self._queued[queued.update.name]
