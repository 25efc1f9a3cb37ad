"""The node's counters, written to its log: the platform has no listener for metrics."""

from __future__ import annotations

from collections import Counter

MAX_LOGGED_REFUSALS = 20  # between two calls of `take`; hundreds of bad calls may come at once
# The log fields of the stages in `forwarding.counters.Counters.attempt`.
STAGE_FIELDS = {"read": "prefill_attempts", "write": "decode_attempts", "moot": "moot_attempts"}


class NodeCounts:
    """Counters since the last `take`; implements `forwarding.counters.Counters`."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.open = 0  # open requests
        self._refusals_logged = 0

    def arrived(self, request_class: str) -> None:
        """Counts an accepted request."""
        self.open += 1
        self.counts["accepted"] += 1

    def ended(
        self, request_class: str, answer: str, ms: float, first_ms: float | None, attempts: int
    ) -> None:
        """Counts a request that has its final answer."""
        self.open -= 1
        self.counts[answer] += 1

    def attempt(self, stage: str) -> None:
        """Counts an attempt that was started or was moot."""
        self.counts[STAGE_FIELDS[stage]] += 1

    def probe(self, outcome: str) -> None:
        """Counts a health check that ended."""
        self.counts["health_checks"] += 1

    def release(self) -> None:
        """Counts the start of a KV cache release."""
        self.counts["releases"] += 1

    def overdue(self) -> None:
        """Counts a request that missed its deadline."""
        self.counts["deadlines_missed"] += 1

    def decision_round(self, ms: float, events: int) -> None:
        """Counts a decision round."""
        self.counts["decision_rounds"] += 1

    def turned_away(self, reason: str) -> None:
        """Counts a client call that was answered without becoming a request."""
        self.counts[f"turned away: {reason}"] += 1

    def is_refusal_logged(self) -> bool:
        """Whether one more refusal gets a log line of its own before the next `take`."""
        self._refusals_logged += 1
        return self._refusals_logged <= MAX_LOGGED_REFUSALS

    def closed(self, closes: Counter[str]) -> None:
        """Counts client connections that the node closed, by reason."""
        for reason, count in closes.items():
            self.counts[f"closed: {reason}"] += count

    def watch(self, what: str) -> None:
        """Counts what happened to a watch on discovery: it was opened, reached a stage, or ended."""
        self.counts[f"discovery watch {what}"] += 1

    def discarded(self, replies: int) -> None:
        """Counts replies of engines that were discarded, as all of them exceeded the buffer limit."""
        if replies:
            self.counts["engine_replies_discarded"] += replies

    def take(self) -> dict[str, int]:
        """Returns the counters and resets them."""
        counts, self.counts = dict(self.counts), Counter()
        self._refusals_logged = 0
        return counts
