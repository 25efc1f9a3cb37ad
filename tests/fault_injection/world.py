"""Plays one schedule: real nodes between modelled engines, clients and discovery."""

from __future__ import annotations

import json
import logging
import random as global_random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any, assert_never
from zlib import crc32

import structlog
from node_rig import SETTINGS

from worksmux.net import clock
from worksmux.node.config import Config, parse_config
from worksmux.node.serve import Node

from . import schedule as s
from .engine import ClientView, Connection, Engine, Faults, endpoint, listing
from .ledger import Ledger, Rule, Violation
from .network import Block, End, Host, Network
from .outside import Agent, Client
from .reactor import Reactor, port_of
from .simulation import START, EventLoop, Simulation

SETTLE = 6.0  # seconds after the last fault and request until all has to be let go
LIST_DELAY = 0.3  # seconds until processes hear of a change
TAKES_MORE = 0.7  # seconds after SIGTERM that connections may still come
KILL_AFTER = 0.7  # seconds beyond the longest deadline (3 s at most) from SIGTERM to SIGKILL
LONGEST_COUNTED = 3000.0


@dataclass
class Process:
    """One node process."""

    name: str
    zone: str
    host: Host
    reactor: Reactor
    node: Node
    stopped_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None


@dataclass(frozen=True)
class Result:
    violations: list[Violation]
    trace: dict[str, list[tuple[float, str]]]
    requests: int
    served: int
    releases: int


