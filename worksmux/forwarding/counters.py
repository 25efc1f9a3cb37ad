"""What the forwarding code counts; each daemon keeps the figures in a form of its own."""

from __future__ import annotations

from typing import Protocol


class Counters(Protocol):
    """Times are milliseconds."""

    def arrived(self, request_class: str) -> None:
        """A request was accepted."""

    def ended(
        self, request_class: str, answer: str, ms: float, first_ms: float | None, attempts: int
    ) -> None:
        """A request has its final answer; `first_ms` is its time to first token."""

    def attempt(self, stage: str) -> None:
        """An attempt was started: "read" (prefill), "write" (decode), or "moot" where it was not sent."""

    def probe(self, outcome: str) -> None:
        """A health check ended."""

    def release(self) -> None:
        """A release of KV cache was started."""

    def overdue(self) -> None:
        """A request passed its deadline without an answer of the policy."""

    def decision_round(self, ms: float, events: int) -> None:
        """The policy decided on a batch of events."""
