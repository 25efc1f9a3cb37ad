"""Runs a scenario on sockets: starts its processes, injects its faults on schedule and audits the records."""

from __future__ import annotations

import random
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..api import engine as calls
from ..api.listing import Line
from ..checker.fleet import summary as fleet_summary
from ..checker.records import load
from ..checker.report import summary
from ..errors import WorksmuxError
from ..fakes.clients import Burst, ClientsSpec, FrontSpec, RequestClassSpec
from ..fakes.engine import Fault
from ..fakes.journal import Journal
from ..fakes.registry import Registry
from ..net import client, clock
from ..net.loop import the_reactor
from ..scenarios.engines import engine_spec, select_engines, select_gateways
from ..scenarios.figures import rule_parameters
from ..scenarios.scenario import (
    CLIENT_FAULTS,
    CLOCK_FAULTS,
    ENDPOINT_LIST_FAULTS,
    GATEWAY_FAULTS,
    Scenario,
    ScenarioEngine,
    ScenarioFault,
)
from .faults import LOCK_HOLD_S, FleetNetwork, limit_files, lose_disk, resume_process, slow_disk
from .fronts import PLAN_LEASE_MS, gateway_settings
from .processes import Child, engine_port, gateway_ports

START_LIMIT_MS = 20_000.0  # for all processes to report their ports
ENGINE_FAULTS = {
    "hang": "hang",
    "fast-errors": "fail_fast",
    "slow": "slow",
    "drop-streams": "drop_streams",
    "garbage": "garbage",
    "refuse-connections": "refuse",
    "slow-connections": "slow_connections",
    "late-reports": "late_reports",
    "slow-links": "slow_links",
}


class FaultTrialError(WorksmuxError):
    """A scenario could not be run: a process did not start or ended unexpectedly, or requests stayed open."""


@dataclass(eq=False)
class EngineHandle:
    """An engine of the scenario and its process."""

    engine: ScenarioEngine
    port: int = 0
    child: Child | None = None
    starts: int = 0
    started: float = 0.0  # wall clock, milliseconds; 0: warm from the start
    pool: client.Pool | None = None


@dataclass(eq=False)
class GatewayHandle:
    """A gateway of the scenario and its process."""

    name: str
    number: int
    zone: str
    port: int = 0
    watch: int = 0
    child: Child | None = None
    should_run: bool = True  # False while a fault keeps it down


