"""Checks prefill engines for queues before a prefill is sent, on nodes with sparse traffic.

One of many nodes sees hardly any of the prefills that the others send, so its own attempts do not show
queues.  Such a node checks the health of a few engines and uses the first that answers at once.  Times are
milliseconds.
"""

from __future__ import annotations

from math import inf

from .actions import CheckHealth
from .context import PolicyContext
from .load_estimates import TOLERATED_WAIT_SHARE, LoadEstimates
from .outlier_detection import OutlierDetection
from .slow_start import SlowStart
from .state import Engine, Request

SPARSE_TRAFFIC_SHARE = 0.1  # of all traffic; a node with less sees little of what the others send
PROBE_ANSWER_SHARE = 0.02  # of the shortest latency target; an engine that answers later has a queue
MAX_PROBES = 3  # engines checked for one request
NO_ENGINES: dict[Engine, None] = {}


class PrefillProbing:
    """Decides which requests wait for a health check before their prefill, and starts the checks."""

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
        # By request class; cached until health may have changed.
        self._no_engine_healthy: dict[int, bool] = {}

    def update(self) -> None:
        """Enables checks if this node has sent its engines less than one attempt each within the history."""
        settings = self._context.settings
        self.enabled = (
            settings.may_check_health
            and 1 / settings.node_count < SPARSE_TRAFFIC_SHARE
            and self._estimates.attempts_seen() < len(self._context.engines)
        )

    def invalidate_health(self) -> None:
        """Drops cached health, which may have changed; called in each round and after each attempt sent."""
        self._no_engine_healthy.clear()

    def no_engine_healthy(self, request_class: int) -> bool:
        """Whether no prefill engine is healthy for the request class."""
        if request_class not in self._no_engine_healthy:
            self._no_engine_healthy[request_class] = not any(
                self._outliers.is_healthy(engine, request_class)
                for engine in self._context.index.prefill_engines
            )
        return self._no_engine_healthy[request_class]

    def may_send(self, engine: Engine, request: Request) -> bool:
        """Whether a prefill may be sent without another check; otherwise checks the engine if allowed."""
        if self._known_idle(engine) or self.checks_unanswered(request):
            return True
        if engine not in request.checked_engines and self._may_probe(request):
            request.checked_engines[engine] = self._context.now
            self._context.actions.append(CheckHealth(engine))
        return False

    def needs_known_idle(self, request: Request) -> bool:
        """Whether only an engine known to be idle may be used, as no other may be checked now."""
        return self.enabled and not self.checks_unanswered(request) and not self._may_probe(request)

    def exempt_from_check(self, request: Request) -> dict[Engine, None]:
        """Returns the engines that need no check before a prefill."""
        is_exempt = self._slow_start.may_prefill() or self.no_engine_healthy(request.request_class)
        return self._context.index.cold_engines if is_exempt else NO_ENGINES

    def only_known_idle(self, request: Request) -> bool:
        """Whether only engines that have just answered a check may be used."""
        return (
            self.needs_known_idle(request)
            and not self._context.index.combined_engines
            and not self.exempt_from_check(request)
        )

    def checks_unanswered(self, request: Request) -> bool:
        """Whether the request's checks have waited so long that all the checked engines must have queues."""
        oldest_check_at = min(request.checked_engines.values(), default=inf)
        return self._context.now - oldest_check_at > TOLERATED_WAIT_SHARE * self._context.shortest_target_ms

    def _known_idle(self, engine: Engine) -> bool:
        now = self._context.now
        return (
            not self.enabled
            or self._slow_start.is_cold(engine, now)
            or now - engine.health_check_answered_at <= self.answer_within_ms
        )

    def _may_probe(self, request: Request) -> bool:
        """Whether one more engine may be checked, as none has answered in time."""
        last_check_at = max(request.checked_engines.values(), default=-inf)
        return (
            len(request.checked_engines) < MAX_PROBES
            and self._context.now - last_check_at >= self.answer_within_ms
        )
