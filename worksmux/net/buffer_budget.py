"""Counts the bytes that connections of one kind buffer together.  Free of I/O."""

from __future__ import annotations

from collections.abc import Hashable

UNCHARGED_BYTES = 1024  # of each connection, so that usual heads and event streams cost nothing to count


class BufferBudget:
    """The sum of what connections buffer, each beyond `UNCHARGED_BYTES`."""

    def __init__(self) -> None:
        self.total_bytes = 0
        self._peak_bytes = 0
        self._charged: dict[Hashable, int] = {}  # bytes, by connection

    def update(self, connection: Hashable, buffered_bytes: int) -> None:
        """Sets how many bytes a connection buffers."""
        charged = buffered_bytes - UNCHARGED_BYTES
        if charged <= 0:
            return self.remove(connection)
        self.total_bytes += charged - self._charged.get(connection, 0)
        self._charged[connection] = charged
        self._peak_bytes = max(self._peak_bytes, self.total_bytes)

    def remove(self, connection: Hashable) -> None:
        """Removes a connection that buffers nothing any more."""
        self.total_bytes -= self._charged.pop(connection, 0)

    def take_peak(self) -> int:
        """Returns the largest sum in bytes since the last call."""
        peak_bytes, self._peak_bytes = self._peak_bytes, self.total_bytes
        return peak_bytes