class World:
    """One run; `play` gives its result."""

    def __init__(self, schedule: s.Schedule, simulation: Simulation) -> None:
        self.schedule, self.simulation = schedule, simulation
        behaviour = schedule.behaviour
        self.network = Network(self.simulation, Random(schedule.seed + 1), behaviour.resets_are_lost)
        self.network.side_ended = self._side_ended
        self.network.connect_fault = self._connect_fault
        self.ledger = Ledger(self.simulation, behaviour.release_within, behaviour.release_ends_reads)
        bad = [fault for fault in schedule.faults if isinstance(fault, s.BadAnswers)]
        self.faults = Faults(schedule.seed, bad)
        self.clients: dict[str, Client] = {}
        self.views: dict[str, ClientView] = {}
        self.engines: dict[str, Engine] = {}
        self.status = {f"e{at}": "SERVING" for at, spec in enumerate(schedule.engines) if spec.listed}
        self.started: dict[str, float] = {}  # Unix milliseconds of the latest start
        self.index = 1
        self.agents: dict[str, Agent] = {}
        self.processes: dict[str, Process] = {}
        self._numbers: dict[str, int] = {}
        self._build()

    # Building.

    def _host(self, name: str, zone: str) -> Host:
        self._numbers[name] = len(self._numbers)
        loop = EventLoop(self.simulation)
        host = self.network.host(f"h{self._numbers[name]}", zone, loop)
        return host

    def _build(self) -> None:
        for at, spec in enumerate(self.schedule.engines):
            self._start_engine(f"e{at}", self._host(f"e{at}", spec.zone))
        down = [
            (START + fault.start / 1000, START + fault.end / 1000)
            for fault in self.schedule.faults
            if isinstance(fault, s.DiscoveryDown)
        ]
        for at, zone in enumerate(self.schedule.processes):
            name = f"n{at}"
            agent_host = self._host(f"agent-{name}", zone)
            self.agents[name] = Agent(self.network, agent_host, self._whole_list, down)
            self._start_process(name, zone)
        self.client_host = self._host("clients", self.schedule.zones[0] if self.schedule.zones else "")
        for number, request in enumerate(self.schedule.requests):
            self._plan_request(number, request)
        for fault in self.schedule.faults:
            self._plan_fault(fault)
        self.ledger.isolated = self._isolation()

    def _start_engine(self, name: str, host: Host) -> None:
        at = int(name[1:])
        self.engines[name] = Engine(
            name,
            self.schedule.engines[at],
            self.schedule.behaviour,
            host,
            self.network,
            self.ledger,
            self.faults,
            self.views,
            self.engines,
            self.schedule.seed,
        )

    def _start_process(self, name: str, zone: str) -> None:
        host = self._host(name, zone)
        reactor = Reactor(self.network, host)
        node = Node(self._config(name, zone), reactor)  # type: ignore[arg-type]
        process = self.processes[name] = Process(name, zone, host, reactor, node)
        node.on_end = lambda: self._process_ended(process)
        node.start()

    def _config(self, name: str, zone: str) -> Config:
        schedule, behaviour = self.schedule, self.schedule.behaviour
        settings: dict[str, Any] = {
            "me": int(name[1:]),
            "balancers": len(schedule.processes),
            "tick": 2.0,
            "zone": schedule.zones.index(zone) if schedule.zones else 0,
            "kinds": ["read", "write", "both"],
            "zones": schedule.zones,
            "services": [
                {
                    "name": one.name,
                    "aim": one.target,
                    "deadline": one.deadline,
                    "worth": 1.0,
                    "repeat": one.effect,
                    "window": 5000.0,
                }
                for one in schedule.classes
            ],
            "limits": {
                "cancel": behaviour.may_cancel,
                "probes": behaviour.may_probe,
                "try_limit": behaviour.try_limit,
                "connect_timeout": behaviour.connect_timeout,
            },
            "extra": {"duty_by_kind": ["read", "write", "both"], "release_within": behaviour.release_within},
            "rules": SETTINGS["rules"],
        }
        told = {
            "name": name,
            "listen": f"127.0.0.1:{port_of(0)}",
            "seed": f"{schedule.seed % 2**32:x}",
            "discovery": f"127.0.0.1:{port_of(self._numbers[f'agent-{name}'])}",
            "limits": {"sockets": 512},
            "settings": settings,
            "known": json.loads(self._whole_list()),
        }
        return parse_config(json.dumps(told).encode(), "config.json", {})

    # The list of engines.

    def _endpoint(self, name: str, status: str) -> dict[str, object]:
        spec = self.schedule.engines[int(name[1:])]
        return endpoint(name, spec, port_of(self._numbers[name]), status, self.started.get(name, 0.0))

    def _whole_list(self) -> bytes:
        return listing(
            self.index,
            True,
            [self._endpoint(name, status) for name, status in self.status.items() if status != "DELETED"],
        )

    def _tell(self, name: str, status: str) -> None:
        self.status[name] = status
        self.index += 1
        line = listing(self.index, False, [self._endpoint(name, status)])
        for agent in self.agents.values():
            agent.tell(line)

    # Requests.

    def _plan_request(self, number: int, request: s.RequestSpec) -> None:
        key = f"r{number}"
        process = self.processes[f"n{request.process}"]
        request_class = self.schedule.classes[request.request_class]
        client = self.clients[key] = Client(
            key, request, request_class, self.network, self.client_host, process.host, self.ledger
        )
        self.ledger.add_request(key, process.name)
        self.views[key] = ClientView(
            lambda: client.left_at,
            START + (request.at + request.timeout) / 1000 + 0.01,
        )
        self.simulation.call_at(START + request.at / 1000, client.start)

    # Faults.

    def _plan_fault(self, fault: s.Fault) -> None:
        def at(time: float, call: Any, *arguments: Any) -> None:
            self.simulation.call_at(START + time / 1000, call, *arguments)

        match fault:
            case s.Cut():
                self._cut(fault)
            case s.Hang(start, end, host):
                at(start, self._hang, host, (end - start) / 1000)
            case s.Vanish(start, end, host):
                at(start, self._vanish, host)
                at(end, self._return, host)
                at(end + 1000 * LIST_DELAY, self._tell, host, "SERVING")
            case s.Drain(start, gone, end, host):
                at(start, self._tell, host, "DRAINING")
                at(start, self._set_draining, host)
                at(gone, self._tell, host, "DELETED")
                at(end, self._vanish, host)
            case s.Join(start, host):
                at(start, self._join, host)
            case s.Terminate(start, host):
                at(start, self._terminate, host)
            case s.Kill(start, host):
                at(start, self._kill, host)
            case s.Reload(start, host):
                at(start, self._reload, host)
            case s.BadConnections() | s.BadAnswers() | s.DiscoveryDown():
                pass  # looked at as things happen
            case _:
                assert_never(fault)

    def _cut(self, cut: s.Cut) -> None:
        inside = frozenset(f"h{self._numbers[name]}" for name in cut.inside)
        apart = ("agent-", "clients")  # clients and agents are beside their nodes
        outside = frozenset(
            f"h{number}"
            for name, number in self._numbers.items()
            if name not in cut.inside and not name.startswith(apart)
        )
        start, end = START + cut.start / 1000, START + cut.end / 1000
        if cut.outwards:
            self.network.blocks.append(Block(start, end, inside, outside))
        if cut.inwards:
            self.network.blocks.append(Block(start, end, outside, inside))

    def _machine(self, name: str) -> Host:
        return self.network.hosts[f"h{self._numbers[name]}"]

    def _hang(self, name: str, seconds: float) -> None:
        self._machine(name).loop.stall(seconds)

    def _vanish(self, name: str) -> None:
        host = self._machine(name)
        if host.up:
            self.network.machine_vanishes(host)
            self.engines[name].machine_gone()

    def _return(self, name: str) -> None:
        host = self._machine(name)
        if not host.up:
            host.up, host.loop = True, EventLoop(self.simulation)
            self.started[name] = 1000 * self.simulation.now
            self._start_engine(name, host)

    def _set_draining(self, name: str) -> None:
        self.engines[name].draining = True

    def _join(self, name: str) -> None:
        if name in self.status:  # it has vanished and come back meanwhile, and was listed with its start
            return
        self.started[name] = 1000 * self.simulation.now
        self._tell(name, "SERVING")

    def _terminate(self, name: str) -> None:
        process = self.processes[name]
        if process.killed_at is None and process.stopped_at is None:
            process.stopped_at = self.simulation.now
            process.host.loop.deliver(process.node.stop)
            wait = min(self.schedule.longest_deadline, LONGEST_COUNTED) / 1000 + KILL_AFTER
            self.simulation.call_at(self.simulation.now + wait, self._kill, name)

    def _kill(self, name: str) -> None:
        process = self.processes[name]
        if process.killed_at is None and process.ended_at is None:
            process.killed_at = self.simulation.now
            self.ledger.process_killed(name)
            self.network.process_dies(process.host)

    def _process_ended(self, process: Process) -> None:
        process.ended_at = self.simulation.now
        self.network.process_dies(process.host)

    def _reload(self, name: str) -> None:
        process = self.processes[name]
        discovery = process.node.discovery
        process.host.loop.deliver(discovery.move, discovery.address)

    def _connect_fault(self, source: Host, target: Host) -> float | None:
        now = 1000 * (self.simulation.now - START)
        for fault in self.schedule.faults:
            if not (isinstance(fault, s.BadConnections) and fault.start <= now < fault.end):
                continue
            if not any(engine.host is target for engine in self.engines.values()):
                continue
            luck = Random(crc32(f"{self.schedule.seed} {source.name} {target.name} {now:.2f}".encode()))
            draw = luck.random()
            if draw < fault.never:
                return None
            if draw < fault.never + fault.refused:
                return -1.0
            if draw < fault.never + fault.refused + fault.late:
                return luck.uniform(0, fault.delay) / 1000
        return 0.0

    def _side_ended(self, end: End) -> None:
        for side in (end, end.peer):
            if isinstance(side.handler, Connection):
                side.handler.side_ended()

    # Judging.

    def _isolation(self) -> list[tuple[str, float, float]]:
        """When a process can reach no engine that runs, in seconds."""
        changes = {0.0, self.schedule.end + 1000 * SETTLE}
        for fault in self.schedule.faults:
            if isinstance(fault, (s.Cut, s.Hang, s.Vanish, s.Drain)):
                changes |= {fault.start, fault.end}
        times = sorted(changes)
        found = []
        for start, end in zip(times, times[1:], strict=False):
            for name in self.processes:
                if not any(self._reaches(name, engine, (start + end) / 2) for engine in self.engines):
                    found.append((name, START + start / 1000, START + end / 1000))
        return found

    def _reaches(self, process: str, engine: str, time: float) -> bool:
        here, there = f"h{self._numbers[process]}", f"h{self._numbers[engine]}"
        seconds = START + time / 1000
        if self.network.open_at(here, there, seconds) > seconds or (
            self.network.open_at(there, here, seconds) > seconds
        ):
            return False
        for fault in self.schedule.faults:
            if getattr(fault, "host", None) != engine:
                continue
            if isinstance(fault, (s.Hang, s.Vanish)) and fault.start <= time < fault.end:
                return False
            if isinstance(fault, s.Drain) and time >= fault.gone:
                return False
            if isinstance(fault, s.Join) and time < fault.start + 1000 * LIST_DELAY:
                return False
        return True

    def _excused(self, client: Client) -> bool:
        process = self.processes[f"n{client.spec.process}"]
        if process.killed_at is not None and process.stopped_at is None:
            return True
        if process.stopped_at is not None:
            return (
                client.sent_at > process.stopped_at + TAKES_MORE - 0.01
                or process.killed_at is not None
                and (client.gives_up_at > process.killed_at - 0.01)
            )
        return False

    def play(self) -> Result:
        self.simulation.run_until(START + self.schedule.end / 1000 + SETTLE)
        self.ledger.finish()
        for client in self.clients.values():
            client.judge(self._excused)
        for key, record in self.ledger.records.items():
            effect = self.clients[key].request_class.effect
            if effect == "single_shot" and len(record.ran) > 1:
                self.ledger.break_rule(Rule.TWICE, key, f"ran at {', '.join(record.ran)}")
        served = sum(client.answer.value == "served" for client in self.clients.values())
        return Result(
            self.ledger.violations,
            self.ledger.trace,
            len(self.clients),
            served,
            self.ledger.releases,
        )


@contextmanager
def simulated_clock(simulation: Simulation) -> Iterator[None]:
    """The program's clock is the run's."""
    before = clock.now, clock.wall
    clock.now = clock.wall = lambda: 1000 * simulation.now  # type: ignore[assignment]
    try:
        yield
    finally:
        clock.now, clock.wall = before  # type: ignore[assignment]


def play(schedule: s.Schedule, logs: bool = False) -> Result:
    """Plays a schedule; the same one gives the same result each time."""
    global_random.seed(schedule.seed)
    if not logs:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    simulation = Simulation()
    with simulated_clock(simulation):
        return World(schedule, simulation).play()
