"""Asks prefill engines whether they have a queue before a prefill is sent, on nodes with sparse traffic.

One of many nodes sees next to none of the prefills that the others send, so its own attempts tell nothing of
queues.  It checks the health of a few engines and takes the first that answers at once.
Times are milliseconds.
"""

from __future__ import annotations

from math import inf

from .actions import CheckHealth
from .context import PolicyContext
from .load_estimates import TOLERATED_WAIT_SHARE, LoadEstimates
from .outlier_detection import OutlierDetection
from .slow_start import SlowStart
from .state import Engine, Request

SPARSE_TRAFFIC_SHARE = 0.1  # of all traffic: a node with less sees little of what the others send
PROBE_ANSWER_SHARE = 0.02  # of the shortest latency target: an engine that takes longer has a queue
MAX_PROBES = 3  # engines checked for one request
NO_ENGINES: dict[Engine, None] = {}


class PrefillProbing:
    """Which requests wait for a health check before their prefill."""

    def __init__(
        self,
        context: PolicyContext,
        estimates: LoadEstimates,
        slow_start: SlowStart,
        outliers: OutlierDetection,
    ) -> None:
        self._context, self._estimates = context, estimates
        self._slow_start, self._outliers = slow_start, outliers
        self.enabled = False
        self.answer_within_ms = PROBE_ANSWER_SHARE * context.shortest_target_ms
        self._no_engine_healthy: dict[int, bool] = {}  # by request class, until something changes

    def update(self) -> None:
        """Enabled where this node has met its engines less than once each in the history."""
        settings = self._context.settings
        self.enabled = (
            settings.may_check_health
            and 1 / settings.node_count < SPARSE_TRAFFIC_SHARE
            and self._estimates.attempts_seen() < len(self._context.engines)
        )

    def forget_health(self) -> None:
        """Due at each round and after each attempt: health may have changed."""
        self._no_engine_healthy.clear()

    def no_engine_healthy(self, request_class: int) -> bool:
        if request_class not in self._no_engine_healthy:
            self._no_engine_healthy[request_class] = not any(
                self._outliers.is_healthy(engine, request_class)
                for engine in self._context.index.prefill_engines
            )
        return self._no_engine_healthy[request_class]

    def may_send(self, engine: Engine, request: Request) -> bool:
        """Whether a prefill may be sent without another check; checks the engine where it may not."""
        if self._known_idle(engine) or self.unanswered(request):
            return True
        if engine not in request.checked_engines and self._may_probe(request):
            request.checked_engines[engine] = self._context.now
            self._context.actions.append(CheckHealth(engine))
        return False

    def needs_known_idle(self, request: Request) -> bool:
        """Whether only an engine known to be idle will do, as no other may be checked now."""
        return self.enabled and not self.unanswered(request) and not self._may_probe(request)

    def exempt(self, request: Request) -> dict[Engine, None]:
        """Engines that are not checked before a prefill."""
        exempt = self._slow_start.may_prefill() or self.no_engine_healthy(request.request_class)
        return self._context.index.cold_engines if exempt else NO_ENGINES

    def only_known_idle(self, request: Request) -> bool:
        """Whether of all engines only those will do that have answered just now."""
        return (
            self.needs_known_idle(request)
            and not self._context.index.combined_engines
            and not self.exempt(request)
        )

    def unanswered(self, request: Request) -> bool:
        """Whether engines were checked and none has answered for long: all of them have queues."""
        oldest = min(request.checked_engines.values(), default=inf)
        return self._context.now - oldest > TOLERATED_WAIT_SHARE * self._context.shortest_target_ms

    def _known_idle(self, engine: Engine) -> bool:
        now = self._context.now
        return (
            not self.enabled
            or self._slow_start.is_cold(engine, now)
            or now - engine.health_check_answered_at <= self.answer_within_ms
        )

    def _may_probe(self, request: Request) -> bool:
        """One engine more each time that none has answered."""
        last = max(request.checked_engines.values(), default=-inf)
        return len(request.checked_engines) < MAX_PROBES and self._context.now - last >= self.answer_within_ms
