"""How long prefills and first tokens take, and how often attempts fail, from this node's own attempts.

All estimates are sums over sliding windows, so that what is past is forgotten.  Times are milliseconds,
work is prompt tokens.
"""

from __future__ import annotations

from math import inf

from .context import PolicyContext
from .events import AttemptEnded, StateRestored
from .in_flight import InFlight
from .sliding_window import SlidingWindow
from .state import Attempt, Engine, Outcome

HISTORY_MS = 16_000.0  # what is remembered of failures, successes and usual times
BUCKETS = 10  # of each sliding window
RECENT_BUCKETS = 3  # the newest of them: a slowdown that is over is forgotten
TOLERATED_WAIT_SHARE = 0.15  # of the shortest latency target: a wait for the first token without overload
SLOW_FACTOR = 4.0  # times the usual: a first token or prefill that takes longer is slow
SUSPECT_AFTER_SHARE = 0.5  # of the shortest latency target: an engine silent for less is never suspected
FAILING_SHARE = 0.25  # of a request class's attempts: above it, engines known to serve the class come first


class LoadEstimates:
    """Sliding windows over what this node's attempts showed."""

    def __init__(self, context: PolicyContext, in_flight: InFlight) -> None:
        self._context, self._in_flight = context, in_flight
        self.prefill_ms_per_token = SlidingWindow(HISTORY_MS, BUCKETS)
        # Only tokens without a prefix cache hit.
        self.uncached_prefill_ms_per_token = SlidingWindow(HISTORY_MS, BUCKETS)
        self.prefill_tokens_seen = SlidingWindow(HISTORY_MS, BUCKETS)  # tokens
        self.first_token_waits_ms = SlidingWindow(HISTORY_MS, BUCKETS)
        self.prefill_queue_waits_ms = SlidingWindow(HISTORY_MS, BUCKETS)
        # By request class: 1 for each failure, 0 for each success.
        self.failures = [SlidingWindow(HISTORY_MS, BUCKETS) for _ in context.request_classes]
        self._target_per_token_ms: float = (
            max(request_class.latency_target_per_1000_tokens_ms for request_class in context.request_classes)
            / 1000
        )
        self.best_prefill_ms_per_token = 0.0  # of the fastest stretch of the window
        self.harmless_first_token_wait_ms = 0.0  # up to which no decode window shrinks
        self.in_flight_prefill_ms_per_token = 0.0  # shown by prefills that have not ended

    def begin_round(self, sparse_traffic: bool) -> None:
        """With sparse traffic most prefills seen had a cache hit, so only uncached tokens tell the pace."""
        now, target = self._context.now, self._context.shortest_target_ms
        self.best_prefill_ms_per_token = (
            sparse_traffic
            and (self.uncached_prefill_ms_per_token.min_bucket_mean(now) or self._target_per_token_ms)
        ) or self.prefill_ms_per_token.min_bucket_mean(now)
        self.harmless_first_token_wait_ms = max(
            TOLERATED_WAIT_SHARE * target,
            min(
                SLOW_FACTOR * self.first_token_waits_ms.min_bucket_mean(now), SUSPECT_AFTER_SHARE * target / 2
            ),
        )

    def allowed_prefill_ms(self, attempt: Attempt) -> float:
        """Time that the prefill of an attempt may take without being slow."""
        return SLOW_FACTOR * self.best_prefill_ms_per_token * attempt.prefill_tokens

    def oldest_wait_ms(self, engine: Engine) -> float:
        """Time that the oldest attempt without a first token has waited beyond its prefill."""
        for attempt in engine.unanswered[:1]:
            return max(0.0, self._context.now - attempt.sent_at - self.allowed_prefill_ms(attempt))
        return 0.0

    def typical(self) -> tuple[float, float]:
        """The usual time to a first token, and to prefill one token."""
        now = self._context.now
        first, prefill = (
            min(window.mean(now), window.mean(now, inf, RECENT_BUCKETS))
            for window in (self.first_token_waits_ms, self.prefill_ms_per_token)
        )
        return first, prefill

    def update_in_flight_prefills(self) -> None:
        """Takes the pace from prefills that have not ended, once most prefill engines have been replaced.

        What ended before tells of engines that have gone, and a backlog at cold ones shows late in what ends.
        """
        self.in_flight_prefill_ms_per_token = 0.0
        index, now = self._context.index, self._context.now
        if not index.most_prefill_engines_cold(now):
            return
        waiting = [
            attempt
            for engine in self._in_flight.busy_engines
            if engine in index.prefill_engine_set
            for attempt in engine.unanswered
        ]
        self.in_flight_prefill_ms_per_token = sum(now - attempt.sent_at for attempt in waiting) / max(
            1.0, sum(attempt.prefill_tokens for attempt in waiting)
        )

    def attempts_seen(self) -> float:
        """Attempts that succeeded or failed within the window."""
        return sum(window.count(self._context.now) for window in self.failures)

    def is_failing(self, request_class: int) -> bool:
        return self.failures[request_class].mean(self._context.now) > FAILING_SHARE

    def record_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        wait = max(0.0, elapsed_ms - self.allowed_prefill_ms(attempt))
        self.first_token_waits_ms.add(self._context.now, wait)
        attempt.engine.first_token_delays.add(self._context.now, wait)

    def record_ended(self, event: AttemptEnded) -> None:
        """Takes times from an attempt that ended, also from one that ended in vain.

        Failure: at an overloaded engine few attempts end well, and their times alone look fast.  So a
        cancelled or timed-out prefill counts with its time, and a rejection as a wait of a whole target.
        """
        attempt, outcome, now = event.attempt, event.outcome, self._context.now
        tokens = max(1.0, attempt.prefill_tokens)
        if attempt.is_prefill and outcome in (Outcome.PREFILLED, Outcome.CANCELLED, Outcome.TIMED_OUT):
            self.prefill_queue_waits_ms.add(
                now, max(0.0, event.elapsed_ms - self.allowed_prefill_ms(attempt))
            )
            self.prefill_ms_per_token.add(now, event.elapsed_ms, tokens)
            self.prefill_tokens_seen.add(now, tokens)
        if outcome is Outcome.PREFILLED and 2 * event.note < attempt.prefill_tokens:
            self.uncached_prefill_ms_per_token.add(
                now, event.elapsed_ms, max(1.0, attempt.prefill_tokens - event.note)
            )
        if outcome is Outcome.FULL and event.note != 1:
            if attempt.is_prefill:
                self.prefill_tokens_seen.add(now, tokens)
                self.prefill_ms_per_token.add(now, self._context.shortest_target_ms, tokens)
            else:
                self.first_token_waits_ms.add(now, self._context.shortest_target_ms)

    def restore(self, event: StateRestored) -> None:
        windows = (self.first_token_waits_ms, self.prefill_ms_per_token, *self.failures)
        for window, (total, count) in zip(windows, event.window_totals, strict=True):
            if count:
                window.add(self._context.now, total, count)
