"""What an engine's whole reply means."""

from __future__ import annotations

import msgspec

from ..policy.state import Outcome
from .protocol import NOT_EXECUTED, parse_attributes

KV_CACHE_LOST = 410  # the status of a decode engine that could not get the KV cache
REJECTING_STATUSES = frozenset({503, 504, KV_CACHE_LOST})


class CachedTokens(msgspec.Struct):
    """How much of a prompt had its KV cache ready."""

    cached_tokens: int = 0


CACHED_TOKENS_DECODER = msgspec.json.Decoder(CachedTokens)


def cached_tokens(body: bytes) -> int:
    """The cached tokens in the reply to a prefill; 0 where it names none."""
    try:
        return max(0, CACHED_TOKENS_DECODER.decode(body).cached_tokens)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return 0


def rejection(status: int, headers: dict[str, str]) -> tuple[Outcome, int]:
    """Outcome and note of a reply that is neither an answer nor a finished prefill; note 1: KV cache lost.

    >>> rejection(503, {"x-not-processed": "1"}), rejection(410, {"x-not-processed": "1"})
    ((<Outcome.FULL: 'full'>, 0), (<Outcome.FULL: 'full'>, 1))
    >>> rejection(503, {})
    (<Outcome.ERROR: 'error'>, 0)
    """
    if headers.get(NOT_EXECUTED) == "1" and status in REJECTING_STATUSES:
        return Outcome.FULL, int(status == KV_CACHE_LOST)
    return Outcome.ERROR, 0


def parse_load_report(text: str | None, fields: list[str]) -> dict[str, float] | None:
    """The figures of a load report that `fields` names; None where there are none or they can't be parsed.

    >>> parse_load_report("inflight=7,queue=2,util=0.61", ["inflight", "util"])
    {'inflight': 7.0, 'util': 0.61}
    >>> parse_load_report("inflight=seven", ["inflight"]), parse_load_report(None, [])
    (None, None)
    """
    try:
        figures = {name: float(value) for name, value in parse_attributes(text).items()}
    except ValueError:
        return None
    report = {
        name: figures[name]
        for name in fields
        if name in figures and figures[name] == figures[name]  # no NaN
    }
    return report or None
