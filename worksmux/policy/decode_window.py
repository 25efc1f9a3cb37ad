"""Limits how many requests of this node may be in flight at one decode engine.

The window starts from the engine's even share of this node's requests.  It shrinks when the engine answers
"full" and when first tokens are late.  So an engine whose KV transfers queue gets no further requests before
it has to reject some.  Counts are requests; times are milliseconds.
"""

from __future__ import annotations

from math import inf

from .context import PolicyContext
from .events import StateRestored
from .in_flight import InFlight
from .load_estimates import BUCKETS, RECENT_BUCKETS, LoadEstimates
from .outlier_detection import OutlierDetection
from .prefill_probing import PrefillProbing
from .sliding_window import SlidingWindow
from .state import Engine, Request

WINDOW_MARGIN = 0.25  # by which requests may exceed the even share, and tokens the memory share
IN_FLIGHT_HISTORY_MS = 4_000.0  # span over which this node's requests in flight are averaged
SKIP_AFTER_FULL_MS = 1_000.0  # after a decode engine answered "full" it gets no request


class DecodeWindow:
    """Tracks the capacity of decode engines for this node's requests."""

    def __init__(
        self,
        context: PolicyContext,
        estimates: LoadEstimates,
        in_flight: InFlight,
        outliers: OutlierDetection,
        probing: PrefillProbing,
    ) -> None:
        self._context, self._estimates, self._in_flight = context, estimates, in_flight
        self._outliers, self._probing = outliers, probing
        self._in_flight_history = SlidingWindow(IN_FLIGHT_HISTORY_MS, BUCKETS)

    def begin_placement(self) -> None:
        """Samples the requests in flight before waiting requests are placed."""
        self._in_flight_history.add(self._context.now, self._in_flight.decode_requests)

    def is_open(self, engine: Engine, request: Request) -> bool:
        """Whether the engine has capacity for one more request and is usable."""
        return self.has_capacity(engine, request) and self._outliers.is_usable(engine, request.request_class)

    def has_capacity(self, engine: Engine, request: Request) -> bool:
        """Whether one more request fits; the random draw decides on the fractional part of a window."""
        outstanding = len(engine.attempts) + len(engine.reserved)
        if not outstanding or self._exceeds_memory_share(engine, request):
            return not outstanding
        wait_ms = max(
            engine.first_token_delays.mean(self._context.now), self._estimates.oldest_wait_ms(engine)
        )
        slowdown = min(1.0, self._estimates.harmless_first_token_wait_ms / max(wait_ms, 1.0))
        return outstanding < self.size(engine, request.random_draw) * slowdown

    def size(self, engine: Engine, random_draw: float = 0.0) -> float:
        """Returns how many requests may be in flight at the engine, at least 1."""
        total_requests = max(self._in_flight.decode_requests, self._in_flight_history.mean(self._context.now))
        even_share = total_requests / max(1, len(self._context.index.decode_capable))
        burst = float(even_share**0.5)
        return max(1.0, even_share * (1 + WINDOW_MARGIN) + burst - engine.window_reduction + random_draw)

    def _exceeds_memory_share(self, engine: Engine, request: Request) -> bool:
        """Whether the request would take more than this node's share of the engine's KV cache.

        A decode engine that runs out of memory computes answers again.  A node with sparse traffic skips the
        check while recent first tokens are prompt: no KV cache waits for memory then, and a node that has
        more than its share of the traffic need not limit itself.
        """
        first_tokens = self._estimates.first_token_waits_ms
        if (
            self._probing.enabled
            and first_tokens.mean(self._context.now, inf, RECENT_BUCKETS)
            <= self._estimates.harmless_first_token_wait_ms
        ):
            return False
        settings = self._context.settings
        memory_tokens = settings.kind_memory_tokens
        held_tokens = sum(attempt.request.prompt_tokens for attempt in engine.attempts) + sum(
            reserved_request.prompt_tokens for reserved_request in engine.reserved
        )
        memory_share_tokens = (
            memory_tokens[engine.kind] / settings.node_count if engine.kind < len(memory_tokens) else inf
        )
        return bool(
            held_tokens + request.random_draw * request.prompt_tokens
            > (1 + WINDOW_MARGIN) * memory_share_tokens
        )

    def shrink(self, engine: Engine) -> None:
        """Halves the window of an engine that answered "full", and skips the engine for a while."""
        engine.window_reduction += self.size(engine) / 2
        engine.skipped_until = self._context.now + SKIP_AFTER_FULL_MS

    @staticmethod
    def grow(engine: Engine) -> None:
        """Widens a reduced window by one request, after the engine served one."""
        engine.window_reduction = max(0.0, engine.window_reduction - 1.0)

    @staticmethod
    def restore(event: StateRestored) -> None:
        """Restores the window reductions saved before a restart."""
        for engine, requests in event.window_reductions:
            engine.window_reduction = requests
