"""Who is rejected, with the router between simulated engines: long prompts against the rest of their class,
and sessions against chance, over drawn classes and sizes.  Engines prefill one prompt after the other and
decode at once; all times are milliseconds."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import pytest
from helpers import settings as plain
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
PER_TOKEN = 0.06  # of a prefill
FIRST, REST = 20.0, 300.0  # of an answer's first token, and of the others
REQUESTS = 1500  # 75 in the tenth of each of two classes: fewer would be chance


@dataclass
class Traffic:
    """One class of requests: its latency target, how much it grows with the prompt, and its prompts."""

    target: float
    per_k: float
    prompt: float
    spread: float
    idempotent: bool


@dataclass
class Day:
    """Requests between a router and engines; `answered` and `all` by request."""

    classes: list[Traffic]
    load: float
    seed: int
    requests: list[Request] = field(default_factory=list)
    answered: set[Request] = field(default_factory=set)
    events: list[tuple[float, int, Any]] = field(default_factory=list)
    number: int = 0

    def at(self, when: float, what: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, what))

    def play(self) -> Day:
        rng = random.Random(self.seed)
        request_classes = tuple(
            RequestClassSettings(
                latency_target_ms=one.target,
                deadline_ms=4 * one.target,
                value=1.0,
                late_value=0.1,
                effect="redoable" if one.idempotent else "irreversible",
                deduplication_scope="all",
                deduplication_window_ms=5000.0,
                latency_target_per_1000_tokens_ms=one.per_k,
                token_interval_ms=50.0,
            )
            for one in self.classes
        )
        router = Router(plain(node_count=1, request_classes=request_classes), self.seed)
        engines = [Engine(bytes([at]), at + 1) for at in range(PREFILL_ENGINES + DECODE_ENGINES)]
        router.decide(
            0.0,
            [
                EndpointListUpdate(
                    "full",
                    [
                        EndpointEntry(engine, "ready", 0.0, 0, at % 2, int(at >= PREFILL_ENGINES), 1.0)
                        for at, engine in enumerate(engines)
                    ],
                )
            ],
        )
        self.free = dict.fromkeys(engines, 0.0)
        mean = sum(one.prompt for one in self.classes) / len(self.classes)
        gap, now = mean * PER_TOKEN / PREFILL_ENGINES / self.load, 1000.0
        for number in range(1, REQUESTS + 1):
            now += rng.expovariate(1 / gap)
            at = rng.randrange(len(self.classes))
            one = self.classes[at]
            # The mean is the class's; a few are several times as long.
            prompt = min(4 * one.prompt, one.prompt * rng.lognormvariate(-(one.spread**2) / 2, one.spread))
            request = Request(
                number,
                at,
                rng.randrange(1, REQUESTS // 3),
                0,
                max(1.0, prompt),
                0.0,
                300.0,
                now,
                now + 4 * one.target + 2 * one.per_k * prompt / 1000,
            )
            self.requests.append(request)
            self.at(now, RequestArrived(request))
        while self.events:
            now, _, event = heapq.heappop(self.events)
            if isinstance(event, FirstToken | AttemptEnded) and event.attempt.outcome is not None:
                continue
            if isinstance(event, AttemptEnded) and event.outcome is Outcome.SERVED:
                self.answered.add(event.attempt.request)
            for action in router.decide(now, [event]):
                self._carry_out(now, action)
        return self

    def _carry_out(self, now: float, action: Action) -> None:
        match action:
            case StartAttempt(attempt) if attempt.is_prefill:
                done = self.free[attempt.engine] = (
                    max(now, self.free[attempt.engine]) + 5 + PER_TOKEN * attempt.prefill_tokens
                )
                self.at(done, AttemptEnded(attempt, Outcome.PREFILLED, done - now, False))
            case StartAttempt(attempt):
                self.at(now + FIRST, FirstToken(attempt, FIRST))
                self.at(now + REST, AttemptEnded(attempt, Outcome.SERVED, REST, True))
            case CancelAttempt(attempt):
                self.at(now, AttemptEnded(attempt, Outcome.CANCELLED, now - attempt.sent_at, False))
            case CheckHealth(engine):
                self.at(now + 2, HealthCheckEnded(engine, Outcome.SERVED, 2.0))
            case SetTimer(after, token):
                self.at(now + after, TimerFired(token))

    def shares(self, at: int) -> tuple[float, float]:
        """Of a class: the share answered of the tenth with the longest prompts, and of all."""
        of_class = sorted(
            (one for one in self.requests if one.request_class == at), key=lambda one: one.prompt_tokens
        )
        longest = of_class[-(len(of_class) // 10) :]
        return (
            sum(one in self.answered for one in longest) / len(longest),
            sum(one in self.answered for one in of_class) / len(of_class),
        )


def traffic() -> st.SearchStrategy[Traffic]:
    """Classes whose longest prompts can be read in time by an engine that has nothing else to do."""
    targets, per_k = st.sampled_from([1000.0, 1500.0, 2500.0]), st.sampled_from([20.0, 40.0, 80.0])
    prompts, spreads = st.sampled_from([800.0, 1500.0, 2500.0]), st.sampled_from([0.4, 0.7, 1.0])
    return st.builds(Traffic, targets, per_k, prompts, spreads, st.booleans())


CLASSES = st.lists(traffic(), min_size=1, max_size=2)


@given(CLASSES, st.integers(0, 1000))
@settings(deadline=None, max_examples=5, derandomize=True)
def test_longest_prompts_share_in_what_is_answered_on_a_quiet_day(classes: list[Traffic], seed: int) -> None:
    day = Day(classes, 0.5, seed).play()
    for at in range(len(classes)):
        longest, whole = day.shares(at)
        assert whole > 0.9 and longest >= 2 / 3 * whole


@pytest.mark.parametrize("load", [0.95, 1.3, 2.0])
@given(CLASSES, st.integers(0, 1000))
@settings(deadline=None, max_examples=5, derandomize=True)
def test_longest_prompts_keep_half_of_the_share_on_a_crowded_day(
    load: float, classes: list[Traffic], seed: int
) -> None:
    day = Day(classes, load, seed).play()
    for at in range(len(classes)):
        longest, whole = day.shares(at)
        assert whole > 0 and longest >= whole / 2


@given(CLASSES, st.integers(0, 1000))
@settings(deadline=None, max_examples=5, derandomize=True)
def test_refusals_do_not_single_out_sessions_while_there_is_room(classes: list[Traffic], seed: int) -> None:
    day = Day(classes, 0.7, seed).play()
    for at in range(len(classes)):
        sessions: dict[int, list[bool]] = defaultdict(list)
        for one in day.requests:
            if one.request_class == at:
                sessions[one.session].append(one not in day.answered)
        refused = sum(map(sum, sessions.values())) / sum(map(len, sessions.values()))
        chance = sum(refused ** len(turns) for turns in sessions.values())
        assert sum(map(all, sessions.values())) <= chance + 0.12 * len(sessions)
