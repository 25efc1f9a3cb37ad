"""KV cache that waits at a prefill engine until a decode engine takes it, and when it must be released.

Failure: KV cache that no decode engine takes fills the memory of its prefill engine.  It is used or released
within the limit of the settings.  Times are milliseconds.
"""

from __future__ import annotations

from .context import PolicyContext
from .events import AttemptEnded
from .state import Engine, Outcome, Request

RELEASE_SHARE = 0.5  # of the limit, after which held KV cache is released: the release itself takes time


class HeldKvCaches:
    """Requests whose prefill is done and that have no attempt in flight."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self.requests: dict[Request, None] = {}

    def hold(self, request: Request, engine: Engine) -> None:
        """A prefill ended well at the engine."""
        request.kv_holder, request.kv_held_since = engine, self._context.now
        self.requests[request] = None

    def hold_again(self, event: AttemptEnded) -> None:
        """A decode attempt ended without using the KV cache: the next decode engine gets it.

        The time to its release runs on through attempts that never reached a decode engine.
        """
        request = event.attempt.request
        if event.outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT):
            request.kv_held_since = self._context.now
        self.requests[request] = None

    def drop(self, request: Request) -> None:
        self.requests.pop(request, None)

    def prefill_too_late(self, request: Request) -> bool:
        """Whether the latency target has passed: while others wait, the request would make them late too."""
        return self._context.now > request.latency_target_at

    def must_be_released(self, request: Request) -> bool:
        limit_ms = self._context.settings.release_within_ms * RELEASE_SHARE
        return bool(self._context.now > request.kv_held_since + limit_ms)
