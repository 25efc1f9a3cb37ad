"""What a run came to: jobs by their end, credit, trips, and each rule's verdict with its first offender
traced."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from .records import Records
from .rules import RuleParameters, Verdict, check

TRACE = 40  # lines of a trace that are shown


def summary(records: Records, parameters: RuleParameters) -> dict[str, Any]:
    """All figures of a run as plain values."""
    verdicts = check(records, parameters)
    ends = Counter(request["how"] for request in records.requests)
    asked = sum(request["asked"] for request in records.requests)
    firsts = HdrHistogram(1, 600_000, 3)
    for request in records.requests:
        if request["first"] is not None:
            firsts.record_value(max(1, round(request["first"])))
    writing = [attempt for attempt in records.attempts if attempt.role != "read"]
    reads = {
        attempt.request: attempt
        for attempt in records.attempts
        if attempt.role == "read" and attempt.outcome == "read"
    }
    moved = [attempt for attempt in writing if attempt.made and attempt.request in reads]
    out = [attempt for attempt in moved if attempt.cell != reads[attempt.request].cell]
    request_classes = sorted({request["offering"] for request in records.requests})
    return {
        "jobs": len(records.requests),
        "tries": len(records.tries),
        "unanswered": len({one.request for one in records.tries.values()}) - len(records.requests),
        "ends": dict(sorted(ends.items())),
        "delivered_share": _part(ends["delivered"], len(records.requests)),
        "credit_share": _part(sum(request["credit"] for request in records.requests), asked),
        "credit_by_offering": {
            name: _part(
                sum(request["credit"] for request in records.requests if request["offering"] == name),
                sum(request["asked"] for request in records.requests if request["offering"] == name),
            )
            for name in request_classes
        },
        "first_ms": {f"p{at:g}": firsts.get_value_at_percentile(at) for at in (50, 90, 99)},
        "one_stage": one_stage(records),
        "trips_a_job": _part(len(records.attempts), len(records.requests)),
        "counts": len(records.token_counts),
        "counts_wrong": sum(front != own for _, front, own in records.token_counts),
        "drain_last_send_ms": drain_last_send(records),
        "moved_out_of_cell": _part(len(out), len(moved)),
        "engines_fallen": len(records.overload_failures),
        "fronts_killed": sum(map(len, records.killed_fronts.values())),
        "rules": [_verdict(records, verdict) for verdict in verdicts],
        "kept": all(verdict.kept for verdict in verdicts),
    }


def one_stage(records: Records) -> dict[str, int]:
    """Trips of embeddings and rerank by how they ended at their engines."""
    return dict(
        sorted(
            Counter(
                attempt.outcome or "no end"
                for attempt in records.attempts
                if attempt.request_class.startswith("/v1/")
            ).items()
        )
    )


def drain_last_send(records: Records) -> float:
    """The longest time from telling a front of a drain to its last new trip there, in milliseconds."""
    longest = 0.0
    for attempt in records.attempts:
        told = records.endpoint_histories.get((attempt.gateway, attempt.engine))
        last = told.at(attempt.received_at_ms) if told else None
        if last and last[1] == "draining":
            longest = max(longest, attempt.received_at_ms - last[0])
    return round(longest, 1)


def _part(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0


def _verdict(records: Records, verdict: Verdict) -> dict[str, Any]:
    told: dict[str, Any] = {
        "rule": verdict.rule,
        "name": verdict.name,
        "checked": verdict.checked,
        "broken": len(verdict.findings),
        "kept": verdict.kept,
    }
    if verdict.findings:
        text, names = verdict.findings[0]
        told |= {"first": text, "trace": records.trace(*names)[:TRACE]}
    return told
