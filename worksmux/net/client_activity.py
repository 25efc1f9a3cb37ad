"""Counts of what clients have sent since a moment, for the log line of a late event loop."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClientActivity:
    """Connections accepted, reads made and complete requests handled; durations are in milliseconds."""

    connections: int = 0
    reads: int = 0
    read_bytes: int = 0
    read_ms: float = 0.0  # in which the reads were handled
    longest_read_ms: float = 0.0
    requests: int = 0

    def add_read(self, size: int, duration_ms: float) -> None:
        """Adds one read of `size` bytes."""
        self.reads += 1
        self.read_bytes += size
        self.read_ms += duration_ms
        self.longest_read_ms = max(self.longest_read_ms, duration_ms)

    def log_fields(self) -> dict[str, float]:
        """Returns the counts as fields of a log line."""
        return {
            "client_connections": self.connections,
            "client_reads": self.reads,
            "client_bytes": self.read_bytes,
            "client_read_ms": round(self.read_ms, 1),
            "longest_client_read_ms": round(self.longest_read_ms, 1),
            "client_requests": self.requests,
        }
