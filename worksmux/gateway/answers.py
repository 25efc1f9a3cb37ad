"""Answers that bring no results, as embeddings and rerank send them.

429 where admission control rejected the request and 503 where it was deferred: both are harmless to repeat
and carry `Retry-After`.  504 where its time ran out; it may have been executed.
"""

from __future__ import annotations

from math import ceil

from ..api import errors
from ..net.server import Exchange

ANSWER_HEADER = "x-worksmux-answer"
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
Headers = tuple[tuple[str, str], ...]


def answer_deferred(
    exchange: Exchange, status: int, message: str, retry_after_ms: float, headers: Headers = ()
) -> None:
    """Tells the client that its request had no effect, and when to return."""
    error_type = "rate_limit_error" if status == TOO_MANY_REQUESTS else "server_error"
    retry_headers = (
        ("Retry-After", str(ceil(retry_after_ms / 1000))),
        ("retry-after-ms", str(round(retry_after_ms))),
        (ANSWER_HEADER, "deferred"),
    )
    body = errors.error(message, error_type, code="deferred")
    exchange.answer(status, body, headers=(*retry_headers, *headers))


def answer_timed_out(exchange: Exchange, headers: Headers) -> None:
    body = errors.error("the call's time ran out", "server_error", code="broken_off")
    exchange.answer(GATEWAY_TIMEOUT, body, headers=((ANSWER_HEADER, "broken-off"), *headers))
