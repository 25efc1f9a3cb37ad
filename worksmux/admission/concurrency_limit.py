"""A gradient concurrency limit: the cost that a request class may have in flight, adapted to its latency.

The limit follows the ratio of the shortest recent time per unit of cost to the current mean, as TCP Vegas and
the concurrency limits of service meshes do.  While the two are near each other, the limit grows by its square
root, and by half of that after it has once been too high.  When work queues at the engines, the limit shrinks
in proportion.  A rejected attempt also shrinks it; a wait before the attempt was sent does not.

From time to time a probe lowers the limit for a moment to measure the shortest time again, as BBR does: if
work always queued, the time in the queue would become part of the shortest time.  Each gateway has limits of
its own; gateways that share engines observe the latency of their common load.

Costs are in any unit that adds up, such as tokens; times are in milliseconds.
"""

from __future__ import annotations

from ..policy.sliding_window import SlidingWindow

TOLERATED_SLOWDOWN = 2.0  # times the shortest time; the limit shrinks beyond it
REJECTION_FACTOR = 0.9  # applied to the limit after a rejected attempt, at most once per step
MIN_STEP_FACTOR = 0.5  # the limit shrinks to this share at most in one step
MIN_USED_SHARE = 0.5  # of the limit; it grows only if this much has been in flight
GAIN_AFTER_OVERSHOOT = 0.5
HISTORY_TARGETS = 16  # latency targets; span over which the shortest time is kept
HISTORY_BUCKETS_PER_TARGET = 4  # fine enough that a probe fills a bucket of its own
RECENT_TARGETS = 0.25  # latency targets; a limit that follows older latencies oscillates
RECENT_BUCKETS = 8
SERVED_TARGETS = 2
STEPS_PER_TARGET = 8
PROBE_INTERVAL_TARGETS = 8
PROBE_LENGTH_TARGETS = 0.5
PROBE_SHARE = 0.8  # of the cost in flight that just keeps the engines busy


class ConcurrencyLimit:
    """The cost that one engine pool may have in flight."""

    def __init__(self, small_item_cost: float, initial_limit: float, latency_target_ms: float) -> None:
        target_ms = latency_target_ms
        self.small_item_cost = small_item_cost
        self.limit = max(small_item_cost, initial_limit)
        self.min_limit = small_item_cost
        self.latency_target_ms = target_ms
        self._history = SlidingWindow(
            HISTORY_TARGETS * target_ms, HISTORY_TARGETS * HISTORY_BUCKETS_PER_TARGET
        )
        self._recent = SlidingWindow(RECENT_TARGETS * target_ms, RECENT_BUCKETS)
        self._served = SlidingWindow(SERVED_TARGETS * target_ms, RECENT_BUCKETS)
        self._gain = 1.0
        self._in_flight = self._peak_in_flight = 0.0
        self._first_sent_at: float | None = None
        self._next_step_at = 0.0
        self._growth_paused_until = 0.0
        self._next_probe_at = self._probe_ends_at = 0.0
        self._probe_factor = 1.0  # applied to the limit; below 1 during a probe

    def allows(self, cost: float) -> bool:
        """Whether an item may be sent now; an item larger than the limit only if nothing is in flight."""
        return not self._in_flight or self._in_flight + cost <= self.limit * self._probe_factor

    def sent(self, now: float, cost: float) -> None:
        """Records that an item was sent to an engine."""
        if self._first_sent_at is None:
            self._first_sent_at = now
            self._next_probe_at = now + PROBE_INTERVAL_TARGETS * self.latency_target_ms
        self._in_flight += cost
        self._peak_in_flight = max(self._peak_in_flight, self._in_flight)

    def ended(self, now: float, cost: float, elapsed_ms: float, accepted: bool) -> None:
        """Records the end of an item that was sent; `accepted` is false if the engines rejected it."""
        self._in_flight = max(0.0, self._in_flight - cost)
        if accepted:
            self._history.add(now, elapsed_ms, cost + self.small_item_cost)
            self._recent.add(now, elapsed_ms, cost + self.small_item_cost)
            self._served.add(now, cost, 1.0)
        elif now >= self._growth_paused_until:
            self.limit = max(self.min_limit, self.limit * REJECTION_FACTOR)
            self._growth_paused_until = now + self.latency_target_ms / STEPS_PER_TARGET
        if now >= self._next_step_at:
            self._step(now)

    def expected_latency_ms(self, now: float, cost: float) -> float:
        """The mean time that an item of this cost takes now; 0 if it is unknown."""
        return self._recent.mean(now) * (cost + self.small_item_cost)

    def throughput(self, now: float) -> float:
        """The cost served per millisecond recently; 0 if it is unknown."""
        count = self._served.count(now)
        if not count:
            return 0.0
        # The newest bucket is half full on average.
        max_span_ms = SERVED_TARGETS * self.latency_target_ms * (1 - 0.5 / RECENT_BUCKETS)
        since_first_ms = now - self._first_sent_at if self._first_sent_at is not None else 0.0
        span_ms = min(max_span_ms, since_first_ms)
        return self._served.mean(now) * count / max(span_ms, self.latency_target_ms / RECENT_BUCKETS)

    def _step(self, now: float) -> None:
        """Starts or ends a probe, or adjusts the limit."""
        self._next_step_at = now + self.latency_target_ms / STEPS_PER_TARGET
        mean, shortest = self._recent.mean(now), self._history.min_bucket_mean(now)
        if self._probe_factor < 1.0:
            if now >= self._probe_ends_at:
                self._probe_factor = 1.0
            return
        if now >= self._next_probe_at and mean > 0:
            self._start_probe(now, shortest / mean)
            return
        if mean > 0 and shortest > 0:
            self._adjust(now, shortest / mean)
        self._peak_in_flight = self._in_flight

    def _start_probe(self, now: float, latency_ratio: float) -> None:
        self._probe_factor = PROBE_SHARE * min(1.0, latency_ratio)
        self._probe_ends_at = now + PROBE_LENGTH_TARGETS * self.latency_target_ms
        self._next_probe_at = now + PROBE_INTERVAL_TARGETS * self.latency_target_ms

    def _adjust(self, now: float, latency_ratio: float) -> None:
        """Adjusts the limit by the ratio of the shortest latency to the mean."""
        factor = max(MIN_STEP_FACTOR, min(1.0, TOLERATED_SLOWDOWN * latency_ratio))
        if factor < 1.0:
            self._gain = GAIN_AFTER_OVERSHOOT
            self.limit = max(self.min_limit, (self.limit + self._growth()) * factor)
        elif self._peak_in_flight >= MIN_USED_SHARE * self.limit and now >= self._growth_paused_until:
            self.limit += self._growth()

    def _growth(self) -> float:
        return float((self.small_item_cost * self.limit) ** 0.5) * self._gain
