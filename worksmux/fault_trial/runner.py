"""Runs a scripted day: starts its processes, brings its troubles about in time, ends it, and has it
audited."""

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
from .faults import SLICE, FleetNetwork, go_on, limit_files, lose_disk, slow_disk
from .fronts import LEASE, front_file
from .processes import Child, engine_port, gateway_ports

START_WITHIN = 20_000.0  # milliseconds for all processes to tell their ports
FAULTS = {
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
    """The day could not be run: a process did not start, or died when it should not."""


@dataclass(eq=False)
class EngineHandle:
    place: ScenarioEngine
    port: int = 0
    child: Child | None = None
    starts: int = 0
    started: float = 0.0  # on the registry's clock; 0: long ago
    pool: client.Pool | None = None


@dataclass(eq=False)
class FrontHandle:
    name: str
    number: int
    zone: str
    port: int = 0
    watch: int = 0
    child: Child | None = None
    wanted: bool = True  # false while it is down on purpose


class Trial:
    def __init__(
        self, day: Scenario, folder: Path, policy: str, say: Callable[[str], None], counting: bool = True
    ) -> None:
        self.counting = counting  # fronts count prompts as the day says
        self.day, self.folder, self.policy, self.say = day, folder, policy, say
        self.reactor: Any = the_reactor()
        self.chance = random.Random(day.seed)
        self.journal = Journal(folder / "runner.jsonl", "runner")
        self.registry = Registry(
            self.reactor, Journal(folder / "registry.jsonl", "registry"), day.list_late, day.ask, day.seed
        )
        self.engines = {place.id: EngineHandle(place) for place in day.engines}
        self.fronts = [
            FrontHandle(f"front-{at + 1}", at, day.zones[at % len(day.zones)]) for at in range(day.fronts)
        ]
        self.network: FleetNetwork | None = None
        if day.fleet:
            zones = {one.name: one.zone for one in self.fronts}
            self.network = FleetNetwork(self.reactor, day, folder, zones)
            self.registry.rewrite_endpoint = self.network.way
        self.clients: Child | None = None
        self.start = 0.0
        self.error: Exception | None = None
        self.ending = False
        self.counts: dict[str, int] = {}

    def run(self) -> dict[str, Any]:
        """Plays the day and returns its report; raises FaultTrialError."""
        self.reactor.callWhenRunning(self._begin)
        self.reactor.run()
        if self.error:
            raise self.error
        records = load(self.folder)
        told = summary(records, rule_parameters(self.day))
        if self.network:
            self.network.net.close()
            told["fleet"] = fleet_summary(records, LEASE, self.day.slack)
            told["kept"] = told["kept"] and told["fleet"]["kept"]
        return told

    def _fail(self, text: str) -> None:
        if not self.ending:
            self.error = self.error or FaultTrialError(f"{text}; its output is in {self.folder}")
            self._stop()

    def _begin(self) -> None:
        self.registry.start()
        for handle in self.engines.values():
            self._start_engine(handle, cold=False)
        self.reactor.callLater(START_WITHIN / 1000, self._late_start)

    def _late_start(self) -> None:
        if not self.start:
            missing = [one.place.id for one in self.engines.values() if not one.port] + [
                one.name for one in self.fronts if not one.port
            ]
            self._fail(f"these did not start within {START_WITHIN / 1000:g} s: {', '.join(missing)}")

    # Engines.

    def _start_engine(self, handle: EngineHandle, cold: bool) -> None:
        handle.starts += 1
        path = self.folder / f"engine-{handle.place.id}.jsonl"
        spec = engine_spec(self.day, handle.place, str(path), handle.port, cold, handle.starts)

        def line(text: bytes) -> None:
            port = engine_port(text)
            if port is not None:
                handle.port = port
                handle.pool = handle.pool or client.Pool(
                    self.reactor, "127.0.0.1", port, 1000.0, 1000.0, 1, 65_536
                )
                handle.started = clock.wall() if cold else 0.0
                if self.network:
                    self.network.engine_up(handle.place.id, port)
                self._list(handle, "ready", at_once=not cold)
                self._maybe_fronts()

        child = Child(
            self.reactor,
            ["-m", "worksmux.fakes.engine", msgspec.json.encode(spec).decode()],
            self.folder / f"engine-{handle.place.id}.log",
            line,
            lambda code: ended(code),
        )
        handle.child = child

        def ended(code: int | None) -> None:
            if code is not None and code != 0 and handle.child is child:
                self._fail(f"engine {handle.place.id} ended with {code}")

    def _list(self, handle: EngineHandle, state: Any, at_once: bool = False) -> None:
        place = handle.place
        self.registry.change(
            Line(
                place.id,
                "127.0.0.1",
                handle.port,
                place.kind,
                state,
                place.zone,
                place.cell,
                1.0,
                handle.started,
            ),
            at_once,
        )

    def _kill_engine(self, handle: EngineHandle) -> None:
        if handle.child and handle.child.alive:
            handle.child.signal("KILL")
            self.journal.note("engine killed", engine=handle.place.id)
            self._list(handle, "gone")

    def _control(self, handle: EngineHandle, fault: Fault) -> None:
        if handle.pool and handle.child and handle.child.alive:
            handle.pool.call(
                "POST",
                calls.CONTROL,
                client.BufferedResponse(65_536, lambda *_: None),
                (),
                msgspec.json.encode(fault),
            )

    # Fronts.

    def _maybe_fronts(self) -> None:
        if all(handle.port for handle in self.engines.values()) and not any(
            front.child for front in self.fronts
        ):
            for front in self.fronts:
                self._start_front(front)

    def _start_front(self, front: FrontHandle) -> None:
        path = self.folder / f"{front.name}.kdl"
        path.write_text(
            front_file(
                self.day,
                front.name,
                front.number,
                front.zone,
                front.port,
                front.watch,
                self.registry.port,
                self.policy,
                self.folder,
                self.counting,
                self.network.ways(front.name) if self.network else None,
            )
        )

        def line(text: bytes) -> None:
            if self.network and b'"peers"' in text and b'"fleet"' in text:
                self.network.front_up(front.name, msgspec.json.decode(text))
            ports = gateway_ports(text)
            if ports:
                front.port, front.watch = ports
                if not self.start and all(one.port for one in self.fronts):
                    self._open()

        clocked = any(trouble.kind in CLOCK_FAULTS for trouble in self.day.faults)
        start = ["worksmux.fault_trial.clocked", str(self._clock(front))] if clocked else ["worksmux"]
        child = Child(
            self.reactor,
            ["-m", *start, "serve", str(path)],
            self.folder / f"{front.name}.log",
            line,
            lambda code: ended(code),
        )
        front.child, front.wanted = child, True

        def ended(code: int | None) -> None:
            if front.child is child and front.wanted and not self.ending:
                self._fail(f"{front.name} ended with {code}")

    def _kill_front(self, front: FrontHandle, name: str = "KILL") -> None:
        if front.child and front.child.alive:
            front.wanted = False
            front.child.signal(name)
            self.journal.note("front killed", front=front.name, by=name)

    # The day.

    def _open(self) -> None:
        # A second for the lists to arrive, and a council to form.
        self.start = clock.now() + 1000.0 + (3000.0 if self.network else 0.0)
        day = self.day
        self.journal.note("day", name=day.name, start=self.start, policy=self.policy)
        request_classes = {one.name: one for one in day.request_classes}
        spec = ClientsSpec(
            str(self.folder / "clients.jsonl"),
            day.seed,
            self.start,
            day.length,
            day.rate,
            [
                msgspec.convert(
                    {**asdict(request_classes[one.request_class]), **asdict(one)}, RequestClassSpec
                )
                for one in day.traffic
            ],
            [FrontSpec(front.name, front.port, front.zone) for front in self.fronts],
            [
                Burst(
                    one.kind.replace("-", "_"),
                    one.at,
                    one.length,
                    one.factor,
                    one.share,
                    one.request_class,
                    one.how,
                )
                for one in day.faults
                if one.kind in CLIENT_FAULTS
            ],
            day.retries,
            day.wait,
            day.patience,
            day.streams,
            day.notice,
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
        for trouble in day.faults:
            self.reactor.callLater((self.start + trouble.at - clock.now()) / 1000, self._strike, trouble)
        self.reactor.callLater((day.length + day.settle + 1000) / 1000, self._fail_late)
        self.reactor.callLater(5, self._progress)

    def _progress(self) -> None:
        if self.ending:
            return
        size = (
            (self.folder / "clients.jsonl").stat().st_size if (self.folder / "clients.jsonl").exists() else 0
        )
        past = (clock.now() - self.start) / 1000
        self.say(
            f"{past:5.0f} s of {self.day.length / 1000:.0f}; clients' records {size // 1024} KiB; "
            f"list {self.registry.serial}"
        )
        self.reactor.callLater(5, self._progress)

    def _clients_ended(self, code: int | None) -> None:
        if code != 0:
            self._fail(f"the clients ended with {code}")
        elif not self.ending:
            self.reactor.callLater(1.0, self._stop)  # a second for state still held to be let go

    def _fail_late(self) -> None:
        self._fail(f"the day did not settle within {self.day.settle / 1000:g} s of its end")

    def _stop(self) -> None:
        if self.ending:
            return
        self.ending = True
        for child in (
            [one.child for one in self.fronts] + [one.child for one in self.engines.values()] + [self.clients]
        ):
            if child:
                child.signal("KILL" if self.error else "TERM")
        self.reactor.callLater(1.0, self._quit)

    def _quit(self) -> None:
        for child in [one.child for one in self.fronts] + [one.child for one in self.engines.values()]:
            if child:
                child.signal("KILL")
        self.reactor.callLater(0.2, self.reactor.stop)

    # Troubles.

    def _strike(self, trouble: ScenarioFault) -> None:
        if self.ending:
            return
        if trouble.kind in CLIENT_FAULTS:
            self.say(f"      {trouble.kind} for {trouble.length / 1000:g} s")
            return
        if trouble.kind in GATEWAY_FAULTS:
            names = select_gateways(trouble, [front.name for front in self.fronts], self.chance)
            self.say(f"      {trouble.kind}: {', '.join(names)}")
            for at, front in enumerate(front for front in self.fronts if front.name in names):
                after = at * trouble.every / 1000 if trouble.kind == "front-roll" else 0.0
                self.reactor.callLater(after, self._front_down, front, trouble)
            return
        if trouble.kind == "cut-off":
            self.say(f"      cut-off: {trouble.zone} from {trouble.source}, {trouble.how}")
            self.journal.note("trouble", kind=trouble.kind, zone=trouble.zone, source=trouble.source)
            if self.network:
                self.network.cut(trouble)
            return
        if trouble.kind in ENDPOINT_LIST_FAULTS:
            self.say(f"      {trouble.kind}")
            return self._list_trouble(trouble)
        places = select_engines(self.day, trouble, self.chance)
        self.say(f"      {trouble.kind}: {', '.join(place.id for place in places)}")
        self.journal.note("trouble", kind=trouble.kind, engines=[place.id for place in places])
        for place in places:
            self._strike_engine(trouble, self.engines[place.id])
        if trouble.kind == "zone-loss" and trouble.how == "with-fronts":
            for front in self.fronts:
                if front.zone == trouble.zone:
                    self._front_down(front, trouble)

    def _front_down(self, front: FrontHandle, trouble: ScenarioFault) -> None:
        if self.ending:
            return
        if trouble.kind in CLOCK_FAULTS:
            step, rate = (trouble.every, 1.0) if trouble.kind == "clock-step" else (0.0, trouble.factor)
            self._clock(front).write_text(f"{step} {rate}", encoding="ascii")
            self.reactor.callLater(trouble.length / 1000, self._clock(front).write_text, "0 1")
            return
        if trouble.kind in ("freeze", "disk-full", "disk-slow"):
            return self._hamper(front, trouble)
        rolled = trouble.kind == "front-roll"
        self._kill_front(front, "TERM" if rolled else "KILL")
        if trouble.kind == "machine-loss":
            self.reactor.callLater(0.3, lose_disk, self.folder / f"{front.name}.disk")
        self.reactor.callLater(trouble.length / 1000, self._front_back, front)

    def _clock(self, front: FrontHandle) -> Path:
        """What says how wrong the clocks of a front are."""
        return self.folder / f"{front.name}.clock"

    def _hamper(self, front: FrontHandle, trouble: ScenarioFault) -> None:
        """A front whose process goes on, or will."""
        child = front.child
        if child is None or not child.alive:
            return
        self.journal.note("trouble", kind=trouble.kind, front=front.name)
        if trouble.kind == "freeze":
            child.signal("STOP")
            self.journal.note("front frozen", front=front.name)
            self.reactor.callLater(trouble.length / 1000, self._thaw, front.name, child)
        elif trouble.kind == "disk-full":
            limit_files(child, True)
            self.reactor.callLater(trouble.length / 1000, limit_files, child, False)
        else:
            slow_disk(
                self.reactor, self.folder / f"{front.name}.disk", max(1, round(trouble.length / 2000 / SLICE))
            )

    def _thaw(self, name: str, child: Child) -> None:
        self.journal.note("front goes on", front=name)
        go_on(child)

    def _front_back(self, front: FrontHandle) -> None:
        if self.ending:
            return
        if front.child and front.child.alive:  # still finishing what is out
            self.reactor.callLater(0.1, self._front_back, front)
        else:
            self._start_front(front)

    def _list_trouble(self, trouble: ScenarioFault) -> None:
        match trouble.kind:
            case "list-stale":
                self.registry.extra_delay_ms = trouble.factor * 1000
                self.reactor.callLater(trouble.length / 1000, setattr, self.registry, "extra_delay_ms", 0.0)
            case "list-lost":
                self.registry.go_offline()
                self.reactor.callLater(trouble.length / 1000, self.registry.go_online)
            case "list-gap":
                self.registry.changes_to_drop += max(1, int(trouble.factor))

    def _strike_engine(self, trouble: ScenarioFault, handle: EngineHandle) -> None:
        later = self.reactor.callLater
        match trouble.kind:
            case "zone-loss" if trouble.how == "silent":
                self._fault(handle, trouble, "hang")
                later(trouble.length / 1000, self._kill_engine, handle)
                later((trouble.length + trouble.every) / 1000, self._engine_back, handle)
            case "crash" | "zone-loss":
                self._kill_engine(handle)
                later(trouble.length / 1000, self._engine_back, handle)
            case "mass-restart":
                later(self.chance.uniform(0, trouble.every) / 1000, self._kill_engine, handle)
                later(
                    (trouble.length + self.chance.uniform(0, trouble.every)) / 1000, self._engine_back, handle
                )
            case "vanish":
                self._kill_engine(handle)
            case "drain":
                self._list(handle, "draining")
                self._control(handle, Fault("drain"))
                later(trouble.length / 1000, self._kill_engine, handle)
                later((trouble.length + trouble.every) / 1000, self._engine_back, handle)
            case "neighbour":
                self._neighbour(handle, trouble, clock.now() + trouble.length, True)
            case "offering-fails":
                name = "silence" if trouble.how == "silence" else "fail_fast"
                self._fault(handle, trouble, name)
            case kind:
                self._fault(handle, trouble, FAULTS[kind])

    def _fault(self, handle: EngineHandle, trouble: ScenarioFault, name: str) -> None:
        fault = Fault(name, True, trouble.share, trouble.factor, trouble.request_class)
        self._control(handle, fault)
        self.reactor.callLater(trouble.length / 1000, self._control, handle, Fault(name, on=False))

    def _neighbour(self, handle: EngineHandle, trouble: ScenarioFault, until: float, on: bool) -> None:
        over = clock.now() >= until
        self._control(handle, Fault("neighbour", on and not over, trouble.share))
        if not over and not self.ending:
            self.reactor.callLater(
                trouble.every * self.chance.uniform(0.7, 1.3) / 1000,
                self._neighbour,
                handle,
                trouble,
                until,
                not on,
            )

    def _engine_back(self, handle: EngineHandle) -> None:
        if not self.ending and handle.child and not handle.child.alive:
            self._start_engine(handle, cold=True)


def play(
    day: Scenario, policy: str, say: Callable[[str], None], keep: Path | None = None, counting: bool = True
) -> dict[str, Any]:
    """One day with one policy; its records stay in `keep`, or are removed if all went well."""
    folder = keep or Path(tempfile.mkdtemp(prefix="worksmux-day-"))
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.glob("*.jsonl")):
        raise FaultTrialError(f"{folder} holds the records of another run; name an empty folder")
    told = {"day": day.name, "policy": policy, **Trial(day, folder, policy, say, counting).run()}
    if keep is None and told["kept"]:
        shutil.rmtree(folder)
    else:
        told["records"] = str(folder)
    return told
