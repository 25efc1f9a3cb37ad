"""Metrics of token counting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from ..tokenization.service import TokenService

COUNTING_BUCKETS_S = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)


class TokenMetrics:
    """Metrics of counted prompts, of the piece cache and of the counting workers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, text: str) -> Gauge:
            return Gauge(f"worksmux_tokens_{name}", text, registry=registry)

        self._counted = Counter(
            "worksmux_prompts", "Prompts, by what the desk made of them", ["verdict"], registry=registry
        )
        self._counting_time = Histogram(
            "worksmux_counting_seconds",
            "Time that counting added to a job",
            buckets=COUNTING_BUCKETS_S,
            registry=registry,
        )
        self._cache_bytes = gauge("cache_bytes", "Kept pieces with their overhead")
        self._pieces_kept = gauge("pieces_kept", "Pieces that were found kept")
        self._pieces_missed = gauge("pieces_missed", "Pieces that were not")
        self._workers_replaced = gauge("workers_replaced", "Workers that died or hung")
        self._recounted = gauge("recounted", "Prompts begun anew after a change of version")
        self._queued_bytes = gauge("line_bytes", "Bytes that wait to be counted")

    def counted(self, verdict: str, elapsed_ms: float) -> None:
        """Records the verdict of a prompt's count and the time that the count took."""
        self._counted.labels(verdict).inc()
        self._counting_time.observe(elapsed_ms / 1000)

    def update(self, service: TokenService) -> None:
        """Sets the gauges from the state of the token service."""
        self._cache_bytes.set(service.cache.used)
        self._pieces_kept.set(service.hits)
        self._pieces_missed.set(service.misses)
        self._workers_replaced.set(service.workers.replaced)
        self._recounted.set(service.recounted)
        self._queued_bytes.set(sum(queue.bytes for queue in service.scheduler.queues.values()))
