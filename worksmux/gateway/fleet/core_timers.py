"""One timer for each sans-I/O core, for when it wants to be stepped next."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ...net import clock
from ...net.loop import Reactor, Timer


class CoreTimers:
    """Timers by the names of their cores; none is set any more once closed."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self._due: dict[str, float] = {}
        self._timers: dict[str, Timer] = {}
        self._closed = False

    def ring_at(self, core: str, due: float, ring: Callable[[], None]) -> None:
        """Calls `ring` at a time in milliseconds, in place of what was set for this core; never where that is
        infinite."""
        timer = self._timers.get(core)
        if timer is not None and timer.active():
            if self._due[core] == due:
                return
            timer.cancel()
        if due < inf and not self._closed:
            self._due[core] = due
            self._timers[core] = self.reactor.callLater(max(0.0, due - clock.now()) / 1000, ring)

    def close(self) -> None:
        self._closed = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
