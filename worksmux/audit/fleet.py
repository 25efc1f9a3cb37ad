"""What is judged of a fleet of fronts beside the five rules, from the engines' records alone."""
from __future__ import annotations

from typing import Any

from .records import Records
from .rules import Verdict


def one_plan(records: Records, lease: float, slack: float = 60.0) -> Verdict:
    """Nobody acts on a plan longer than the lease after another has come into force: after its first trip,
    which is no earlier than its agreement.  Trips of fronts that are alone say so and are not judged."""
    verdict = Verdict(0, "one plan")
    first: dict[int, float] = {}
    trips = [(trip, int(trip.plan)) for trip in records.trips if trip.plan.isdigit()]
    for trip, number in trips:
        first[number] = min(first.get(number, trip.got), trip.got)
    newer = sorted(first.items())
    for trip, number in trips:
        verdict.checked += 1
        over = min((at for other, at in newer if other > number), default=None)
        if over is not None and trip.got > over + lease + slack:
            verdict.find(f"job {trip.job}: {trip.front} sent it to {trip.engine} by plan {number}, "
                         f"{trip.got - over:.0f} ms after another was acted on", trip.job)
    return verdict


def plans_seen(records: Records) -> list[int]:
    """The plans that trips were sent by, in order."""
    return sorted({int(trip.plan) for trip in records.trips if trip.plan.isdigit()})


def first_common(records: Records, since: float) -> float:
    """Milliseconds from a moment until the last front first sent a trip by a plan newer than all before it;
    0 where that never came."""
    before = max([int(trip.plan) for trip in records.trips if trip.plan.isdigit() and trip.got < since],
                 default=0)
    first: dict[str, float] = {}
    for trip in records.trips:
        if trip.got >= since and trip.plan.isdigit() and int(trip.plan) > before:
            first[trip.front] = min(first.get(trip.front, trip.got), trip.got)
    return max(first.values()) - since if first else 0.0


def summary(records: Records, lease: float, slack: float) -> dict[str, Any]:
    verdict = one_plan(records, lease, slack)
    plans = plans_seen(records)
    troubles = [line for line in records.lines if line["what"] == "trouble"]
    told: dict[str, Any] = {
        "plans": len(plans), "highest": max(plans, default=0), "kept": verdict.kept,
        "trips_alone": sum("alone" in trip.plan for trip in records.trips),
        "until_common_ms": {f"{line['kind']} at {line['t']:.0f}": round(first_common(records, line["t"]), 1)
                            for line in troubles}}
    if verdict.findings:
        told["first"] = verdict.findings[0][0]
    return told
