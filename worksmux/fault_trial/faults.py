"""Faults between the processes of a scenario, and of the machines that gateways run on."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import sqlite3
from pathlib import Path
from typing import Any

import msgspec

from ..api.listing import Line
from ..fakes.journal import Journal
from ..scenarios.scenario import Scenario, ScenarioFault
from .processes import Child
from .relays import Network

UNLIMITED = resource.RLIM_INFINITY
LOCK_HOLD_S = 0.5  # a slow disk's lock is held for this time, then free for as long


def limit_files(child: Child, full: bool) -> None:
    """Makes every file growth of the process fail, as on a full disk, or lifts the limit."""
    if child.alive:
        resource.prlimit(child.process.pid, resource.RLIMIT_FSIZE, (1 if full else UNLIMITED, UNLIMITED))


def resume_process(child: Child) -> None:
    """Continues a process that was stopped by SIGSTOP."""
    if child.alive:
        os.kill(child.process.pid, signal.SIGCONT)


def hold_lock(folder: Path) -> sqlite3.Connection | None:
    """Takes the write lock of a gateway's consensus database; closing the connection releases it.

    Returns None if the lock is not free.
    """
    lock = sqlite3.connect(folder / "council.db", isolation_level=None, timeout=0.0)
    try:
        lock.execute("BEGIN IMMEDIATE")
    except sqlite3.Error:
        lock.close()
        return None
    return lock


class FleetNetwork:
    """Relays between all gateways, and from each gateway to each engine."""

    def __init__(self, reactor: Any, scenario: Scenario, folder: Path, gateway_zones: dict[str, str]) -> None:
        """Creates the relays between gateways; `gateway_zones` maps each gateway's name to its zone."""
        self.reactor, self.scenario, self.gateway_zones = reactor, scenario, gateway_zones
        self.net = Network(reactor, Journal(folder / "net.jsonl", "net"))
        for source in gateway_zones:
            for target in gateway_zones:
                if source != target:
                    self.net.relay(source, target)
        self.engine_zones = {engine.id: engine.zone for engine in scenario.engines}

    def relay_ports(self, gateway: str) -> dict[str, int]:
        """The relay ports by which a gateway reaches the others."""
        return {
            target: self.net.relay(gateway, target).port for target in self.gateway_zones if target != gateway
        }

    def gateway_started(self, name: str, event: dict[str, Any]) -> None:
        """Points the relays at the fleet address in a gateway's log line."""
        host, _, port = str(event["peers"]).rpartition(":")
        self.net.set_target(name, (host, int(port)))

    def engine_started(self, name: str, port: int) -> None:
        """Points the relays of all gateways at an engine's port."""
        for gateway in self.gateway_zones:
            self.net.relay(gateway, name).target = ("127.0.0.1", port)

    def relayed_endpoint(self, gateway: str, line: Line) -> Line:
        """An engine's endpoint with the port of the relay from this gateway."""
        return msgspec.structs.replace(line, port=self.net.relay(gateway, line.id).port)

    def partition(self, fault: ScenarioFault) -> None:
        """Separates a zone's engines from all gateways, or two zones, until the fault ends."""
        mode = "both" if fault.how == "silent" else fault.how
        self._partition(fault, mode)
        self.reactor.callLater(fault.length / 1000, self._partition, fault, "none")

    def _partition(self, fault: ScenarioFault, mode: str) -> None:
        engines = [name for name, zone in self.engine_zones.items() if zone == fault.zone]
        if fault.source == "fronts":
            return self.net.cut(engines, self.gateway_zones, mode)
        zone_gateways = [name for name, zone in self.gateway_zones.items() if zone == fault.zone]
        source_gateways = [name for name, zone in self.gateway_zones.items() if zone == fault.source]
        source_engines = [name for name, zone in self.engine_zones.items() if zone == fault.source]
        self.net.cut([*engines, *zone_gateways], source_gateways, mode)
        self.net.cut(zone_gateways, source_engines, mode)


def lose_disk(folder: Path) -> None:
    """Deletes a gateway's disk folder."""
    shutil.rmtree(folder, ignore_errors=True)


def slow_disk(reactor: Any, folder: Path, rounds: int) -> None:
    """Holds and releases the write lock of a gateway's consensus database alternately, `rounds` times."""
    lock = hold_lock(folder)

    def release() -> None:
        if lock is not None:
            lock.close()
        if rounds > 1:
            reactor.callLater(LOCK_HOLD_S, slow_disk, reactor, folder, rounds - 1)

    reactor.callLater(LOCK_HOLD_S, release)
