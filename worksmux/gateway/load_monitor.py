"""Measures the gateway's own load and reports it to the admission controller at regular intervals."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from ..admission.controller import AdmissionController
from ..admission.overload import Pressure
from ..forwarding.memory import resident_bytes
from ..net import clock
from ..net.loop import Reactor
from ..settings.front import Admission
from .metrics import Metrics

LOG = structlog.get_logger()
SAMPLE_INTERVAL_MS = 100.0


class LoadMonitor:
    """Samples the event loop's lag, the open sockets and the memory.

    Args:
        bounds: the limits of lag, sockets and memory, above which the gateway is overloaded.
        open_sockets: returns the number of open sockets of clients and engines.
    """

    def __init__(
        self,
        reactor: Reactor,
        admission: AdmissionController,
        bounds: Admission,
        metrics: Metrics,
        open_sockets: Callable[[], int],
    ) -> None:
        self.admission = admission
        self._reactor = reactor
        self._bounds = bounds
        self._metrics = metrics
        self._open_sockets = open_sockets
        self._sample_due_ms = 0.0
        self._is_shedding = False
        self._stopped = False

    def start(self) -> None:
        """Starts the regular samples."""
        self._schedule_sample(clock.now())

    def stop(self) -> None:
        """Ends the regular samples."""
        self._stopped = True

    def _schedule_sample(self, now: float) -> None:
        self._sample_due_ms = now + SAMPLE_INTERVAL_MS
        self._reactor.callLater(SAMPLE_INTERVAL_MS / 1000, self._sample)

    def _sample(self) -> None:
        if self._stopped:
            return
        now = clock.now()
        lag_ms = max(0.0, now - self._sample_due_ms)
        pressure = Pressure(
            lag_ms / self._bounds.loop_lag,
            self._open_sockets() / self._bounds.sockets,
            resident_bytes() / self._bounds.memory,
        )
        self.admission.update_pressure(now, pressure)
        level = self.admission.shedder.level
        self._metrics.shedding(level, lag_ms)
        if (level > 0) != self._is_shedding:
            self._is_shedding = level > 0
            self._log_change(pressure, lag_ms)
        self._schedule_sample(now)

    def _log_change(self, pressure: Pressure, lag_ms: float) -> None:
        LOG.warning(
            "gateway overloaded; the least valuable requests are shed"
            if self._is_shedding
            else "gateway no longer overloaded",
            lag_ms=round(lag_ms),
            lag=round(pressure.lag, 2),
            sockets=round(pressure.sockets, 2),
            memory=round(pressure.memory, 2),
        )
