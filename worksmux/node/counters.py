"""What a node counts of itself, for its log: there is no listener for metrics on the platform."""

from __future__ import annotations

from collections import Counter


class NodeCounts:
    """Sums since they were last taken."""

    def __init__(self) -> None:
        self.sums: Counter[str] = Counter()
        self.open = 0

    def arrived(self, request_class: str) -> None:
        self.open += 1
        self.sums["taken"] += 1

    def ended(
        self, request_class: str, answer: str, ms: float, first_ms: float | None, attempts: int
    ) -> None:
        self.open -= 1
        self.sums[answer] += 1

    def attempt(self, stage: str) -> None:
        self.sums[stage] += 1

    def probe(self, outcome: str) -> None:
        self.sums["probes"] += 1

    def release(self) -> None:
        self.sums["releases"] += 1

    def overdue(self) -> None:
        self.sums["overdue"] += 1

    def decision_round(self, ms: float, events: int) -> None:
        self.sums["turns"] += 1

    def turned_away(self, why: str) -> None:
        self.sums[f"turned away: {why}"] += 1

    def closed(self, closes: Counter[str]) -> None:
        """Connections of clients that this side ended, by reason."""
        for why, count in closes.items():
            self.sums[f"closed: {why}"] += count

    def take(self) -> dict[str, int]:
        sums, self.sums = dict(self.sums), Counter()
        return sums
