"""What an event costs among 3,200 engines and among 200, counted in instructions of the interpreter.

Incident c5f349: one decision round took seconds among thousands of engines, as the search for engines looked
at all of them, for each of them, again and again.
"""

from __future__ import annotations

import heapq
import json
import sys
from collections.abc import Callable
from itertools import count
from random import Random
from types import FrameType
from typing import Any

import pytest
from helpers import NOW, make_settings

from worksmux.node import discovery_watch
from worksmux.node.endpoint_list import HostList
from worksmux.node.release_targets import ReleaseTargets
from worksmux.policy.actions import Action, CancelAttempt, CheckHealth, SetTimer, StartAttempt
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

FEW, MANY = 200, 3200
REQUESTS, PAUSE = 6, 150.0  # milliseconds between two requests
NODES = 200
TIMES = 4.0  # what an event, and a request, may cost more among MANY
RUNAWAY = 2_000_000  # instructions in one round: it is not counted further


class Runaway(Exception):
    """A decision round has no end in sight."""


class Meter:
    """Counts the interpreter's instructions in what it runs."""

    def __init__(self) -> None:
        self.count = 0

    def _trace(self, frame: FrameType, event: str, argument: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        self.count += event == "opcode"
        if self.count > RUNAWAY:
            raise Runaway
        return self._trace

    def run(self, call: Callable[[], Any]) -> Any:
        self.count, before = 0, sys.gettrace()
        sys.settrace(self._trace)
        try:
            return call()
        finally:
            sys.settrace(before)


class Play:
    """Requests at one of many nodes, among engines of which some are hung, cold, draining or silent."""

    def __init__(self, engines: int, hung: float, answered: float, cold: float, effect: int) -> None:
        self.chance = Random(7)
        self.router = Router(make_settings(node_count=NODES, engine_roles=("read", "write")), 1)
        self.hung, self.answered, self.effect = hung, answered, effect
        self.engines = [Engine(b"%d" % at, at + 1) for at in range(engines)]
        self.line: list[tuple[float, int, Callable[[], Event | None]]] = []
        self.numbers = count()
        self.costs: dict[str, list[int]] = {}
        self.tell(NOW, lambda: EndpointListUpdate("full", [self.entry(at) for at in range(engines)]))
        young = [at for at in range(engines) if self.chance.random() < cold]
        self.tell(
            NOW + 600,
            lambda: EndpointListUpdate("delta", [self.entry(at, started=NOW + 590) for at in young]),
        )
        leaving = range(0, engines, 5)
        self.tell(
            NOW + 900, lambda: EndpointListUpdate("delta", [self.entry(at, "draining") for at in leaving])
        )
        for number in range(1, REQUESTS + 1):
            self.tell(NOW + number * PAUSE, lambda number=number: self.arrival(number))

    def entry(self, at: int, state: str = "ready", started: float = 0.0) -> EndpointEntry:
        return EndpointEntry(self.engines[at], state, started, at // 10 % 3, at // 10, at % 2, 1.0)

    def arrival(self, number: int) -> Event:
        now = NOW + number * PAUSE
        return RequestArrived(
            Request(number, self.effect, number, number % 7, 1000.0, 500.0, 100.0, now, now + 4000.0)
        )

    def tell(self, at: float, event: Callable[[], Event | None]) -> None:
        heapq.heappush(self.line, (at, next(self.numbers), event))

    def outcome(self, attempt: Attempt, outcome: Outcome, at: float) -> None:
        def ended() -> Event | None:
            if attempt.outcome is not None:
                return None
            return AttemptEnded(
                attempt, outcome, at - attempt.sent_at, attempt.request.ended or outcome is Outcome.SERVED
            )

        self.tell(at, ended)

    def send(self, attempt: Attempt, now: float) -> None:
        if attempt.engine.key % 100 < 100 * self.hung:
            return self.outcome(attempt, Outcome.TIMED_OUT, attempt.request.deadline)
        if attempt.is_prefill:
            return self.outcome(attempt, Outcome.PREFILLED, now + 60)
        self.tell(now + 30, lambda: FirstToken(attempt, 30.0) if attempt.outcome is None else None)
        self.outcome(attempt, Outcome.SERVED, now + 400)

    def carry_out(self, action: Action, now: float) -> None:
        match action:
            case SetTimer(after, token):
                self.tell(now + after, lambda: TimerFired(token))
            case CheckHealth(engine) if self.chance.random() < self.answered:
                self.tell(now + 10, lambda: HealthCheckEnded(engine, Outcome.SERVED, 10.0))
            case StartAttempt(attempt):
                self.send(attempt, now)
            case CancelAttempt(attempt):
                self.outcome(attempt, Outcome.CANCELLED, now + 1)

    def run(self) -> Play:
        meter = Meter()
        while self.line:
            now, _, make = heapq.heappop(self.line)
            event = make()
            if event is None:
                continue
            actions = meter.run(lambda now=now, event=event: self.router.decide(now, [event]))
            self.costs.setdefault(type(event).__name__, []).append(meter.count)
            for action in actions:
                self.carry_out(action, now)
        return self

    def worst(self) -> int:
        return max(
            cost for kind, costs in self.costs.items() if kind != "EndpointListUpdate" for cost in costs
        )

    def a_request(self) -> float:
        return (
            sum(sum(costs) for kind, costs in self.costs.items() if kind != "EndpointListUpdate") / REQUESTS
        )


def days() -> list[Any]:
    found = []
    for effect, name in enumerate(("idempotent", "non-idempotent", "deduplicated")):
        found.append(pytest.param(0.0, 1.0, 0.0, effect, id=f"{name}, all is well"))
        found.append(pytest.param(0.2, 0.7, 0.6, effect, id=f"{name}, some hung, most cold"))
        found.append(pytest.param(0.9, 0.0, 0.9, effect, id=f"{name}, nearly all hung, cold and silent"))
    return found


@pytest.mark.parametrize("hung, answered, cold, effect", days())
def test_an_event_costs_no_more_among_thousands_of_engines(
    hung: float, answered: float, cold: float, effect: int
) -> None:
    few, many = (Play(engines, hung, answered, cold, effect).run() for engines in (FEW, MANY))
    assert many.worst() <= TIMES * few.worst()
    assert many.a_request() <= TIMES * few.a_request()


def search_cost(engines: int) -> int:
    """Of the search for an engine that may hear a release, where those heard last are known and in vain."""
    targets = ReleaseTargets(own_zone=0)
    listed = [Engine(b"%d" % at, at, zone=1 + at % 2, state="ready") for at in range(engines)]
    for engine in listed:
        targets.add(engine)
    for engine in listed[:9]:
        targets.mark_responsive(engine)
    meter = Meter()
    assert meter.run(lambda: targets.choose(set(listed[:9]))) is not None
    return meter.count


def test_search_for_an_engine_that_hears_a_release_costs_no_more_among_thousands_of_engines() -> None:
    assert search_cost(MANY) <= TIMES * search_cost(FEW)


class Told:
    """What a watch on discovery hands over."""

    address = ("127.0.0.1", 1)

    def __init__(self) -> None:
        self.lists: list[HostList | None] = []
        self.faults: list[str] = []

    def on_event(self, watch: discovery_watch.DiscoveryWatch, told: HostList | None) -> None:
        self.lists.append(told)

    def on_corrupt_event(self, watch: discovery_watch.DiscoveryWatch, why: str) -> None:
        self.faults.append(why)


class Decoder:
    """Counts how often a list is read from its start."""

    def __init__(self, decoder: Any) -> None:
        self.decoder, self.count = decoder, 0

    def decode(self, data: bytes) -> Any:
        self.count += 1
        return self.decoder.decode(data)


ENTRIES = [
    {
        "name": f"s-{at:08x}",
        "address": f"10.1.{at // 250}.{at % 250}:3000",
        "zone": "hall-a",
        "type": "prefill",
        "group": at // 10,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 1733150000000,
    }
    for at in range(MANY)
]
WHOLE = {"index": 41, "snapshot": True, "endpoints": ENTRIES}
A_LINE_EACH = '{"index":41,"endpoints":[\n' + "\n,".join(map(json.dumps, ENTRIES)) + "\n]}"


@pytest.mark.parametrize(
    "text",
    [json.dumps(WHOLE), json.dumps(WHOLE, indent=8), json.dumps(WHOLE, indent="\t"), A_LINE_EACH],
    ids=["one line", "indented widely", "indented by tabs", "a line for each engine"],
)
@pytest.mark.parametrize("piece", [700, 2**16])
def test_list_of_thousands_of_engines_is_read_in_any_form(
    text: str, piece: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    decoder = Decoder(discovery_watch.HOST_LIST_DECODER)
    monkeypatch.setattr(discovery_watch, "HOST_LIST_DECODER", decoder)
    told = Told()
    watching = discovery_watch.DiscoveryWatch(told, 0.0)  # type: ignore[arg-type]
    data = text.encode() + b"\n\n"
    for at in range(0, len(data), piece):
        watching.piece(data[at : at + piece])
    assert not told.faults
    (hosts, empty) = told.lists
    assert hosts is not None and len(hosts.endpoints) == MANY
    assert empty is None
    assert decoder.count <= 20


def test_list_with_a_brace_in_a_name_is_read_with_the_next_empty_line_at_the_latest() -> None:
    entries = [entry | {"name": "s-{{"} for entry in ENTRIES[:2]]
    told = Told()
    watching = discovery_watch.DiscoveryWatch(told, 0.0)  # type: ignore[arg-type]
    text = '{"index":41,"endpoints":[\n' + "\n,".join(map(json.dumps, entries)) + "\n]}\n\n"
    watching.piece(text.encode())
    assert not told.faults
    assert told.lists[0] is not None and len(told.lists[0].endpoints) == 2
