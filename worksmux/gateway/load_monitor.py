"""Watches the front itself: how late its loop is, its sockets and its memory, told to the gate regularly."""

from __future__ import annotations

import os
from collections.abc import Callable

import structlog

from ..admission.controller import AdmissionController
from ..admission.overload import Pressure
from ..net import clock
from ..net.loop import Reactor
from ..settings.front import Admission
from .metrics import Metrics

LOG = structlog.get_logger()
EVERY = 100.0  # milliseconds
PAGE = os.sysconf("SC_PAGE_SIZE")


def resident() -> int:
    """Bytes of memory that the process holds; 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE
    except (OSError, ValueError, IndexError):
        return 0


class Watchman:
    """`sockets` counts what is open."""

    def __init__(
        self,
        reactor: Reactor,
        gate: AdmissionController,
        bounds: Admission,
        metrics: Metrics,
        sockets: Callable[[], int],
    ) -> None:
        self.reactor, self.gate, self.bounds, self.metrics, self.sockets = (
            reactor,
            gate,
            bounds,
            metrics,
            sockets,
        )
        self.due = 0.0
        self.lag = 0.0
        self.shedding = False
        self.ended = False

    def start(self) -> None:
        self.due = clock.now() + EVERY
        self.reactor.callLater(EVERY / 1000, self._look)

    def stop(self) -> None:
        self.ended = True

    def _look(self) -> None:
        if self.ended:
            return
        now = clock.now()
        self.lag = max(0.0, now - self.due)
        pressure = Pressure(
            self.lag / self.bounds.loop_lag,
            self.sockets() / self.bounds.sockets,
            resident() / self.bounds.memory,
        )
        self.gate.update_pressure(now, pressure)
        level = self.gate.shedder.level
        self.metrics.brownout(level, self.lag)
        if (level > 0) != self.shedding:
            self.shedding = level > 0
            LOG.warning(
                "the front is short and sheds the cheapest calls"
                if self.shedding
                else "the front is no longer short",
                lag_ms=round(self.lag),
                **{name: round(getattr(pressure, name), 2) for name in ("lag", "sockets", "memory")},
            )
        self.due = now + EVERY
        self.reactor.callLater(EVERY / 1000, self._look)
