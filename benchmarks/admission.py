"""Admission control under load, in simulated time: `python -m benchmarks.admission`.

Twenty servers carry one request at a time each. Of 1,000 callers, one sends half of all requests. The load is
0.5 to 4 times the capacity. Printed are the goodput (served within the latency target of a second), Jain's
index over what the callers got of what they requested within their fair share, and the share of the worst 5%
of callers, against FIFO without limits and a plain token bucket.

Then a retry storm: for 10 s the servers work at a third of their speed, and clients retry at once. Printed is
how long recovery takes, with and without the retry budget. Last, the cost of a decision is measured.
"""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from worksmux.admission.controller import (
    AdmissionController,
    AdmissionRequest,
    AdmissionResult,
    AdmissionSettings,
    ClassSettings,
    RequestState,
)
from worksmux.admission.fair_queue import FairQueue
from worksmux.simulation.sim import Sim

SERVERS, SERVICE_MS, COST, CALLERS = 20, 50.0, 100.0, 1000
CAPACITY = SERVERS / SERVICE_MS  # requests per millisecond
LATENCY_TARGET_MS, LENGTH_MS = 1000.0, 20_000.0


def settings(ratio: float = 0.1) -> AdmissionSettings:
    """Returns the controller's settings with a ratio of retries; from 1 on there is no retry budget."""
    share = ClassSettings("v", 1.0, 1.0, 4 * COST, 1e6, 10_000, LATENCY_TARGET_MS, "v")
    return AdmissionSettings([share], ratio, 20.0 if ratio < 1 else 1e9, 100.0, 10_000.0, 200.0, 2000.0)


class Fifo:
    """Admits each request as it comes, without limits."""

    def arrived(self, now: float, request: AdmissionRequest) -> AdmissionResult:
        """Admits the request."""
        return AdmissionResult(admitted=[request])

    def ended(
        self, now: float, request: AdmissionRequest, elapsed: float, is_success: bool
    ) -> AdmissionResult:
        """Changes nothing."""
        return AdmissionResult()

    def tick(self, now: float) -> AdmissionResult:
        """Changes nothing."""
        return AdmissionResult()


class TokenBucket(Fifo):
    """A plain token bucket at the nominal capacity, with a burst of one second."""

    def __init__(self) -> None:
        self.tokens, self.updated_at = CAPACITY * 1000, 0.0

    def arrived(self, now: float, request: AdmissionRequest) -> AdmissionResult:
        """Admits the request if a token is left."""
        self.tokens = min(CAPACITY * 1000, self.tokens + (now - self.updated_at) * CAPACITY)
        self.updated_at = now
        if self.tokens < 1:
            return AdmissionResult(rejected=[None])  # type: ignore[list-item]
        self.tokens -= 1
        return AdmissionResult(admitted=[request])


