"""Runs a scenario in simulated time: registry, engines, gateways, clients and faults, from one seed.

The scenario files are those of the trials over sockets. The faults of sockets and streams alone (broken
streams, garbage, refused and slow connections, late reports, neighbours) have no counterpart here; a scenario
with one of them is refused with an error that names it.
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
from .front import ModelGateway
from .sim import Sim

HOP_MS = 0.5  # delay of one message
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
EPOCH_MS = 1e9  # start of simulated time, so that earlier times are positive


class UnsupportedScenarioError(WorksmuxError):
    """The scenario has a fault that the model does not support; the message names it."""


@dataclass(slots=True)
class CachedState:
    """Endpoint list and learned state that a gateway starts from when it has no registry."""

    lines: list[StoredEndpoint]
    turnover: Turnover = field(default_factory=Turnover)
    max_age_ms: float = 3.6e6
    probe_rate: float = 20.0
    learned: LearnedState = field(default_factory=lambda: LearnedState(None, {}))


class Registry:
    """Registry of the engines; it sends each gateway its updates with a random delay."""

    def __init__(self, model: Model) -> None:
        self.model, self.random = model, random.Random(model.scenario.seed + 1)
        self.lines: dict[str, Line] = {}
        self.serial = 0
        self.is_disconnected, self.extra_delay_ms, self.updates_to_skip = False, 0.0, 0
        self.last_connected_at = EPOCH_MS
        self.last_delivery_at: dict[int, float] = {}  # by gateway; one connection keeps its messages in order

    def update(self, line: Line, at_once: bool = False) -> None:
        """Changes the line of an engine and sends the change to all gateways."""
        self.serial += 1
        self.lines[line.id] = line
        message = Listing("delta", self.serial, self.serial - 1, self.model.sim.now, [line])
        if self.updates_to_skip > 0:
            self.updates_to_skip -= 1
            return
        for index in range(len(self.model.gateways)):
            delay = (
                0.0 if at_once else self.random.uniform(*self.model.scenario.list_late) + self.extra_delay_ms
            )
            self._send(index, delay, message)

    def send_full_list(self, index: int) -> None:
        """Sends the full list to a gateway."""
        lines = [line for line in self.lines.values() if line.state != "gone"]
        message = Listing("full", self.serial, None, self.model.sim.now, lines)
        self._send(index, HOP_MS, message)

    def _send(self, index: int, delay: float, message: Listing) -> None:
        now = self.model.sim.now
        self.last_delivery_at[index] = max(now + delay, self.last_delivery_at.get(index, 0.0))
        self.model.sim.after(self.last_delivery_at[index] - now, self._deliver, index, message)

    def _deliver(self, index: int, message: Listing) -> None:
        gateway = self.model.gateways[index]
        if self.is_disconnected or gateway is None:
            return
        self.model.note(
            "registry",
            "told",
            front=gateway.name,
            serial=message.serial,
            list=message.scope,
            engines=[[line.id, line.state, line.started] for line in message.engines],
        )
        copies = [msgspec.structs.replace(line) for line in message.engines]
        gateway.on_endpoint_list(msgspec.structs.replace(message, engines=copies))
        if gateway.endpoint_list.reader.fetching:
            self.send_full_list(index)

    def set_disconnected(self, is_disconnected: bool) -> None:
        """Cuts the registry off from all gateways, or connects it again."""
        self.is_disconnected, self.last_connected_at = is_disconnected, self.model.sim.now
        if not is_disconnected:
            for index, gateway in enumerate(self.model.gateways):
                if gateway is not None:
                    gateway.endpoint_list.reader.connected()
                    self.model.sim.after(self.random.uniform(0.0, 500.0), self.send_full_list, index)


class Model:
    """One run of a scenario.

    `policy_factory` replaces the scenario's policy. `journal` keeps every line for the audit, which takes
    most of the memory. `cached_state` starts every gateway without a registry. `on_built` is called before
    the clients exist.
    """

    def __init__(
        self,
        scenario: Scenario,
        policy_factory: PolicyFactory | None = None,
        journal: bool = True,
        cached_state: Callable[[int], CachedState] | None = None,
        on_built: Callable[[Model], None] | None = None,
    ) -> None:
        for fault in scenario.faults:
            if fault.kind not in SUPPORTED_FAULTS:
                raise UnsupportedScenarioError(
                    f'line {fault.line}: the model does not support the fault "{fault.kind}"; '
                    "remove it, or run the scenario with `worksmux trial`"
                )
        self.scenario, self.policy_factory = scenario, policy_factory or POLICIES[scenario.policy]
        self.sim = Sim()
        self.sim.now = EPOCH_MS
        self.random = random.Random(scenario.seed)
        self.lines: list[dict[str, Any]] | None = [] if journal else None
        self.engines: dict[str, ModelEngine] = {}
        self.start_counts: dict[str, int] = {}
        self.gateways: list[ModelGateway | None] = [None] * scenario.fronts
        self.saved_states: list[CachedState | None] = [None] * scenario.fronts
        self.cached_state = cached_state
        self.registry = Registry(self)
        for scenario_engine in scenario.engines:
            self.start_engine(scenario_engine, cold=False)
        if on_built is not None:
            on_built(self)
        self.clients = Clients(self.sim, scenario, self.gateways, self.note, HOP_MS)

    def note(self, component: str, event_name: str, **fields: Any) -> None:
        """Writes a line of the journal."""
        if self.lines is not None:
            self.lines.append({"t": self.sim.now, "who": component, "what": event_name, **fields})

    # Engines.

    def start_engine(self, scenario_engine: ScenarioEngine, cold: bool) -> ModelEngine:
        """Starts an engine, warm or cold, and announces it as ready."""
        number = self.start_counts[scenario_engine.id] = self.start_counts.get(scenario_engine.id, 0) + 1
        spec = engine_spec(self.scenario, scenario_engine, "", 0, cold, number)
        engine = ModelEngine(self.sim, spec, self.note, HOP_MS, self.sim.now if cold else None)
        self.engines[scenario_engine.id] = engine
        self.announce(scenario_engine, "ready", at_once=not cold)
        return engine

    def announce(self, scenario_engine: ScenarioEngine, state: Any, at_once: bool = False) -> None:
        """Announces the state of an engine to the registry."""
        started = self.engines[scenario_engine.id].started or 0.0
        self.registry.update(
            Line(
                scenario_engine.id,
                "",
                0,
                scenario_engine.kind,
                state,
                scenario_engine.zone,
                scenario_engine.cell,
                1.0,
                started,
            ),
            at_once,
        )

    def kill(self, scenario_engine: ScenarioEngine) -> None:
        """Kills an engine, which the registry then lists as gone."""
        engine = self.engines[scenario_engine.id]
        if engine.alive:
            engine.kill()
            self.announce(scenario_engine, "gone")

    # Gateways.

    def start_gateway(self, index: int) -> None:
        """Starts a gateway, from its cached state if there is one."""
        scenario = self.scenario
        zone = scenario.zones[index % len(scenario.zones)]
        gateway = ModelGateway(
            self.sim,
            self.engines,
            f"front-{index + 1}",
            scenario.module_settings(index, zone),
            scenario.zones,
            [kind.name for kind in scenario.kinds],
            self.policy_factory,
            scenario.seed * 7919 + index * 31 + int(self.sim.now - EPOCH_MS),
            self.note,
            HOP_MS,
        )
        self.gateways[index] = gateway
        saved_state = self.saved_states[index] or (self.cached_state(index) if self.cached_state else None)
        if scenario.memory or self.cached_state:
            gateway.learner = LearnedStateRecorder(
                [request_class.name for request_class in scenario.request_classes]
            )
        if saved_state is not None:
            gateway.use_cached_list(
                CachedEndpointList(
                    saved_state.lines,
                    self.sim.now,
                    self.sim.now,
                    saved_state.turnover,
                    saved_state.max_age_ms,
                    scenario.fronts,
                    saved_state.probe_rate,
                    True,
                    scenario.seed + index,
                )
            )
            gateway.add_event(
                restored_state(
                    saved_state.learned,
                    [request_class.name for request_class in scenario.request_classes],
                    self._engines(gateway),
                    self.sim.now,
                    saved_state.turnover,
                    saved_state.max_age_ms,
                )
            )
        if not self.registry.is_disconnected:
            self.registry.send_full_list(index)

    @staticmethod
    def _engines(gateway: ModelGateway) -> list[tuple[Any, float]]:
        return [(known.engine, known.line.started) for known in gateway.endpoint_list.reader.known.values()]

    def kill_gateway(self, index: int) -> None:
        """Kills a gateway; keeps its cached state for the next start if the scenario enables that."""
        gateway = self.gateways[index]
        if gateway is None:
            return
        if self.scenario.memory and gateway.learner is not None:
            confirmed_at = self.registry.last_connected_at if self.registry.is_disconnected else self.sim.now
            learned_changes = gateway.learner.changes(self._engines(gateway), self.sim.now, self.sim.now)
            timings = learned_changes.pop("", None)
            marks = {name: value for name, value in learned_changes.items() if isinstance(value, EngineMarks)}
            lines = [
                StoredEndpoint(
                    msgspec.structs.replace(known.line, started=max(0.0, known.line.started)), confirmed_at
                )
                for known in gateway.endpoint_list.reader.known.values()
                if known.line.state != "gone"
            ]
            self.saved_states[index] = CachedState(
                lines, learned=LearnedState(timings if isinstance(timings, FleetTimings) else None, marks)
            )
        gateway.kill()
        self.gateways[index] = None

    # The scenario.

    def run(self) -> Records | None:
        """Runs the scenario to the end of its settling time; returns its records if there is a journal."""
        for index in range(self.scenario.fronts):
            self.sim.after(self.random.uniform(0.0, 100.0), self.start_gateway, index)
        self.sim.run(EPOCH_MS + 1000.0)
        self.note("runner", "day", name=self.scenario.name, start=self.sim.now, policy=self.scenario.policy)
        start = self.sim.now
        for fault in self.scenario.faults:
            if fault.kind not in CLIENT_FAULTS:
                self.sim.after(fault.at, self._inject_fault, fault)
        self.clients.begin()
        self.sim.run(start + self.scenario.length)
        until = start + self.scenario.length + self.scenario.settle
        while self.clients.open_requests and self.sim.now < until:
            self.sim.run(min(until, self.sim.now + 500.0))
        self.sim.run(self.sim.now + 1000.0)
        return gather(self.lines) if self.lines is not None else None

    def _inject_fault(self, fault: ScenarioFault) -> None:
        if fault.kind in GATEWAY_FAULTS:
            names = {f"front-{index + 1}": index for index in range(self.scenario.fronts)}
            for order, name in enumerate(select_gateways(fault, list(names), self.random)):
                delay = order * fault.every if fault.kind == "front-roll" else 0.0
                self.sim.after(delay, self.kill_gateway, names[name])
                self.sim.after(delay + fault.length, self.start_gateway, names[name])
        elif fault.kind == "list-stale":
            self.registry.extra_delay_ms = fault.factor
            self.sim.after(fault.length, setattr, self.registry, "extra_delay_ms", 0.0)
        elif fault.kind == "list-lost":
            self.registry.set_disconnected(True)
            self.sim.after(fault.length, self.registry.set_disconnected, False)
        elif fault.kind == "list-gap":
            self.registry.updates_to_skip = 1
        else:
            for order, scenario_engine in enumerate(select_engines(self.scenario, fault, self.random)):
                self._inject_engine_fault(fault, scenario_engine, order)

    def _inject_engine_fault(self, fault: ScenarioFault, scenario_engine: ScenarioEngine, order: int) -> None:
        engine, after = self.engines[scenario_engine.id], self.sim.after
        match fault.kind:
            case "crash" | "zone-loss":
                self.kill(scenario_engine)
                after(fault.length, self._restart_engine, scenario_engine)
            case "mass-restart":
                after(order * fault.every if fault.every < fault.length else 0.0, self.kill, scenario_engine)
                after(fault.length, self._restart_engine, scenario_engine)
            case "vanish":
                self.kill(scenario_engine)
            case "drain":
                engine.draining = True
                self.announce(scenario_engine, "draining")
                after(fault.length, self.kill, scenario_engine)
                after(fault.length + fault.every, self._restart_engine, scenario_engine)
            case "hang":
                engine.hang(True)
                after(fault.length, engine.hang, False)
            case "slow":
                engine.change_speed(max(1.0, fault.factor))
                after(fault.length, engine.change_speed, 1.0)
            case _:
                name = fault.request_class if fault.kind == "offering-fails" else ""
                engine.error_shares[name] = fault.share
                after(fault.length, engine.error_shares.pop, name, None)

    def _restart_engine(self, scenario_engine: ScenarioEngine) -> None:
        self.start_engine(scenario_engine, cold=True)
