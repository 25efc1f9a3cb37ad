"""A small fleet for tests: gateway processes with a disk folder each and relays between all of them.

Registry, engines and clients run in the test's own process.  The test iterates the reactor itself, so that
its steps are in order: it waits `until` a condition holds, then injects the next fault.  `close` kills the
gateways through their handles, also when a test fails.
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
from .faults import hold_lock, limit_files, resume_process
from .processes import Child
from .relays import Network
from .small import SETTINGS, plain_request_class
from .small_engines import list_entry, small_spec

ZONES = ("north", "south", "east")
WAIT_LIMIT_S = 40.0  # how long a test waits for a condition
FLEET_SETTINGS = """
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
class GatewayHandle:
    """One gateway process: its disk folder, ports and log lines."""

    name: str
    zone: str
    folder: Path
    child: Child | None = None
    port: int = 0
    watch: int = 0
    # The gateway's own loopback address, and the port it listens on at each start.  No client connects from
    # this address, so no outgoing connection takes the port while the gateway is down.
    host: str = "127.0.0.1"
    listens: int = 0
    lines: list[dict[str, Any]] = field(default_factory=list)
    starts: int = 0

    def seen(self, event: str, **facts: Any) -> list[dict[str, Any]]:
        """The log lines with this event and these fields, of all starts."""
        return [
            record
            for record in self.lines
            if record.get("event") == event and all(record.get(key) == value for key, value in facts.items())
        ]

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.child is not None and self.child.alive


