"""Metrics of the gateway, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ..endpoints.watch_progress import WatchEnd, WatchStage
from ..net.buffer_budget import BufferBudget
from .fleet_metrics import FleetMetrics
from .token_metrics import TokenMetrics

if TYPE_CHECKING:
    from ..tokenization.service import TokenService

REQUEST_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
DECISION_BUCKETS_S = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3)
ATTEMPT_BUCKETS = (0, 1, 2, 3, 4, 6, 8)


class Metrics:
    """Implements `forwarding.counters.Counters`; public gauges are set by the objects that they describe."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._create_request_metrics()
        self._create_decision_metrics()
        self._tokens = TokenMetrics(self._registry)
        self._fleet: FleetMetrics | None = None  # None outside a fleet
        self.open_requests = self._gauge("worksmux_open_jobs", "Jobs taken and not closed")
        self.engines_ready = self._gauge("worksmux_engines_ready", "Engines listed as ready")
        self.list_serial = self._gauge("worksmux_list_serial", "Number of the list in force")
        self.registry_connected = self._gauge(
            "worksmux_registry_connected", "1 while the registry is connected"
        )
        self._shedding_level = self._gauge(
            "worksmux_brownout_level", "Classes that the front sheds, the cheapest first"
        )
        self._loop_lag = self._gauge("worksmux_loop_lag_seconds", "Lateness of the front's own loop")
        self.engines_held_back = self._gauge(
            "worksmux_engines_held_back", "Engines that flap and are not used for now"
        )
        self.list_lateness = self._gauge(
            "worksmux_list_late_seconds", "Lateness of the last list over the promptest"
        )
        self.log_lines_lost = self._gauge(
            "worksmux_log_lines_lost", "Log lines dropped as their reader was too slow"
        )

        self._buffered_bytes = Gauge(
            "worksmux_buffered_bytes",
            "Bytes of requests without an answer, or of incomplete replies, at most since the last look",
            ("connections",),
            registry=self._registry,
        )
        self._registry_stages = self._counter(
            "worksmux_registry_connection_stages", "Connections to the registry that came to a stage", "stage"
        )
        self._registry_ends = self._counter(
            "worksmux_registry_connections_ended", "Connections to the registry that ended", "reason"
        )
        self._connections_closed = self._counter(
            "worksmux_connections_closed", "Client connections that the front closed", "reason"
        )
        self._buffers_discarded = self._counter(
            "worksmux_buffers_discarded", "Connections whose incomplete data was discarded", "connections"
        )

    def registry_stage_reached(self, stage: WatchStage) -> None:
        """Counts a connection to the registry that has reached a stage."""
        self._registry_stages.labels(stage.value).inc()

    def registry_connection_ended(self, end: WatchEnd) -> None:
        """Counts a connection to the registry that has ended."""
        self._registry_ends.labels(end.value).inc()

    def connections_closed(self, closes: Mapping[str, int]) -> None:
        """Adds client connections that the gateway has closed, by reason."""
        for reason, count in closes.items():
            self._connections_closed.labels(reason).inc(count)

    def buffers(self, budget: BufferBudget) -> None:
        """Updates the metrics of what the connections of one kind buffer."""
        counts = budget.take_counts()
        self._buffered_bytes.labels(budget.name).set(counts.peak_bytes)
        self._buffers_discarded.labels(budget.name).inc(counts.discards)

    def _create_request_metrics(self) -> None:
        self._arrived = self._counter("worksmux_jobs_taken", "Jobs taken", "offering")
        self._ended = self._counter(
            "worksmux_jobs_ended", "Jobs ended, by final answer", "offering", "answer"
        )
        self._not_accepted = self._counter(
            "worksmux_turned_away", "Calls answered without becoming a job", "why"
        )
        self._first_token_time = self._histogram(
            "worksmux_first_token_seconds", "Time to a first token", REQUEST_BUCKETS_S, "offering"
        )
        self._request_time = self._histogram(
            "worksmux_job_seconds", "Time to a job's end", REQUEST_BUCKETS_S, "offering"
        )
        self._attempts = self._counter("worksmux_trips", "Trips sent, by stage", "stage")
        self._attempts_per_request = self._histogram(
            "worksmux_trips_a_job", "Trips that a job took", ATTEMPT_BUCKETS
        )
        self._probes = self._counter("worksmux_probes", "Probes, by outcome", "outcome")
        self._releases = self._counter("worksmux_releases", "Releases sent")
        self._overdue = self._counter(
            "worksmux_overdue", "Jobs whose time passed without an answer by the module"
        )

    def _create_decision_metrics(self) -> None:
        self._decision_time = self._histogram(
            "worksmux_turn_seconds", "Time in the module, a turn", DECISION_BUCKETS_S
        )
        self._events = self._counter("worksmux_events", "Events told to the module")

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self._registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...], *labels: str) -> Histogram:
        return Histogram(name, text, labels, buckets=buckets, registry=self._registry)

    def shedding(self, level: float, lag_ms: float) -> None:
        """Sets the number of request classes that are shed and the lag of the event loop."""
        self._shedding_level.set(level)
        self._loop_lag.set(lag_ms / 1000)

    def arrived(self, request_class: str) -> None:
        """Counts an accepted request."""
        self._arrived.labels(request_class).inc()
        self.open_requests.inc()

    def ended(
        self, request_class: str, answer: str, duration_ms: float, first_ms: float | None, attempts: int
    ) -> None:
        """Counts a request's final answer; `first_ms` is its time to first token."""
        self.open_requests.dec()
        self._ended.labels(request_class, answer).inc()
        self._request_time.labels(request_class).observe(duration_ms / 1000)
        self._attempts_per_request.observe(attempts)
        if first_ms is not None:
            self._first_token_time.labels(request_class).observe(first_ms / 1000)

    def counted(self, verdict: str, duration_ms: float) -> None:
        """Records the verdict of a prompt's token count, and the time that the count took."""
        self._tokens.counted(verdict, duration_ms)

    def tokens(self, service: TokenService) -> None:
        """Updates the metrics of the token service."""
        self._tokens.update(service)

    def fleet(self, status: dict[str, Any]) -> None:
        """Updates the metrics of the fleet from the status of the page /fleet."""
        if self._fleet is None:
            self._fleet = FleetMetrics(self._registry)
        self._fleet.update(status)

    def not_accepted(self, reason: str) -> None:
        """Counts a request that was answered before it was accepted."""
        self._not_accepted.labels(reason).inc()

    def attempt(self, stage: str) -> None:
        """Counts an attempt; `stage` is "moot" if it was not sent."""
        self._attempts.labels(stage).inc()

    def probe(self, outcome: str) -> None:
        """Counts a health check or a probe."""
        self._probes.labels(outcome).inc()

    def release(self) -> None:
        """Counts a started release of KV cache."""
        self._releases.inc()

    def overdue(self) -> None:
        """Counts a request that passed its deadline without an answer of the policy."""
        self._overdue.inc()

    def decision_round(self, duration_ms: float, events: int) -> None:
        """Records the duration of a decision round and the number of its events."""
        self._decision_time.observe(duration_ms / 1000)
        self._events.inc(events)

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self._registry)
