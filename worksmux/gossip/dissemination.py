"""Selects the membership updates that the next message carries (SWIM §4.1, infection-style dissemination).

Each update is sent as often as it takes for very likely every node to have it. That number grows with the
logarithm of the number of nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2

from .members import MembershipUpdate

RETRANSMIT_FACTOR = 3.0  # transmissions of an update, per log2 of the number of nodes
MAX_UPDATES_PER_MESSAGE = 10


@dataclass(slots=True)
class QueuedUpdate:
    """An update to be sent, and how many messages have carried it."""

    update: MembershipUpdate
    times_sent: int = 0


class UpdateQueue:
    """Holds the latest update of each node that is still to be sent."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: MembershipUpdate) -> None:
        """Queues an update in place of an older one of the same node."""
        self._queued[update.name] = QueuedUpdate(update)

    def fill(self, updates: list[MembershipUpdate], node_count: int) -> None:
        """Adds the least often sent updates until the message is full, and counts them as sent."""
        max_transmissions = ceil(RETRANSMIT_FACTOR * log2(node_count + 1))
        for queued in sorted(self._queued.values(), key=lambda queued: queued.times_sent):
            if len(updates) >= MAX_UPDATES_PER_MESSAGE:
                break
            if queued.update not in updates:
                updates.append(queued.update)
            queued.times_sent += 1
            if queued.times_sent >= max_transmissions:
                del self._queued[queued.update.name]
