"""Estimates prefill time, time to first token and the failure rate from this node's own attempts.

Every estimate is a sum over a sliding window, so that old samples expire.  Times are milliseconds, work is
prompt tokens.
"""

from __future__ import annotations

from math import inf

from .context import PolicyContext
from .events import AttemptEnded, StateRestored
from .in_flight import InFlight
from .sliding_window import SlidingWindow
from .state import Attempt, Engine, Outcome

HISTORY_MS = 16_000.0  # span of the windows for failures, successes and typical times
BUCKETS = 10  # of each sliding window
RECENT_BUCKETS = 3  # the newest of them, so that a slowdown that is over stops counting early
TOLERATED_WAIT_SHARE = 0.15  # of the shortest latency target: such a wait for a first token is no overload
SLOW_FACTOR = 4.0  # times the usual time: a first token or prefill that takes longer is slow
SUSPECT_AFTER_SHARE = 0.5  # of the shortest latency target: a shorter silence never makes an engine suspected
FAILING_SHARE = 0.25  # of a request class's attempts: above this, engines known to serve the class come first


class LoadEstimates:
    """Holds sliding windows of times and failures of this node's attempts."""

    def __init__(self, context: PolicyContext, in_flight: InFlight) -> None:
        self._context, self._in_flight = context, in_flight
        self.prefill_ms_per_token = SlidingWindow(HISTORY_MS, BUCKETS)
        # Counts only tokens without a prefix cache hit.
        self.uncached_prefill_ms_per_token = SlidingWindow(HISTORY_MS, BUCKETS)
        self.prefill_tokens_seen = SlidingWindow(HISTORY_MS, BUCKETS)  # tokens
        self.first_token_waits_ms = SlidingWindow(HISTORY_MS, BUCKETS)
        self.prefill_queue_waits_ms = SlidingWindow(HISTORY_MS, BUCKETS)
        # By request class; a failure adds 1, a success 0.
        self.failures = [SlidingWindow(HISTORY_MS, BUCKETS) for _ in context.request_classes]
        self._target_per_token_ms: float = (
            max(request_class.latency_target_per_1000_tokens_ms for request_class in context.request_classes)
            / 1000
        )
        self.best_prefill_ms_per_token = 0.0  # of the fastest bucket of the window
        self.harmless_first_token_wait_ms = 0.0  # a longer wait shrinks a decode window
        self.in_flight_prefill_ms_per_token = 0.0  # from prefills that have not ended

    def begin_round(self, sparse_traffic: bool) -> None:
        """Updates the estimates for a decision round.

        With sparse traffic most prefills seen had a prefix cache hit, so only uncached tokens are counted.
        """
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
        """Returns the longest time that the prefill of an attempt may take without counting as slow."""
        return SLOW_FACTOR * self.best_prefill_ms_per_token * attempt.prefill_tokens

    def oldest_wait_ms(self, engine: Engine) -> float:
        """Returns how long the oldest attempt without a first token has waited beyond its prefill time."""
        for attempt in engine.unanswered[:1]:
            return max(0.0, self._context.now - attempt.sent_at - self.allowed_prefill_ms(attempt))
        return 0.0

    def typical_times(self) -> tuple[float, float]:
        """Returns the typical wait for a first token, and the typical prefill time of one token."""
        now = self._context.now
        first_token_ms, prefill_ms_per_token = (
            min(window.mean(now), window.mean(now, inf, RECENT_BUCKETS))
            for window in (self.first_token_waits_ms, self.prefill_ms_per_token)
        )
        return first_token_ms, prefill_ms_per_token

    def update_in_flight_prefills(self) -> None:
        """Estimates prefill time from prefills in flight, while most prefill engines are in slow start.

        Ended prefills describe engines that are gone, and a backlog at cold engines shows late in ended ones.
        """
        self.in_flight_prefill_ms_per_token = 0.0
        index, now = self._context.index, self._context.now
        if not index.most_prefill_engines_cold(now):
            return
        unanswered = [
            attempt
            for engine in self._in_flight.busy_engines
            if engine in index.prefill_engine_set
            for attempt in engine.unanswered
        ]
        self.in_flight_prefill_ms_per_token = sum(now - attempt.sent_at for attempt in unanswered) / max(
            1.0, sum(attempt.prefill_tokens for attempt in unanswered)
        )

    def attempts_seen(self) -> float:
        """Returns how many attempts succeeded or failed within the window."""
        return sum(window.count(self._context.now) for window in self.failures)

    def is_failing(self, request_class: int) -> bool:
        """Whether too many attempts of the request class have failed lately."""
        return self.failures[request_class].mean(self._context.now) > FAILING_SHARE

    def record_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Records how long a first token took beyond the prefill time."""
        wait_ms = max(0.0, elapsed_ms - self.allowed_prefill_ms(attempt))
        self.first_token_waits_ms.add(self._context.now, wait_ms)
        attempt.engine.first_token_delays.add(self._context.now, wait_ms)

    def record_ended(self, event: AttemptEnded) -> None:
        """Records the times of an attempt that ended, whether it succeeded or not.

        At an overloaded engine few attempts succeed, and their times alone look fast.  So a cancelled or
        timed-out prefill counts with its time, and a rejection as a wait of a full latency target.
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
        """Restores the windows saved before a restart."""
        windows = (self.first_token_waits_ms, self.prefill_ms_per_token, *self.failures)
        for window, (total, count) in zip(windows, event.window_totals, strict=True):
            if count:
                window.add(self._context.now, total, count)
