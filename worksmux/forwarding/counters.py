"""Interface of the counters that the forwarding code updates; gateway and node implement it."""

from __future__ import annotations

from typing import Protocol


class Counters(Protocol):
    """Counts events of requests and attempts; all durations are milliseconds."""

    def arrived(self, request_class: str) -> None:
        """Counts an accepted request."""

    def ended(
        self, request_class: str, answer: str, ms: float, first_ms: float | None, attempts: int
    ) -> None:
        """Counts a request that has its final answer; `first_ms` is its time to first token."""

    def attempt(self, stage: str) -> None:
        """Counts an attempt by stage: "read" (prefill), "write" (decode), "moot" if it was not sent."""

    def probe(self, outcome: str) -> None:
        """Counts a health check that ended."""

    def release(self) -> None:
        """Counts the start of a KV cache release."""

    def overdue(self) -> None:
        """Counts a request whose deadline passed before the policy answered it."""

    def decision_round(self, ms: float, events: int) -> None:
        """Counts a decision round over `events` events that took `ms`."""