@dataclass
class LoadRun:
    """One run.

    Servers serve in the order of admission. They serve a request that they have begun to the end, even if its
    client has left.
    """

    controller: Any
    load: float
    retry: Callable[[int], float | None] = lambda attempts: None  # milliseconds until the next attempt
    slowdown: tuple[float, float, float] = (0.0, 0.0, 1.0)  # start, end, factor
    length: float = LENGTH_MS
    served_by_caller: Counter[int] = field(default_factory=Counter)
    requested_by_caller: Counter[int] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    served_by_second: Counter[int] = field(default_factory=Counter)  # served within the latency target

    def __post_init__(self) -> None:
        self.sim, self.random = Sim(), random.Random(1)
        self.queue: deque[AdmissionRequest] = deque()
        self.busy_count = 0
        self.sent_at: dict[AdmissionRequest, float] = {}  # admission times

    def run(self) -> LoadRun:
        """Runs the load and returns this object."""
        self._arrive()
        self.sim.after(50.0, self._tick)
        self.sim.run(self.length)
        return self

    def _tick(self) -> None:
        self._apply(self.controller.tick(self.sim.now))
        self.sim.after(50.0, self._tick)

    def _arrive(self) -> None:
        caller = 0 if self.random.random() < 0.5 else self.random.randrange(1, CALLERS)
        self.requested_by_caller[caller] += 1
        self._send(caller, 0, self.random.getrandbits(60))
        self.sim.after(self.random.expovariate(self.load * CAPACITY), self._arrive)

    def _send(self, caller: int, attempts: int, content_hash: int) -> None:
        now = self.sim.now
        request = AdmissionRequest(
            0,
            caller,
            COST,
            now,
            now + LATENCY_TARGET_MS,
            now + 2 * LATENCY_TARGET_MS,
            attempts > 0,
            content_hash,
            (attempts,),
        )
        self.sim.after(2 * LATENCY_TARGET_MS, self._on_client_timeout, request)
        result = self.controller.arrived(now, request)
        self._apply(result)
        if not result.admitted and result.rejected and request.state is not RequestState.QUEUED:
            self._on_rejected(request)

    def _apply(self, result: AdmissionResult) -> None:
        for rejected in result.rejected:
            if rejected is not None and rejected.request.item:
                self._on_rejected(rejected.request)
        for request in result.admitted:
            self.queue.append(request)
            self.sent_at[request] = self.sim.now
        self._serve()

    def _on_rejected(self, request: AdmissionRequest) -> None:
        if request.item:
            attempts, request.item = request.item[0], None
            self.ends["refused"] += 1
            self._retry(request, attempts)

    def _on_client_timeout(self, request: AdmissionRequest) -> None:
        if request.item:
            attempts, request.item = request.item[0], None
            self.ends["left"] += 1
            self._retry(request, attempts)

    def _retry(self, request: AdmissionRequest, attempts: int) -> None:
        wait = self.retry(attempts)
        if wait is not None:
            self.sim.after(wait, self._send, request.caller, attempts + 1, request.content_hash)

    def _serve(self) -> None:
        while self.queue and self.busy_count < SERVERS:
            self.busy_count += 1
            request = self.queue.popleft()
            start, end, factor = self.slowdown
            service = SERVICE_MS * (factor if start <= self.sim.now < end else 1.0)
            self.sim.after(service * self.random.uniform(0.8, 1.2), self._on_served, request, self.sim.now)

    def _on_served(self, request: AdmissionRequest, since: float) -> None:
        now = self.sim.now
        self.busy_count -= 1
        if request.item and now <= request.latency_target_at:
            self.served_by_caller[request.caller] += 1  # type: ignore[index]
            self.served_by_second[int(now / 1000)] += 1
            self.ends["served"] += 1
        elif request.item:
            self.ends["late"] += 1
        request.item = None
        self._apply(self.controller.ended(now, request, now - self.sent_at.pop(request), True))
        self._serve()

    def results(self) -> tuple[float, float, float]:
        """Returns the goodput as a share of what could be served, Jain's index, and the share of the worst 5%
        of callers.
        """
        served = sum(self.served_by_caller.values()) / (CAPACITY * self.length)
        requested_by_caller = {caller: float(count) for caller, count in self.requested_by_caller.items()}
        fair = max_min(requested_by_caller, CAPACITY * self.length)
        shares = [
            min(1.0, self.served_by_caller[caller] / fair[caller]) for caller in fair if fair[caller] >= 1
        ]
        jain = (
            sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares)) if any(shares) else 0.0
        )
        shares.sort()
        return (
            served / min(1.0, self.load),
            jain,
            sum(shares[: len(shares) // 20]) / max(1, len(shares) // 20),
        )


def max_min(requested_by_caller: dict[int, float], total: float) -> dict[int, float]:
    """Returns the max-min fair shares of `total`."""
    shares, remaining = {}, sorted(requested_by_caller.items(), key=lambda item: item[1])
    for index, (caller, count) in enumerate(remaining):
        shares[caller] = min(count, total / (len(remaining) - index))
        total -= shares[caller]
    return shares


def curves() -> None:
    """Prints goodput and fairness for each load and each kind of admission."""
    print("load  policy         goodput  Jain  worst 5% of callers")
    for load in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0):
        for name, controller in (
            ("controller", AdmissionController(settings(), 1)),
            ("FIFO", Fifo()),
            ("token bucket", TokenBucket()),
        ):
            goodput, jain, worst = LoadRun(controller, load).run().results()
            print(f"{load:4.1f}  {name:13}  {goodput:7.2f}  {jain:4.2f}  {worst:.2f}", flush=True)


def retry_storm() -> None:
    """Prints the recovery from a retry storm.

    Clients retry after 50 ms, up to 20 times; the cause lasts from the 5th to the 15th second.
    """
    for name, controller in (
        ("controller with retry budget", AdmissionController(settings(), 1)),
        ("controller without retry budget", AdmissionController(settings(1.0), 1)),
        ("FIFO", Fifo()),
        ("token bucket", TokenBucket()),
    ):
        run = LoadRun(
            controller,
            0.8,
            lambda attempts: 50.0 if attempts < 20 else None,
            (5000.0, 15_000.0, 3.0),
            60_000.0,
        ).run()
        normal_rate = 0.9 * 0.8 * CAPACITY * 1000
        recovered_at = next(
            (
                second
                for second in range(15, 57)
                if min(run.served_by_second[later] for later in range(second, second + 3)) >= normal_rate
            ),
            None,
        )
        recovery = "never within 45 s" if recovered_at is None else f"{recovered_at - 15} s"
        print(f"storm, {name}: recovered {recovery} after the cause; {dict(run.ends)}", flush=True)


class LinearScan:
    """Fair queue by a linear scan: the caller that was served least comes next."""

    def __init__(self) -> None:
        self.queues: dict[int, deque[float]] = {}
        self.served: Counter[int] = Counter()

    def put(self, key: int, cost: float) -> None:
        """Adds an item of a caller."""
        self.queues.setdefault(key, deque()).append(cost)

    def next(self) -> float:
        """Removes the next item and returns its cost."""
        key = min((key for key, queue in self.queues.items() if queue), key=lambda key: self.served[key])
        cost = self.queues[key].popleft()
        self.served[key] += int(cost)
        return cost


def costs() -> None:
    """Prints the time of a fair queue, of a linear scan and of the controller for one request."""
    for callers in (10, 100, 1000):
        fair_queue: FairQueue[int] = FairQueue(400.0, 1e9, 10**9)
        scan = LinearScan()
        for index in range(20 * callers):
            fair_queue.put(index % callers, index, COST)
            scan.put(index % callers, COST)
        count = 5 * callers
        start = time.perf_counter()
        for index in range(count):
            fair_queue.pop_if(lambda cost: True)
            fair_queue.put(index % callers, index, COST)
        fair_queue_us = (time.perf_counter() - start) / count * 1e6
        start = time.perf_counter()
        for index in range(count):
            scan.next()
            scan.put(index % callers, COST)
        scan_us = (time.perf_counter() - start) / count * 1e6
        controller, now = AdmissionController(settings(), 1), 0.0
        requests = [
            AdmissionRequest(0, index % callers, COST, 0.0, 1000.0, 2000.0, False, index)
            for index in range(count)
        ]
        start = time.perf_counter()
        for request in requests:
            now += 0.01
            request.latency_target_at = now + 1000.0
            for admitted in controller.arrived(now, request).admitted:
                controller.ended(now + 1.0, admitted, 1.0, True)
        controller_us = (time.perf_counter() - start) / count * 1e6
        print(
            f"{callers:5} callers: fair queue {fair_queue_us:.1f} us, linear scan {scan_us:.1f} us "
            f"({scan_us / fair_queue_us:.1f} times); a request through the controller {controller_us:.1f} us",
            flush=True,
        )


if __name__ == "__main__":
    curves()
    retry_storm()
    costs()
