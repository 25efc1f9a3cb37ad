"""Child processes of a scenario, each started, stopped and killed through its own handle."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure


class Child(ProcessProtocol):
    """One Python process.

    `on_line` receives each line of its standard output and error, `on_end` its exit code (None after a
    signal).
    """

    def __init__(
        self,
        reactor: Any,
        args: list[str],
        log: Path,
        on_line: Callable[[bytes], None],
        on_end: Callable[[int | None], None],
    ) -> None:
        self.log = log.open("ab")
        self.on_line, self.on_end = on_line, on_end
        self.unfinished_lines: dict[int, bytes] = {}
        self.alive = True
        self.process = reactor.spawnProcess(
            self, sys.executable, [sys.executable, *args], env={**os.environ, "PYTHONHASHSEED": "0"}
        )

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        self.log.write(data)
        *lines, self.unfinished_lines[childFD] = (self.unfinished_lines.get(childFD, b"") + data).split(b"\n")
        for line in lines:
            self.on_line(line)

    def processEnded(self, reason: Failure) -> None:
        self.alive = False
        self.log.close()
        self.on_end(getattr(reason.value, "exitCode", None))

    def signal(self, name: str) -> None:
        """Sends a signal by name, such as TERM, to a live process."""
        if self.alive:
            self.process.signalProcess(name)


def engine_port(line: bytes) -> int | None:
    """The port that an engine prints at its start; None for any other line."""
    return int(line) if line.isdigit() else None


def gateway_ports(line: bytes) -> tuple[int, int] | None:
    """The client port and the watch port in a gateway's log line `serving`; None for any other line."""
    if b'"serving"' not in line:
        return None
    record = msgspec.json.decode(line)
    return int(record["port"]), int(record["watch"])
