"""One run of an experiment: simulates a scenario and returns its figures as numbers."""

from __future__ import annotations

import resource
import time

from ..checker.rules import check
from ..scenarios.figures import rule_parameters
from ..scenarios.scenario import Scenario
from ..simulation.day import EPOCH_MS, Model

# Service has recovered at this share of the rate of served requests before the first fault.
RECOVERED_SHARE = 0.9
PERCENTILES = (50, 90, 99)


def simulate_scenario(scenario: Scenario, audit: bool) -> dict[str, float]:
    """Simulates a scenario; shares are of all requests, times in milliseconds, CPU time is this process's."""
    model = Model(scenario, journal=audit)
    outcomes: list[tuple[float, str]] = []
    model.clients.on_end = lambda outcome, now: outcomes.append((now - EPOCH_MS - 1000.0, outcome))
    cpu_start_s = time.process_time()
    records = model.run()
    cpu_s = time.process_time() - cpu_start_s
    totals = model.clients.totals
    requests = max(1, totals.requests)
    first_token_waits_ms = sorted(totals.first_token_waits_ms)
    gateways = [gateway for gateway in model.gateways if gateway is not None]
    engine_counts = [engine.counts for engine in model.engines.values()]
    figures = {
        "jobs": float(totals.requests),
        "unanswered": float(model.clients.open_requests),
        "credit": totals.credit / (totals.requested_credit or 1.0),
        **{
            f"{name}_share": totals.ends.get(outcome, 0) / requests
            for name, outcome in (
                ("delivered", "delivered"),
                ("late", "late"),
                ("deferred", "deferred"),
                ("broken", "broken off"),
            )
        },
        "other_share": sum(
            count
            for outcome, count in totals.ends.items()
            if outcome not in ("delivered", "late", "deferred", "broken off")
        )
        / requests,
        **{
            f"first_p{percent}": (
                first_token_waits_ms[
                    min(len(first_token_waits_ms) - 1, len(first_token_waits_ms) * percent // 100)
                ]
                if first_token_waits_ms
                else 0.0
            )
            for percent in PERCENTILES
        },
        "tries_job": totals.tries / requests,
        "trips_job": sum(gateway.counts.attempts for gateway in gateways) / requests,
        "probes_job": sum(gateway.counts.probes for gateway in gateways) / requests,
        "unreachable_job": sum(gateway.counts.unreachable for gateway in gateways) / requests,
        "cold_peak": max((counts.cold_peak for counts in engine_counts), default=0.0),
        "falls": float(sum(counts.falls for counts in engine_counts)),
        "busiest": max_to_mean([float(counts.attempts) for counts in engine_counts]),
        "cpu_ms_job": 1000 * cpu_s / requests,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "back_after": recovery_time_s(scenario, outcomes),
    }
    if records is not None:
        figures["rules_broken"] = float(
            sum(not verdict.kept for verdict in check(records, rule_parameters(scenario)))
        )
    return figures


def max_to_mean(attempts: list[float]) -> float:
    """The busiest engine's attempts over the mean; an uneven hash shows here."""
    return max(attempts) * len(attempts) / sum(attempts) if sum(attempts) else 0.0


def recovery_time_s(scenario: Scenario, outcomes: list[tuple[float, str]]) -> float:
    """Seconds from the end of the last fault until service has recovered.

    Service has recovered when the rate of served requests is at least `RECOVERED_SHARE` of that before the
    first fault for two seconds in a row.  The result is -1 if that does not happen, and 0 without faults.
    """
    if not scenario.faults:
        return 0.0
    first_fault_ms = min(fault.at for fault in scenario.faults)
    last_end_ms = max(fault.at + fault.length for fault in scenario.faults)
    served_ms = [time_ms for time_ms, outcome in outcomes if outcome == "delivered"]
    rate_before = sum(1000.0 <= time_ms < first_fault_ms for time_ms in served_ms) / max(
        1e-3, (first_fault_ms - 1000.0) / 1000
    )
    seconds = int(scenario.length / 1000)
    rate = [0] * (seconds + 1)
    for time_ms in served_ms:
        if 0 <= time_ms < scenario.length:
            rate[int(time_ms / 1000)] += 1
    for second in range(int(last_end_ms / 1000), seconds - 1):
        if min(rate[second], rate[second + 1]) >= RECOVERED_SHARE * rate_before:
            return max(0.0, second - last_end_ms / 1000)
    return -1.0
