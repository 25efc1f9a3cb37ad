"""Time of the policy for a request, by the number of engines: `python -m benchmarks.module_by_size`.

A request arrives and has its prefill, its decode and its end; 200 requests are in flight at any moment. There
are no sockets, and one process.
"""

from __future__ import annotations

import random
import time
from collections import deque

from worksmux.policy.actions import AbortRequest, RejectRequest, StartAttempt
from worksmux.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    FirstToken,
    RequestArrived,
)
from worksmux.policy.router import Router
from worksmux.policy.settings import PolicySettings
from worksmux.policy.state import Attempt, Engine, Outcome, Request
from worksmux.settings.document import load
from worksmux.settings.front import read_gateway_settings

REQUEST_COUNT, MAX_IN_FLIGHT = 3000, 200


def settings() -> PolicySettings:
    """Returns the policy settings of the benchmarks' node."""
    return read_gateway_settings(load("benchmarks/front.kdl")).policy_settings


def fleet(count: int) -> list[EndpointEntry]:
    """Returns the list of a fleet, half prefill and half decode engines, in cells of five over two zones."""
    fleet_engines = [Engine(f"e{index}".encode(), index + 1) for index in range(count)]
    return [
        EndpointEntry(engine, "ready", 0.0, index // 5 % 2, index // 5, index % 2, 1.0)
        for index, engine in enumerate(fleet_engines)
    ]


def policy_ms_per_request(engine_count: int) -> float:
    """Returns the mean time in the policy for one request with all its events."""
    random_source, router, now = random.Random(1), Router(settings(), 1), 100_000.0
    router.decide(now, [EndpointListUpdate("full", fleet(engine_count))])
    pending: deque[tuple[float, Attempt]] = deque()
    policy_seconds, started_count, ended_count = 0.0, 0, 0
    while started_count < REQUEST_COUNT or pending:
        events: list[Event] = []
        if started_count < REQUEST_COUNT and started_count - ended_count < MAX_IN_FLIGHT:
            started_count += 1
            events.append(
                RequestArrived(
                    Request(
                        started_count,
                        0,
                        started_count % 997 + 1,
                        started_count % 50 + 1,
                        1000.0,
                        500.0,
                        100.0,
                        now,
                        now + 4000.0,
                    )
                )
            )
        while pending and pending[0][0] <= now:
            _, attempt = pending.popleft()
            if attempt.is_prefill:
                events.append(AttemptEnded(attempt, Outcome.PREFILLED, 50.0, False))
            elif not attempt.first_token_at:
                events.append(FirstToken(attempt, 30.0))
                pending.append((now + 200.0, attempt))
            else:
                events.append(AttemptEnded(attempt, Outcome.SERVED, 230.0, True))
                ended_count += 1
        start = time.perf_counter()
        actions = router.decide(now, events)
        policy_seconds += time.perf_counter() - start
        ended_count += sum(isinstance(action, (RejectRequest, AbortRequest)) for action in actions)
        pending.extend(
            (now + 50.0 * random_source.uniform(0.9, 1.1), action.attempt)
            for action in actions
            if isinstance(action, StartAttempt)
        )
        now += 1.0
    return 1000 * policy_seconds / REQUEST_COUNT


def main() -> None:
    """Prints the time for 14 to 1,120 engines."""
    base_ms = policy_ms_per_request(14)
    print(f"{14:6d} engines: {base_ms:.3f} ms a request")
    for count in (70, 280, 1120):
        cost_ms = policy_ms_per_request(count)
        print(f"{count:6d} engines: {cost_ms:.3f} ms a request, {cost_ms / base_ms:.1f} times that of 14")


if __name__ == "__main__":
    main()
