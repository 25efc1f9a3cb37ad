"""Estimates how long an engine may continue an abandoned prefill; all times are in ms."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_RECENT_PREFILLS = 32
SLOWEST_FACTOR = 3.0  # an abandoned prefill may take this many times the slowest recent one
ENGINE_EXPIRY_DELAY_MS = 150.0  # for an engine to end an attempt after its time is over


class _Prefill(NamedTuple):
    tokens: float
    duration_ms: float


class PrefillWorkEstimate:
    """Estimates the remaining work of abandoned prefills from recent prefills."""

    def __init__(self, min_work_ms: float) -> None:
        """`min_work_ms` is the lower bound of each estimate."""
        self._min_work_ms = min_work_ms
        self._recent: deque[_Prefill] = deque(maxlen=MAX_RECENT_PREFILLS)

    def record(self, tokens: float, duration_ms: float) -> None:
        """Records a finished prefill."""
        self._recent.append(_Prefill(tokens, duration_ms))

    def work_left_ms(self, tokens: float, written_at: float, expires_at: float, now: float) -> float:
        """Returns how long an engine that runs may continue, at least the rest of the time it was sent.

        An engine that was unresponsive may begin only when it runs again. The estimate is then a multiple of
        the slowest recent prefill, or all the time it was sent if no recent prefill was as large or as slow.
        """
        ends_at = expires_at + ENGINE_EXPIRY_DELAY_MS
        slowest_ms = max((prefill.duration_ms for prefill in self._recent), default=0.0)
        largest = max((prefill.tokens for prefill in self._recent), default=0.0)
        is_unprecedented = tokens > largest or now - written_at > slowest_ms
        full_ms = ends_at - written_at if is_unprecedented else SLOWEST_FACTOR * slowest_ms
        return max(self._min_work_ms, ends_at - now, full_ms)
