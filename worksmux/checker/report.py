"""What a run came to: jobs by their end, credit, trips, and each rule's verdict with its first offender
traced."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from .records import Records
from .rules import Figures, Verdict, check

TRACE = 40  # lines of a trace that are shown


def summary(records: Records, figures: Figures) -> dict[str, Any]:
    """All figures of a run as plain values."""
    verdicts = check(records, figures)
    ends = Counter(job["how"] for job in records.jobs)
    asked = sum(job["asked"] for job in records.jobs)
    firsts = HdrHistogram(1, 600_000, 3)
    for job in records.jobs:
        if job["first"] is not None:
            firsts.record_value(max(1, round(job["first"])))
    writing = [trip for trip in records.trips if trip.role != "read"]
    reads = {trip.job: trip for trip in records.trips if trip.role == "read" and trip.how == "read"}
    moved = [trip for trip in writing if trip.made and trip.job in reads]
    out = [trip for trip in moved if trip.cell != reads[trip.job].cell]
    offerings = sorted({job["offering"] for job in records.jobs})
    return {
        "jobs": len(records.jobs),
        "tries": len(records.tries),
        "unanswered": len({one.job for one in records.tries.values()}) - len(records.jobs),
        "ends": dict(sorted(ends.items())),
        "delivered_share": _part(ends["delivered"], len(records.jobs)),
        "credit_share": _part(sum(job["credit"] for job in records.jobs), asked),
        "credit_by_offering": {
            name: _part(
                sum(job["credit"] for job in records.jobs if job["offering"] == name),
                sum(job["asked"] for job in records.jobs if job["offering"] == name),
            )
            for name in offerings
        },
        "first_ms": {f"p{at:g}": firsts.get_value_at_percentile(at) for at in (50, 90, 99)},
        "one_stage": one_stage(records),
        "trips_a_job": _part(len(records.trips), len(records.jobs)),
        "counts": len(records.counts),
        "counts_wrong": sum(front != own for _, front, own in records.counts),
        "drain_last_send_ms": drain_last_send(records),
        "moved_out_of_cell": _part(len(out), len(moved)),
        "engines_fallen": len(records.falls),
        "fronts_killed": sum(map(len, records.killed_fronts.values())),
        "rules": [_verdict(records, verdict) for verdict in verdicts],
        "kept": all(verdict.kept for verdict in verdicts),
    }


def one_stage(records: Records) -> dict[str, int]:
    """Trips of embeddings and rerank by how they ended at their engines."""
    return dict(
        sorted(
            Counter(
                trip.how or "no end" for trip in records.trips if trip.offering.startswith("/v1/")
            ).items()
        )
    )


def drain_last_send(records: Records) -> float:
    """The longest time from telling a front of a drain to its last new trip there, in milliseconds."""
    longest = 0.0
    for trip in records.trips:
        told = records.told.get((trip.front, trip.engine))
        last = told.at(trip.got) if told else None
        if last and last[1] == "draining":
            longest = max(longest, trip.got - last[0])
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