class FleetRig:
    """`fronts` gateways, spread over the zones in turn, with the relays between them."""

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
        self.registry.rewrite_endpoint = self._relayed_endpoint
        self.registry.start()
        self.engines: dict[str, EngineProcess] = {}
        self.fronts = {
            f"front-{index + 1}": GatewayHandle(
                f"front-{index + 1}",
                zones[index % len(zones)],
                folder / f"disk-{index + 1}",
                host=f"127.0.0.{index + 11}",
            )
            for index in range(fronts)
        }
        self.clients: Clients | None = None
        self.pools: dict[int, client.Pool] = {}
        for source in self.fronts:
            for target in self.fronts:
                if source != target:
                    self.net.relay(source, target)

    # Time.

    def iterate(self) -> None:
        """Runs one iteration of the reactor."""
        self.reactor.iterate(0.01)
        reapAllProcesses()

    def until(
        self, condition: Callable[[], object], expected: str = "", within_s: float = WAIT_LIMIT_S
    ) -> None:
        """Iterates the reactor until `condition` holds; fails after `within_s` seconds."""
        end = clock.now() + within_s * 1000
        while not condition():
            assert clock.now() < end, f"not true within {within_s:g} s: {expected or condition}"
            self.iterate()

    def run(self, duration_ms: float) -> None:
        """Lets time pass, for a test that something does not happen."""
        end = clock.now() + duration_ms
        while clock.now() < end:
            self.iterate()

    # Engines.

    def engine(self, name: str, kind: str, zone: str, cell: int, cold: bool = False) -> EngineProcess:
        """Starts an engine, points the relays at it and announces it."""
        spec = small_spec(self.folder, name, kind, zone, cell, cold)
        engine = EngineProcess(spec, self.reactor)
        engine.start()
        self.engines[name] = engine
        for gateway in self.fronts:
            self.net.relay(gateway, name).target = ("127.0.0.1", engine.port)
        self.announce(name, "ready", clock.wall() if cold else 0.0)
        return engine

    def start_engines(self) -> None:
        """Starts one prefill engine and two decode engines in each zone."""
        for index, zone in enumerate(self.zones):
            self.engine(f"{zone}-read", "prefill", zone, index)
            for number in (1, 2):
                self.engine(f"{zone}-write-{number}", "decode", zone, index)

    def announce(self, name: str, state: Any, started: float = 0.0) -> None:
        """Publishes an engine's state in the registry at once."""
        self.registry.change(list_entry(self.engines[name], state, started), at_once=True)

    def _relayed_endpoint(self, gateway: str, line: Line) -> Line:
        return msgspec.structs.replace(line, port=self.net.relay(gateway, line.id).port)

    def engines_in_zone(self, zone: str) -> list[str]:
        """The names of a zone's engines."""
        return [name for name, engine in self.engines.items() if engine.spec.zone == zone]

    def kill_engines(self, zone: str) -> None:
        """Kills the engines of a zone and announces that they are gone."""
        for name in self.engines_in_zone(zone):
            engine = self.engines[name]
            engine.port_object.stopListening()
            engine.model.fallen = True
            engine.fall()
            self.journal.note("engine killed", engine=name)
            self.announce(name, "gone")

    def restart_engines(self, zone: str) -> None:
        """Starts a zone's engines again, cold."""
        for name in self.engines_in_zone(zone):
            old = self.engines[name].spec
            self.engine(name, old.kind, old.zone, old.cell, cold=True)

    # Gateways.

    def settings(self, gateway: GatewayHandle) -> str:
        """The text of a gateway's settings file."""
        number = list(self.fronts).index(gateway.name)
        others = [name for name in self.fronts if name != gateway.name]
        reach = "\n".join(
            f'    reach "{name}" "127.0.0.1:{self.net.relay(gateway.name, name).port}"' for name in others
        )
        seeds = " ".join(f'"127.0.0.1:{self.net.relay(gateway.name, name).port}"' for name in others)
        founders = " ".join(f'"{name}"' for name in list(self.fronts)[: self.seats])
        text = (
            self.text.replace('front "a"', f'front "{gateway.name}"')
            .replace('zone "north"', f'zone "{gateway.zone}"', 1)
            .replace("fronts 1", f"fronts {len(self.fronts)}\n    number {number}")
            .replace('zones "north" "south"', "zones " + " ".join(f'"{zone}"' for zone in self.zones))
            .replace('127.0.0.1:1"', f'127.0.0.1:{self.registry.port}"')
            .replace('listen "127.0.0.1:0"', f'listen "{gateway.host}:{gateway.listens}"', 1)
        )
        return text + FLEET_SETTINGS % (seeds, founders, self.seats, gateway.folder, reach)

    def start(self, *names: str) -> None:
        """Starts the named gateways, or all."""
        for name in names or tuple(self.fronts):
            gateway = self.fronts[name]
            gateway.starts += 1
            gateway.port = gateway.watch = 0
            path = self.folder / f"{name}.kdl"
            path.write_text(self.settings(gateway))

            def on_line(text: bytes, gateway: GatewayHandle = gateway) -> None:
                try:
                    record = msgspec.json.decode(text)
                except msgspec.DecodeError:
                    record = {"event": text.decode("utf-8", "replace")}
                record["t"] = clock.now()
                gateway.lines.append(record)
                if record.get("event") == "serving":
                    gateway.port, gateway.watch = record["port"], record["watch"]
                    gateway.listens = gateway.port
                elif record.get("event") == "fleet":
                    host, _, port = record["peers"].rpartition(":")
                    self.net.set_target(gateway.name, (host, int(port)))

            gateway.child = Child(
                self.reactor,
                ["-m", "worksmux", "serve", str(path)],
                self.folder / f"{name}.log",
                on_line,
                lambda _: None,
            )

    def wait_until_ready(self) -> None:
        """Waits until all gateways serve, consensus has its voters and no gateway is isolated."""
        self.until(lambda: all(gateway.port for gateway in self.fronts.values()), "all gateways serve")
        seats = min(self.seats, len(self.fronts))
        self.until(lambda: len(self.voters()) >= seats, "consensus has all its voters")
        self.until(
            lambda: all(not self.status(name)["alone"] for name in self.fronts), "no gateway is isolated"
        )

    def kill(self, name: str, lose_disk: bool = False) -> None:
        """Kills a gateway, and deletes its disk folder on request."""
        gateway = self.fronts[name]
        assert gateway.child is not None
        self.journal.note("front killed", front=name, by="KILL", disk=lose_disk)
        gateway.child.signal("KILL")
        self.until(lambda: not gateway.alive, f"{name} ends")
        if lose_disk:
            shutil.rmtree(gateway.folder, ignore_errors=True)

    def terminate(self, name: str) -> None:
        """Ends a gateway by SIGTERM.

        A connection that the kernel accepted and the gateway did not is reset nevertheless.
        """
        self.journal.note("front killed", front=name, by="TERM")
        self.signal(name, "TERM")
        self.until(lambda: not self.fronts[name].alive, f"{name} ends")

    def freeze(self, name: str) -> None:
        """Stops a gateway by SIGSTOP."""
        self.journal.note("front frozen", front=name)
        self.signal(name, "STOP")

    def resume(self, name: str) -> None:
        """Continues a frozen gateway."""
        self.journal.note("front goes on", front=name)
        child = self.fronts[name].child
        assert child is not None
        resume_process(child)

    def signal(self, name: str, signal_name: str) -> None:
        """Sends a signal to a gateway."""
        child = self.fronts[name].child
        assert child is not None
        child.signal(signal_name)

    def fill_disk(self, name: str, full: bool = True) -> None:
        """Makes every file growth of a gateway fail, or lifts the limit."""
        child = self.fronts[name].child
        assert child is not None
        limit_files(child, full)

    def stall_disk(self, name: str) -> sqlite3.Connection:
        """Blocks writes to a gateway's consensus database until the returned connection is closed."""
        lock = hold_lock(self.fronts[name].folder)
        assert lock is not None
        return lock

    # Status.

    def get(self, name: str, path: str, within: float = 1000.0) -> tuple[int, bytes]:
        """Requests a path from a gateway's watch port; returns status 0 if there is no response in time."""
        gateway = self.fronts[name]
        replies: list[tuple[int, bytes]] = []
        if not gateway.alive or not gateway.watch:
            return 0, b""
        pool = client.Pool(self.reactor, "127.0.0.1", gateway.watch, 500.0, 100.0, 0, 65_536)
        call = pool.call(
            "GET",
            path,
            client.BufferedResponse(
                2**22, lambda status, headers, body, error: replies.append((status, body))
            ),
        )
        end = clock.now() + within
        while not replies and clock.now() < end:
            self.iterate()
        call.abandon()
        return replies[0] if replies else (0, b"")

    def status(self, name: str) -> dict[str, Any]:
        """A gateway's fleet status; an empty one if it does not answer."""
        status, body = self.get(name, "/fleet")
        empty_status = {
            "alone": True,
            "council": {"role": "", "voters": [], "leader": "", "term": 0, "agreed": 0},
            "fronts": [],
            "plan": {"number": 0, "rows": {}, "shed": {}},
        }
        return msgspec.json.decode(body) if status == 200 else empty_status

    def leader(self) -> str:
        """The gateway that reports itself as leader; empty unless exactly one does."""
        leaders = [
            name
            for name, gateway in self.fronts.items()
            if gateway.alive and self.status(name)["council"]["role"] == "leader"
        ]
        return leaders[0] if len(leaders) == 1 else ""

    def voters(self) -> list[str]:
        """The voters by the leader's report."""
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
        """Starts clients that send to all gateways."""
        traffic = plain_request_class(request_class, effect, (5, 15), beginnings=6)
        spec = ClientsSpec(
            str(self.folder / "clients.jsonl"),
            3,
            clock.now() + 100,
            length,
            rate,
            [traffic],
            [
                FrontSpec(gateway.name, gateway.port, gateway.zone, gateway.host)
                for gateway in self.fronts.values()
            ],
            [],
            (retries, retries),
            (50.0, 150.0),
            (1.0, 1.0),
            0.7,
            300.0,
        )
        self.clients = Clients(spec, self.reactor)
        self.answered = False
        self.reactor.stop = self._clients_done  # the clients call it when all requests have ended
        self.clients.start()

    answered = True

    def _clients_done(self) -> None:
        self.answered = True

    def settle(self) -> Records:
        """Waits until every request has ended; returns the records."""
        self.until(lambda: self.answered, "all requests end", 60.0)
        self.run(700.0)
        return load(self.folder)

    def close(self) -> None:
        """Kills all gateways, waits for them and closes the relays."""
        for gateway in self.fronts.values():
            if gateway.alive and gateway.child is not None:
                gateway.child.process.signalProcess(signal.SIGKILL)
        end = clock.now() + 5000
        while any(gateway.alive for gateway in self.fronts.values()) and clock.now() < end:
            self.iterate()
        self.net.close()
        for _ in range(3):
            self.iterate()

    def __enter__(self) -> FleetRig:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
