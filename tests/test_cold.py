"""Cold engines under the load of all nodes: many routers, none with the others' knowledge, and what reaches
each cold engine in its worst window.  Times are milliseconds."""

from __future__ import annotations

import heapq
from collections import defaultdict
from itertools import count
from random import Random
from typing import Any

import pytest
from helpers import NOW, settings

from worksmux.policy.actions import CheckHealth, SetTimer, StartAttempt
from worksmux.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    FirstToken,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from worksmux.policy.router import Router
from worksmux.policy.state import Attempt, Engine, Outcome, Request

ENGINES = 10  # of each role
RATE = 0.06  # requests a millisecond in all
LOAD = 0.8  # of what the fleet can do: a warm engine can do RATE / ENGINES / LOAD
PREFILL_MS, DECODE_MS = 60.0, 400.0


class Instance:
    """One node; `alive` until it is killed."""

    def __init__(self, router: Router, engines: list[Engine]) -> None:
        self.router, self.engines, self.alive = router, engines, True
        self.told: set[int] = set()  # engines whose start it has heard of


class Fleet:
    """Several nodes; `sent` has the times at which each engine was sent anything."""

    def __init__(self, nodes: int, seed: int, prefixes: int = 40, full: float = 0.0, **changes: Any) -> None:
        self.chance, self.nodes, self.full = Random(seed), nodes, full
        self.changes = {"node_count": nodes, "slow_start_share": 0.25, "overload_multiple": 2.0, **changes}
        self.settings = settings(**self.changes)
        self.now, self.queue, self.order = NOW, [], count()
        self.numbers, self.prefixes = count(1), prefixes
        self.started: dict[int, float] = {}
        self.sent: dict[int, list[float]] = defaultdict(list)
        self.sent_knowing: dict[int, list[float]] = defaultdict(list)  # by nodes told of its start
        self.served = 0
        self.instances = [self._new() for _ in range(nodes)]
        self._after(0.0, self._arrive)

    def _after(self, ms: float, call: Any, *args: Any) -> None:
        heapq.heappush(self.queue, (self.now + ms, next(self.order), call, args))

    def _new(self) -> Instance:
        made = Instance(
            Router(self.settings, self.chance.getrandbits(60)),
            [Engine(bytes([number]), number + 1) for number in range(2 * ENGINES)],
        )
        entries = [self._entry(made.engines, one) for one in range(2 * ENGINES)]
        made.told |= self.started.keys()
        self._tell(made, [EndpointListUpdate("full", entries)])
        return made

    def _entry(self, engines: list[Engine], number: int) -> EndpointEntry:
        return EndpointEntry(
            engines[number], "ready", self.started.get(number, 0.0), 0, number % 2, number // ENGINES, 1.0
        )

    def cold(self, numbers: list[int]) -> None:
        """Engines start anew, and every node is told within half a second."""
        for number in numbers:
            self.started[number] = self.now
        for at in range(self.nodes):
            self._after(self.chance.uniform(0, 500), self._told, at, numbers)

    def _told(self, at: int, numbers: list[int]) -> None:
        made = self.instances[at]
        made.told |= set(numbers)
        self._tell(
            made, [EndpointListUpdate("delta", [self._entry(made.engines, number) for number in numbers])]
        )

    def restart(self, part: float) -> None:
        for at in range(self.nodes):
            if self.chance.random() < part:
                self.instances[at].alive = False
                self.instances[at] = self._new()

    def _arrive(self) -> None:
        self._after(self.chance.expovariate(RATE), self._arrive)
        number = next(self.numbers)
        prefix = 1 + int(self.prefixes * self.chance.random() ** 2)
        one = Request(number, 0, number, prefix, 1000.0, 800.0, 100.0, self.now, self.now + 4000.0)
        self._tell(self.instances[self.chance.randrange(self.nodes)], [RequestArrived(one)])

    def _tell(self, made: Instance, events: list[Event]) -> None:
        for action in made.router.decide(self.now, events) if made.alive else ():
            if isinstance(action, StartAttempt):
                attempt = action.attempt
                number = made.engines.index(attempt.engine)
                self.sent[number].append(self.now)
                if number in made.told:
                    self.sent_knowing[number].append(self.now)
                if self.chance.random() < self.full:
                    self._after(
                        2.0, self._tell, made, [AttemptEnded(attempt, Outcome.FULL, 2.0, False, 0, None)]
                    )
                elif attempt.is_prefill:
                    self._after(
                        PREFILL_MS,
                        self._tell,
                        made,
                        [AttemptEnded(attempt, Outcome.PREFILLED, PREFILL_MS, False, 0, None)],
                    )
                else:
                    self._after(30.0, self._tell, made, [FirstToken(attempt, 30.0)])
                    self._after(DECODE_MS, self._done, made, attempt)
            elif isinstance(action, CheckHealth):  # it costs the engine work too
                number = made.engines.index(action.engine)
                self.sent[number].append(self.now)
                if number in made.told:
                    self.sent_knowing[number].append(self.now)
                answer = HealthCheckEnded(action.engine, Outcome.SERVED, 2.0, None)
                self._after(2.0, self._tell, made, [answer])
            elif isinstance(action, SetTimer):
                self._after(action.delay_ms, self._tell, made, [TimerFired(action.token)])

    def _done(self, made: Instance, attempt: Attempt) -> None:
        self.served += 1
        self._tell(made, [AttemptEnded(attempt, Outcome.SERVED, DECODE_MS, True, 0, None)])

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = end

    def worst(self, number: int, knowing: bool = False) -> int:
        """The most that was sent to an engine since its start within the time that the settings name;
        `knowing`: by nodes that had been told of the start, which alone can keep to it."""
        sent = self.sent_knowing if knowing else self.sent
        times = [at for at in sent[number] if at >= self.started[number]]
        window = self.settings.overload_window_ms
        return max((sum(a <= b < a + window for b in times[at:]) for at, a in enumerate(times)), default=0)

    def budget(self) -> float:
        """Requests in that time which the settings allow an engine that has just started."""
        kept = (
            self.settings.slow_start_share
            * self.settings.overload_multiple
            * self.settings.overload_window_ms
        )
        return RATE / ENGINES / LOAD * kept


