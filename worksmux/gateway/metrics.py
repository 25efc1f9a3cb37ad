"""The gateway's metrics, in the Prometheus text form."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from .fleet_metrics import FleetMetrics
from .token_metrics import TokenMetrics

if TYPE_CHECKING:
    from ..tokenization.service import TokenService

REQUEST_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
DECISION_BUCKETS_S = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3)
ATTEMPT_BUCKETS = (0, 1, 2, 3, 4, 6, 8)


class Metrics:
    """See `counters.Counts` for what a request's life counts; the gauges are set by their owners."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._create_request_metrics()
        self._create_decision_metrics()
        self._tokens = TokenMetrics(self._registry)
        self._fleet: FleetMetrics | None = None  # only in a fleet
        self.open = self._gauge("worksmux_open_jobs", "Jobs taken and not closed")
        self.engines = self._gauge("worksmux_engines_ready", "Engines listed as ready")
        self.serial = self._gauge("worksmux_list_serial", "Number of the list in force")
        self.listed = self._gauge("worksmux_registry_connected", "1 while the registry is connected")
        self._shedding_level = self._gauge(
            "worksmux_brownout_level", "Classes that the front sheds, the cheapest first"
        )
        self._loop_lag = self._gauge("worksmux_loop_lag_seconds", "Lateness of the front's own loop")
        self.held_back = self._gauge(
            "worksmux_engines_held_back", "Engines that flap and are not used for now"
        )
        self.list_late = self._gauge(
            "worksmux_list_late_seconds", "Lateness of the last list over the promptest"
        )
        self.lines_lost = self._gauge(
            "worksmux_log_lines_lost", "Log lines dropped as their reader was too slow"
        )

    def _create_request_metrics(self) -> None:
        self._arrived = self._counter("worksmux_jobs_taken", "Jobs taken", "offering")
        self._ended = self._counter(
            "worksmux_jobs_ended", "Jobs ended, by final answer", "offering", "answer"
        )
        self._turned_away = self._counter(
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

    def brownout(self, level: float, lag: float) -> None:
        """`lag` is milliseconds."""
        self._shedding_level.set(level)
        self._loop_lag.set(lag / 1000)

    def arrived(self, request_class: str) -> None:
        self._arrived.labels(request_class).inc()
        self.open.inc()

    def ended(
        self, request_class: str, answer: str, ms: float, first_ms: float | None, attempts: int
    ) -> None:
        self.open.dec()
        self._ended.labels(request_class, answer).inc()
        self._request_time.labels(request_class).observe(ms / 1000)
        self._attempts_per_request.observe(attempts)
        if first_ms is not None:
            self._first_token_time.labels(request_class).observe(first_ms / 1000)

    def counted(self, verdict: str, ms: float) -> None:
        """A prompt was counted, in `ms` milliseconds."""
        self._tokens.counted(verdict, ms)

    def tokens(self, service: TokenService) -> None:
        """Updates the state of counting."""
        self._tokens.update(service)

    def fleet(self, status: dict[str, Any]) -> None:
        """Updates what the gateway knows of the others."""
        if self._fleet is None:
            self._fleet = FleetMetrics(self._registry)
        self._fleet.update(status)

    def turned_away(self, why: str) -> None:
        self._turned_away.labels(why).inc()

    def attempt(self, stage: str) -> None:
        self._attempts.labels(stage).inc()

    def probe(self, outcome: str) -> None:
        self._probes.labels(outcome).inc()

    def release(self) -> None:
        self._releases.inc()

    def overdue(self) -> None:
        self._overdue.inc()

    def decision_round(self, ms: float, events: int) -> None:
        self._decision_time.observe(ms / 1000)
        self._events.inc(events)

    def text(self) -> bytes:
        return generate_latest(self._registry)
