"""Plain metrics of one front, in the Prometheus text form."""

from __future__ import annotations

from collections import Counter as Counts
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from ..tokenization.service import TokenService

SECONDS = (0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
TURNS = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3)


class Metrics:
    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._arrived = Counter("worksmux_jobs_taken", "Jobs taken", ["offering"], registry=self.registry)
        self._ended = Counter(
            "worksmux_jobs_ended",
            "Jobs ended, by final answer",
            ["offering", "answer"],
            registry=self.registry,
        )
        self._turned_away = Counter(
            "worksmux_turned_away", "Calls answered without becoming a job", ["why"], registry=self.registry
        )
        self._first = Histogram(
            "worksmux_first_token_seconds",
            "Time to a first token",
            ["offering"],
            buckets=SECONDS,
            registry=self.registry,
        )
        self._whole = Histogram(
            "worksmux_job_seconds",
            "Time to a job's end",
            ["offering"],
            buckets=SECONDS,
            registry=self.registry,
        )
        self._attempts = Counter("worksmux_trips", "Trips sent, by stage", ["stage"], registry=self.registry)
        self._tries = Histogram(
            "worksmux_trips_a_job",
            "Trips that a job took",
            buckets=(0, 1, 2, 3, 4, 6, 8),
            registry=self.registry,
        )
        self._probes = Counter("worksmux_probes", "Probes, by outcome", ["outcome"], registry=self.registry)
        self._releases = Counter("worksmux_releases", "Releases sent", registry=self.registry)
        self._overdue = Counter(
            "worksmux_overdue",
            "Jobs whose time passed without an answer by the module",
            registry=self.registry,
        )
        self._turn = Histogram(
            "worksmux_turn_seconds", "Time in the module, a turn", buckets=TURNS, registry=self.registry
        )
        self._events = Counter("worksmux_events", "Events told to the module", registry=self.registry)
        self._counted = Counter(
            "worksmux_prompts", "Prompts, by what the desk made of them", ["verdict"], registry=self.registry
        )
        self._counting = Histogram(
            "worksmux_counting_seconds",
            "Time that counting added to a job",
            buckets=(*TURNS, 1.0, 3.0),
            registry=self.registry,
        )
        self._cache_bytes = Gauge(
            "worksmux_tokens_cache_bytes", "Kept pieces with their overhead", registry=self.registry
        )
        self._pieces_kept = Gauge(
            "worksmux_tokens_pieces_kept", "Pieces that were found kept", registry=self.registry
        )
        self._pieces_counted = Gauge(
            "worksmux_tokens_pieces_missed", "Pieces that were not", registry=self.registry
        )
        self._workers_replaced = Gauge(
            "worksmux_tokens_workers_replaced", "Workers that died or hung", registry=self.registry
        )
        self._recounted = Gauge(
            "worksmux_tokens_recounted",
            "Prompts begun anew after a change of version",
            registry=self.registry,
        )
        self._line = Gauge(
            "worksmux_tokens_line_bytes", "Bytes that wait to be counted", registry=self.registry
        )
        self.open = Gauge("worksmux_open_jobs", "Jobs taken and not closed", registry=self.registry)
        self.engines = Gauge("worksmux_engines_ready", "Engines listed as ready", registry=self.registry)
        self.serial = Gauge("worksmux_list_serial", "Number of the list in force", registry=self.registry)
        self.listed = Gauge(
            "worksmux_registry_connected", "1 while the registry is connected", registry=self.registry
        )
        self._level = Gauge(
            "worksmux_brownout_level",
            "Classes that the front sheds, the cheapest first",
            registry=self.registry,
        )
        self._lag = Gauge(
            "worksmux_loop_lag_seconds", "Lateness of the front's own loop", registry=self.registry
        )
        self.held_back = Gauge(
            "worksmux_engines_held_back", "Engines that flap and are not used for now", registry=self.registry
        )
        self.list_late = Gauge(
            "worksmux_list_late_seconds",
            "Lateness of the last list over the promptest",
            registry=self.registry,
        )
        self.lines_lost = Gauge(
            "worksmux_log_lines_lost",
            "Log lines dropped as their reader was too slow",
            registry=self.registry,
        )

        self._fleet: dict[str, Gauge] | None = None

    def brownout(self, level: float, lag: float) -> None:
        self._level.set(level)
        self._lag.set(lag / 1000)

    def arrived(self, request_class: str) -> None:
        self._arrived.labels(request_class).inc()
        self.open.inc()

    def ended(
        self, request_class: str, answer: str, ms: float, first_ms: float | None, attempts: int
    ) -> None:
        self.open.dec()
        self._ended.labels(request_class, answer).inc()
        self._whole.labels(request_class).observe(ms / 1000)
        self._tries.observe(attempts)
        if first_ms is not None:
            self._first.labels(request_class).observe(first_ms / 1000)

    def counted(self, verdict: str, ms: float) -> None:
        self._counted.labels(verdict).inc()
        self._counting.observe(ms / 1000)

    def tokens(self, service: TokenService) -> None:
        """The state of counting, when the metrics are asked for."""
        self._cache_bytes.set(service.cache.used)
        self._pieces_kept.set(service.hits)
        self._pieces_counted.set(service.misses)
        self._workers_replaced.set(service.workers.replaced)
        self._recounted.set(service.recounted)
        self._line.set(sum(lane.bytes for lane in service.desk.lanes.values()))

    def fleet(self, status: dict[str, Any]) -> None:
        """What the front knows of the others, when the metrics are asked for."""
        if self._fleet is None:

            def gauge(name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
                return Gauge(f"worksmux_fleet_{name}", text, labels, registry=self.registry)

            self._fleet = {
                "fronts": gauge("fronts", "Fronts known, by state", ("state",)),
                "alone": gauge("alone", "1 while what was decided in common is too old to act on"),
                "plan": gauge("plan", "Number of the plan that is acted on"),
                "term": gauge("council_term", "Term of the council, as this front knows"),
                "leads": gauge("council_leads", "1 while this front's seat leads the council"),
                "lease": gauge("lease_seconds", "What is left of the lease"),
                "sent": gauge("messages_sent", "Messages to other fronts"),
                "bytes": gauge("bytes_sent", "Bytes of them"),
                "refused": gauge("messages_refused", "Messages of others refused, by reason", ("reason",)),
                "contradictions": gauge("contradictions", "Times that fronts told unlike things as agreed"),
            }
        found = self._fleet
        states = Counts(one["state"] for one in status["fronts"])
        for state in ("alive", "suspect", "dead", "left"):
            found["fronts"].labels(state).set(states[state])
        for reason, count in status["messages"]["refused"].items():
            found["refused"].labels(reason).set(count)
        for name, value in (
            ("alone", status["alone"]),
            ("plan", status["plan"]["number"]),
            ("term", status["council"]["term"]),
            ("leads", status["council"]["role"] == "leader"),
            ("lease", status["lease_ms"] / 1000),
            ("sent", status["messages"]["sent"]),
            ("bytes", status["messages"]["bytes"]),
            ("contradictions", status["contradictions"]),
        ):
            found[name].set(float(value))

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
        self._turn.observe(ms / 1000)
        self._events.inc(events)

    def text(self) -> bytes:
        return generate_latest(self.registry)
