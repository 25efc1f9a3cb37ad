"""Checks of a fleet of gateways in addition to the five rules, from the engines' journals alone."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from .records import AttemptRecord, Records
from .rules import Verdict


def check_plan_lease(records: Records, lease_ms: float, slack_ms: float = 60.0) -> Verdict:
    """Checks that no gateway acts on a plan for longer than the lease after a newer plan is in force.

    A plan counts as in force from the first attempt sent by it, which is no earlier than the agreement on the
    plan.  Attempts of gateways without a lease are marked in the journal and are not checked.
    """
    verdict = Verdict(0, "one plan")
    first_use_ms: dict[int, float] = {}
    attempts = [(attempt, int(attempt.plan)) for attempt in records.attempts if attempt.plan.isdigit()]
    for attempt, number in attempts:
        first_use_ms[number] = min(first_use_ms.get(number, attempt.received_at_ms), attempt.received_at_ms)
    by_number = sorted(first_use_ms.items())
    for attempt, number in attempts:
        verdict.checked += 1
        superseded_at_ms = min((time_ms for other, time_ms in by_number if other > number), default=None)
        if superseded_at_ms is not None and attempt.received_at_ms > superseded_at_ms + lease_ms + slack_ms:
            verdict.add_finding(
                f"request {attempt.request}: gateway {attempt.gateway} sent an attempt to engine "
                f"{attempt.engine} by plan {number}, {attempt.received_at_ms - superseded_at_ms:.0f} ms "
                f"after the first attempt by a newer plan",
                attempt.request,
            )
    return verdict


def check_decode_zones(records: Records, window_ms: float = 1000.0, max_share: float = 0.05) -> Verdict:
    """Checks that KV cache stays in the zone of its prefill while a decode engine there has capacity.

    A decode engine has capacity if the gateway's endpoint list has it as ready, and if it received attempts
    within the last `window_ms` and refused none of them.  A gateway does not see the state of every engine,
    so some requests may leave their zone: the check fails only if more than `max_share` of all do.
    """
    verdict = Verdict(0, "near while near could carry")
    prefills = {
        attempt.request: attempt
        for attempt in records.attempts
        if attempt.role == "read" and attempt.outcome == "read"
    }
    decodes_by_engine: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        if attempt.role == "write":
            decodes_by_engine[attempt.engine].append(attempt)
    moved = []
    for attempt in records.attempts:
        prefill = prefills.get(attempt.request)
        if attempt.role != "write" or prefill is None:
            continue
        verdict.checked += 1
        if attempt.zone != prefill.zone and any(
            _had_capacity(records, attempts, attempt, window_ms)
            for attempts in decodes_by_engine.values()
            if attempts[0].zone == prefill.zone
        ):
            moved.append(attempt)
    if len(moved) > max_share * verdict.checked:
        verdict.add_finding(
            f"{len(moved)} of {verdict.checked} requests were decoded outside the zone of their prefill "
            f"while a decode engine in that zone accepted attempts; the first: request {moved[0].request} at "
            f"engine {moved[0].engine}",
            moved[0].request,
        )
    return verdict


def _had_capacity(
    records: Records, attempts: list[AttemptRecord], moved: AttemptRecord, window_ms: float
) -> bool:
    """Whether the engine of `attempts` was ready and refused nothing in the window before `moved`."""
    history = records.endpoint_histories.get((moved.gateway, attempts[0].engine))
    latest = history.latest(moved.received_at_ms) if history else None
    recent = [
        attempt
        for attempt in attempts
        if moved.received_at_ms - window_ms <= attempt.received_at_ms <= moved.received_at_ms
    ]
    return bool(
        latest
        and latest[1] == "ready"
        and recent
        and all(
            attempt.outcome in ("done", "") or (attempt.ended_at_ms or 0.0) > moved.received_at_ms
            for attempt in recent
        )
    )


def plan_numbers(records: Records) -> list[int]:
    """The numbers of the plans that attempts were sent by, in ascending order."""
    return sorted({int(attempt.plan) for attempt in records.attempts if attempt.plan.isdigit()})


def convergence_time_ms(records: Records, since_ms: float) -> float:
    """Milliseconds from `since_ms` until the last gateway sends its first attempt by a newer plan.

    A plan is newer if its number is above those of all attempts before `since_ms`.  The result is 0 if no
    gateway sends an attempt by a newer plan.
    """
    last_number = max(
        [
            int(attempt.plan)
            for attempt in records.attempts
            if attempt.plan.isdigit() and attempt.received_at_ms < since_ms
        ],
        default=0,
    )
    first_use_ms: dict[str, float] = {}
    for attempt in records.attempts:
        if attempt.received_at_ms >= since_ms and attempt.plan.isdigit() and int(attempt.plan) > last_number:
            first_use_ms[attempt.gateway] = min(
                first_use_ms.get(attempt.gateway, attempt.received_at_ms), attempt.received_at_ms
            )
    return max(first_use_ms.values()) - since_ms if first_use_ms else 0.0


def summary(records: Records, lease_ms: float, slack_ms: float) -> dict[str, Any]:
    """The fleet's part of a run's report: plans, verdicts, and the time that a plan takes to spread."""
    plan_verdict, zone_verdict = check_plan_lease(records, lease_ms, slack_ms), check_decode_zones(records)
    plans = plan_numbers(records)
    faults = [line for line in records.journal_lines if line["what"] == "trouble"]
    report: dict[str, Any] = {
        "plans": len(plans),
        "highest": max(plans, default=0),
        "kept": plan_verdict.kept and zone_verdict.kept,
        "trips_alone": sum("alone" in attempt.plan for attempt in records.attempts),
        "until_common_ms": {
            f"{line['kind']} at {line['t']:.0f}": round(convergence_time_ms(records, line["t"]), 1)
            for line in faults
        },
    }
    for verdict in (plan_verdict, zone_verdict):
        if verdict.findings:
            report[verdict.name] = verdict.findings[0][0]
    return report
