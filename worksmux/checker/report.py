"""The report of a run: outcomes, credit, attempts, and the verdict on each rule with its first finding."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from .records import Records
from .rules import RuleParameters, Verdict, check

MAX_TRACE_LINES = 40


def summary(records: Records, parameters: RuleParameters) -> dict[str, Any]:
    """All figures of a run as values that JSON can hold."""
    verdicts = check(records, parameters)
    outcomes = Counter(request["how"] for request in records.requests)
    requested_credit = sum(request["asked"] for request in records.requests)
    first_token_waits = HdrHistogram(1, 600_000, 3)
    for request in records.requests:
        if request["first"] is not None:
            first_token_waits.record_value(max(1, round(request["first"])))
    decodes = [attempt for attempt in records.attempts if attempt.role != "read"]
    prefills = {
        attempt.request: attempt
        for attempt in records.attempts
        if attempt.role == "read" and attempt.outcome == "read"
    }
    transferred = [attempt for attempt in decodes if attempt.tokens_generated and attempt.request in prefills]
    moved = [attempt for attempt in transferred if attempt.cell != prefills[attempt.request].cell]
    request_classes = sorted({request["offering"] for request in records.requests})
    return {
        "jobs": len(records.requests),
        "tries": len(records.client_attempts),
        "unanswered": len({client_attempt.request for client_attempt in records.client_attempts.values()})
        - len(records.requests),
        "ends": dict(sorted(outcomes.items())),
        "delivered_share": _ratio(outcomes["delivered"], len(records.requests)),
        "credit_share": _ratio(sum(request["credit"] for request in records.requests), requested_credit),
        "credit_by_offering": {
            name: _ratio(
                sum(request["credit"] for request in records.requests if request["offering"] == name),
                sum(request["asked"] for request in records.requests if request["offering"] == name),
            )
            for name in request_classes
        },
        "first_ms": {
            f"p{percent:g}": first_token_waits.get_value_at_percentile(percent) for percent in (50, 90, 99)
        },
        "one_stage": single_stage_outcomes(records),
        "trips_a_job": _ratio(len(records.attempts), len(records.requests)),
        "counts": len(records.token_counts),
        "counts_wrong": sum(by_gateway != by_engine for _, by_gateway, by_engine in records.token_counts),
        "drain_last_send_ms": max_send_after_drain_ms(records),
        "moved_out_of_cell": _ratio(len(moved), len(transferred)),
        "engines_fallen": len(records.overload_failures),
        "fronts_killed": sum(map(len, records.gateway_kills.values())),
        "rules": [_verdict_entry(records, verdict) for verdict in verdicts],
        "kept": all(verdict.kept for verdict in verdicts),
    }


def single_stage_outcomes(records: Records) -> dict[str, int]:
    """Counts the attempts of embeddings and rerank requests by their outcome at the engine."""
    return dict(
        sorted(
            Counter(
                attempt.outcome or "no end"
                for attempt in records.attempts
                if attempt.request_class.startswith("/v1/")
            ).items()
        )
    )


def max_send_after_drain_ms(records: Records) -> float:
    """The longest time between a gateway's update that an engine drains and its last attempt there."""
    max_delay_ms = 0.0
    for attempt in records.attempts:
        history = records.endpoint_histories.get((attempt.gateway, attempt.engine))
        latest = history.latest(attempt.received_at_ms) if history else None
        if latest and latest[1] == "draining":
            max_delay_ms = max(max_delay_ms, attempt.received_at_ms - latest[0])
    return round(max_delay_ms, 1)


def _ratio(part: float, total: float) -> float:
    """`part / total` to four digits; 0 if the total is 0."""
    return round(part / total, 4) if total else 0.0


def _verdict_entry(records: Records, verdict: Verdict) -> dict[str, Any]:
    """The report's entry for one rule, with the first finding and the journal lines about it."""
    entry: dict[str, Any] = {
        "rule": verdict.rule,
        "name": verdict.name,
        "checked": verdict.checked,
        "broken": len(verdict.findings),
        "kept": verdict.kept,
    }
    if verdict.findings:
        text, names = verdict.findings[0]
        entry |= {"first": text, "trace": records.trace(*names)[:MAX_TRACE_LINES]}
    return entry
