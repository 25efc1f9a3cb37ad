"""The gate at size, in simulated time: `python -m benchmarks.admission`.

Twenty stations that each carry one call at a time, 1,000 callers of which one asks for half of everything;
load from 0.5 to 4 times the capacity.  Goodput (served within the promised second), Jain's index over what
the callers got of what they asked within their fair share, and the worst twentieth's part of it; against FIFO
without limits and a plain token bucket.  Then a storm: for 10 s the stations work at a third, clients repeat
at once; how long until service is whole again, with and without the budget.  Last, what a decision costs.
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

STATIONS, SERVICE, COST, CALLERS = 20, 50.0, 100.0, 1000
CAPACITY = STATIONS / SERVICE  # calls a millisecond
PROMISED, LENGTH = 1000.0, 20_000.0


def settings(ratio: float = 0.1) -> AdmissionSettings:
    share = ClassSettings("v", 1.0, 1.0, 4 * COST, 1e6, 10_000, PROMISED, "v")
    return AdmissionSettings([share], ratio, 20.0 if ratio < 1 else 1e9, 100.0, 10_000.0, 200.0, 2000.0)


class Fifo:
    """No limits: each call is sent as it comes."""

    def arrived(self, now: float, asked: AdmissionRequest) -> AdmissionResult:
        return AdmissionResult(admitted=[asked])

    def ended(self, now: float, asked: AdmissionRequest, elapsed: float, good: bool) -> AdmissionResult:
        return AdmissionResult()

    def tick(self, now: float) -> AdmissionResult:
        return AdmissionResult()


class Bucket(Fifo):
    """A plain token bucket at the nominal capacity, a second deep."""

    def __init__(self) -> None:
        self.tokens, self.at = CAPACITY * 1000, 0.0

    def arrived(self, now: float, asked: AdmissionRequest) -> AdmissionResult:
        self.tokens = min(CAPACITY * 1000, self.tokens + (now - self.at) * CAPACITY)
        self.at = now
        if self.tokens < 1:
            return AdmissionResult(rejected=[None])  # type: ignore[list-item]
        self.tokens -= 1
        return AdmissionResult(admitted=[asked])


@dataclass
class Day:
    """One run.  Stations serve in the order that calls are let in; a call whose client has left is served all
    the same once it has begun."""

    gate: Any
    load: float
    retry: Callable[[int], float | None] = lambda tries: None  # milliseconds until the next try
    slow: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, to, factor
    length: float = LENGTH
    got: Counter[int] = field(default_factory=Counter)
    wanted: Counter[int] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    seconds: Counter[int] = field(default_factory=Counter)  # served in time, by second

    def __post_init__(self) -> None:
        self.sim, self.chance = Sim(), random.Random(1)
        self.line: deque[AdmissionRequest] = deque()
        self.busy = 0
        self.sent: dict[AdmissionRequest, float] = {}  # past the gate

    def run(self) -> Day:
        self._arrive()
        self.sim.after(50.0, self._tick)
        self.sim.run(self.length)
        return self

    def _tick(self) -> None:
        self._take(self.gate.tick(self.sim.now))
        self.sim.after(50.0, self._tick)

    def _arrive(self) -> None:
        caller = 0 if self.chance.random() < 0.5 else self.chance.randrange(1, CALLERS)
        self.wanted[caller] += 1
        self._ask(caller, 0, self.chance.getrandbits(60))
        self.sim.after(self.chance.expovariate(self.load * CAPACITY), self._arrive)

    def _ask(self, caller: int, tries: int, body: int) -> None:
        now = self.sim.now
        asked = AdmissionRequest(
            0, caller, COST, now, now + PROMISED, now + 2 * PROMISED, tries > 0, body, (tries,)
        )
        self.sim.after(2 * PROMISED, self._gives_up, asked)
        step = self.gate.arrived(now, asked)
        self._take(step)
        if not step.admitted and step.rejected and asked.state is not RequestState.QUEUED:
            self._refused(asked)

    def _take(self, step: AdmissionResult) -> None:
        for refused in step.rejected:
            if refused is not None and refused.request.item:
                self._refused(refused.request)
        for asked in step.admitted:
            self.line.append(asked)
            self.sent[asked] = self.sim.now
        self._serve()

    def _refused(self, asked: AdmissionRequest) -> None:
        if asked.item:
            tries, asked.item = asked.item[0], None
            self.ends["refused"] += 1
            self._again(asked, tries)

    def _gives_up(self, asked: AdmissionRequest) -> None:
        if asked.item:
            tries, asked.item = asked.item[0], None
            self.ends["left"] += 1
            self._again(asked, tries)

    def _again(self, asked: AdmissionRequest, tries: int) -> None:
        wait = self.retry(tries)
        if wait is not None:
            self.sim.after(wait, self._ask, asked.caller, tries + 1, asked.content_hash)

    def _serve(self) -> None:
        while self.line and self.busy < STATIONS:
            self.busy += 1
            asked = self.line.popleft()
            start, end, factor = self.slow
            service = SERVICE * (factor if start <= self.sim.now < end else 1.0)
            self.sim.after(service * self.chance.uniform(0.8, 1.2), self._served, asked, self.sim.now)

    def _served(self, asked: AdmissionRequest, since: float) -> None:
        now = self.sim.now
        self.busy -= 1
        if asked.item and now <= asked.latency_target_at:
            self.got[asked.caller] += 1  # type: ignore[index]
            self.seconds[int(now / 1000)] += 1
            self.ends["served"] += 1
        elif asked.item:
            self.ends["late"] += 1
        asked.item = None
        self._take(self.gate.ended(now, asked, now - self.sent.pop(asked), True))
        self._serve()

    def figures(self) -> tuple[float, float, float]:
        """Goodput as a part of what could be served, Jain's index and the worst, over the fair shares."""
        served = sum(self.got.values()) / (CAPACITY * self.length)
        wanted = {caller: float(count) for caller, count in self.wanted.items()}
        fair = max_min(wanted, CAPACITY * self.length)
        parts = [min(1.0, self.got[caller] / fair[caller]) for caller in fair if fair[caller] >= 1]
        jain = sum(parts) ** 2 / (len(parts) * sum(part * part for part in parts)) if any(parts) else 0.0
        parts.sort()
        return served / min(1.0, self.load), jain, sum(parts[: len(parts) // 20]) / max(1, len(parts) // 20)


def max_min(wanted: dict[int, float], whole: float) -> dict[int, float]:
    """The max-min fair shares of `whole`."""
    shares, left = {}, sorted(wanted.items(), key=lambda one: one[1])
    for at, (caller, count) in enumerate(left):
        shares[caller] = min(count, whole / (len(left) - at))
        whole -= shares[caller]
    return shares


def curves() -> None:
    print("load  policy         goodput  Jain  worst twentieth of callers")
    for load in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0):
        for name, gate in (
            ("gate", AdmissionController(settings(), 1)),
            ("FIFO", Fifo()),
            ("token bucket", Bucket()),
        ):
            goodput, jain, worst = Day(gate, load).run().figures()
            print(f"{load:4.1f}  {name:13}  {goodput:7.2f}  {jain:4.2f}  {worst:.2f}", flush=True)


def storm() -> None:
    """Clients repeat after 50 ms, up to 20 times; the cause lasts from the 5th to the 15th second."""
    for name, gate in (
        ("gate with budget", AdmissionController(settings(), 1)),
        ("gate without budget", AdmissionController(settings(1.0), 1)),
        ("FIFO", Fifo()),
        ("token bucket", Bucket()),
    ):
        day = Day(
            gate, 0.8, lambda tries: 50.0 if tries < 20 else None, (5000.0, 15_000.0, 3.0), 60_000.0
        ).run()
        usual = 0.9 * 0.8 * CAPACITY * 1000
        back = next(
            (
                second
                for second in range(15, 57)
                if min(day.seconds[later] for later in range(second, second + 3)) >= usual
            ),
            None,
        )
        told = "never within 45 s" if back is None else f"{back - 15} s"
        print(f"storm, {name}: whole again {told} after the cause; {dict(day.ends)}", flush=True)


class Scan:
    """Fair lines by a plain scan: the flow that was served least comes next."""

    def __init__(self) -> None:
        self.flows: dict[int, deque[float]] = {}
        self.served: Counter[int] = Counter()

    def put(self, key: int, cost: float) -> None:
        self.flows.setdefault(key, deque()).append(cost)

    def next(self) -> float:
        key = min((key for key, waits in self.flows.items() if waits), key=lambda key: self.served[key])
        cost = self.flows[key].popleft()
        self.served[key] += int(cost)
        return cost


def costs() -> None:
    for callers in (10, 100, 1000):
        lines: FairQueue[int] = FairQueue(400.0, 1e9, 10**9)
        scan = Scan()
        for at in range(20 * callers):
            lines.put(at % callers, at, COST)
            scan.put(at % callers, COST)
        count = 5 * callers
        start = time.perf_counter()
        for at in range(count):
            lines.pop_if(lambda cost: True)
            lines.put(at % callers, at, COST)
        ours = (time.perf_counter() - start) / count * 1e6
        start = time.perf_counter()
        for at in range(count):
            scan.next()
            scan.put(at % callers, COST)
        plain = (time.perf_counter() - start) / count * 1e6
        gate, now = AdmissionController(settings(), 1), 0.0
        calls = [
            AdmissionRequest(0, at % callers, COST, 0.0, 1000.0, 2000.0, False, at) for at in range(count)
        ]
        start = time.perf_counter()
        for asked in calls:
            now += 0.01
            asked.latency_target_at = now + 1000.0
            for one in gate.arrived(now, asked).admitted:
                gate.ended(now + 1.0, one, 1.0, True)
        whole = (time.perf_counter() - start) / count * 1e6
        print(
            f"{callers:5} callers: a turn {ours:.1f} us, by a plain scan {plain:.1f} us "
            f"({plain / ours:.1f} times); a call through the gate {whole:.1f} us",
            flush=True,
        )


if __name__ == "__main__":
    curves()
    storm()
    costs()
