"""Interpretation of complete engine replies."""

from __future__ import annotations

import msgspec

from ..policy.state import Outcome
from .protocol import NOT_EXECUTED, parse_attributes

KV_CACHE_LOST = 410  # status of a decode engine that could not fetch the KV cache
REJECTING_STATUSES = frozenset({503, 504, KV_CACHE_LOST})


class CachedTokens(msgspec.Struct):
    """The number of prompt tokens found in KV cache."""

    cached_tokens: int = 0


CACHED_TOKENS_DECODER = msgspec.json.Decoder(CachedTokens)


def cached_tokens(body: bytes) -> int:
    """Returns the cached tokens from the reply to a prefill; 0 if it has none."""
    try:
        return max(0, CACHED_TOKENS_DECODER.decode(body).cached_tokens)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return 0


def rejection(status: int, headers: dict[str, str]) -> tuple[Outcome, int]:
    """Returns outcome and note of a reply that is neither an answer nor a finished prefill.

    Note 1 means that the KV cache is lost.

    >>> rejection(503, {"x-not-processed": "1"}), rejection(410, {"x-not-processed": "1"})
    ((<Outcome.FULL: 'full'>, 0), (<Outcome.FULL: 'full'>, 1))
    >>> rejection(503, {})
    (<Outcome.ERROR: 'error'>, 0)
    """
    if headers.get(NOT_EXECUTED) == "1" and status in REJECTING_STATUSES:
        return Outcome.FULL, int(status == KV_CACHE_LOST)
    return Outcome.ERROR, 0


def parse_load_report(text: str | None, fields: list[str]) -> dict[str, float] | None:
    """Returns the metrics of a load report that `fields` names; None without any or if parsing fails.

    >>> parse_load_report("inflight=7,queue=2,util=0.61", ["inflight", "util"])
    {'inflight': 7.0, 'util': 0.61}
    >>> parse_load_report("inflight=seven", ["inflight"]), parse_load_report(None, [])
    (None, None)
    """
    try:
        metrics = {name: float(value) for name, value in parse_attributes(text).items()}
    except ValueError:
        return None
    report = {
        name: metrics[name]
        for name in fields
        if name in metrics and metrics[name] == metrics[name]  # not NaN
    }
    return report or None
