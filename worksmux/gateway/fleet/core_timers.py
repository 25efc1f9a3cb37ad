"""One timer for each I/O-free core, set to the time of the core's next tick."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...net import clock
from ...net.loop import Reactor, Timer


class CoreTimers:
    """Timers by the name of their core; none is set after `close`."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._due_ms: dict[str, float] = {}
        self._timers: dict[str, Timer] = {}
        self._closed = False

    def schedule(self, core: str, due_ms: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at `due_ms` of the monotonic clock; replaces the core's earlier timer.

        An infinite time cancels the timer. A timer that is already set to that time keeps its callback.
        """
        timer = self._timers.get(core)
        if timer is not None and timer.active():
            if self._due_ms[core] == due_ms:
                return
            timer.cancel()
        if due_ms < inf and not self._closed:
            self._due_ms[core] = due_ms
            delay_s = max(0.0, due_ms - clock.now()) / 1000
            self._timers[core] = self._reactor.callLater(delay_s, callback)

    def close(self) -> None:
        """Cancels all timers."""
        self._closed = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
