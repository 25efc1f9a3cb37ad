"""One run of an experiment: plays the day in the model and gives its figures as plain numbers."""

from __future__ import annotations

import resource
import time

from ..checker.rules import check
from ..scenarios.figures import rule_parameters
from ..scenarios.scenario import Scenario
from ..simulation.day import EPOCH_MS, Model

BACK = 0.9  # of the delivered before the first trouble: service counts as whole again
PERCENT = (50, 90, 99)


def play(day: Scenario, audit: bool) -> dict[str, float]:
    """Shares are of all jobs, times in milliseconds, `cpu_ms_job` of this process for one job."""
    model = Model(day, journal=audit)
    ends: list[tuple[float, str]] = []
    model.clients.on_end = lambda how, now: ends.append((now - EPOCH_MS - 1000.0, how))
    start = time.process_time()
    records = model.run()
    cpu = time.process_time() - start
    totals = model.clients.totals
    requests = max(1, totals.requests)
    firsts = sorted(totals.first_token_waits_ms)
    fronts = [front for front in model.gateways if front is not None]
    engines = [engine.counts for engine in model.engines.values()]
    found = {
        "jobs": float(totals.requests),
        "unanswered": float(model.clients.open_requests),
        "credit": totals.credit / (totals.requested_credit or 1.0),
        **{
            f"{how}_share": totals.ends.get(name, 0) / requests
            for how, name in (
                ("delivered", "delivered"),
                ("late", "late"),
                ("deferred", "deferred"),
                ("broken", "broken off"),
            )
        },
        "other_share": sum(
            count
            for how, count in totals.ends.items()
            if how not in ("delivered", "late", "deferred", "broken off")
        )
        / requests,
        **{
            f"first_p{at}": firsts[min(len(firsts) - 1, len(firsts) * at // 100)] if firsts else 0.0
            for at in PERCENT
        },
        "tries_job": totals.tries / requests,
        "trips_job": sum(front.counts.attempts for front in fronts) / requests,
        "probes_job": sum(front.counts.probes for front in fronts) / requests,
        "unreachable_job": sum(front.counts.unreachable for front in fronts) / requests,
        "cold_peak": max((one.cold_peak for one in engines), default=0.0),
        "falls": float(sum(one.falls for one in engines)),
        "busiest": busiest([float(one.attempts) for one in engines]),
        "cpu_ms_job": 1000 * cpu / requests,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "back_after": back_after(day, ends),
    }
    if records is not None:
        found["rules_broken"] = float(sum(not one.kept for one in check(records, rule_parameters(day))))
    return found


def busiest(attempts: list[float]) -> float:
    """The busiest engine's trips over the mean: a hash that leans shows here."""
    return max(attempts) * len(attempts) / sum(attempts) if sum(attempts) else 0.0


def back_after(day: Scenario, ends: list[tuple[float, str]]) -> float:
    """Seconds from the end of the last trouble until as much is delivered as before the first, for two
    seconds together; -1 where that never comes, 0 where there is no trouble."""
    if not day.faults:
        return 0.0
    first = min(one.at for one in day.faults)
    last = max(one.at + one.length for one in day.faults)
    good = [time for time, how in ends if how == "delivered"]
    before = sum(1000.0 <= time < first for time in good) / max(1e-3, (first - 1000.0) / 1000)
    seconds = int(day.length / 1000)
    rate = [0] * (seconds + 1)
    for time_ in good:
        if 0 <= time_ < day.length:
            rate[int(time_ / 1000)] += 1
    for second in range(int(last / 1000), seconds - 1):
        if min(rate[second], rate[second + 1]) >= BACK * before:
            return max(0.0, second - last / 1000)
    return -1.0
