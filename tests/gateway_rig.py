"""What the tests of the gateway on loopback share: fleets, judgements, and policies that follow a script."""

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


def broken(records: Any, slack: float = FIGURES.slack) -> list[int]:
    """The numbers of the rules that the records break."""
    return [verdict.rule for verdict in check(records, replace(FIGURES, slack=slack)) if not verdict.kept]


def found(records: Any) -> list[int]:
    """The rules broken by a policy or gateway that is wrong on purpose, judged with a scenario's slack."""
    return broken(records, 60.0)


def ends(records: Any) -> set[str]:
    return {request["how"] for request in records.requests}


class Scripted:
    """A policy that does what a test says and records the events that it gets."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.told: list[Event] = []
        self.batches: list[list[Event]] = []
        self.engines: dict[bytes, Engine] = {}

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        self.told += events
        self.batches.append(events)
        for event in events:
            if isinstance(event, EndpointListUpdate):
                self.engines |= {entry.engine.id: entry.engine for entry in event.entries}
            if isinstance(event, AttemptEnded):
                event.attempt.outcome = event.outcome
        return [action for event in events for action in self.react(now, event)]

    def react(self, now: float, event: Event) -> list[Action]:
        return []

    def send(self, request: Request, name: bytes, now: float, reading: bool) -> StartAttempt:
        attempt = Attempt(request, self.engines[name], len(request.attempts), now, reading)
        request.attempts.append(attempt)
        return StartAttempt(attempt)


class Silent(Scripted):
    """A policy that never decides anything."""


BODY = json.dumps({"model": "hint", "messages": [{"role": "user", "content": "why?"}]}).encode()


def answer_of(rig: Rig, body: bytes = BODY, **more: Any) -> tuple[int, dict[str, str], bytes]:
    """The whole answer to one request."""
    if not rig.fronts:
        rig.front()
    heard: list[Any] = []

    def end(status: int, headers: dict[str, str], reply: bytes, trouble: Any) -> None:
        heard.append((status, headers, reply))
        rig.reactor.callLater(0.05, rig.reactor.stop)

    rig.reactor.callLater(0.15, lambda: rig.send_request(body, end, **more))
    rig.run()
    return heard[0]
