"""Plays one schedule: real nodes between fake engines, clients and discovery agents."""

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

from . import schedule as schedules
from .engine import ClientTimes, Connection, Engine, MessageFaults, endpoint, watch_event
from .ledger import Ledger, Rule, Violation
from .network import Block, ConnectionEnd, Host, Network
from .outside import Client, DiscoveryAgent
from .reactor import Reactor, port_of
from .simulation import START_S, EventLoop, Simulation

SETTLE_S = 6.0  # after the last fault and request, until all KV cache has to be released
LIST_DELAY_S = 0.3  # until processes learn of a change of the endpoint list
DRAIN_ACCEPT_S = 0.7  # after SIGTERM, in which a process still accepts connections
KILL_MARGIN_S = 0.7  # beyond the longest deadline (3 s at most), from SIGTERM to SIGKILL
MAX_KILL_DEADLINE_MS = 3000.0


@dataclass
class Process:
    """One node process."""

    name: str
    zone: str
    host: Host
    reactor: Reactor
    node: Node
    stopped_at: float | None = None  # SIGTERM; times are in seconds
    killed_at: float | None = None  # SIGKILL
    ended_at: float | None = None  # the process has exited


@dataclass(frozen=True)
class Result:
    """The violations, traces and counts of one run."""

    violations: list[Violation]
    trace: dict[str, list[tuple[float, str]]]
    requests: int
    served: int
    releases: int


