"""What is judged of a fleet of fronts beside the five rules, from the engines' records alone."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from .records import AttemptRecord, Records
from .rules import Verdict


def check_plan_lease(records: Records, lease: float, slack: float = 60.0) -> Verdict:
    """Nobody acts on a plan longer than the lease after another has come into force: after its first trip,
    which is no earlier than its agreement.  Trips of fronts that are alone say so and are not judged."""
    verdict = Verdict(0, "one plan")
    first: dict[int, float] = {}
    attempts = [(attempt, int(attempt.plan)) for attempt in records.attempts if attempt.plan.isdigit()]
    for attempt, number in attempts:
        first[number] = min(first.get(number, attempt.received_at_ms), attempt.received_at_ms)
    newer = sorted(first.items())
    for attempt, number in attempts:
        verdict.checked += 1
        over = min((at for other, at in newer if other > number), default=None)
        if over is not None and attempt.received_at_ms > over + lease + slack:
            verdict.find(
                f"job {attempt.request}: {attempt.gateway} sent it to {attempt.engine} by plan {number}, "
                f"{attempt.received_at_ms - over:.0f} ms after another was acted on",
                attempt.request,
            )
    return verdict


def sent_abroad(records: Records, lately: float = 1000.0, most: float = 0.05) -> Verdict:
    """Answers whose state left the zone that read it, though a writer there was listed as ready and had taken
    trips without turning any away for `lately` milliseconds before.  Fronts do not see all, so
    a few are borne: the verdict is broken where they are more than the part `most` of all answers."""
    verdict = Verdict(0, "near while near could carry")
    read_in = {
        attempt.request: attempt
        for attempt in records.attempts
        if attempt.role == "read" and attempt.outcome == "read"
    }
    writers: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        if attempt.role == "write":
            writers[attempt.engine].append(attempt)
    far = []
    for attempt in records.attempts:
        read = read_in.get(attempt.request)
        if attempt.role != "write" or read is None:
            continue
        verdict.checked += 1
        if attempt.zone != read.zone and any(
            _could(records, attempts, attempt, lately)
            for attempts in writers.values()
            if attempts[0].zone == read.zone
        ):
            far.append(attempt)
    if len(far) > most * verdict.checked:
        verdict.find(
            f"{len(far)} of {verdict.checked} answers left their zone while a writer in it took "
            f"trips; the first: job {far[0].request} to {far[0].engine}",
            far[0].request,
        )
    return verdict


def _could(records: Records, attempts: list[AttemptRecord], sent: AttemptRecord, lately: float) -> bool:
    told = records.endpoint_histories.get((sent.gateway, attempts[0].engine))
    last = told.at(sent.received_at_ms) if told else None
    seen = [
        one for one in attempts if sent.received_at_ms - lately <= one.received_at_ms <= sent.received_at_ms
    ]
    return bool(
        last
        and last[1] == "ready"
        and seen
        and all(one.outcome in ("done", "") or (one.end or 0.0) > sent.received_at_ms for one in seen)
    )


def plans_seen(records: Records) -> list[int]:
    """The plans that trips were sent by, in order."""
    return sorted({int(attempt.plan) for attempt in records.attempts if attempt.plan.isdigit()})


def first_common(records: Records, since: float) -> float:
    """Milliseconds from a moment until the last front first sent a trip by a plan newer than all before it;
    0 where that never came."""
    before = max(
        [
            int(attempt.plan)
            for attempt in records.attempts
            if attempt.plan.isdigit() and attempt.received_at_ms < since
        ],
        default=0,
    )
    first: dict[str, float] = {}
    for attempt in records.attempts:
        if attempt.received_at_ms >= since and attempt.plan.isdigit() and int(attempt.plan) > before:
            first[attempt.gateway] = min(
                first.get(attempt.gateway, attempt.received_at_ms), attempt.received_at_ms
            )
    return max(first.values()) - since if first else 0.0


def summary(records: Records, lease: float, slack: float) -> dict[str, Any]:
    verdict, near = check_plan_lease(records, lease, slack), sent_abroad(records)
    plans = plans_seen(records)
    troubles = [line for line in records.journal_lines if line["what"] == "trouble"]
    told: dict[str, Any] = {
        "plans": len(plans),
        "highest": max(plans, default=0),
        "kept": verdict.kept and near.kept,
        "trips_alone": sum("alone" in attempt.plan for attempt in records.attempts),
        "until_common_ms": {
            f"{line['kind']} at {line['t']:.0f}": round(first_common(records, line["t"]), 1)
            for line in troubles
        },
    }
    for found in (verdict, near):
        if found.findings:
            told[found.name] = found.findings[0][0]
    return told
