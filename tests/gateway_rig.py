"""Shared parts of the gateway's loopback tests: fleets, checks of records, and scripted policies."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from worksmux.checker.rules import check
from worksmux.fault_trial.small import FIGURES, Rig
from worksmux.policy.actions import Action, StartAttempt
from worksmux.policy.events import AttemptEnded, EndpointListUpdate, Event
from worksmux.policy.settings import PolicySettings
from worksmux.policy.state import Attempt, Engine, Request

PAIR = [("prefill", 0), ("decode", 0)]
FLEET = [("prefill", 0), ("decode", 0), ("decode", 0), ("prefill", 1), ("decode", 1), ("mixed", 1)]


def broken_rules(records: Any, slack: float = FIGURES.slack) -> list[int]:
    """The numbers of the checker's rules that the records break."""
    return [verdict.rule for verdict in check(records, replace(FIGURES, slack=slack)) if not verdict.kept]


def broken_rules_with_slack(records: Any) -> list[int]:
    """The rules that a deliberately faulty policy or gateway breaks, checked with a scenario's slack."""
    return broken_rules(records, 60.0)


def final_answers(records: Any) -> set[str]:
    """The kinds of final answers in the records."""
    return {request["how"] for request in records.requests}


class ScriptedPolicy:
    """A policy whose decisions a test overrides in `react`; it records its events."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.events: list[Event] = []
        self.batches: list[list[Event]] = []
        self.engines: dict[bytes, Engine] = {}

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        self.events += events
        self.batches.append(events)
        for event in events:
            if isinstance(event, EndpointListUpdate):
                self.engines |= {entry.engine.id: entry.engine for entry in event.entries}
            if isinstance(event, AttemptEnded):
                event.attempt.outcome = event.outcome
        return [action for event in events for action in self.react(now, event)]

    def react(self, now: float, event: Event) -> list[Action]:
        return []

    def send(self, request: Request, engine_id: bytes, now: float, is_prefill: bool) -> StartAttempt:
        attempt = Attempt(request, self.engines[engine_id], len(request.attempts), now, is_prefill)
        request.attempts.append(attempt)
        return StartAttempt(attempt)


class SilentPolicy(ScriptedPolicy):
    """A policy that never returns an action."""


BODY = json.dumps({"model": "hint", "messages": [{"role": "user", "content": "why?"}]}).encode()


def get_answer(rig: Rig, body: bytes = BODY, **headers: Any) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of the answer to one request."""
    if not rig.fronts:
        rig.front()
    answers: list[Any] = []

    def on_end(status: int, answer_headers: dict[str, str], reply: bytes, error: Any) -> None:
        answers.append((status, answer_headers, reply))
        rig.reactor.callLater(0.05, rig.reactor.stop)

    rig.reactor.callLater(0.15, lambda: rig.send_request(body, on_end, **headers))
    rig.run()
    return answers[0]