class World:
    """All hosts and clients of one run; `play` returns its result."""

    def __init__(self, schedule: schedules.Schedule, simulation: Simulation) -> None:
        self.schedule, self.simulation = schedule, simulation
        behaviour = schedule.behaviour
        self.network = Network(self.simulation, Random(schedule.seed + 1), behaviour.resets_are_lost)
        self.network.side_ended = self._side_ended
        self.network.connect_fault = self._connect_fault
        self.ledger = Ledger(self.simulation, behaviour.release_within, behaviour.release_ends_reads)
        bad_answers = [fault for fault in schedule.faults if isinstance(fault, schedules.BadAnswers)]
        self.faults = MessageFaults(schedule.seed, bad_answers)
        self.clients: dict[str, Client] = {}
        self.client_times: dict[str, ClientTimes] = {}
        self.engines: dict[str, Engine] = {}
        self.status = {f"e{number}": "SERVING" for number, spec in enumerate(schedule.engines) if spec.listed}
        self.started: dict[str, float] = {}  # Unix milliseconds of the latest start
        self.index = 1
        self.agents: dict[str, DiscoveryAgent] = {}
        self.processes: dict[str, Process] = {}
        self._numbers: dict[str, int] = {}
        self._build()

    # Building.

    def _host(self, name: str, zone: str) -> Host:
        """Adds a machine to the network."""
        self._numbers[name] = len(self._numbers)
        loop = EventLoop(self.simulation)
        host = self.network.host(f"h{self._numbers[name]}", zone, loop)
        return host

    def _build(self) -> None:
        """Starts engines, agents and processes, and schedules requests and faults."""
        for host_number, spec in enumerate(self.schedule.engines):
            self._start_engine(f"e{host_number}", self._host(f"e{host_number}", spec.zone))
        silent_times = [
            (START_S + fault.start / 1000, START_S + fault.end / 1000)
            for fault in self.schedule.faults
            if isinstance(fault, schedules.DiscoveryDown)
        ]
        for host_number, zone in enumerate(self.schedule.processes):
            name = f"n{host_number}"
            agent_host = self._host(f"agent-{name}", zone)
            self.agents[name] = DiscoveryAgent(self.network, agent_host, self._snapshot, silent_times)
            self._start_process(name, zone)
        self.client_host = self._host("clients", self.schedule.zones[0] if self.schedule.zones else "")
        for number, request in enumerate(self.schedule.requests):
            self._schedule_request(number, request)
        for fault in self.schedule.faults:
            self._schedule_fault(fault)
        self.ledger.isolated = self._isolation()

    def _start_engine(self, name: str, host: Host) -> None:
        """Starts an engine process on a machine."""
        number = int(name[1:])
        self.engines[name] = Engine(
            name,
            self.schedule.engines[number],
            self.schedule.behaviour,
            host,
            self.network,
            self.ledger,
            self.faults,
            self.client_times,
            self.engines,
            self.schedule.seed,
        )

    def _start_process(self, name: str, zone: str) -> None:
        """Starts a node process on a machine of its own."""
        host = self._host(name, zone)
        reactor = Reactor(self.network, host)
        node = Node(self._config(name, zone), reactor)  # type: ignore[arg-type]
        process = self.processes[name] = Process(name, zone, host, reactor, node)
        node.on_end = lambda: self._process_ended(process)
        node.start()

    def _config(self, name: str, zone: str) -> Config:
        """Returns the configuration of a node process."""
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
                    "name": request_class.name,
                    "aim": request_class.target,
                    "deadline": request_class.deadline,
                    "worth": 1.0,
                    "repeat": request_class.effect,
                    "window": 5000.0,
                }
                for request_class in schedule.classes
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
        config = {
            "name": name,
            "listen": f"127.0.0.1:{port_of(0)}",
            "seed": f"{schedule.seed % 2**32:x}",
            "discovery": f"127.0.0.1:{port_of(self._numbers[f'agent-{name}'])}",
            "limits": {"sockets": 512},
            "settings": settings,
            "known": json.loads(self._snapshot()),
        }
        return parse_config(json.dumps(config).encode(), "config.json", {})

    # The endpoint list.

    def _endpoint(self, name: str, status: str) -> dict[str, object]:
        """Returns the list entry of an engine."""
        spec = self.schedule.engines[int(name[1:])]
        return endpoint(name, spec, port_of(self._numbers[name]), status, self.started.get(name, 0.0))

    def _snapshot(self) -> bytes:
        """Returns the whole endpoint list as a watch event."""
        return watch_event(
            self.index,
            True,
            [self._endpoint(name, status) for name, status in self.status.items() if status != "DELETED"],
        )

    def _set_status(self, name: str, status: str) -> None:
        """Changes the status of an engine in the endpoint list and sends the watch event."""
        self.status[name] = status
        self.index += 1
        event = watch_event(self.index, False, [self._endpoint(name, status)])
        for agent in self.agents.values():
            agent.broadcast(event)

    # Requests.

    def _schedule_request(self, number: int, request: schedules.RequestSpec) -> None:
        """Schedules the start of a client."""
        key = f"r{number}"
        process = self.processes[f"n{request.process}"]
        request_class = self.schedule.classes[request.request_class]
        client = self.clients[key] = Client(
            key, request, request_class, self.network, self.client_host, process.host, self.ledger
        )
        self.ledger.add_request(key, process.name)
        self.client_times[key] = ClientTimes(
            lambda: client.disconnected_at,
            START_S + (request.at + request.timeout) / 1000 + 0.01,
        )
        self.simulation.call_at(START_S + request.at / 1000, client.start)

    # Faults.

    def _schedule_fault(self, fault: schedules.Fault) -> None:
        """Schedules the beginning and end of a fault."""

        def schedule_call(time_ms: float, call: Any, *arguments: Any) -> None:
            self.simulation.call_at(START_S + time_ms / 1000, call, *arguments)

        match fault:
            case schedules.Cut():
                self._cut(fault)
            case schedules.Hang(start, end, host):
                schedule_call(start, self._hang, host, (end - start) / 1000)
            case schedules.Vanish(start, end, host):
                schedule_call(start, self._vanish, host)
                schedule_call(end, self._return, host)
                schedule_call(end + 1000 * LIST_DELAY_S, self._set_status, host, "SERVING")
            case schedules.Drain(start, gone, end, host):
                schedule_call(start, self._set_status, host, "DRAINING")
                schedule_call(start, self._set_draining, host)
                schedule_call(gone, self._set_status, host, "DELETED")
                schedule_call(end, self._vanish, host)
            case schedules.Join(start, host):
                schedule_call(start, self._join, host)
            case schedules.Terminate(start, host):
                schedule_call(start, self._terminate, host)
            case schedules.Kill(start, host):
                schedule_call(start, self._kill, host)
            case schedules.Reload(start, host):
                schedule_call(start, self._reload, host)
            case schedules.BadConnections() | schedules.BadAnswers() | schedules.DiscoveryDown():
                pass  # applied to each connection, message or watch event
            case _:
                assert_never(fault)

    def _cut(self, cut: schedules.Cut) -> None:
        """Blocks the network between the hosts of a cut and all others."""
        inside = frozenset(f"h{self._numbers[name]}" for name in cut.inside)
        not_cut = ("agent-", "clients")  # clients and agents stay connected to their nodes
        outside = frozenset(
            f"h{number}"
            for name, number in self._numbers.items()
            if name not in cut.inside and not name.startswith(not_cut)
        )
        start, end = START_S + cut.start / 1000, START_S + cut.end / 1000
        if cut.outwards:
            self.network.blocks.append(Block(start, end, inside, outside))
        if cut.inwards:
            self.network.blocks.append(Block(start, end, outside, inside))

    def _machine(self, name: str) -> Host:
        """Returns the machine of an engine or process."""
        return self.network.hosts[f"h{self._numbers[name]}"]

    def _hang(self, name: str, seconds: float) -> None:
        """Stalls the event loop of an engine or process."""
        self._machine(name).loop.stall(seconds)

    def _vanish(self, name: str) -> None:
        """Removes the machine of an engine from the network."""
        host = self._machine(name)
        if host.up:
            self.network.machine_vanishes(host)
            self.engines[name].machine_gone()

    def _return(self, name: str) -> None:
        """Starts a new engine process on a machine that had disappeared."""
        host = self._machine(name)
        if not host.up:
            host.up, host.loop = True, EventLoop(self.simulation)
            self.started[name] = 1000 * self.simulation.now
            self._start_engine(name, host)

    def _set_draining(self, name: str) -> None:
        """Makes an engine reject new attempts."""
        self.engines[name].draining = True

    def _join(self, name: str) -> None:
        """Adds an engine to the endpoint list."""
        if name in self.status:  # its machine has disappeared and returned: the engine was listed then
            return
        self.started[name] = 1000 * self.simulation.now
        self._set_status(name, "SERVING")

    def _terminate(self, name: str) -> None:
        """Stops a process with SIGTERM, and SIGKILL if it does not exit in time."""
        process = self.processes[name]
        if process.killed_at is None and process.stopped_at is None:
            process.stopped_at = self.simulation.now
            process.host.loop.deliver(process.node.stop)
            wait_s = min(self.schedule.longest_deadline, MAX_KILL_DEADLINE_MS) / 1000 + KILL_MARGIN_S
            self.simulation.call_at(self.simulation.now + wait_s, self._kill, name)

    def _kill(self, name: str) -> None:
        """Kills a process that still runs."""
        process = self.processes[name]
        if process.killed_at is None and process.ended_at is None:
            process.killed_at = self.simulation.now
            self.ledger.process_killed(name)
            self.network.process_dies(process.host)

    def _process_ended(self, process: Process) -> None:
        """Handles the exit of a process."""
        process.ended_at = self.simulation.now
        self.network.process_dies(process.host)

    def _reload(self, name: str) -> None:
        """Makes a process connect to its discovery agent again."""
        process = self.processes[name]
        discovery = process.node.discovery
        process.host.loop.deliver(discovery.move, discovery.address)

    def _connect_fault(self, source: Host, target: Host) -> float | None:
        """Returns the fault of a new connection, as `Network.connect_fault` defines it."""
        now = 1000 * (self.simulation.now - START_S)
        for fault in self.schedule.faults:
            if not (isinstance(fault, schedules.BadConnections) and fault.start <= now < fault.end):
                continue
            if not any(engine.host is target for engine in self.engines.values()):
                continue
            random = Random(crc32(f"{self.schedule.seed} {source.name} {target.name} {now:.2f}".encode()))
            draw = random.random()
            if draw < fault.never:
                return None
            if draw < fault.never + fault.refused:
                return -1.0
            if draw < fault.never + fault.refused + fault.late:
                return random.uniform(0, fault.delay) / 1000
        return 0.0

    def _side_ended(self, end: ConnectionEnd) -> None:
        """Notifies the engine's side that either side has ended a connection."""
        for side in (end, end.peer):
            if isinstance(side.handler, Connection):
                side.handler.side_ended()

    # Checks.

    def _isolation(self) -> list[tuple[str, float, float]]:
        """Returns process, start and end (seconds) of each interval without a reachable running engine."""
        changes = {0.0, self.schedule.end + 1000 * SETTLE_S}
        for fault in self.schedule.faults:
            if isinstance(fault, (schedules.Cut, schedules.Hang, schedules.Vanish, schedules.Drain)):
                changes |= {fault.start, fault.end}
        times = sorted(changes)
        intervals = []
        for start, end in zip(times, times[1:], strict=False):
            for name in self.processes:
                if not any(self._reaches(name, engine, (start + end) / 2) for engine in self.engines):
                    intervals.append((name, START_S + start / 1000, START_S + end / 1000))
        return intervals

    def _reaches(self, process: str, engine: str, time_ms: float) -> bool:
        """Returns whether a process can reach an engine that runs and is listed."""
        process_host, engine_host = f"h{self._numbers[process]}", f"h{self._numbers[engine]}"
        time_s = START_S + time_ms / 1000
        if self.network.open_at(process_host, engine_host, time_s) > time_s or (
            self.network.open_at(engine_host, process_host, time_s) > time_s
        ):
            return False
        for fault in self.schedule.faults:
            if getattr(fault, "host", None) != engine:
                continue
            if isinstance(fault, (schedules.Hang, schedules.Vanish)) and fault.start <= time_ms < fault.end:
                return False
            if isinstance(fault, schedules.Drain) and time_ms >= fault.gone:
                return False
            if isinstance(fault, schedules.Join) and time_ms < fault.start + 1000 * LIST_DELAY_S:
                return False
        return True

    def _excused(self, client: Client) -> bool:
        """Returns whether the end of its process excuses a request without a response."""
        process = self.processes[f"n{client.spec.process}"]
        if process.killed_at is not None and process.stopped_at is None:
            return True
        if process.stopped_at is not None:
            return (
                client.sent_at > process.stopped_at + DRAIN_ACCEPT_S - 0.01
                or process.killed_at is not None
                and (client.gives_up_at > process.killed_at - 0.01)
            )
        return False

    def play(self) -> Result:
        """Plays the run to its end and checks all rules."""
        self.simulation.run_until(START_S + self.schedule.end / 1000 + SETTLE_S)
        self.ledger.finish()
        for client in self.clients.values():
            client.check(self._excused)
        for key, record in self.ledger.records.items():
            effect = self.clients[key].request_class.effect
            if effect == "single_shot" and len(record.executed_at) > 1:
                self.ledger.break_rule(
                    Rule.TWICE_EXECUTED, key, f"executed at {', '.join(record.executed_at)}"
                )
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
    """Replaces the clock of the program with that of the run."""
    before = clock.now, clock.wall
    clock.now = clock.wall = lambda: 1000 * simulation.now  # type: ignore[assignment]
    try:
        yield
    finally:
        clock.now, clock.wall = before  # type: ignore[assignment]


def play(schedule: schedules.Schedule, logs: bool = False) -> Result:
    """Plays a schedule; the same schedule gives the same result each time.

    `logs` keeps the log lines of the nodes.
    """
    global_random.seed(schedule.seed)
    if not logs:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    simulation = Simulation()
    with simulated_clock(simulation):
        return World(schedule, simulation).play()
