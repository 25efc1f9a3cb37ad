"""Which decode engine gets a request: round-robin over those whose window is open, nearest first."""

from __future__ import annotations

from .context import PolicyContext
from .decode_window import DecodeWindow
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetection
from .retry import RetryPolicy
from .round_robin import ANYWHERE, RoundRobin, Scope
from .slow_start import SlowStart
from .state import Engine, Request

# Found in the same round for the same request: by group of engines, and whether only known-good ones count.
Searched = dict[tuple[RoundRobin, bool], Engine | None]


class DecodeSelection:
    """Picks decode engines and keeps the order of their turns."""

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
        self._turns = 0

    def select(
        self, request: Request, near: Engine | None, searched: Searched | None = None
    ) -> Engine | None:
        """The next engine whose window is open; while the request class fails, first those known to serve it.

        `near` is the engine that holds, or is to compute, the KV cache.
        """
        scope = self._retry.scope(request) if request.attempts else ANYWHERE
        if scope is None:
            return None
        searched = {} if searched is None else searched
        for known_good in (True, False) if self._estimates.is_failing(request.request_class) else (False,):
            for engines in self._context.index.decode_groups(request.random_draw, near, scope):
                if (engines, known_good) not in searched:
                    searched[engines, known_good] = self._next(engines, request, scope, known_good)
                if found := searched[engines, known_good]:
                    return found
        return None

    def _next(self, engines: RoundRobin, request: Request, scope: Scope, known_good: bool) -> Engine | None:
        def fits(engine: Engine) -> bool:
            return scope.has(engine) and self._window.is_open(engine, request)

        if not known_good:
            return engines.first(self._context.now, fits)
        able = [
            engine
            for engine in self._outliers.all_known_good(request.request_class)
            if engine in engines and fits(engine)
        ]
        return min(able, default=None, key=lambda engine: engine.last_turn)

    def record_chosen(self, engine: Engine) -> None:
        """The engine comes last from now on, and its slow-start credit is spent."""
        self._turns += 1
        engine.last_turn = self._turns
        self._context.index.record_turn(engine)
        self._slow_start.spend(engine)
