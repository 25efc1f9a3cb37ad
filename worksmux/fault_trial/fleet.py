"""A small fleet for tests: `serve` processes with a folder each as their disk, relays between all of them,
registry, engines and clients in the test's own process.

Its reactor is turned by hand, so that a test reads from top to bottom: `until` something is seen, then the
next fault.  Fronts are ended by their own handles, also where a test fails.
"""

from __future__ import annotations

import shutil
import signal
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.process import reapAllProcesses

from ..api.listing import Line
from ..checker.records import Records, load
from ..fakes.clients import Clients, ClientsSpec, FrontSpec
from ..fakes.engine import EngineProcess
from ..fakes.journal import Journal
from ..fakes.registry import Registry
from ..net import client, clock
from .faults import go_on, hold_lock, limit_files
from .processes import Child
from .relays import Network
from .small import SETTINGS, plain_request_class
from .small_engines import list_entry, small_spec

ZONES = ("north", "south", "east")
WITHIN = 40.0  # seconds that a test waits for what it expects to see
FLEET = """
fleet "home" {
    listen "127.0.0.1:0"
    seeds %s
    founders %s
    seats %d
    disk "%s"
    period "200ms"
    beat "60ms"
    patience "400ms"
    lease "1600ms"
    look "100ms"
    gone "2s"
%s
}
"""


@dataclass(eq=False)
class Front:
    name: str
    zone: str
    folder: Path
    child: Child | None = None
    port: int = 0
    watch: int = 0
    # Its own loopback address, and the port that it listens on at each start: on an address that nobody calls
    # from, no other connection takes the port meanwhile.
    host: str = "127.0.0.1"
    listens: int = 0
    lines: list[dict[str, Any]] = field(default_factory=list)
    starts: int = 0

    def seen(self, event: str, **facts: Any) -> list[dict[str, Any]]:
        """Lines of its log, of all its starts."""
        return [
            line
            for line in self.lines
            if line.get("event") == event and all(line.get(key) == value for key, value in facts.items())
        ]

    @property
    def alive(self) -> bool:
        return self.child is not None and self.child.alive


