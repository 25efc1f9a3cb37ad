"""Fields of the log line of a request that has ended."""

from __future__ import annotations

from typing import Any

from ..policy.state import Attempt
from .request_context import RequestContext


def request_fields(context: RequestContext, now: float) -> dict[str, Any]:
    """Returns the fields of the line; `now` is a clock time in ms, logged times count from the arrival."""
    request = context.request
    first_token_ms = context.first_token_at - request.arrived if context.first_token_at else None
    return {
        "request": context.key,
        "request_class": context.class_name,
        "answer": context.final_answer.value if context.final_answer else "",
        "duration_ms": round(now - request.arrived, 1),
        "first_token_ms": round(first_token_ms, 1) if first_token_ms is not None else None,
        "prompt_tokens": round(request.prompt_tokens),
        "cached_tokens": context.cached_tokens,
        "reason": context.answer_reason,
        "attempts": [_attempt_fields(context, attempt) for attempt in request.attempts],
    }


def _attempt_fields(context: RequestContext, attempt: Attempt) -> dict[str, Any]:
    return {
        "engine": attempt.engine.id.decode(),
        "prefill": attempt.is_prefill,
        "sent_ms": round(attempt.sent_at - context.request.arrived, 1),
        "outcome": attempt.outcome.value if attempt.outcome else None,
        "reason": context.attempt_end_reasons.get(attempt, ""),
    }