class Trial:
    """One run of a scenario: its processes, its registry and its faults."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        policy: str,
        on_progress: Callable[[str], None],
        counting: bool = True,
    ) -> None:
        self.counting = counting  # gateways count prompt tokens as the scenario says
        self.scenario, self.folder, self.policy, self.on_progress = scenario, folder, policy, on_progress
        self.reactor: Any = the_reactor()
        self.random_source = random.Random(scenario.seed)
        self.journal = Journal(folder / "runner.jsonl", "runner")
        self.registry = Registry(
            self.reactor,
            Journal(folder / "registry.jsonl", "registry"),
            scenario.list_late,
            scenario.polls_endpoint_list,
            scenario.seed,
        )
        self.engines = {engine.id: EngineHandle(engine) for engine in scenario.engines}
        self.gateways = [
            GatewayHandle(f"front-{index + 1}", index, scenario.zones[index % len(scenario.zones)])
            for index in range(scenario.fronts)
        ]
        self.network: FleetNetwork | None = None
        if scenario.fleet:
            zones = {handle.name: handle.zone for handle in self.gateways}
            self.network = FleetNetwork(self.reactor, scenario, folder, zones)
            self.registry.rewrite_endpoint = self.network.relayed_endpoint
        self.clients: Child | None = None
        self.start = 0.0
        self.error: Exception | None = None
        self.ending = False
        self.counts: dict[str, int] = {}

    def run(self) -> dict[str, Any]:
        """Runs the scenario and returns the report of its audit; raises FaultTrialError."""
        self.reactor.callWhenRunning(self._begin)
        self.reactor.run()
        if self.error:
            raise self.error
        records = load(self.folder)
        report = summary(records, rule_parameters(self.scenario))
        if self.network:
            self.network.net.close()
            report["fleet"] = fleet_summary(records, PLAN_LEASE_MS, self.scenario.slack)
            report["kept"] = report["kept"] and report["fleet"]["kept"]
        return report

    def _fail(self, text: str) -> None:
        if not self.ending:
            self.error = self.error or FaultTrialError(
                f"{text}; the logs of all processes are in {self.folder}"
            )
            self._stop()

    def _begin(self) -> None:
        self.registry.start()
        for handle in self.engines.values():
            self._start_engine(handle, cold=False)
        self.reactor.callLater(START_LIMIT_MS / 1000, self._check_started)

    def _check_started(self) -> None:
        if not self.start:
            missing = [handle.engine.id for handle in self.engines.values() if not handle.port] + [
                handle.name for handle in self.gateways if not handle.port
            ]
            self._fail(f"processes did not start within {START_LIMIT_MS / 1000:g} s: {', '.join(missing)}")

    # Engines.

    def _start_engine(self, handle: EngineHandle, cold: bool) -> None:
        handle.starts += 1
        path = self.folder / f"engine-{handle.engine.id}.jsonl"
        spec = engine_spec(self.scenario, handle.engine, str(path), handle.port, cold, handle.starts)

        def on_line(text: bytes) -> None:
            port = engine_port(text)
            if port is not None:
                handle.port = port
                handle.pool = handle.pool or client.Pool(
                    self.reactor, "127.0.0.1", port, 1000.0, 1000.0, 1, 65_536
                )
                handle.started = clock.wall() if cold else 0.0
                if self.network:
                    self.network.engine_started(handle.engine.id, port)
                self._announce(handle, "ready", at_once=not cold)
                self._start_gateways_if_ready()

        child = Child(
            self.reactor,
            ["-m", "worksmux.fakes.engine", msgspec.json.encode(spec).decode()],
            self.folder / f"engine-{handle.engine.id}.log",
            on_line,
            lambda code: ended(code),
        )
        handle.child = child

        def ended(code: int | None) -> None:
            if code is not None and code != 0 and handle.child is child:
                self._fail(f"engine {handle.engine.id} ended unexpectedly with exit code {code}")

    def _announce(self, handle: EngineHandle, state: Any, at_once: bool = False) -> None:
        engine = handle.engine
        self.registry.change(
            Line(
                engine.id,
                "127.0.0.1",
                handle.port,
                engine.kind,
                state,
                engine.zone,
                engine.cell,
                1.0,
                handle.started,
            ),
            at_once,
        )

    def _kill_engine(self, handle: EngineHandle) -> None:
        if handle.child and handle.child.alive:
            handle.child.signal("KILL")
            self.journal.note("engine killed", engine=handle.engine.id)
            self._announce(handle, "gone")

    def _send_control(self, handle: EngineHandle, fault: Fault) -> None:
        if handle.pool and handle.child and handle.child.alive:
            handle.pool.call(
                "POST",
                calls.CONTROL,
                client.BufferedResponse(65_536, lambda *_: None),
                (),
                msgspec.json.encode(fault),
            )

    # Gateways.

    def _start_gateways_if_ready(self) -> None:
        if all(handle.port for handle in self.engines.values()) and not any(
            gateway.child for gateway in self.gateways
        ):
            for gateway in self.gateways:
                self._start_gateway(gateway)

    def _start_gateway(self, gateway: GatewayHandle) -> None:
        path = self.folder / f"{gateway.name}.kdl"
        path.write_text(
            gateway_settings(
                self.scenario,
                gateway.name,
                gateway.number,
                gateway.zone,
                gateway.port,
                gateway.watch,
                self.registry.port,
                self.policy,
                self.folder,
                self.counting,
                self.network.relay_ports(gateway.name) if self.network else None,
            )
        )

        def on_line(text: bytes) -> None:
            if self.network and b'"peers"' in text and b'"fleet"' in text:
                self.network.gateway_started(gateway.name, msgspec.json.decode(text))
            ports = gateway_ports(text)
            if ports:
                gateway.port, gateway.watch = ports
                if not self.start and all(gateway.port for gateway in self.gateways):
                    self._begin_scenario()

        skews_clocks = any(fault.kind in CLOCK_FAULTS for fault in self.scenario.faults)
        module_args = (
            ["worksmux.fault_trial.clocked", str(self._clock_file(gateway))] if skews_clocks else ["worksmux"]
        )
        child = Child(
            self.reactor,
            ["-m", *module_args, "serve", str(path)],
            self.folder / f"{gateway.name}.log",
            on_line,
            lambda code: ended(code),
        )
        gateway.child, gateway.should_run = child, True

        def ended(code: int | None) -> None:
            if gateway.child is child and gateway.should_run and not self.ending:
                self._fail(f"gateway {gateway.name} ended unexpectedly with exit code {code}")

    def _kill_gateway(self, gateway: GatewayHandle, name: str = "KILL") -> None:
        if gateway.child and gateway.child.alive:
            gateway.should_run = False
            gateway.child.signal(name)
            self.journal.note("front killed", front=gateway.name, by=name)

    # The scenario.

    def _begin_scenario(self) -> None:
        # 1 s for the endpoint lists to arrive, and 3 s more for consensus to elect a leader.
        self.start = clock.now() + 1000.0 + (3000.0 if self.network else 0.0)
        scenario = self.scenario
        self.journal.note("day", name=scenario.name, start=self.start, policy=self.policy)
        request_classes = {each.name: each for each in scenario.request_classes}
        spec = ClientsSpec(
            str(self.folder / "clients.jsonl"),
            scenario.seed,
            self.start,
            scenario.length,
            scenario.rate,
            [
                msgspec.convert(
                    {**asdict(request_classes[traffic.request_class]), **asdict(traffic)}, RequestClassSpec
                )
                for traffic in scenario.traffic
            ],
            [FrontSpec(gateway.name, gateway.port, gateway.zone) for gateway in self.gateways],
            [
                Burst(
                    fault.kind.replace("-", "_"),
                    fault.at,
                    fault.length,
                    fault.factor,
                    fault.share,
                    fault.request_class,
                    fault.how,
                )
                for fault in scenario.faults
                if fault.kind in CLIENT_FAULTS
            ],
            scenario.retries,
            scenario.wait,
            scenario.patience,
            scenario.streams,
            scenario.notice,
        )
        path = self.folder / "clients.json"
        path.write_bytes(msgspec.json.encode(spec))
        self.clients = Child(
            self.reactor,
            ["-m", "worksmux.fakes.clients", str(path)],
            self.folder / "clients.log",
            lambda _: None,
            self._clients_ended,
        )
        for fault in scenario.faults:
            self.reactor.callLater((self.start + fault.at - clock.now()) / 1000, self._inject_fault, fault)
        self.reactor.callLater((scenario.length + scenario.settle + 1000) / 1000, self._fail_unsettled)
        self.reactor.callLater(5, self._report_progress)

    def _report_progress(self) -> None:
        if self.ending:
            return
        journal_bytes = (
            (self.folder / "clients.jsonl").stat().st_size if (self.folder / "clients.jsonl").exists() else 0
        )
        elapsed_s = (clock.now() - self.start) / 1000
        self.on_progress(
            f"{elapsed_s:5.0f} s of {self.scenario.length / 1000:.0f}; "
            f"clients' records {journal_bytes // 1024} KiB; list {self.registry.serial}"
        )
        self.reactor.callLater(5, self._report_progress)

    def _clients_ended(self, code: int | None) -> None:
        if code != 0:
            self._fail(f"the clients ended with exit code {code}, expected 0")
        elif not self.ending:
            self.reactor.callLater(1.0, self._stop)  # 1 s to release KV cache that is still held

    def _fail_unsettled(self) -> None:
        self._fail(
            f"requests were still open {self.scenario.settle / 1000:g} s after the end of the scenario"
        )

    def _stop(self) -> None:
        if self.ending:
            return
        self.ending = True
        for child in (
            [handle.child for handle in self.gateways]
            + [handle.child for handle in self.engines.values()]
            + [self.clients]
        ):
            if child:
                child.signal("KILL" if self.error else "TERM")
        self.reactor.callLater(1.0, self._kill_all)

    def _kill_all(self) -> None:
        for child in [handle.child for handle in self.gateways] + [
            handle.child for handle in self.engines.values()
        ]:
            if child:
                child.signal("KILL")
        self.reactor.callLater(0.2, self.reactor.stop)

    # Faults.

    def _inject_fault(self, fault: ScenarioFault) -> None:
        if self.ending:
            return
        if fault.kind in CLIENT_FAULTS:
            self.on_progress(f"      {fault.kind} for {fault.length / 1000:g} s")
            return
        if fault.kind in GATEWAY_FAULTS:
            names = select_gateways(fault, [gateway.name for gateway in self.gateways], self.random_source)
            self.on_progress(f"      {fault.kind}: {', '.join(names)}")
            for index, gateway in enumerate(gateway for gateway in self.gateways if gateway.name in names):
                after = index * fault.every / 1000 if fault.kind == "front-roll" else 0.0
                self.reactor.callLater(after, self._inject_gateway_fault, gateway, fault)
            return
        if fault.kind == "cut-off":
            self.on_progress(f"      cut-off: {fault.zone} from {fault.source}, {fault.how}")
            self.journal.note("trouble", kind=fault.kind, zone=fault.zone, source=fault.source)
            if self.network:
                self.network.partition(fault)
            return
        if fault.kind in ENDPOINT_LIST_FAULTS:
            self.on_progress(f"      {fault.kind}")
            return self._inject_list_fault(fault)
        engines = select_engines(self.scenario, fault, self.random_source)
        self.on_progress(f"      {fault.kind}: {', '.join(engine.id for engine in engines)}")
        self.journal.note("trouble", kind=fault.kind, engines=[engine.id for engine in engines])
        for engine in engines:
            self._inject_engine_fault(fault, self.engines[engine.id])
        if fault.kind == "zone-loss" and fault.how == "with-fronts":
            for gateway in self.gateways:
                if gateway.zone == fault.zone:
                    self._inject_gateway_fault(gateway, fault)

    def _inject_gateway_fault(self, gateway: GatewayHandle, fault: ScenarioFault) -> None:
        if self.ending:
            return
        if fault.kind in CLOCK_FAULTS:
            step, rate = (fault.every, 1.0) if fault.kind == "clock-step" else (0.0, fault.factor)
            self._clock_file(gateway).write_text(f"{step} {rate}", encoding="ascii")
            self.reactor.callLater(fault.length / 1000, self._clock_file(gateway).write_text, "0 1")
            return
        if fault.kind in ("freeze", "disk-full", "disk-slow"):
            return self._disturb_gateway(gateway, fault)
        is_rolling = fault.kind == "front-roll"
        self._kill_gateway(gateway, "TERM" if is_rolling else "KILL")
        if fault.kind == "machine-loss":
            self.reactor.callLater(0.3, lose_disk, self.folder / f"{gateway.name}.disk")
        self.reactor.callLater(fault.length / 1000, self._restart_gateway, gateway)

    def _clock_file(self, gateway: GatewayHandle) -> Path:
        """The file that controls the clocks of a gateway."""
        return self.folder / f"{gateway.name}.clock"

    def _disturb_gateway(self, gateway: GatewayHandle, fault: ScenarioFault) -> None:
        """Freezes a gateway or disturbs its disk; its process stays alive."""
        child = gateway.child
        if child is None or not child.alive:
            return
        self.journal.note("trouble", kind=fault.kind, front=gateway.name)
        if fault.kind == "freeze":
            child.signal("STOP")
            self.journal.note("front frozen", front=gateway.name)
            self.reactor.callLater(fault.length / 1000, self._resume_gateway, gateway.name, child)
        elif fault.kind == "disk-full":
            limit_files(child, True)
            self.reactor.callLater(fault.length / 1000, limit_files, child, False)
        else:
            slow_disk(
                self.reactor,
                self.folder / f"{gateway.name}.disk",
                max(1, round(fault.length / 2000 / LOCK_HOLD_S)),
            )

    def _resume_gateway(self, name: str, child: Child) -> None:
        self.journal.note("front goes on", front=name)
        resume_process(child)

    def _restart_gateway(self, gateway: GatewayHandle) -> None:
        if self.ending:
            return
        if gateway.child and gateway.child.alive:  # still finishing open requests
            self.reactor.callLater(0.1, self._restart_gateway, gateway)
        else:
            self._start_gateway(gateway)

    def _inject_list_fault(self, fault: ScenarioFault) -> None:
        match fault.kind:
            case "list-stale":
                self.registry.extra_delay_ms = fault.factor * 1000
                self.reactor.callLater(fault.length / 1000, setattr, self.registry, "extra_delay_ms", 0.0)
            case "list-lost":
                self.registry.go_offline()
                self.reactor.callLater(fault.length / 1000, self.registry.go_online)
            case "list-gap":
                self.registry.changes_to_drop += max(1, int(fault.factor))

    def _inject_engine_fault(self, fault: ScenarioFault, handle: EngineHandle) -> None:
        call_later = self.reactor.callLater
        match fault.kind:
            case "zone-loss" if fault.how == "silent":
                self._switch_fault(handle, fault, "hang")
                call_later(fault.length / 1000, self._kill_engine, handle)
                call_later((fault.length + fault.every) / 1000, self._restart_engine, handle)
            case "crash" | "zone-loss":
                self._kill_engine(handle)
                call_later(fault.length / 1000, self._restart_engine, handle)
            case "mass-restart":
                call_later(self.random_source.uniform(0, fault.every) / 1000, self._kill_engine, handle)
                call_later(
                    (fault.length + self.random_source.uniform(0, fault.every)) / 1000,
                    self._restart_engine,
                    handle,
                )
            case "vanish":
                self._kill_engine(handle)
            case "drain":
                self._announce(handle, "draining")
                self._send_control(handle, Fault("drain"))
                call_later(fault.length / 1000, self._kill_engine, handle)
                call_later((fault.length + fault.every) / 1000, self._restart_engine, handle)
            case "neighbour":
                self._toggle_neighbour(handle, fault, clock.now() + fault.length, True)
            case "offering-fails":
                name = "silence" if fault.how == "silence" else "fail_fast"
                self._switch_fault(handle, fault, name)
            case kind:
                self._switch_fault(handle, fault, ENGINE_FAULTS[kind])

    def _switch_fault(self, handle: EngineHandle, fault: ScenarioFault, name: str) -> None:
        engine_fault = Fault(name, True, fault.share, fault.factor, fault.request_class)
        self._send_control(handle, engine_fault)
        self.reactor.callLater(fault.length / 1000, self._send_control, handle, Fault(name, on=False))

    def _toggle_neighbour(self, handle: EngineHandle, fault: ScenarioFault, until: float, on: bool) -> None:
        is_over = clock.now() >= until
        self._send_control(handle, Fault("neighbour", on and not is_over, fault.share))
        if not is_over and not self.ending:
            self.reactor.callLater(
                fault.every * self.random_source.uniform(0.7, 1.3) / 1000,
                self._toggle_neighbour,
                handle,
                fault,
                until,
                not on,
            )

    def _restart_engine(self, handle: EngineHandle) -> None:
        if not self.ending and handle.child and not handle.child.alive:
            self._start_engine(handle, cold=True)


def play(
    scenario: Scenario,
    policy: str,
    on_progress: Callable[[str], None],
    keep: Path | None = None,
    counting: bool = True,
) -> dict[str, Any]:
    """Runs one scenario with one policy and returns the report.

    The records stay in `keep`.  Without `keep`, they are removed if the audit found no violation.
    """
    folder = keep or Path(tempfile.mkdtemp(prefix="worksmux-day-"))
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.glob("*.jsonl")):
        raise FaultTrialError(f"{folder} contains the records of another run; choose an empty folder")
    report = {
        "day": scenario.name,
        "policy": policy,
        **Trial(scenario, folder, policy, on_progress, counting).run(),
    }
    if keep is None and report["kept"]:
        shutil.rmtree(folder)
    else:
        report["records"] = str(folder)
    return report