class FleetRig:
    """`fronts` of them in three zones by turns, and engines in each."""

    def __init__(
        self,
        folder: Path,
        fronts: int = 5,
        seats: int = 3,
        zones: tuple[str, ...] = ZONES,
        text: str = SETTINGS,
    ) -> None:
        self.folder, self.zones, self.seats, self.text = folder, zones, seats, text
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        self.reactor.startRunning(installSignalHandlers=False)
        self.journal = Journal(folder / "runner.jsonl", "runner")
        self.net = Network(self.reactor, Journal(folder / "net.jsonl", "net"))
        self.registry = Registry(
            self.reactor, Journal(folder / "registry.jsonl", "registry"), (0.0, 50.0), False, 1
        )
        self.registry.rewrite_endpoint = self._way
        self.registry.start()
        self.engines: dict[str, EngineProcess] = {}
        self.fronts = {
            f"front-{at + 1}": Front(
                f"front-{at + 1}",
                zones[at % len(zones)],
                folder / f"disk-{at + 1}",
                host=f"127.0.0.{at + 11}",
            )
            for at in range(fronts)
        }
        self.clients: Clients | None = None
        self.pools: dict[int, client.Pool] = {}
        for one in self.fronts:
            for other in self.fronts:
                if one != other:
                    self.net.relay(one, other)

    # Time.

    def iterate(self) -> None:
        self.reactor.iterate(0.01)
        reapAllProcesses()

    def until(self, seen: Callable[[], object], what: str = "", within: float = WITHIN) -> None:
        end = clock.now() + within * 1000
        while not seen():
            assert clock.now() < end, f"not seen within {within:g} s: {what or seen}"
            self.iterate()

    def run(self, ms: float) -> None:
        """Lets time pass where nothing is to be seen: for what must not happen."""
        end = clock.now() + ms
        while clock.now() < end:
            self.iterate()

    # Engines.

    def engine(self, name: str, kind: str, zone: str, cell: int, cold: bool = False) -> EngineProcess:
        spec = small_spec(self.folder, name, kind, zone, cell, cold)
        engine = EngineProcess(spec, self.reactor)
        engine.start()
        self.engines[name] = engine
        for front in self.fronts:
            self.net.relay(front, name).target = ("127.0.0.1", engine.port)
        self.tell(name, "ready", clock.wall() if cold else 0.0)
        return engine

    def start_engines(self) -> None:
        """A reader and two writers in each zone."""
        for at, zone in enumerate(self.zones):
            self.engine(f"{zone}-read", "prefill", zone, at)
            for number in (1, 2):
                self.engine(f"{zone}-write-{number}", "decode", zone, at)

    def tell(self, name: str, state: Any, started: float = 0.0) -> None:
        self.registry.change(list_entry(self.engines[name], state, started), at_once=True)

    def _way(self, front: str, line: Line) -> Line:
        return msgspec.structs.replace(line, port=self.net.relay(front, line.id).port)

    def engines_in_zone(self, zone: str) -> list[str]:
        return [name for name, engine in self.engines.items() if engine.spec.zone == zone]

    def kill_engines(self, zone: str) -> None:
        """They die; the registry says so."""
        for name in self.engines_in_zone(zone):
            engine = self.engines[name]
            engine.port_object.stopListening()
            engine.model.fallen = True
            engine.fall()
            self.journal.note("engine killed", engine=name)
            self.tell(name, "gone")

    def restart_engines(self, zone: str) -> None:
        for name in self.engines_in_zone(zone):
            old = self.engines[name].spec
            self.engine(name, old.kind, old.zone, old.cell, cold=True)

    # Fronts.

    def settings(self, front: Front) -> str:
        number = list(self.fronts).index(front.name)
        others = [name for name in self.fronts if name != front.name]
        reach = "\n".join(
            f'    reach "{name}" "127.0.0.1:{self.net.relay(front.name, name).port}"' for name in others
        )
        seeds = " ".join(f'"127.0.0.1:{self.net.relay(front.name, name).port}"' for name in others)
        founders = " ".join(f'"{name}"' for name in list(self.fronts)[: self.seats])
        text = (
            self.text.replace('front "a"', f'front "{front.name}"')
            .replace('zone "north"', f'zone "{front.zone}"', 1)
            .replace("fronts 1", f"fronts {len(self.fronts)}\n    number {number}")
            .replace('zones "north" "south"', "zones " + " ".join(f'"{zone}"' for zone in self.zones))
            .replace('127.0.0.1:1"', f'127.0.0.1:{self.registry.port}"')
            .replace('listen "127.0.0.1:0"', f'listen "{front.host}:{front.listens}"', 1)
        )
        return text + FLEET % (seeds, founders, self.seats, front.folder, reach)

    def start(self, *names: str) -> None:
        for name in names or tuple(self.fronts):
            front = self.fronts[name]
            front.starts += 1
            front.port = front.watch = 0
            path = self.folder / f"{name}.kdl"
            path.write_text(self.settings(front))

            def line(text: bytes, front: Front = front) -> None:
                try:
                    told = msgspec.json.decode(text)
                except msgspec.DecodeError:
                    told = {"event": text.decode("utf-8", "replace")}
                told["t"] = clock.now()
                front.lines.append(told)
                if told.get("event") == "serving":
                    front.port, front.watch = told["port"], told["watch"]
                    front.listens = front.port
                elif told.get("event") == "fleet":
                    host, _, port = told["peers"].rpartition(":")
                    self.net.aim(front.name, (host, int(port)))

            front.child = Child(
                self.reactor,
                ["-m", "worksmux", "serve", str(path)],
                self.folder / f"{name}.log",
                line,
                lambda _: None,
            )

    def wait_until_ready(self) -> None:
        """All fronts serve, under a plan's lease, and the council has its seats."""
        self.until(lambda: all(front.port for front in self.fronts.values()), "all fronts serve")
        seats = min(self.seats, len(self.fronts))
        self.until(lambda: len(self.voters()) >= seats, "the council has its seats")
        self.until(lambda: all(not self.status(name)["alone"] for name in self.fronts), "nobody is alone")

    def kill(self, name: str, lose_disk: bool = False) -> None:
        front = self.fronts[name]
        assert front.child is not None
        self.journal.note("front killed", front=name, by="KILL", disk=lose_disk)
        front.child.signal("KILL")
        self.until(lambda: not front.alive, f"{name} ends")
        if lose_disk:
            shutil.rmtree(front.folder, ignore_errors=True)

    def terminate(self, name: str) -> None:
        """In order.  A connection that the kernel had taken and the front had not is reset all the same."""
        self.journal.note("front killed", front=name, by="TERM")
        self.signal(name, "TERM")
        self.until(lambda: not self.fronts[name].alive, f"{name} ends")

    def freeze(self, name: str) -> None:
        self.journal.note("front frozen", front=name)
        self.signal(name, "STOP")

    def resume(self, name: str) -> None:
        self.journal.note("front goes on", front=name)
        child = self.fronts[name].child
        assert child is not None
        go_on(child)

    def signal(self, name: str, signal_name: str) -> None:
        child = self.fronts[name].child
        assert child is not None
        child.signal(signal_name)

    def fill_disk(self, name: str, full: bool = True) -> None:
        child = self.fronts[name].child
        assert child is not None
        limit_files(child, full)

    def stall_disk(self, name: str) -> sqlite3.Connection:
        """Closing it lets go."""
        lock = hold_lock(self.fronts[name].folder)
        assert lock is not None
        return lock

    # What can be seen.

    def get(self, name: str, path: str, within: float = 1000.0) -> tuple[int, bytes]:
        """From a front's watch port; status 0 where it does not answer."""
        front = self.fronts[name]
        found: list[tuple[int, bytes]] = []
        if not front.alive or not front.watch:
            return 0, b""
        pool = client.Pool(self.reactor, "127.0.0.1", front.watch, 500.0, 100.0, 0, 65_536)
        call = pool.call(
            "GET",
            path,
            client.BufferedResponse(
                2**22, lambda status, headers, body, trouble: found.append((status, body))
            ),
        )
        end = clock.now() + within
        while not found and clock.now() < end:
            self.iterate()
        call.abandon()
        return found[0] if found else (0, b"")

    def status(self, name: str) -> dict[str, Any]:
        status, body = self.get(name, "/fleet")
        nothing = {
            "alone": True,
            "council": {"role": "", "voters": [], "leader": "", "term": 0, "agreed": 0},
            "fronts": [],
            "plan": {"number": 0, "rows": {}, "shed": {}},
        }
        return msgspec.json.decode(body) if status == 200 else nothing

    def leader(self) -> str:
        """Who leads, by its own word, if exactly one does."""
        found = [
            name
            for name, front in self.fronts.items()
            if front.alive and self.status(name)["council"]["role"] == "leader"
        ]
        return found[0] if len(found) == 1 else ""

    def voters(self) -> list[str]:
        leader = self.leader()
        return list(self.status(leader)["council"]["voters"]) if leader else []

    # Clients.

    def start_clients(
        self,
        length: float = 4000.0,
        rate: float = 20.0,
        request_class: str = "hint",
        effect: str = "redoable",
        retries: float = 2.0,
    ) -> None:
        """Clients ask all fronts from now on."""
        one = plain_request_class(request_class, effect, (5, 15), beginnings=6)
        spec = ClientsSpec(
            str(self.folder / "clients.jsonl"),
            3,
            clock.now() + 100,
            length,
            rate,
            [one],
            [FrontSpec(front.name, front.port, front.zone, front.host) for front in self.fronts.values()],
            [],
            (retries, retries),
            (50.0, 150.0),
            (1.0, 1.0),
            0.7,
            300.0,
        )
        self.clients = Clients(spec, self.reactor)
        self.answered = False
        self.reactor.stop = self._answered  # what the clients call at their end
        self.clients.start()

    answered = True

    def _answered(self) -> None:
        self.answered = True

    def settle(self) -> Records:
        """All jobs have their answers; the records."""
        self.until(lambda: self.answered, "all jobs end", 60.0)
        self.run(700.0)
        return load(self.folder)

    def close(self) -> None:
        for front in self.fronts.values():
            if front.alive and front.child is not None:
                front.child.process.signalProcess(signal.SIGKILL)
        end = clock.now() + 5000
        while any(front.alive for front in self.fronts.values()) and clock.now() < end:
            self.iterate()
        self.net.close()
        for _ in range(3):
            self.iterate()

    def __enter__(self) -> FleetRig:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
