"""The processes of a day: each is started, tells its port, and is ended or killed by its own handle."""

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
    """One process; `on_line` gets each line of its standard output and error, `on_end` its exit."""

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
        self.rest: dict[int, bytes] = {}
        self.alive = True
        self.process = reactor.spawnProcess(
            self, sys.executable, [sys.executable, *args], env={**os.environ, "PYTHONHASHSEED": "0"}
        )

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        self.log.write(data)
        *lines, self.rest[childFD] = (self.rest.get(childFD, b"") + data).split(b"\n")
        for line in lines:
            self.on_line(line)

    def processEnded(self, reason: Failure) -> None:
        self.alive = False
        self.log.close()
        self.on_end(getattr(reason.value, "exitCode", None))

    def signal(self, name: str) -> None:
        if self.alive:
            self.process.signalProcess(name)


def engine_port(line: bytes) -> int | None:
    return int(line) if line.isdigit() else None


def gateway_ports(line: bytes) -> tuple[int, int] | None:
    """The ports in a front's log line that says it serves."""
    if b'"serving"' not in line:
        return None
    told = msgspec.json.decode(line)
    return int(told["port"]), int(told["watch"])
