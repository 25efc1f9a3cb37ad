"""Plays one plan: engines, agents and clients in this process, nodes as processes of their own."""

from __future__ import annotations

import os
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, assert_never

from fault_injection.ledger import Rule, Violation
from node_rig import SETTINGS
from twisted.internet.epollreactor import EPollReactor

from worksmux.net.loop import use_monotonic_clock

from . import plan as plans
from .clients import Clients
from .discovery import Agent, Discovery
from .engines import SoakEngine
from .nodes import MEMORY_MB, NodeProcess
from .records import Outcome, Records

ZONES = "abc"
START_TIMEOUT_S = 30.0
LATENESS_TICK_S = 0.01
CROSSING_S = 0.05  # before SIGTERM, in which the first half of some requests arrives
DRAIN_BEFORE_LEAVING_S = 1.0


@dataclass(frozen=True)
class Result:
    """What a run has shown."""

    violations: list[Violation]
    failures: list[str]  # log lines of nodes that tell of a failure of the program
    requests: int
    served: int
    slack_s: float  # how late this process was at most

    @property
    def is_good(self) -> bool:
        """Whether all rules were kept and no node failed."""
        return not self.violations and not self.failures


def loopback(last: int) -> str:
    """Returns an address that no other run uses at the same time."""
    return f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.{last}"


