"""A node process among thousands of engines, over sockets, judged by what clients and engines see.

Incident c5f349: with 3,200 engines one iteration of the reactor took seconds, so that answers, drains and
releases came late. Engines share a few listeners here, as the node distinguishes them by name.
"""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from node_rig import ANSWER, PREFILL_REPLY, SETTINGS, Engine, Peer, Rig, ask

ENGINES, LISTENERS, FRONTS = 3200, 16, 200
HUNG = 5  # of the listeners of each kind, one in so many never answers
REQUESTS, PAUSE = 16, 0.25  # seconds between two requests
TIME_LEFT = 2000  # milliseconds that each client waits
LATE = 0.5  # seconds after its time in which an answer earns nothing, yet counts
DRAIN_GRACE = 0.25 + 0.75  # seconds after a drain was told; the second part for this test's own lateness
ANSWERED = TIME_LEFT / 1000 + 30.0  # seconds in which even a node that stands still has answered
SETTLED = 6.0  # seconds after the last answer in which all that is held has been let go
CORES, PERIOD = 0.4, 0.05  # part of a core that the node gets, in each of these seconds
STARTING = 30.0  # seconds in which a process has to be ready
OBJECTS = 8  # of each engine, at least, that a collector would look at
ALIVE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Fleet:
    """3,200 engines, half of them prefill engines, behind some listeners; every fifth listener hangs."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.attempts: list[tuple[int, float]] = []  # listener, when it arrived
        self.held: set[str] = set()  # requests whose KV cache is held
        self.drained_at = 0.0
        self.listeners: list[Engine] = []
        for at in range(LISTENERS):
            kind = "prefill" if at % 2 else "decode"
            self.listeners.append(rig.engine(kind, self._script(at, kind)))
            self.listeners[-1].on_release = lambda listener=self.listeners[-1]: self._released(listener)
        self.entries = [self._entry(at) for at in range(ENGINES)]

    def _entry(self, at: int) -> dict[str, Any]:
        entry = self.listeners[at % LISTENERS].entry()
        return entry | {"name": f"s-{at:05d}", "zone": "abc"[at // 10 % 3], "group": at // 10}

    def _script(self, listener: int, kind: str) -> Any:
        hung = listener // 2 % HUNG == HUNG - 1

        def answer(request: bytes) -> bytes:
            if request.startswith(b"GET"):
                return b"" if hung else ALIVE
            match = re.search(rb"X-Request-ID: (\w+)", request)
            assert match is not None
            key = match[1].decode()
            self.attempts.append((listener, time.monotonic()))
            if hung:
                return b""
            if kind == "prefill":
                self.held.add(key)
            else:
                self.held.discard(key)
            return PREFILL_REPLY if kind == "prefill" else ANSWER

        return answer

    def _released(self, listener: Engine) -> None:
        self.held.discard(listener.asked[-1].split(b" ")[1].rpartition(b"/")[2].decode())

    def drain(self) -> None:
        """All engines of the first two listeners, one of each kind, are told draining."""
        leaving = [entry for at, entry in enumerate(self.entries) if at % LISTENERS < 2]
        self.rig.hosts.tell(3, *[entry | {"status": "DRAINING"} for entry in leaving])
        self.drained_at = time.monotonic()

    def start_anew(self) -> None:
        """Half of those that serve are told as just started."""
        now = time.time() * 1000
        serving = [entry for at, entry in enumerate(self.entries) if at % LISTENERS >= 2]
        self.rig.hosts.tell(2, *[entry | {"since_ms": now} for entry in serving[::2]])


class NodeProcess:
    """`worksmux node` with its log in a file."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        self.log = folder / "node.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "worksmux", "node"],
                env={**os.environ, "LB_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def port(self) -> int:
        """Where it serves; 0 while it does not yet."""
        match = re.search(rb'"port":(\d+).*"event":"serving"', self.log.read_bytes())
        return int(match[1]) if match else 0

    def frozen(self) -> int:
        """Objects that its collector leaves alone since it serves."""
        match = re.search(rb'"frozen_objects":(\d+).*"event":"serving"', self.log.read_bytes())
        assert match is not None
        return int(match[1])

    def slow_rounds(self) -> list[dict[str, Any]]:
        lines = (json.loads(line) for line in self.log.read_text().splitlines() if line.startswith("{"))
        return [line for line in lines if line["event"] == "slow decision round"]

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def config_of(rig: Rig, fleet: Fleet) -> dict[str, Any]:
    return {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{rig.hosts.port_number}",
        "seed": "8c",
        "limits": {"sockets": 1024, "cores": CORES},
        "settings": {
            **SETTINGS,
            "zones": ["a", "b", "c"],
            "balancers": FRONTS,
            "prices": {"cross_zone": 0.02},
        },
        "known": {"index": 1, "snapshot": True, "endpoints": fleet.entries},
    }


class CoreShare:
    """Gives a process part of a core, as the platform does: it is stopped and continued by signals."""

    def __init__(self, rig: Rig, process: subprocess.Popen[bytes]) -> None:
        self.rig, self.process, self.ended = rig, process, False
        self._pause()

    def _pause(self) -> None:
        if not self.ended:
            self.process.send_signal(signal.SIGSTOP)
            self.rig.reactor.callLater((1 - CORES) * PERIOD, self._go_on)

    def _go_on(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.rig.reactor.callLater(CORES * PERIOD, self._pause)

    def end(self) -> None:
        self.ended = True
        self.process.send_signal(signal.SIGCONT)


class Traffic:
    """Requests by new connections; each has its final answer, or is over its time."""

    def __init__(self, rig: Rig, port: int) -> None:
        self.rig, self.port = rig, port
        self.asked: list[tuple[Peer, float]] = []
        self.answered: dict[Peer, float] = {}

    def ask(self) -> None:
        self.rig.node = self  # its port is where the rig's clients connect
        number = len(self.asked)
        request = ask(f"{number:016x}", left=str(TIME_LEFT))
        request = request.replace(b"Route-Key: 7f", b"Route-Key: %x" % (7 * number + 1))
        request = request.replace(b"prefix=5c", b"prefix=%x" % (5 * number + 1))
        peer = self.rig.client(request)
        self.asked.append((peer, time.monotonic()))

    def look(self) -> None:
        for peer, _ in self.asked:
            whole = peer.ended or peer.got.endswith(b"0\r\n\r\n") or b"content-length" in peer.got.lower()
            if whole and peer not in self.answered:
                self.answered[peer] = time.monotonic()

    def late(self) -> list[float]:
        """Seconds by which answers came after their time; for those not answered yet, so far."""
        now = time.monotonic()
        over = [self.answered.get(peer, now) - asked - TIME_LEFT / 1000 for peer, asked in self.asked]
        return [seconds for seconds in over if seconds > LATE]


class Day(NamedTuple):
    fleet: Fleet
    traffic: Traffic
    node: NodeProcess


@pytest.fixture(scope="module")
def day(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Day]:
    """A release among thousands of engines: some drain, others start cold, while requests go on."""
    rig = Rig()
    fleet = Fleet(rig)
    node = NodeProcess(tmp_path_factory.mktemp("node"), config_of(rig, fleet))
    try:
        rig.until(lambda: node.port() and rig.hosts.watches, STARTING)
        traffic = Traffic(rig, node.port())
        share = CoreShare(rig, node.process)
        for at in range(REQUESTS):
            if at == REQUESTS // 4:
                fleet.start_anew()
            if at == REQUESTS // 2:
                fleet.drain()
            traffic.ask()
            until = time.monotonic() + PAUSE
            rig.until(lambda until=until: traffic.look() or time.monotonic() > until)
        rig.until(lambda: traffic.look() or len(traffic.answered) == REQUESTS, ANSWERED)
        until = time.monotonic() + SETTLED
        rig.until(lambda: not fleet.held or time.monotonic() > until, 2 * SETTLED)
        share.end()
        yield Day(fleet, traffic, node)
    finally:
        node.end()


def test_requests_are_answered_in_time_among_thousands_of_engines(day: Day) -> None:
    assert day.node.process.poll() is None
    assert len(day.fleet.attempts) >= REQUESTS
    assert not day.traffic.late(), day.node.slow_rounds()


def test_engines_are_frozen_for_the_garbage_collector(day: Day) -> None:
    assert day.node.frozen() > OBJECTS * ENGINES


def test_no_attempt_starts_at_draining_engines_among_thousands(day: Day) -> None:
    due = day.fleet.drained_at + DRAIN_GRACE
    assert [listener for listener, at in day.fleet.attempts if listener < 2 and at > due] == []


def test_no_kv_cache_stays_held_among_thousands_of_engines(day: Day) -> None:
    assert not day.fleet.held, day.node.slow_rounds()
