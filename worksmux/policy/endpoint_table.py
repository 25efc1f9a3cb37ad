"""Applies endpoint lists to the set of known engines and rebuilds the index that decisions read."""

from __future__ import annotations

from .actions import SetTimer
from .context import PolicyContext
from .endpoint_index import EngineIndex
from .events import EndpointEntry, EndpointListUpdate
from .hashing import mix
from .in_flight import InFlight
from .load_estimates import BUCKETS, HISTORY_MS
from .outlier_detection import OutlierDetection
from .settings import ROLE_PREFILL
from .sliding_window import SlidingWindow
from .slow_start import SlowStart
from .state import GONE, READY, Engine

LIST_RETRY_MS = 1_000.0  # average delay after an endpoint list that could not be fetched
MIN_LIST_RETRY_SHARE = 0.5  # of that delay; the rest is random
FIRST_TOKEN_HISTORY_MS = 1_000.0  # span over which one engine's first-token waits are averaged
LIST_TIMER = 1  # token of the timer that fetches the endpoint list again


class EndpointTable:
    """Maintains the engines in the policy's context."""

    def __init__(
        self,
        context: PolicyContext,
        slow_start: SlowStart,
        outliers: OutlierDetection,
        in_flight: InFlight,
    ) -> None:
        self._context, self._slow_start = context, slow_start
        self._outliers, self._in_flight = outliers, in_flight

    def update(self, event: EndpointListUpdate) -> bool:
        """Applies an endpoint list and returns whether it did; a failed fetch is repeated after a delay."""
        if event.scope == "failed":
            if self._context.settings.polls_endpoint_list:
                delay_ms = LIST_RETRY_MS * (MIN_LIST_RETRY_SHARE + self._context.random_source.share())
                self._context.actions.append(SetTimer(delay_ms, LIST_TIMER))
            return False
        if event.scope != "delta":
            for engine in self._context.engines.keys() - {entry.engine for entry in event.entries}:
                engine.gone_since = engine.gone_since if engine.state == GONE else self._context.now
                engine.state = GONE
        for entry in event.entries:
            self._apply_entry(entry)
        self._forget_gone()
        return True

    def _apply_entry(self, entry: EndpointEntry) -> None:
        engine = entry.engine
        if engine not in self._context.engines:
            self._context.engines[engine] = None
            engine.key_hash = mix(engine.key, 0)
            engine.failures, engine.first_token_delays = (
                SlidingWindow(HISTORY_MS, BUCKETS),
                SlidingWindow(FIRST_TOKEN_HISTORY_MS, BUCKETS),
            )
            # Each node starts its round-robin at another engine.
            engine.last_turn = self._context.random_source.share() - 1.0
        self._slow_start.leave(engine)
        if entry.state == READY and (entry.started != engine.started or engine.state == GONE):
            self._reset_restarted(engine)
        if entry.state == GONE and engine.state != GONE:
            engine.gone_since = self._context.now
        engine.state, engine.started, engine.size = entry.state, entry.started, entry.size
        engine.zone, engine.cell, engine.kind = entry.zone, entry.cell, entry.kind
        engine.role = self._context.settings.engine_roles[entry.kind]

    def _reset_restarted(self, engine: Engine) -> None:
        """Resets an engine that runs as a new process: learned state and reserved slots are void."""
        engine.window_reduction, engine.skipped_until, engine.ejected_until = 0.0, 0.0, {}
        self._slow_start.begin(engine, self._context.random_source.share())
        self._outliers.record_sign_of_life(engine)
        for request in list(engine.reserved):
            self._in_flight.release(request)

    def _forget_gone(self) -> None:
        """Forgets engines that are long gone: else memory grows without bound while the fleet is replaced."""
        now, excluded = self._context.now, self._context.index.excluded_by_plan
        for engine in [
            engine
            for engine in self._context.engines
            if engine.state == GONE
            and not engine.attempts
            and not engine.reserved
            and engine not in excluded
            and now - engine.gone_since > HISTORY_MS
        ]:
            del self._context.engines[engine]
            self._outliers.forget(engine)

    def rebuild_index(self) -> None:
        """Rebuilds the index; called after each endpoint list and failover plan."""
        context = self._context
        self._slow_start.settle_all()
        previously_cold = context.index.cold_engines
        context.index = EngineIndex(context.engines, context.plan, context.settings, context.now)
        if not any(engine.role == ROLE_PREFILL for engine in previously_cold):
            self._slow_start.prefill_credit = context.random_source.share()
        self._slow_start.set_cold(context.index.cold_engines)
