"""Tracks KV cache that is held at a prefill engine until a decode engine takes it or it must be released.

KV cache that no decode engine takes fills the memory of its prefill engine, so it is used or released within
the time limit of the settings.  Times are milliseconds.
"""

from __future__ import annotations

from .context import PolicyContext
from .events import AttemptEnded
from .state import Engine, Outcome, Request

RELEASE_SHARE = 0.5  # of the limit; KV cache held for longer is released, as the release itself takes time


class HeldKvCaches:
    """Requests whose prefill has ended and that have no attempt in flight."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self.requests: dict[Request, None] = {}

    def hold(self, request: Request, engine: Engine) -> None:
        """Records that the engine holds the request's KV cache after a successful prefill."""
        request.kv_holder, request.kv_held_since = engine, self._context.now
        self.requests[request] = None

    def hold_again(self, event: AttemptEnded) -> None:
        """Holds the KV cache for another decode engine, after an attempt ended without using it.

        An attempt that never reached a decode engine does not extend the time limit.
        """
        request = event.attempt.request
        if event.outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT):
            request.kv_held_since = self._context.now
        self.requests[request] = None

    def drop(self, request: Request) -> None:
        """Removes a request that no longer waits for a decode engine."""
        self.requests.pop(request, None)

    def prefill_too_late(self, request: Request) -> bool:
        """Whether the latency target has passed, so that serving the request would delay others that wait."""
        return self._context.now > request.latency_target_at

    def must_be_released(self, request: Request) -> bool:
        """Whether the KV cache has been held for too long."""
        limit_ms = self._context.settings.release_within_ms * RELEASE_SHARE
        return bool(self._context.now > request.kv_held_since + limit_ms)