class Run:
    """One run; `play` returns its result."""

    def __init__(self, plan: plans.Plan, folder: Path) -> None:
        self.plan, self.random = plan, Random(plan.seed + 1)
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        use_monotonic_clock(self.reactor)
        rules: Any = SETTINGS["rules"]
        extra: Any = SETTINGS["extra"]
        self.records = Records(extra["release_within"], rules["drain_grace"], MEMORY_MB)
        self.engines = [self._engine(number) for number in range(plan.engines)]
        self.discovery = Discovery(self.engines)
        self.nodes = [self._node(number, folder) for number in range(plan.nodes)]
        self.clients = Clients(plan, self.random, self.reactor, self.records, self.nodes)
        self._tick_due_at = 0.0

    def _engine(self, number: int) -> SoakEngine:
        kind = "prefill" if number < self.plan.prefill_engines else "decode"
        return SoakEngine(
            f"s-{number}",
            kind,
            ZONES[number % len(ZONES)],
            loopback(1),
            self.reactor,
            self.records,
            Random(self.plan.seed * 1000 + number),
            lambda key: self.records.requests[key].node,
        )

    def _node(self, number: int, folder: Path) -> NodeProcess:
        agent = Agent(self.discovery, loopback(2), self.reactor)
        self.discovery.agents.append(agent)
        host = loopback(10 + number)
        return NodeProcess(number, self.plan.nodes, host, agent, self.discovery, folder, self.records)

    # Faults.

    def _schedule(self, fault: plans.Fault) -> None:
        later = self.reactor.callLater
        match fault:
            case plans.Absence(at, until, number):
                later(at, self._leave, fault, self.engines[number])
                later(until, self._return, fault, self.engines[number])
            case plans.Hang(at, until, number):
                later(at, self.engines[number].hang, until - at)
            case plans.ClosedPort(at, until, number):
                later(at, self.engines[number].close_port, until - at)
            case plans.ClockStep(at, number, seconds):
                later(at, self.nodes[number].step_clock, seconds)
            case plans.FailingCalls(at, until, number, share):
                later(at, self.nodes[number].fail_calls, share)
                later(until, self.nodes[number].fail_calls, 0.0)
            case plans.Resets(at, number):
                later(at, self.engines[number].reset_connections)
            case plans.SilentWatches(at, number):
                later(at, self.nodes[number].agent.fall_silent)
            case plans.LostWatches(at, number):
                later(at, self.nodes[number].agent.lose_watches)
            case plans.DiscoveryOutage(at, until):
                later(at, self.discovery.set_down, True)
                later(until, self.discovery.set_down, False)
            case plans.Reloads(at, number, times, gap):
                for repetition in range(times):
                    later(at + repetition * gap, self._reload, self.nodes[number])
            case plans.Termination(at, number, further_signals):
                later(at, self._terminate, self.nodes[number], further_signals)
            case plans.Kill(at, number):
                later(at, self._kill, self.nodes[number])
            case plans.Stalls(at, number, times, length):
                later(at, self.nodes[number].stall, times, length)
            case plans.Crowd(at, until, number, connections):
                later(at, self.clients.crowd, self.nodes[number], connections, until - at)
            case plans.Flood(at, number, kind, clients):
                later(at, self.nodes[number].flood, kind, clients)
            case plans.SpoiltStreams(at, until, number, chunk_bytes):
                later(at, self.engines[number].spoil_streams, until - at, chunk_bytes)
            case _:
                assert_never(fault)

    def _leave(self, fault: plans.Absence, engine: SoakEngine) -> None:
        if engine.status != "SERVING":
            return
        if fault.drained_first:
            engine.status = "DRAINING"
            self.discovery.publish(engine)
            engine.refuse_soon()
            self.reactor.callLater(DRAIN_BEFORE_LEAVING_S, self._remove, engine)
        else:
            self._remove(engine)

    def _remove(self, engine: SoakEngine) -> None:
        engine.status = "DELETED"
        self.discovery.publish(engine)

    def _return(self, fault: plans.Absence, engine: SoakEngine) -> None:
        if engine.status == "SERVING":
            return
        engine.status, engine.refuses = "SERVING", False
        if fault.moved:
            engine.move()
        if fault.restarted:
            engine.restart()
        self.discovery.publish(engine)

    def _reload(self, node: NodeProcess) -> None:
        """Sends SIGHUP, which never comes before a node is ready or in its first second."""
        if (
            node.serves
            and node.record.terminated_at is None
            and time.monotonic() > node.record.started_at + 1
        ):
            node.reload()

    def _terminate(
        self, node: NodeProcess, further_signals: tuple[tuple[float, signal.Signals], ...]
    ) -> None:
        if node.serves and node.record.terminated_at is None:
            self.clients.send_across(node)
            self.reactor.callLater(CROSSING_S, node.terminate, further_signals)

    def _kill(self, node: NodeProcess) -> None:
        if node.is_running and node.record.terminated_at is None:
            node.kill()

    # Play.

    def _run_until(self, reached: Any, seconds: float) -> None:
        end = time.monotonic() + seconds
        while not reached() and time.monotonic() < end:
            self.reactor.iterate(0.05)

    def _tick(self) -> None:
        """Measures how late this process is, which the rules on time have to allow for."""
        now = time.monotonic()
        if self._tick_due_at:
            self.records.slack_s = max(self.records.slack_s, now - self._tick_due_at)
        self._tick_due_at = now + LATENESS_TICK_S
        self.reactor.callLater(LATENESS_TICK_S, self._tick)

    def play(self) -> Result:
        """Plays the plan and checks all rules."""
        try:
            for node in self.nodes:
                node.start()
            self._run_until(lambda: all(node.serves for node in self.nodes), START_TIMEOUT_S)
            self._tick()
            for fault in self.plan.faults:
                self._schedule(fault)
            self.clients.arrive()
            self._run_until(lambda: False, self.plan.seconds)
            self.clients.ended = True
            self._run_until(self._is_quiet, plans.MAX_WAIT_S + plans.SETTLE_S)
            self._run_until(lambda: False, plans.SETTLE_S)
        finally:
            for node in self.nodes:
                node.end()
            for engine in self.engines:
                engine.close()
        return self._result()

    def _is_quiet(self) -> bool:
        return all(request.outcome is not Outcome.OPEN for request in self.records.requests.values())

    def _result(self) -> Result:
        failures = [line for node in self.nodes for line in node.failures()]
        for node in self.nodes:
            if not (node.record.terminated_at or b'"event":"serving"' in node._log_path.read_bytes()):
                self.records.break_rule(Rule.CRASHED, node.record.name, "did not serve in time")
        violations = self.records.check()
        requests = list(self.records.requests.values())
        served = sum(request.outcome is Outcome.SERVED for request in requests)
        return Result(violations, failures, len(requests), served, self.records.slack_s)


def play_seed(seed: int, seconds: float, keep: str) -> tuple[int, Result]:
    """Plays one seed; the nodes' logs stay in the folder `keep`, if one is named."""
    if keep:
        folder = Path(keep) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        return seed, Run(plans.draw(seed, seconds), folder).play()
    with tempfile.TemporaryDirectory() as name:
        return seed, Run(plans.draw(seed, seconds), Path(name)).play()
