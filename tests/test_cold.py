"""Load on cold engines from many nodes, none of which knows what the others send.

The tests measure what reaches each cold engine in its busiest window.  Times are milliseconds.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from itertools import count
from random import Random
from typing import Any

import pytest
from helpers import NOW, make_settings

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
RATE = 0.06  # requests a millisecond, in total
LOAD = 0.8  # of the fleet's capacity; a warm engine serves RATE / ENGINES / LOAD
PREFILL_MS, DECODE_MS = 60.0, 400.0


class Node:
    """One node; `alive` is False once it has been killed."""

    def __init__(self, router: Router, engines: list[Engine]) -> None:
        self.router, self.engines, self.alive = router, engines, True
        self.known_starts: set[int] = set()  # engines whose start the node knows of


class Fleet:
    """Several nodes; `sent` holds the times at which each engine was sent an attempt or a health check."""

    def __init__(
        self, nodes: int, seed: int, prefixes: int = 40, rejected_share: float = 0.0, **changes: Any
    ) -> None:
        self.random_source, self.node_count, self.rejected_share = Random(seed), nodes, rejected_share
        self.changes = {"node_count": nodes, "slow_start_share": 0.25, "overload_multiple": 2.0, **changes}
        self.settings = make_settings(**self.changes)
        self.now, self.queue, self.event_order = NOW, [], count()
        self.request_ids, self.prefixes = count(1), prefixes
        self.started: dict[int, float] = {}
        self.sent: dict[int, list[float]] = defaultdict(list)
        # The same, only by nodes that knew of the engine's start.
        self.sent_by_informed: dict[int, list[float]] = defaultdict(list)
        self.served = 0
        self.nodes = [self._new_node() for _ in range(nodes)]
        self._after(0.0, self._arrive)

    def _after(self, delay_ms: float, callback: Any, *args: Any) -> None:
        heapq.heappush(self.queue, (self.now + delay_ms, next(self.event_order), callback, args))

    def _new_node(self) -> Node:
        node = Node(
            Router(self.settings, self.random_source.getrandbits(60)),
            [Engine(bytes([number]), number + 1) for number in range(2 * ENGINES)],
        )
        entries = [self._entry(node.engines, number) for number in range(2 * ENGINES)]
        node.known_starts |= self.started.keys()
        self._handle_events(node, [EndpointListUpdate("full", entries)])
        return node

    def _entry(self, engines: list[Engine], number: int) -> EndpointEntry:
        return EndpointEntry(
            engines[number], "ready", self.started.get(number, 0.0), 0, number % 2, number // ENGINES, 1.0
        )

    def restart_engines(self, engine_numbers: list[int]) -> None:
        """Restarts engines; every node learns of it within half a second."""
        for number in engine_numbers:
            self.started[number] = self.now
        for node_index in range(self.node_count):
            self._after(self.random_source.uniform(0, 500), self._announce_starts, node_index, engine_numbers)

    def _announce_starts(self, node_index: int, engine_numbers: list[int]) -> None:
        node = self.nodes[node_index]
        node.known_starts |= set(engine_numbers)
        self._handle_events(
            node,
            [EndpointListUpdate("delta", [self._entry(node.engines, number) for number in engine_numbers])],
        )

    def restart_nodes(self, fraction: float) -> None:
        """Restarts about this fraction of the nodes, without their state."""
        for node_index in range(self.node_count):
            if self.random_source.random() < fraction:
                self.nodes[node_index].alive = False
                self.nodes[node_index] = self._new_node()

    def _arrive(self) -> None:
        self._after(self.random_source.expovariate(RATE), self._arrive)
        number = next(self.request_ids)
        prefix = 1 + int(self.prefixes * self.random_source.random() ** 2)
        request = Request(number, 0, number, prefix, 1000.0, 800.0, 100.0, self.now, self.now + 4000.0)
        self._handle_events(
            self.nodes[self.random_source.randrange(self.node_count)], [RequestArrived(request)]
        )

    def _handle_events(self, node: Node, events: list[Event]) -> None:
        for action in node.router.decide(self.now, events) if node.alive else ():
            if isinstance(action, StartAttempt):
                attempt = action.attempt
                number = node.engines.index(attempt.engine)
                self.sent[number].append(self.now)
                if number in node.known_starts:
                    self.sent_by_informed[number].append(self.now)
                if self.random_source.random() < self.rejected_share:
                    self._after(
                        2.0,
                        self._handle_events,
                        node,
                        [AttemptEnded(attempt, Outcome.FULL, 2.0, False, 0, None)],
                    )
                elif attempt.is_prefill:
                    self._after(
                        PREFILL_MS,
                        self._handle_events,
                        node,
                        [AttemptEnded(attempt, Outcome.PREFILLED, PREFILL_MS, False, 0, None)],
                    )
                else:
                    self._after(30.0, self._handle_events, node, [FirstToken(attempt, 30.0)])
                    self._after(DECODE_MS, self._end_decode, node, attempt)
            elif isinstance(action, CheckHealth):  # a health check costs the engine work too
                number = node.engines.index(action.engine)
                self.sent[number].append(self.now)
                if number in node.known_starts:
                    self.sent_by_informed[number].append(self.now)
                answer = HealthCheckEnded(action.engine, Outcome.SERVED, 2.0, None)
                self._after(2.0, self._handle_events, node, [answer])
            elif isinstance(action, SetTimer):
                self._after(action.delay_ms, self._handle_events, node, [TimerFired(action.token)])

    def _end_decode(self, node: Node, attempt: Attempt) -> None:
        self.served += 1
        self._handle_events(node, [AttemptEnded(attempt, Outcome.SERVED, DECODE_MS, True, 0, None)])

    def run(self, duration_ms: float) -> None:
        """Runs the simulation."""
        end = self.now + duration_ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.now = end

    def max_sent_in_window(self, number: int, informed_only: bool = False) -> int:
        """Returns the most that an engine was sent within one overload window since its start.

        `informed_only` counts only nodes that knew of the start, as no other can limit what it sends.
        """
        sent = self.sent_by_informed if informed_only else self.sent
        times = [at for at in sent[number] if at >= self.started[number]]
        window = self.settings.overload_window_ms
        return max((sum(a <= b < a + window for b in times[at:]) for at, a in enumerate(times)), default=0)

    def budget(self) -> float:
        """Returns how many requests in that window the settings allow an engine that has just started."""
        allowed_ms = (
            self.settings.slow_start_share
            * self.settings.overload_multiple
            * self.settings.overload_window_ms
        )
        return RATE / ENGINES / LOAD * allowed_ms


FEW, MOST, ALL = [0, 10], [*range(6), *range(10, 16)], list(range(20))


@pytest.mark.parametrize("nodes", [2, 30, 200])
@pytest.mark.parametrize("restarted", [FEW, MOST, ALL], ids=["few", "most", "all"])
@pytest.mark.parametrize("rejected_share", [0.0, 0.3], ids=["served", "three in ten rejected"])
def test_all_nodes_together_keep_to_a_cold_engines_budget(
    nodes: int, restarted: list[int], rejected_share: float
) -> None:
    """Engines start, nodes restart twice, and some requests are rejected and retried.

    Shares that are rounded up, first requests at the same time, nodes that begin with their full share again
    after a restart, and retries all add load.  Their total must stay within the engine's budget.
    """
    fleet = Fleet(nodes, 7 * nodes + len(restarted), rejected_share=rejected_share)
    fleet.run(4000)
    fleet.restart_engines(restarted)
    fleet.run(2000)
    fleet.restart_nodes(0.7)
    fleet.run(3000)
    fleet.restart_nodes(1.0)
    fleet.run(3000)
    budget = fleet.budget()
    assert max(fleet.max_sent_in_window(engine) for engine in restarted) <= budget + 2 * budget**0.5 + 2


@pytest.mark.parametrize("nodes", [2, 30, 200])
def test_cold_engines_are_in_full_use_once_the_settings_time_is_over(nodes: int) -> None:
    fleet = Fleet(nodes, nodes)
    fleet.run(2000)
    fleet.restart_engines(MOST)
    fleet.run(fleet.settings.slow_start_ms + 1000)
    early = {
        engine: len([sent_at for sent_at in fleet.sent[engine] if sent_at >= fleet.started[engine]])
        for engine in MOST
    }
    assert sum(early.values()) > len(MOST)  # cold engines get some requests meanwhile
    end = fleet.now
    fleet.run(5000)
    share = 5000 * RATE / ENGINES
    for engine in MOST:
        assert sum(sent_at > end for sent_at in fleet.sent[engine]) > share / 4, (engine, early)


def allowed(budget: float) -> float:
    """Returns the limit for a cold engine: the budget and a margin for random variation."""
    return budget + 2 * budget**0.5 + 2 if budget >= 30 else budget + 3 * budget**0.5 + 3


@pytest.mark.parametrize("nodes", [2, 5, 30, 200])
@pytest.mark.parametrize("budget", [1.0, 2.0, 4.0, 29.0, 60.0])
def test_small_and_large_budgets_are_kept_however_few_or_many_nodes_run(nodes: int, budget: float) -> None:
    """Engines with an unusually small or large budget start in fleets of any size; half the nodes restart.

    All nodes that know of the start must together keep the budget.  What other nodes send in the first half
    second would exceed the smallest budgets alone and is not counted.
    """
    overload_window_ms = 3000.0 if budget < 20 else 10_000.0
    fraction = budget / (RATE / ENGINES / LOAD * overload_window_ms)
    fleet = Fleet(
        nodes,
        nodes + int(budget),
        slow_start_share=fraction,
        overload_multiple=1.0,
        overload_window_ms=overload_window_ms,
    )
    assert round(fleet.budget(), 6) == budget
    fleet.run(3000)
    fleet.restart_engines(MOST)
    fleet.run(2000)
    fleet.restart_nodes(0.5)
    fleet.run(overload_window_ms)
    assert max(fleet.max_sent_in_window(engine, informed_only=True) for engine in MOST) <= allowed(budget)
