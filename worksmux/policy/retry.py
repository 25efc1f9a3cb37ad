"""Decides whether and where a request may be retried, and whether it may be rejected instead.

A non-idempotent request that was possibly executed is not sent again, a deduplicated one only within its
deduplication scope and window.  Times are milliseconds.
"""

from __future__ import annotations

from .context import PolicyContext
from .round_robin import ANYWHERE, Scope
from .settings import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, SCOPE_ALL, SCOPE_ZONE
from .state import READY, Engine, Request


class RetryPolicy:
    """Applies the rules for retries; keeps no state."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context

    def attempts_left(self, request: Request) -> int:
        """Returns how many more attempts the settings allow the request."""
        return int(self._context.settings.max_attempts) - len(request.attempts)

    def is_exhausted(self, request: Request) -> bool:
        """Whether no attempt is left, or the deadline is before the next decision round."""
        context = self._context
        return self.attempts_left(request) < 1 or context.now > request.deadline - context.round_interval_ms

    def scope(self, request: Request) -> Scope | None:
        """Returns the scope of one more attempt; None if there may be none."""
        if self.attempts_left(request) < 1 or request.in_flight:
            return None
        executed = request.possibly_executed
        request_class = self._context.request_classes[request.request_class]
        if not executed or request_class.effect == IDEMPOTENT:
            return ANYWHERE
        elapsed_ms = self._context.now - executed[0].sent_at
        window_ms = request_class.deduplication_window_ms - self._context.shortest_target_ms
        if request_class.effect == NON_IDEMPOTENT or elapsed_ms >= window_ms:
            return None
        if request_class.deduplication_scope == SCOPE_ALL:
            return ANYWHERE
        first = executed[0].engine
        scope = Scope(first.zone, None if request_class.deduplication_scope == SCOPE_ZONE else first.cell)
        return scope if all(scope.has(attempt.engine) for attempt in executed) else None

    def may_send(self, request: Request, engine: Engine) -> bool:
        """Whether one more attempt may go to the engine."""
        scope = self.scope(request)
        return scope is not None and engine.state == READY and scope.has(engine)

    def may_retry(self, request: Request) -> bool:
        """Whether a decode-capable engine is in the scope of one more attempt."""
        scope = self.scope(request)
        return scope is not None and self._context.index.any_in(self._context.index.decode_capable, scope)

    def may_prefill_again(self, request: Request) -> bool:
        """Whether the request may be prefilled again.

        A prefill counts as an attempt, so after a possible execution it stays within the scope too.
        """
        if not request.possibly_executed or self._context.settings.decode_engines_may_prefill:
            return True
        scope = self.scope(request)
        return scope is not None and self._context.index.any_in(self._context.index.prefill_capable, scope)

    def may_reject(self, request: Request) -> bool:
        """Whether the client may safely send the request again."""
        request_class = self._context.request_classes[request.request_class]
        return (
            request_class.effect == IDEMPOTENT
            or not request.possibly_executed
            or (request_class.effect, request_class.deduplication_scope) == (DEDUPLICATED, SCOPE_ALL)
        )

    def may_cancel_for_retry(self, request: Request, prefill: bool) -> bool:
        """Whether an attempt in flight may be cancelled so that the request runs elsewhere."""
        request_class = self._context.request_classes[request.request_class]
        return bool(
            (prefill or request_class.effect == IDEMPOTENT)
            and not request.ended
            and self.attempts_left(request)
        )
