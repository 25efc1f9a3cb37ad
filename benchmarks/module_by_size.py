"""Time of the decision module for a job, by the number of engines: `python -m benchmarks.module_by_size`.

A job arrives, is read, written and delivered; 200 jobs are out at any moment.  No sockets, one process.
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

REQUESTS, OUT = 3000, 200


def settings() -> PolicySettings:
    return read_gateway_settings(load("benchmarks/front.kdl")).policy_settings


def fleet(count: int) -> list[EndpointEntry]:
    """Half readers, half writers, in cells of five over two zones."""
    engines = [Engine(f"e{at}".encode(), at + 1) for at in range(count)]
    return [
        EndpointEntry(engine, "ready", 0.0, at // 5 % 2, at // 5, at % 2, 1.0)
        for at, engine in enumerate(engines)
    ]


def milliseconds_a_request(engines: int) -> float:
    """Mean time in the module for one job with all its events."""
    chance, front, now = random.Random(1), Router(settings(), 1), 100_000.0
    front.decide(now, [EndpointListUpdate("full", fleet(engines))])
    line: deque[tuple[float, Attempt]] = deque()
    spent, begun, ended = 0.0, 0, 0
    while begun < REQUESTS or line:
        events: list[Event] = []
        if begun < REQUESTS and begun - ended < OUT:
            begun += 1
            events.append(
                RequestArrived(
                    Request(
                        begun, 0, begun % 997 + 1, begun % 50 + 1, 1000.0, 500.0, 100.0, now, now + 4000.0
                    )
                )
            )
        while line and line[0][0] <= now:
            _, attempt = line.popleft()
            if attempt.is_prefill:
                events.append(AttemptEnded(attempt, Outcome.PREFILLED, 50.0, False))
            elif not attempt.first_token_at:
                events.append(FirstToken(attempt, 30.0))
                line.append((now + 200.0, attempt))
            else:
                events.append(AttemptEnded(attempt, Outcome.SERVED, 230.0, True))
                ended += 1
        start = time.perf_counter()
        actions = front.decide(now, events)
        spent += time.perf_counter() - start
        ended += sum(isinstance(action, (RejectRequest, AbortRequest)) for action in actions)
        line.extend(
            (now + 50.0 * chance.uniform(0.9, 1.1), action.attempt)
            for action in actions
            if isinstance(action, StartAttempt)
        )
        now += 1.0
    return 1000 * spent / REQUESTS


def main() -> None:
    base = milliseconds_a_request(14)
    print(f"{14:6d} engines: {base:.3f} ms a job")
    for count in (70, 280, 1120):
        cost = milliseconds_a_request(count)
        print(f"{count:6d} engines: {cost:.3f} ms a job, {cost / base:.1f} times that of 14")


if __name__ == "__main__":
    main()
