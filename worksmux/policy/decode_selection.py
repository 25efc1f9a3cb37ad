"""Selects the decode engine of a request: round-robin over engines with an open window, nearest first."""

from __future__ import annotations

from .context import PolicyContext
from .decode_window import DecodeWindow
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetection
from .retry import RetryPolicy
from .round_robin import ANYWHERE, RoundRobin, Scope
from .slow_start import SlowStart
from .state import Engine, Request

# Results of searches for one request in one round: by group of engines and by whether only known-good engines
# were searched.
SearchResults = dict[tuple[RoundRobin, bool], Engine | None]


class DecodeSelection:
    """Picks decode engines and records the order in which they were chosen."""

    def __init__(
        self,
        context: PolicyContext,
        estimates: LoadEstimates,
        slow_start: SlowStart,
        outliers: OutlierDetection,
        retry: RetryPolicy,
        window: DecodeWindow,
    ) -> None:
        self._context, self._estimates, self._slow_start = context, estimates, slow_start
        self._outliers, self._retry, self._window = outliers, retry, window
        self._turn_count = 0

    def select(
        self, request: Request, kv_source: Engine | None, search_results: SearchResults | None = None
    ) -> Engine | None:
        """Returns the next engine with an open window.

        While the request class is failing, engines known to serve it come first.  `kv_source` is the prefill
        engine that holds the KV cache or is about to compute it.
        """
        scope = self._retry.scope(request) if request.attempts else ANYWHERE
        if scope is None:
            return None
        search_results = {} if search_results is None else search_results
        for known_good in (True, False) if self._estimates.is_failing(request.request_class) else (False,):
            for engines in self._context.index.decode_groups(request.random_draw, kv_source, scope):
                if (engines, known_good) not in search_results:
                    search_results[engines, known_good] = self._next_engine(
                        engines, request, scope, known_good
                    )
                if found_engine := search_results[engines, known_good]:
                    return found_engine
        return None

    def _next_engine(
        self, engines: RoundRobin, request: Request, scope: Scope, known_good: bool
    ) -> Engine | None:
        def fits(engine: Engine) -> bool:
            return scope.has(engine) and self._window.is_open(engine, request)

        if not known_good:
            return engines.first(self._context.now, fits)
        candidates = [
            engine
            for engine in self._outliers.all_known_good(request.request_class)
            if engine in engines and fits(engine)
        ]
        return min(candidates, default=None, key=lambda engine: engine.last_turn)

    def record_chosen(self, engine: Engine) -> None:
        """Moves a chosen engine to the end of the round-robin order and spends its slow-start credit."""
        self._turn_count += 1
        engine.last_turn = self._turn_count
        self._context.index.record_turn(engine)
        self._slow_start.spend(engine)
