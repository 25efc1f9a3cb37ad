"""Places a waiting request: on a prefill engine with capacity and a decode engine for its KV cache.

Work is prompt tokens, times are milliseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from .context import PolicyContext
from .decode_selection import DecodeSelection, SearchResults
from .decode_window import DecodeWindow
from .in_flight import InFlight
from .load_estimates import SLOW_FACTOR, TOLERATED_WAIT_SHARE, LoadEstimates
from .outlier_detection import OutlierDetection
from .prefill_order import PrefillOrder
from .prefill_probing import PrefillProbing
from .retry import RetryPolicy
from .round_robin import ANYWHERE
from .settings import ROLE_COMBINED, ROLE_PREFILL
from .state import ALL_REQUEST_CLASSES, READY, Engine, Request

PREFILL_MARGIN = 0.25  # by which an engine may exceed its even share of this node's prompt tokens


class Placement(NamedTuple):
    """The engines of a request; both are the same where one attempt prefills and decodes."""

    prefill_engine: Engine
    decode_engine: Engine


class Placer:
    """Finds placements; its only side effects are health checks before a prefill and search positions."""

    def __init__(
        self,
        context: PolicyContext,
        estimates: LoadEstimates,
        in_flight: InFlight,
        outliers: OutlierDetection,
        retry: RetryPolicy,
        probing: PrefillProbing,
        order: PrefillOrder,
        window: DecodeWindow,
        decode_selection: DecodeSelection,
    ) -> None:
        self._context, self._estimates, self._in_flight = context, estimates, in_flight
        self._outliers, self._retry, self._probing = outliers, retry, probing
        self._order, self._window, self._decode_selection = order, window, decode_selection

    def find(self, request: Request) -> Placement | None:
        """Returns the first candidate with capacity for which a decode engine has capacity too.

        A candidate with a decode engine in its own cell comes first.  None: the request waits.
        """
        scope = self._retry.scope(request) if request.possibly_executed else ANYWHERE
        if scope is None:
            return None
        fallback: Placement | None = None
        decode_engine_missing = self._retry.attempts_left(request) < 2  # prefill and decode take one each
        search_results: SearchResults = {}
        known_idle_only, unchecked_engines = (
            self._probing.needs_known_idle(request),
            self._probing.exempt_from_check(request),
        )
        answered_since = self._context.now - self._probing.answer_within_ms
        for engine, overflow_tokens in self._order.candidates(request, scope):
            if (
                known_idle_only
                and engine.health_check_answered_at < answered_since
                and engine.role == ROLE_PREFILL
                and engine not in unchecked_engines
            ):
                continue
            if engine.state != READY and request.possibly_executed:
                continue
            if engine.role == ROLE_COMBINED:
                if not fallback and self._combined_is_open(engine, request):
                    return Placement(engine, engine)
            elif not decode_engine_missing and self._takes_prefill(engine, request, overflow_tokens):
                decode_engine = self._decode_selection.select(request, engine, search_results)
                if decode_engine is None:
                    decode_engine_missing = True
                elif not self._probing.may_send(engine, request):
                    known_idle_only = self._probing.needs_known_idle(request)
                elif self._decodes_near(request, engine, decode_engine):
                    return Placement(engine, decode_engine)
                else:
                    fallback = fallback or Placement(engine, decode_engine)
        if (
            fallback is None
            and self._context.settings.decode_engines_may_prefill
            and not decode_engine_missing
        ):
            decode_engine = self._decode_selection.select(request, None)
            fallback = Placement(decode_engine, decode_engine) if decode_engine else None
        return fallback

    def _decodes_near(self, request: Request, prefill_engine: Engine, decode_engine: Engine) -> bool:
        """Whether both engines are in one cell, or the cell's decode engines cannot take this request."""
        local_decode_share = self._context.index.local_decode_share
        return (
            decode_engine.cell == prefill_engine.cell
            or request.random_draw >= local_decode_share[prefill_engine.cell]
        )

    def _combined_is_open(self, engine: Engine, request: Request) -> bool:
        return self._window.is_open(engine, request) and (
            not request.attempts or self._retry.may_send(request, engine)
        )

    def _takes_prefill(self, engine: Engine, request: Request, overflow_tokens: float) -> bool:
        """Whether the engine has capacity, or is idle while no prefill engine is healthy.

        Otherwise this node's own ejections could leave it without any prefill engine.
        """
        return (
            self.has_capacity(engine, request, overflow_tokens)
            or not engine.attempts
            and engine.ejected_until.get(ALL_REQUEST_CLASSES, 0.0) <= self._context.now
            and self._probing.no_engine_healthy(request.request_class)
        )

    def has_capacity(self, engine: Engine, request: Request, overflow_tokens: float = 0.0) -> bool:
        """Whether the engine is usable, has no long queue and at most its even share of prefill tokens.

        `overflow_tokens` more may wait at the engine before its cached prefix is computed again elsewhere.
        """
        outstanding_tokens = sum(attempt.prefill_tokens for attempt in engine.attempts)
        even_share_tokens = self._in_flight.prefill_tokens / len(self._context.index.prefill_engines)
        estimates = self._estimates
        return (
            outstanding_tokens <= (1 + PREFILL_MARGIN) * even_share_tokens + overflow_tokens
            and self._outliers.is_usable(engine, request.request_class)
            and estimates.oldest_wait_ms(engine)
            <= TOLERATED_WAIT_SHARE * self._context.shortest_target_ms
            + SLOW_FACTOR * estimates.best_prefill_ms_per_token * overflow_tokens
        )
