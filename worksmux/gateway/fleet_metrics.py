"""Metrics of a gateway's view of its fleet."""

from __future__ import annotations

from collections import Counter
from typing import Any

from prometheus_client import CollectorRegistry, Gauge

MEMBER_STATES = ("alive", "suspect", "dead", "left")


class FleetMetrics:
    """Gauges of the fleet's members, plan, consensus and messages as this gateway knows them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
            return Gauge(f"worksmux_fleet_{name}", text, labels, registry=registry)

        self._fronts = gauge("fronts", "Fronts known, by state", ("state",))
        self._alone = gauge("alone", "1 while what was decided in common is too old to act on")
        self._plan = gauge("plan", "Number of the plan that is acted on")
        self._term = gauge("council_term", "Term of the council, as this front knows")
        self._leads = gauge("council_leads", "1 while this front's seat leads the council")
        self._lease = gauge("lease_seconds", "What is left of the lease")
        self._sent = gauge("messages_sent", "Messages to other fronts")
        self._bytes = gauge("bytes_sent", "Bytes of them")
        self._refused = gauge("messages_refused", "Messages of others refused, by reason", ("reason",))
        self._contradictions = gauge("contradictions", "Times that fronts told unlike things as agreed")

    def update(self, status: dict[str, Any]) -> None:
        """Sets all gauges from the status that the page /fleet shows."""
        states = Counter(node["state"] for node in status["fronts"])
        for state in MEMBER_STATES:
            self._fronts.labels(state).set(states[state])
        messages, council = status["messages"], status["council"]
        for reason, count in messages["refused"].items():
            self._refused.labels(reason).set(count)
        self._alone.set(float(status["alone"]))
        self._plan.set(float(status["plan"]["number"]))
        self._term.set(float(council["term"]))
        self._leads.set(float(council["role"] == "leader"))
        self._lease.set(status["lease_ms"] / 1000)
        self._sent.set(float(messages["sent"]))
        self._bytes.set(float(messages["bytes"]))
        self._contradictions.set(float(status["contradictions"]))
