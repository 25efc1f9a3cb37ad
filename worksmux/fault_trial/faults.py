"""Faults between the processes of a day, and of the machines that fronts run on."""

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
SLICE = 0.5  # seconds that a slow disk's lock is held, and as long let go


def limit_files(child: Child, full: bool) -> None:
    """No file of the process can grow any more: what the kernel says of a full disk, without one."""
    if child.alive:
        resource.prlimit(child.process.pid, resource.RLIMIT_FSIZE, (1 if full else UNLIMITED, UNLIMITED))


def go_on(child: Child) -> None:
    if child.alive:
        os.kill(child.process.pid, signal.SIGCONT)


def hold_lock(folder: Path) -> sqlite3.Connection | None:
    """Holds the lock that each write to a front's council file needs, until it is closed."""
    lock = sqlite3.connect(folder / "council.db", isolation_level=None, timeout=0.0)
    try:
        lock.execute("BEGIN IMMEDIATE")
    except sqlite3.Error:
        lock.close()
        return None
    return lock


class FleetNetwork:
    """Relays between all fronts, and from each front to each engine."""

    def __init__(self, reactor: Any, day: Scenario, folder: Path, fronts: dict[str, str]) -> None:
        """`fronts`: the zone of each by name."""
        self.reactor, self.day, self.fronts = reactor, day, fronts
        self.net = Network(reactor, Journal(folder / "net.jsonl", "net"))
        for one in fronts:
            for other in fronts:
                if one != other:
                    self.net.relay(one, other)
        self.zones = {place.id: place.zone for place in day.engines}

    def ways(self, front: str) -> dict[str, int]:
        return {other: self.net.relay(front, other).port for other in self.fronts if other != front}

    def front_up(self, name: str, told: dict[str, Any]) -> None:
        """A front's log line says where it listens for the others."""
        host, _, port = str(told["peers"]).rpartition(":")
        self.net.aim(name, (host, int(port)))

    def engine_up(self, name: str, port: int) -> None:
        for front in self.fronts:
            self.net.relay(front, name).target = ("127.0.0.1", port)

    def way(self, front: str, line: Line) -> Line:
        return msgspec.structs.replace(line, port=self.net.relay(front, line.id).port)

    def cut(self, trouble: ScenarioFault) -> None:
        """The zone's engines from all fronts, or engines and fronts of two zones from each other."""
        how = "both" if trouble.how == "silent" else trouble.how
        self._cut(trouble, how)
        self.reactor.callLater(trouble.length / 1000, self._cut, trouble, "none")

    def _cut(self, trouble: ScenarioFault, how: str) -> None:
        engines = [name for name, zone in self.zones.items() if zone == trouble.zone]
        if trouble.source == "fronts":
            return self.net.cut(engines, self.fronts, how)
        inside = [name for name, zone in self.fronts.items() if zone == trouble.zone]
        outside = [name for name, zone in self.fronts.items() if zone == trouble.source]
        beyond = [name for name, zone in self.zones.items() if zone == trouble.source]
        self.net.cut([*engines, *inside], outside, how)
        self.net.cut(inside, beyond, how)


def lose_disk(folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)


def slow_disk(reactor: Any, folder: Path, turns: int) -> None:
    """Holds the lock and lets it go again, so many times."""
    lock = hold_lock(folder)

    def release() -> None:
        if lock is not None:
            lock.close()
        if turns > 1:
            reactor.callLater(SLICE, slow_disk, reactor, folder, turns - 1)

    reactor.callLater(SLICE, release)
