"""What is judged of a fleet of fronts beside the five rules, from the engines' records alone."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from .records import Records, TripRecord
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
            verdict.find(
                f"job {trip.job}: {trip.front} sent it to {trip.engine} by plan {number}, "
                f"{trip.got - over:.0f} ms after another was acted on",
                trip.job,
            )
    return verdict


def sent_abroad(records: Records, lately: float = 1000.0, most: float = 0.05) -> Verdict:
    """Answers whose state left the zone that read it, though a writer there was listed as ready and had taken
    trips without turning any away for `lately` milliseconds before.  Fronts do not see all, so
    a few are borne: the verdict is broken where they are more than the part `most` of all answers."""
    verdict = Verdict(0, "near while near could carry")
    read_in = {trip.job: trip for trip in records.trips if trip.role == "read" and trip.how == "read"}
    writers: dict[str, list[TripRecord]] = defaultdict(list)
    for trip in records.trips:
        if trip.role == "write":
            writers[trip.engine].append(trip)
    far = []
    for trip in records.trips:
        read = read_in.get(trip.job)
        if trip.role != "write" or read is None:
            continue
        verdict.checked += 1
        if trip.zone != read.zone and any(
            _could(records, trips, trip, lately) for trips in writers.values() if trips[0].zone == read.zone
        ):
            far.append(trip)
    if len(far) > most * verdict.checked:
        verdict.find(
            f"{len(far)} of {verdict.checked} answers left their zone while a writer in it took "
            f"trips; the first: job {far[0].job} to {far[0].engine}",
            far[0].job,
        )
    return verdict


def _could(records: Records, trips: list[TripRecord], sent: TripRecord, lately: float) -> bool:
    told = records.told.get((sent.front, trips[0].engine))
    last = told.at(sent.got) if told else None
    seen = [one for one in trips if sent.got - lately <= one.got <= sent.got]
    return bool(
        last
        and last[1] == "ready"
        and seen
        and all(one.how in ("done", "") or (one.end or 0.0) > sent.got for one in seen)
    )


def plans_seen(records: Records) -> list[int]:
    """The plans that trips were sent by, in order."""
    return sorted({int(trip.plan) for trip in records.trips if trip.plan.isdigit()})


def first_common(records: Records, since: float) -> float:
    """Milliseconds from a moment until the last front first sent a trip by a plan newer than all before it;
    0 where that never came."""
    before = max(
        [int(trip.plan) for trip in records.trips if trip.plan.isdigit() and trip.got < since], default=0
    )
    first: dict[str, float] = {}
    for trip in records.trips:
        if trip.got >= since and trip.plan.isdigit() and int(trip.plan) > before:
            first[trip.front] = min(first.get(trip.front, trip.got), trip.got)
    return max(first.values()) - since if first else 0.0


def summary(records: Records, lease: float, slack: float) -> dict[str, Any]:
    verdict, near = one_plan(records, lease, slack), sent_abroad(records)
    plans = plans_seen(records)
    troubles = [line for line in records.lines if line["what"] == "trouble"]
    told: dict[str, Any] = {
        "plans": len(plans),
        "highest": max(plans, default=0),
        "kept": verdict.kept and near.kept,
        "trips_alone": sum("alone" in trip.plan for trip in records.trips),
        "until_common_ms": {
            f"{line['kind']} at {line['t']:.0f}": round(first_common(records, line["t"]), 1)
            for line in troubles
        },
    }
    for found in (verdict, near):
        if found.findings:
            told[found.name] = found.findings[0][0]
    return told
