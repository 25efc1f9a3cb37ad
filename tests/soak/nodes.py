"""Node processes: start, signals in series, SIGKILL at the earliest time, and restart under the same name."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from node_rig import SETTINGS

from .discovery import Agent, Discovery
from .node_shim import Control
from .records import NodeRecord, Records

MAX_KILL_DEADLINE_S, KILL_MARGIN_S = 3.0, 0.7  # SIGKILL comes this long after SIGTERM at the earliest
RESTART_PAUSE_S = 0.3
READY_S = 10.0  # within which a restarted node has to serve
ROOT = str(Path(__file__).parents[2])  # the program beside these tests, whatever is installed
SHIM = str(Path(__file__).with_name("node_shim.py"))
SOCKETS = 256  # descriptors of a node
MEMORY_MB = 48.0  # over this the platform would kill the node
POLL_S = 0.02
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FLOOD = str(Path(__file__).with_name("flood.py"))
FAILURE_TEXTS = (b'"event":"policy failed', b"Traceback (most recent call last)", b"Unhandled error")
CLASSES = [
    {"name": "feedback", "aim": 1500.0, "deadline": 4300.0, "worth": 1.0, "repeat": "free"},
    {"name": "mark-entry", "aim": 1500.0, "deadline": 4300.0, "worth": 5.0, "repeat": "single_shot"},
]


def _replace(path: Path, data: bytes) -> None:
    """Writes a file so that a reader never sees a part of it."""
    written = path.with_suffix(".new")
    written.write_bytes(data)
    written.replace(path)


def _private_mb(process_id: int) -> float:
    """Returns the memory of a process without mapped files; 0 once it has ended."""
    try:
        fields = Path(f"/proc/{process_id}/statm").read_text().split()
    except OSError:
        return 0.0
    return (int(fields[1]) - int(fields[2])) * PAGE_BYTES / 2**20 if len(fields) > 2 else 0.0


class NodeProcess:
    """One node of the fleet through all its starts."""

    def __init__(
        self,
        number: int,
        nodes: int,
        host: str,
        agent: Agent,
        discovery: Discovery,
        folder: Path,
        records: Records,
    ) -> None:
        self.number, self.nodes, self.host, self.port = number, nodes, host, 3000
        self.agent, self.discovery, self.folder, self.records = agent, discovery, folder, records
        self.reactor = agent.reactor
        self.starts = 0
        self._floods: list[subprocess.Popen[bytes]] = []
        self._control = Control()
        self.process: subprocess.Popen[bytes] | None = None
        self.record: NodeRecord
        self._log_path = folder / f"n{number}.log"

    # Start.

    def start(self) -> None:
        """Starts the process; clients come once it serves."""
        self.starts += 1
        name = f"n{self.number}.{self.starts}"
        self._write_config()
        self._control = Control()
        self._write_control()
        self._log_path = self.folder / f"{name}.log"
        self.record = self.records.nodes[name] = NodeRecord(name, time.monotonic())
        self.agent.node_started(self.record)
        with self._log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, SHIM, str(self._control_path), "node"],
                env={**os.environ, "LB_CONFIG": str(self._config_path), "PYTHONPATH": ROOT},
                stdout=log,
                stderr=log,
            )
        self._poll(self.record, self.process)

    @property
    def _control_path(self) -> Path:
        return self.folder / f"n{self.number}.control"

    @property
    def _config_path(self) -> Path:
        return self.folder / f"n{self.number}.json"

    def _write_config(self) -> None:
        config = {
            "name": f"n{self.number}",
            "listen": f"{self.host}:{self.port}",
            "discovery": self.agent.address,
            "seed": f"{self.number + 1:x}",
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "settings": self._settings(),
            "known": self.discovery.known(),
        }
        _replace(self._config_path, json.dumps(config).encode())

    def _settings(self) -> dict[str, Any]:
        zones = ["a", "b", "c"]
        place = {"me": self.number, "balancers": self.nodes, "zone": self.number % len(zones), "zones": zones}
        return {**SETTINGS, **place, "services": CLASSES}

    def _poll(self, record: NodeRecord, process: subprocess.Popen[bytes]) -> None:
        """Watches for the end of the process."""
        code = process.poll()
        if code is None:
            record.peak_mb = max(record.peak_mb, _private_mb(process.pid))
            self.reactor.callLater(POLL_S, self._poll, record, process)
            return
        record.exited_at, record.exit_code = time.monotonic(), code

    @property
    def serves(self) -> bool:
        """Whether clients are sent to this node."""
        return self.is_running and b'"event":"serving"' in self._log_path.read_bytes()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    # Signals.

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def reload(self) -> None:
        """Moves discovery and sends SIGHUP."""
        self.agent.move()
        self._write_config()
        self.send(signal.SIGHUP)

    def terminate(self, further_signals: tuple[tuple[float, signal.Signals], ...]) -> None:
        """Sends SIGTERM and further signals, SIGKILL at the earliest time, and starts the process again."""
        if not self.is_running or self.record.terminated_at is not None:
            return
        self.record.terminated_at = time.monotonic()
        self.send(signal.SIGTERM)
        for delay_s, number in further_signals:
            self.reactor.callLater(delay_s, self.send, number)
        self.reactor.callLater(MAX_KILL_DEADLINE_S + KILL_MARGIN_S, self.kill)

    def kill(self) -> None:
        """Sends SIGKILL if the process still runs, and starts it again."""
        if self.is_running:
            self.record.killed_at = time.monotonic()
            self.records.ledger.process_killed(self.record.name)
            self.send(signal.SIGKILL)
        self.reactor.callLater(RESTART_PAUSE_S, self._restart)

    def _restart(self) -> None:
        if self.process is not None:
            self.process.wait()
        self.start()

    def step_clock(self, seconds: float) -> None:
        """Steps the wall clock of this start of the process."""
        self._control.wall_step_s += seconds
        self._write_control()

    def fail_calls(self, share: float) -> None:
        """Makes a share of the system calls on sockets fail."""
        self._control.failing_share = share
        self._write_control()

    def _write_control(self) -> None:
        _replace(self._control_path, msgspec.json.encode(self._control))

    def stall(self, times: int, seconds: float) -> None:
        """Stops and continues the process, several times."""
        if times <= 0 or not self.is_running:
            return
        self.send(signal.SIGSTOP)

        def go_on() -> None:
            self.send(signal.SIGCONT)
            self.reactor.callLater(seconds, self.stall, times - 1, seconds)

        self.reactor.callLater(seconds, go_on)

    def flood(self, kind: str, clients: int) -> None:
        """Starts bad clients of this node."""
        command = [sys.executable, FLOOD, self.host, str(self.port), kind, str(clients)]
        self._floods.append(subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL))

    def end(self) -> None:
        """Ends the process at the end of a run."""
        for flood in self._floods:
            flood.kill()
            flood.wait()
        if self.process is not None and self.is_running:
            self.record.killed_at = time.monotonic()
            self.process.kill()
            self.process.wait()

    def failures(self) -> list[str]:
        """Returns the log lines of all starts that tell of a failure of the program."""
        return [
            f"{path.name}: {line[:300].decode(errors='replace')}"
            for path in sorted(self.folder.glob(f"n{self.number}.*.log"))
            for line in path.read_bytes().splitlines()
            if any(text in line for text in FAILURE_TEXTS)
        ]
