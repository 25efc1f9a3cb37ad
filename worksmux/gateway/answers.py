"""Error answers of embeddings and rerank requests.

429: admission control or the limit on open requests rejected the request.  503: the policy rejected it, or
the gateway is stopping.  A request with either status was not executed, can be retried safely, and gets
`Retry-After`.  504: the request's deadline
passed; it was possibly executed.
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


def answer_rejected(
    exchange: Exchange, status: int, message: str, retry_after_ms: float, headers: Headers = ()
) -> None:
    """Answers that the request was not executed, and after how long the client may retry."""
    error_type = "rate_limit_error" if status == TOO_MANY_REQUESTS else "server_error"
    retry_headers = (
        ("Retry-After", str(ceil(retry_after_ms / 1000))),
        ("retry-after-ms", str(round(retry_after_ms))),
        (ANSWER_HEADER, "deferred"),
    )
    body = errors.error(message, error_type, code="deferred")
    exchange.answer(status, body, headers=(*retry_headers, *headers))


def answer_timed_out(exchange: Exchange, headers: Headers) -> None:
    """Answers that the deadline passed and that the request was possibly executed."""
    body = errors.error("the call's time ran out", "server_error", code="broken_off")
    exchange.answer(GATEWAY_TIMEOUT, body, headers=((ANSWER_HEADER, "broken-off"), *headers))
