"""Detects unhealthy engines from this node's own attempts.

A failing engine is ejected for a time that doubles with each recent failure.  An engine that is silent for
too long is suspected, and its health is checked.  Times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import inf

from .context import PolicyContext
from .events import AttemptEnded, StateRestored
from .load_estimates import HISTORY_MS, SLOW_FACTOR, SUSPECT_AFTER_SHARE, LoadEstimates
from .settings import ROLE_PREFILL
from .slow_start import REQUEST_CREDIT, SlowStart
from .state import ALL_REQUEST_CLASSES, READY, Attempt, Engine, Outcome

EJECTION_MS = 1_000.0  # after a first failure
MAX_EJECTION_DOUBLINGS = 2  # of that time, for further failures
# Of that time; the spread keeps nodes from returning to an engine all at once.
MIN_EJECTION_SHARE, EJECTION_SPREAD_SHARE = 0.75, 0.5
OUTLIER_FACTOR = 1.5  # times its peers' average failures; an engine with fewer is no outlier


class OutlierDetection:
    """Tracks failures, ejections, suspected engines and known-good engines."""

    def __init__(self, context: PolicyContext, estimates: LoadEstimates, slow_start: SlowStart) -> None:
        self._context, self._estimates, self._slow_start = context, estimates, slow_start
        self.awaited: dict[Engine, None] = {}  # engines with an attempt and no sign of life since
        self.failed: dict[Engine, None] = {}  # engines with failures within the history
        # By request class: engines that served it, the most recent last.
        self.known_good: list[dict[Engine, None]] = [{} for _ in context.request_classes]
        self._role_failures: dict[str, float] = defaultdict(float)  # failures of all ready engines, by role
        self._role_failures_at = -inf

    # Health of engines.

    def is_healthy(self, engine: Engine, request_class: int) -> bool:
        """Whether an engine is ready, neither suspected nor ejected.

        After an ejection the engine gets one attempt at a time until it answers.
        """
        if engine.state != READY or engine.health_check_pending:
            return False
        now, ejected_until = self._context.now, engine.ejected_until
        if not ejected_until:
            return True
        if max(ejected_until.get(ALL_REQUEST_CLASSES, 0.0), ejected_until.get(request_class, 0.0)) > now:
            return False
        return not (engine.attempts and engine.silent_since and engine.failures.count(now))

    def is_usable(self, engine: Engine, request_class: int) -> bool:
        """Whether an engine is healthy, not skipped after a rejection, and has slow-start credit if cold."""
        context = self._context
        return (
            engine.skipped_until <= context.now
            and self.is_healthy(engine, request_class)
            and (
                engine not in context.index.cold_engines
                or self._slow_start.credit(engine) >= REQUEST_CREDIT
                or not self._slow_start.is_cold(engine, context.now)
            )
        )

    def all_known_good(self, request_class: int) -> dict[Engine, None]:
        """Returns the engines that served the request class within the history."""
        known_good = self.known_good[request_class]
        while known_good and not self._is_known_good(oldest := next(iter(known_good)), request_class):
            del known_good[oldest]
        return known_good

    def _is_known_good(self, engine: Engine, request_class: int) -> bool:
        return self._context.now - engine.last_success.get(request_class, -inf) < HISTORY_MS

    # Results of attempts.

    def expect_answer(self, engine: Engine) -> None:
        """Starts the silence of an engine that is sent an attempt, unless an answer is already awaited."""
        engine.silent_since = engine.silent_since or self._context.now
        self.awaited[engine] = None

    def record_sign_of_life(self, engine: Engine) -> None:
        """Restarts the silence of an engine with unanswered attempts, and ends it otherwise."""
        engine.silent_since = self._context.now if engine.unanswered else 0.0
        if not engine.silent_since:
            self.awaited.pop(engine, None)

    def record_success(self, attempt: Attempt) -> None:
        """Records a first token or a successful prefill: the engine serves the request class."""
        engine, request_class = attempt.engine, attempt.request.request_class
        engine.last_success[request_class] = self._context.now
        known_good = self.known_good[request_class]
        known_good.pop(engine, None)
        known_good[engine] = None
        self._estimates.failures[request_class].add(self._context.now, 0.0)
        self._slow_start.earn(engine.role, 1.0)
        self.record_sign_of_life(engine)

    def record_failure(self, event: AttemptEnded) -> None:
        """Ejects the engine if the outcome is its fault.

        An error ejects it for that request class alone, as the engine may serve the others.
        """
        engine, outcome = event.attempt.engine, event.outcome
        request_class = event.attempt.request.request_class
        if outcome in (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET):
            self._estimates.failures[request_class].add(self._context.now)
            ejected_class = request_class if outcome is Outcome.ERROR else ALL_REQUEST_CLASSES
            self.eject(engine, ejected_class, only_outliers=True)
        elif outcome is Outcome.TIMED_OUT and event.elapsed_ms > self.patience_ms(engine):
            # A timeout shortened by the client's deadline is no evidence against the engine.
            self._estimates.failures[request_class].add(self._context.now)
            self.eject(engine)

    def record_ended(self, event: AttemptEnded) -> None:
        """Records a sign of life, unless attempts are in flight and this one ended without an answer."""
        engine = event.attempt.engine
        if not engine.attempts or event.outcome not in (
            Outcome.TIMED_OUT,
            Outcome.CANCELLED,
            Outcome.NOT_SENT,
        ):
            self.record_sign_of_life(engine)

    def eject(
        self, engine: Engine, request_class: int = ALL_REQUEST_CLASSES, only_outliers: bool = False
    ) -> None:
        """Ejects an engine, for longer with each failure in the history.

        A node with sparse traffic ejects for about as long as it takes to send the engine another attempt.
        """
        now = self._context.now
        engine.failures.add(now)
        self.failed[engine] = None
        if only_outliers and not self._is_outlier(engine):
            return
        ejection_ms = max(
            EJECTION_MS * 2 ** min(engine.failures.count(now) - 1, MAX_EJECTION_DOUBLINGS),
            HISTORY_MS * min(1.0, len(self._context.engines) / max(1, 2 * self._estimates.attempts_seen())),
        )
        spread = MIN_EJECTION_SHARE + EJECTION_SPREAD_SHARE * self._context.random_source.share()
        engine.ejected_until[request_class] = now + ejection_ms * spread

    def _is_outlier(self, engine: Engine) -> bool:
        """Whether an engine fails more often than its peers.

        A network fault affects all engines alike, and ejecting each of them would leave none.  Many engines
        that die at once still count as outliers.
        """
        self._update_role_failures()
        now, role = self._context.now, engine.role
        failures, engine_count = self._role_failures[role], self._context.index.ready_by_role[role]
        own_failures = engine.failures.count(now)
        return own_failures > OUTLIER_FACTOR * max(0.0, failures - own_failures) / max(1, engine_count - 1)

    def _update_role_failures(self) -> None:
        now = self._context.now
        if now < self._role_failures_at + self._context.round_interval_ms:
            return
        self._role_failures_at = now
        self._role_failures.clear()
        for engine in list(self.failed):
            if not (count := engine.failures.count(now)):
                del self.failed[engine]
            elif engine.state == READY:
                self._role_failures[engine.role] += count

    # Silent engines and health checks.

    def patience_ms(self, engine: Engine) -> float:
        """Returns how long an engine may be silent before it is suspected.

        While all engines are slow, nodes that cancel queued attempts and send them to the end of another
        queue lengthen every queue.  So the typical wait at engines of the same role is added.
        """
        estimates = self._estimates
        prefill = engine.role == ROLE_PREFILL
        waits_ms = estimates.prefill_queue_waits_ms if prefill else estimates.first_token_waits_ms
        return (
            SUSPECT_AFTER_SHARE * self._context.shortest_target_ms
            + SLOW_FACTOR * waits_ms.mean(self._context.now)
            + sum(estimates.allowed_prefill_ms(attempt) for attempt in engine.unanswered)
        )

    def newly_suspected(self) -> Iterator[Engine]:
        """Yields engines that have been silent for too long, each marked as suspected."""
        for engine in list(self.awaited):
            if (
                engine.silent_since
                and not engine.health_check_pending
                and engine.ejected_until.get(ALL_REQUEST_CLASSES, 0.0) <= self._context.now
                and self._context.now - engine.silent_since > self.patience_ms(engine)
            ):
                engine.health_check_pending = True
                yield engine

    def record_health_check(self, engine: Engine, outcome: Outcome) -> list[Attempt]:
        """Ejects a suspected engine that failed its check; returns the attempts that should run elsewhere."""
        if outcome is Outcome.SERVED:
            engine.health_check_answered_at = self._context.now
        if not engine.health_check_pending:  # the check was one before a prefill
            return []
        engine.health_check_pending = False
        if outcome not in (Outcome.SERVED, Outcome.FULL):
            self.eject(engine)
            return list(engine.attempts)
        overdue = self._overdue(engine)
        for request_class in sorted({attempt.request.request_class for attempt in overdue}):
            self._estimates.failures[request_class].add(self._context.now)
            self.eject(engine, request_class)
        self.record_sign_of_life(engine)
        return overdue

    def _overdue(self, engine: Engine) -> list[Attempt]:
        """Returns the attempts that a live engine has left unanswered for too long.

        A KV transfer over a slow link looks the same, so only attempts whose KV cache is in the engine's own
        cell count.
        """
        patience_ms = self.patience_ms(engine)
        return [
            attempt
            for attempt in engine.unanswered
            if self._context.now - attempt.sent_at > patience_ms
            and (attempt.request.kv_holder is None or attempt.request.kv_holder.cell == engine.cell)
        ]

    # Endpoint list and restored state.

    def forget(self, engine: Engine) -> None:
        """Forgets an engine that has left the fleet."""
        for engines in (self.failed, *self.known_good):
            engines.pop(engine, None)

    def restore(self, event: StateRestored) -> None:
        """Restores the ejections and known-good engines saved before a restart."""
        now = self._context.now
        for engine, request_class, remaining_ms in event.ejections:
            engine.ejected_until[request_class] = now + remaining_ms
        for engine, request_class, elapsed_ms in sorted(event.last_successes, key=lambda entry: -entry[2]):
            engine.last_success[request_class] = now - elapsed_ms
            self.known_good[request_class][engine] = None
