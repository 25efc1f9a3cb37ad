"""Plays a scripted day in simulated time: registry, engines, fronts, clients and troubles, by one seed.

The files of days are those of the trials over sockets.  Of the troubles, those of sockets and streams alone
(broken streams, garbage, refused and slow connections, late reports, neighbours) have no counterpart here; a
day that holds one is refused by name.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..api.listing import Line, Listing
from ..baselines import POLICIES
from ..checker.records import Records, gather
from ..endpoints.learned_state import (
    EngineMarks,
    FleetTimings,
    LearnedState,
    LearnedStateRecorder,
    restored_state,
)
from ..endpoints.staleness import CachedEndpointList, StoredEndpoint, Turnover
from ..errors import WorksmuxError
from ..policy.id_map import PolicyFactory
from ..scenarios.engines import engine_spec, select_engines, select_gateways
from ..scenarios.scenario import (
    CLIENT_FAULTS,
    ENDPOINT_LIST_FAULTS,
    GATEWAY_FAULTS,
    Scenario,
    ScenarioEngine,
    ScenarioFault,
)
from .clients import Clients
from .engine import ModelEngine
from .front import ModelFront
from .sim import Sim

HOP = 0.5  # milliseconds that a message takes
SUPPORTED_FAULTS = (
    frozenset(
        {
            "crash",
            "vanish",
            "drain",
            "mass-restart",
            "zone-loss",
            "hang",
            "slow",
            "fast-errors",
            "offering-fails",
            "front-crash",
            "front-roll",
        }
    )
    | CLIENT_FAULTS
    | ENDPOINT_LIST_FAULTS
)
EPOCH_MS = 1e9  # where simulated time starts, so that older times are positive


class UnsupportedScenarioError(WorksmuxError):
    """The day holds a trouble that the model has no counterpart of; the message names it."""


@dataclass(slots=True)
class Remembered:
    """What a front finds at its start in place of a registry."""

    lines: list[StoredEndpoint]
    turnover: Turnover = field(default_factory=Turnover)
    believed_for: float = 3.6e6
    rate: float = 20.0
    learned: LearnedState = field(default_factory=lambda: LearnedState(None, {}))


class Registry:
    """Knows the engines, and tells each front late by its own draw."""

    def __init__(self, model: Model) -> None:
        self.model, self.chance = model, random.Random(model.day.seed + 1)
        self.lines: dict[str, Line] = {}
        self.serial = 0
        self.lost, self.extra, self.skip = False, 0.0, 0
        self.last_up = EPOCH_MS
        self.last: dict[int, float] = {}  # by front: one connection keeps its messages in order

    def change(self, line: Line, at_once: bool = False) -> None:
        self.serial += 1
        self.lines[line.id] = line
        message = Listing("delta", self.serial, self.serial - 1, self.model.sim.now, [line])
        if self.skip > 0:
            self.skip -= 1
            return
        for at in range(len(self.model.gateways)):
            delay = 0.0 if at_once else self.chance.uniform(*self.model.day.list_late) + self.extra
            self._send(at, delay, message)

    def full(self, at: int) -> None:
        lines = [line for line in self.lines.values() if line.state != "gone"]
        message = Listing("full", self.serial, None, self.model.sim.now, lines)
        self._send(at, HOP, message)

    def _send(self, at: int, delay: float, message: Listing) -> None:
        now = self.model.sim.now
        self.last[at] = max(now + delay, self.last.get(at, 0.0))
        self.model.sim.after(self.last[at] - now, self._tell, at, message)

    def _tell(self, at: int, message: Listing) -> None:
        front = self.model.gateways[at]
        if self.lost or front is None:
            return
        self.model.note(
            "registry",
            "told",
            front=front.name,
            serial=message.serial,
            list=message.scope,
            engines=[[line.id, line.state, line.started] for line in message.engines],
        )
        copies = [msgspec.structs.replace(line) for line in message.engines]
        front.listed(msgspec.structs.replace(message, engines=copies))
        if front.roster.reader.fetching:
            self.full(at)

    def lose(self, on: bool) -> None:
        self.lost, self.last_up = on, self.model.sim.now
        if not on:
            for at, front in enumerate(self.model.gateways):
                if front is not None:
                    front.roster.reader.connected()
                    self.model.sim.after(self.chance.uniform(0.0, 500.0), self.full, at)


class Model:
    """One day.  `make` decides in place of the day's policy; `journal` keeps every line for the audit, which
    costs most of the memory; `remembered` starts every front without a registry."""

    def __init__(
        self,
        day: Scenario,
        make: PolicyFactory | None = None,
        journal: bool = True,
        remembered: Callable[[int], Remembered] | None = None,
        built: Callable[[Model], None] | None = None,
    ) -> None:
        for trouble in day.faults:
            if trouble.kind not in SUPPORTED_FAULTS:
                raise UnsupportedScenarioError(
                    f'line {trouble.line}: the model does not play "{trouble.kind}"; '
                    "leave it out, or play the day with `worksmux trial`"
                )
        self.day, self.make = day, make or POLICIES[day.policy]
        self.sim = Sim()
        self.sim.now = EPOCH_MS
        self.chance = random.Random(day.seed)
        self.lines: list[dict[str, Any]] | None = [] if journal else None
        self.engines: dict[str, ModelEngine] = {}
        self.starts: dict[str, int] = {}
        self.gateways: list[ModelFront | None] = [None] * day.fronts
        self.saved: list[Remembered | None] = [None] * day.fronts
        self.remembered = remembered
        self.registry = Registry(self)
        for place in day.engines:
            self.start_engine(place, cold=False)
        if built is not None:
            built(self)
        self.clients = Clients(self.sim, day, self.gateways, self.note, HOP)

    def note(self, who: str, what: str, **facts: Any) -> None:
        if self.lines is not None:
            self.lines.append({"t": self.sim.now, "who": who, "what": what, **facts})

    # Engines.

    def start_engine(self, place: ScenarioEngine, cold: bool) -> ModelEngine:
        number = self.starts[place.id] = self.starts.get(place.id, 0) + 1
        spec = engine_spec(self.day, place, "", 0, cold, number)
        engine = ModelEngine(self.sim, spec, self.note, HOP, self.sim.now if cold else None)
        self.engines[place.id] = engine
        self.tell(place, "ready", at_once=not cold)
        return engine

    def tell(self, place: ScenarioEngine, state: Any, at_once: bool = False) -> None:
        started = self.engines[place.id].started or 0.0
        self.registry.change(
            Line(place.id, "", 0, place.kind, state, place.zone, place.cell, 1.0, started), at_once
        )

    def kill(self, place: ScenarioEngine) -> None:
        engine = self.engines[place.id]
        if engine.alive:
            engine.die()
            self.tell(place, "gone")

    # Fronts.

    def start_front(self, at: int) -> None:
        day = self.day
        zone = day.zones[at % len(day.zones)]
        front = ModelFront(
            self.sim,
            self.engines,
            f"front-{at + 1}",
            day.module_settings(at, zone),
            day.zones,
            [kind.name for kind in day.kinds],
            self.make,
            day.seed * 7919 + at * 31 + int(self.sim.now - EPOCH_MS),
            self.note,
            HOP,
        )
        self.gateways[at] = front
        saved = self.saved[at] or (self.remembered(at) if self.remembered else None)
        if day.memory or self.remembered:
            front.learner = LearnedStateRecorder([one.name for one in day.request_classes])
        if saved is not None:
            front.remember(
                CachedEndpointList(
                    saved.lines,
                    self.sim.now,
                    self.sim.now,
                    saved.turnover,
                    saved.believed_for,
                    day.fronts,
                    saved.rate,
                    True,
                    day.seed + at,
                )
            )
            front.tell(
                restored_state(
                    saved.learned,
                    [one.name for one in day.request_classes],
                    self._engines(front),
                    self.sim.now,
                    saved.turnover,
                    saved.believed_for,
                )
            )
        if not self.registry.lost:
            self.registry.full(at)

    @staticmethod
    def _engines(front: ModelFront) -> list[tuple[Any, float]]:
        return [(known.engine, known.line.started) for known in front.roster.reader.known.values()]

    def kill_front(self, at: int) -> None:
        front = self.gateways[at]
        if front is None:
            return
        if self.day.memory and front.learner is not None:
            heard = self.registry.last_up if self.registry.lost else self.sim.now
            told = front.learner.changes(self._engines(front), self.sim.now, self.sim.now)
            pace = told.pop("", None)
            marks = {name: one for name, one in told.items() if isinstance(one, EngineMarks)}
            lines = [
                StoredEndpoint(
                    msgspec.structs.replace(known.line, started=max(0.0, known.line.started)), heard
                )
                for known in front.roster.reader.known.values()
                if known.line.state != "gone"
            ]
            self.saved[at] = Remembered(
                lines, learned=LearnedState(pace if isinstance(pace, FleetTimings) else None, marks)
            )
        front.die()
        self.gateways[at] = None

    # The day.

    def run(self) -> Records | None:
        """Plays the day to the end of its settling; its records, where a journal is kept."""
        for at in range(self.day.fronts):
            self.sim.after(self.chance.uniform(0.0, 100.0), self.start_front, at)
        self.sim.run(EPOCH_MS + 1000.0)
        self.note("runner", "day", name=self.day.name, start=self.sim.now, policy=self.day.policy)
        start = self.sim.now
        for trouble in self.day.faults:
            if trouble.kind not in CLIENT_FAULTS:
                self.sim.after(trouble.at, self._strike, trouble)
        self.clients.begin()
        self.sim.run(start + self.day.length)
        until = start + self.day.length + self.day.settle
        while self.clients.open_requests and self.sim.now < until:
            self.sim.run(min(until, self.sim.now + 500.0))
        self.sim.run(self.sim.now + 1000.0)
        return gather(self.lines) if self.lines is not None else None

    def _strike(self, trouble: ScenarioFault) -> None:
        if trouble.kind in GATEWAY_FAULTS:
            names = {f"front-{at + 1}": at for at in range(self.day.fronts)}
            for order, name in enumerate(select_gateways(trouble, list(names), self.chance)):
                after = order * trouble.every if trouble.kind == "front-roll" else 0.0
                self.sim.after(after, self.kill_front, names[name])
                self.sim.after(after + trouble.length, self.start_front, names[name])
        elif trouble.kind == "list-stale":
            self.registry.extra = trouble.factor
            self.sim.after(trouble.length, setattr, self.registry, "extra", 0.0)
        elif trouble.kind == "list-lost":
            self.registry.lose(True)
            self.sim.after(trouble.length, self.registry.lose, False)
        elif trouble.kind == "list-gap":
            self.registry.skip = 1
        else:
            for order, place in enumerate(select_engines(self.day, trouble, self.chance)):
                self._strike_engine(trouble, place, order)

    def _strike_engine(self, trouble: ScenarioFault, place: ScenarioEngine, order: int) -> None:
        engine, after = self.engines[place.id], self.sim.after
        match trouble.kind:
            case "crash" | "zone-loss":
                self.kill(place)
                after(trouble.length, self._back, place)
            case "mass-restart":
                after(order * trouble.every if trouble.every < trouble.length else 0.0, self.kill, place)
                after(trouble.length, self._back, place)
            case "vanish":
                self.kill(place)
            case "drain":
                engine.draining = True
                self.tell(place, "draining")
                after(trouble.length, self.kill, place)
                after(trouble.length + trouble.every, self._back, place)
            case "hang":
                engine.hang(True)
                after(trouble.length, engine.hang, False)
            case "slow":
                engine.change_speed(max(1.0, trouble.factor))
                after(trouble.length, engine.change_speed, 1.0)
            case _:
                name = trouble.request_class if trouble.kind == "offering-fails" else ""
                engine.failing[name] = trouble.share
                after(trouble.length, engine.failing.pop, name, None)

    def _back(self, place: ScenarioEngine) -> None:
        self.start_engine(place, cold=True)
