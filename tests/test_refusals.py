"""Fairness of rejections, with a router between simulated engines and generated request classes.

The tests compare the longest prompts with the rest of their class, and sessions with random rejection.
Engines prefill one prompt at a time and decode without a queue; all times are milliseconds.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import pytest
from helpers import make_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from worksmux.policy.actions import Action, CancelAttempt, CheckHealth, SetTimer, StartAttempt
from worksmux.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    FirstToken,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from worksmux.policy.router import Router
from worksmux.policy.settings import RequestClassSettings
from worksmux.policy.state import Engine, Outcome, Request

PREFILL_ENGINES, DECODE_ENGINES = 3, 4
PREFILL_MS_PER_TOKEN = 0.06
FIRST_TOKEN_MS, DECODE_MS = 20.0, 300.0  # to the first token, and to the end, of a decode attempt
REQUESTS = 1500  # 75 in a tenth of each of two classes; fewer would leave too much to chance


@dataclass
class TrafficClass:
    """One request class: its latency target, how the target grows with the prompt, and its prompts."""

    latency_target_ms: float
    latency_target_per_1000_tokens_ms: float
    mean_prompt_tokens: float
    spread: float
    idempotent: bool


@dataclass
class Simulation:
    """Simulates a router that sends requests to engines; `served` holds the requests that were served."""

    classes: list[TrafficClass]
    load: float
    seed: int
    requests: list[Request] = field(default_factory=list)
    served: set[Request] = field(default_factory=set)
    events: list[tuple[float, int, Any]] = field(default_factory=list)
    number: int = 0

    def schedule(self, time_ms: float, event: Any) -> None:
        """Schedules an event for the router."""
        self.number += 1
        heapq.heappush(self.events, (time_ms, self.number, event))

    def run(self) -> Simulation:
        """Runs the simulation to its end."""
        random_source = random.Random(self.seed)
        request_classes = tuple(
            RequestClassSettings(
                latency_target_ms=traffic_class.latency_target_ms,
                deadline_ms=4 * traffic_class.latency_target_ms,
                value=1.0,
                late_value=0.1,
                effect="redoable" if traffic_class.idempotent else "irreversible",
                deduplication_scope="all",
                deduplication_window_ms=5000.0,
                latency_target_per_1000_tokens_ms=traffic_class.latency_target_per_1000_tokens_ms,
                token_interval_ms=50.0,
            )
            for traffic_class in self.classes
        )
        router = Router(make_settings(node_count=1, request_classes=request_classes), self.seed)
        engines = [
            Engine(bytes([position]), position + 1) for position in range(PREFILL_ENGINES + DECODE_ENGINES)
        ]
        router.decide(
            0.0,
            [
                EndpointListUpdate(
                    "full",
                    [
                        EndpointEntry(
                            engine, "ready", 0.0, 0, position % 2, int(position >= PREFILL_ENGINES), 1.0
                        )
                        for position, engine in enumerate(engines)
                    ],
                )
            ],
        )
        self.free_at_ms = dict.fromkeys(engines, 0.0)
        mean_prompt_tokens = sum(traffic_class.mean_prompt_tokens for traffic_class in self.classes) / len(
            self.classes
        )
        mean_gap_ms, now = mean_prompt_tokens * PREFILL_MS_PER_TOKEN / PREFILL_ENGINES / self.load, 1000.0
        for number in range(1, REQUESTS + 1):
            now += random_source.expovariate(1 / mean_gap_ms)
            class_index = random_source.randrange(len(self.classes))
            traffic_class = self.classes[class_index]
            # The distribution has the mean of the class; a few prompts are several times as long.
            prompt_tokens = min(
                4 * traffic_class.mean_prompt_tokens,
                traffic_class.mean_prompt_tokens
                * random_source.lognormvariate(-(traffic_class.spread**2) / 2, traffic_class.spread),
            )
            request = Request(
                number,
                class_index,
                random_source.randrange(1, REQUESTS // 3),
                0,
                max(1.0, prompt_tokens),
                0.0,
                300.0,
                now,
                now
                + 4 * traffic_class.latency_target_ms
                + 2 * traffic_class.latency_target_per_1000_tokens_ms * prompt_tokens / 1000,
            )
            self.requests.append(request)
            self.schedule(now, RequestArrived(request))
        while self.events:
            now, _, event = heapq.heappop(self.events)
            if isinstance(event, FirstToken | AttemptEnded) and event.attempt.outcome is not None:
                continue
            if isinstance(event, AttemptEnded) and event.outcome is Outcome.SERVED:
                self.served.add(event.attempt.request)
            for action in router.decide(now, [event]):
                self._carry_out(now, action)
        return self

    def _carry_out(self, now: float, action: Action) -> None:
        match action:
            case StartAttempt(attempt) if attempt.is_prefill:
                prefill_ends_at = self.free_at_ms[attempt.engine] = (
                    max(now, self.free_at_ms[attempt.engine])
                    + 5
                    + PREFILL_MS_PER_TOKEN * attempt.prefill_tokens
                )
                self.schedule(
                    prefill_ends_at, AttemptEnded(attempt, Outcome.PREFILLED, prefill_ends_at - now, False)
                )
            case StartAttempt(attempt):
                self.schedule(now + FIRST_TOKEN_MS, FirstToken(attempt, FIRST_TOKEN_MS))
                self.schedule(now + DECODE_MS, AttemptEnded(attempt, Outcome.SERVED, DECODE_MS, True))
            case CancelAttempt(attempt):
                self.schedule(now, AttemptEnded(attempt, Outcome.CANCELLED, now - attempt.sent_at, False))
            case CheckHealth(engine):
                self.schedule(now + 2, HealthCheckEnded(engine, Outcome.SERVED, 2.0))
            case SetTimer(delay_ms, token):
                self.schedule(now + delay_ms, TimerFired(token))

    def shares(self, class_index: int) -> tuple[float, float]:
        """Returns the served share of the longest tenth of a class's prompts, and of the whole class."""
        class_requests = sorted(
            (request for request in self.requests if request.request_class == class_index),
            key=lambda request: request.prompt_tokens,
        )
        longest_prompts = class_requests[-(len(class_requests) // 10) :]
        return (
            sum(request in self.served for request in longest_prompts) / len(longest_prompts),
            sum(request in self.served for request in class_requests) / len(class_requests),
        )


def traffic_classes() -> st.SearchStrategy[TrafficClass]:
    """Generates classes whose longest prompts an idle engine can prefill in time."""
    targets, targets_per_1000_tokens = (
        st.sampled_from([1000.0, 1500.0, 2500.0]),
        st.sampled_from([20.0, 40.0, 80.0]),
    )
    prompts, spreads = st.sampled_from([800.0, 1500.0, 2500.0]), st.sampled_from([0.4, 0.7, 1.0])
    return st.builds(TrafficClass, targets, targets_per_1000_tokens, prompts, spreads, st.booleans())


CLASSES = st.lists(traffic_classes(), min_size=1, max_size=2)


@given(CLASSES, st.integers(0, 1000))
@settings(deadline=None, max_examples=5, derandomize=True)
def test_longest_prompts_get_their_share_of_answers_at_low_load(
    classes: list[TrafficClass], seed: int
) -> None:
    simulation = Simulation(classes, 0.5, seed).run()
    for class_index in range(len(classes)):
        longest_share, share_of_all = simulation.shares(class_index)
        assert share_of_all > 0.9 and longest_share >= 2 / 3 * share_of_all


@pytest.mark.parametrize("load", [0.95, 1.3, 2.0])
@given(CLASSES, st.integers(0, 1000))
@settings(deadline=None, max_examples=5, derandomize=True)
def test_longest_prompts_keep_half_of_their_share_at_high_load(
    load: float, classes: list[TrafficClass], seed: int
) -> None:
    simulation = Simulation(classes, load, seed).run()
    for class_index in range(len(classes)):
        longest_share, share_of_all = simulation.shares(class_index)
        assert share_of_all > 0 and longest_share >= share_of_all / 2


@given(CLASSES, st.integers(0, 1000))
@settings(deadline=None, max_examples=5, derandomize=True)
def test_rejections_do_not_single_out_sessions_while_there_is_capacity(
    classes: list[TrafficClass], seed: int
) -> None:
    simulation = Simulation(classes, 0.7, seed).run()
    for class_index in range(len(classes)):
        sessions: dict[int, list[bool]] = defaultdict(list)
        for request in simulation.requests:
            if request.request_class == class_index:
                sessions[request.session].append(request not in simulation.served)
        rejected_share = sum(map(sum, sessions.values())) / sum(map(len, sessions.values()))
        expected_by_chance = sum(rejected_share ** len(rejections) for rejections in sessions.values())
        assert sum(map(all, sessions.values())) <= expected_by_chance + 0.12 * len(sessions)