FEW, MOST, ALL = [0, 10], [*range(6), *range(10, 16)], list(range(20))


@pytest.mark.parametrize("nodes", [2, 30, 200])
@pytest.mark.parametrize("cold", [FEW, MOST, ALL], ids=["few", "most", "all"])
@pytest.mark.parametrize("full", [0.0, 0.3], ids=["served", "three in ten rejected"])
def test_all_nodes_together_keep_to_a_cold_engines_budget(nodes: int, cold: list[int], full: float) -> None:
    """Engines start, nodes restart twice, and some requests are rejected and retried.

    Shares that round up, first requests that coincide, a node that begins with its whole share again after a
    restart, and retries all reach the engine; together they must stay within its budget.
    """
    fleet = Fleet(nodes, 7 * nodes + len(cold), full=full)
    fleet.run(4000)
    fleet.cold(cold)
    fleet.run(2000)
    fleet.restart(0.7)
    fleet.run(3000)
    fleet.restart(1.0)
    fleet.run(3000)
    budget = fleet.budget()
    assert max(fleet.worst(engine) for engine in cold) <= budget + 2 * budget**0.5 + 2


@pytest.mark.parametrize("nodes", [2, 30, 200])
def test_cold_engines_are_in_full_use_once_the_settings_time_is_over(nodes: int) -> None:
    fleet = Fleet(nodes, nodes)
    fleet.run(2000)
    fleet.cold(MOST)
    fleet.run(fleet.settings.slow_start_ms + 1000)
    early = {engine: len([at for at in fleet.sent[engine] if at >= fleet.started[engine]]) for engine in MOST}
    assert sum(early.values()) > len(MOST)  # they are not left alone meanwhile
    end = fleet.now
    fleet.run(5000)
    share = 5000 * RATE / ENGINES
    for engine in MOST:
        assert sum(at > end for at in fleet.sent[engine]) > share / 4, (engine, early)


def allowed(budget: float) -> float:
    """What a cold engine bears: the budget and what chance adds to it."""
    return budget + 2 * budget**0.5 + 2 if budget >= 30 else budget + 3 * budget**0.5 + 3


@pytest.mark.parametrize("nodes", [2, 5, 30, 200])
@pytest.mark.parametrize("budget", [1.0, 2.0, 4.0, 29.0, 60.0])
def test_small_and_large_budgets_are_kept_however_few_or_many_nodes_run(nodes: int, budget: float) -> None:
    """Engines start whose budget is far from the usual, in fleets of any size, and half the nodes restart.

    The budget must be kept by all nodes that know of the start; the others, in the first half second, would
    fill the smallest budgets by themselves and are not counted.
    """
    fall_time = 3000.0 if budget < 20 else 10_000.0
    part = budget / (RATE / ENGINES / LOAD * fall_time)
    fleet = Fleet(
        nodes,
        nodes + int(budget),
        slow_start_share=part,
        overload_multiple=1.0,
        overload_window_ms=fall_time,
    )
    assert round(fleet.budget(), 6) == budget
    fleet.run(3000)
    fleet.cold(MOST)
    fleet.run(2000)
    fleet.restart(0.5)
    fleet.run(fall_time)
    assert max(fleet.worst(engine, knowing=True) for engine in MOST) <= allowed(budget)
