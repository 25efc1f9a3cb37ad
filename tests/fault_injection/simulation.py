"""A simulated clock with its event queue, and event loops of processes that can stall or die."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

START = 1000.0  # seconds: the clock at the beginning of a run


class Scheduled:
    """A call that is due at a time; the part of Twisted's IDelayedCall that protocols use."""

    __slots__ = ("_simulation", "_time", "_call", "_arguments", "_over")

    def __init__(
        self, simulation: Simulation, time: float, call: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        self._simulation, self._time, self._call, self._arguments = simulation, time, call, arguments
        self._over = False

    def active(self) -> bool:
        return not self._over

    def cancel(self) -> None:
        self._over = True

    def getTime(self) -> float:
        return self._time

    def reset(self, delay: float) -> None:
        """Puts the call off, or brings it forward, to `delay` seconds from now."""
        self._time = self._simulation.now + delay
        self._simulation.push(self)

    def delay(self, seconds: float) -> None:
        self._time += seconds
        self._simulation.push(self)

    def run(self) -> None:
        if not self._over:
            self._over = True
            self._call(*self._arguments)


class Simulation:
    """Runs scheduled calls in the order of their times; those of one time in the order they were made."""

    def __init__(self) -> None:
        self.now = START
        self._queue: list[tuple[float, int, Scheduled]] = []
        self._numbers = count()

    def call_at(self, time: float, call: Callable[..., Any], *arguments: Any) -> Scheduled:
        scheduled = Scheduled(self, max(time, self.now), call, arguments)
        self.push(scheduled)
        return scheduled

    def push(self, scheduled: Scheduled) -> None:
        heapq.heappush(self._queue, (scheduled.getTime(), next(self._numbers), scheduled))

    def run_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            time, _, scheduled = heapq.heappop(self._queue)
            if scheduled.active() and scheduled.getTime() <= time:
                self.now = max(self.now, time)
                scheduled.run()
        self.now = max(self.now, end)


class EventLoop:
    """The event loop of one process.

    While it is stalled nothing runs.  Afterwards the timers that came due run first, then what came from the
    network, each in its order: so do Twisted's reactors.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.dead = False
        self.stalled_until = 0.0
        self._due_timers: list[Scheduled] = []
        self._arrived: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []

    @property
    def stalled(self) -> bool:
        return self.simulation.now < self.stalled_until

    def call_later(self, delay: float, call: Callable[..., Any], *arguments: Any) -> Scheduled:
        """A timer of this process."""
        timer = Scheduled(self.simulation, self.simulation.now + max(0.0, delay), call, arguments)
        wrapper = _LoopTimer(self, timer)
        self.simulation.push(wrapper)
        return wrapper

    def deliver(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Something comes from the network."""
        if self.dead:
            return
        if self.stalled:
            self._arrived.append((call, arguments))
        else:
            call(*arguments)

    def timer_due(self, timer: Scheduled) -> None:
        if self.stalled and not self.dead:
            self._due_timers.append(timer)
        elif not self.dead:
            timer.run()

    def stall(self, seconds: float) -> None:
        self.stalled_until = max(self.stalled_until, self.simulation.now + seconds)
        self.simulation.call_at(self.stalled_until, self._wake)

    def die(self) -> None:
        self.dead = True
        self._due_timers.clear()
        self._arrived.clear()

    def _wake(self) -> None:
        if self.stalled:
            return
        timers, self._due_timers = self._due_timers, []
        arrived, self._arrived = self._arrived, []
        for timer in timers:
            timer.run()
        for call, arguments in arrived:
            self.deliver(call, *arguments)


class _LoopTimer(Scheduled):
    """A timer whose call goes through its process's event loop."""

    __slots__ = ("_loop", "_inner")

    def __init__(self, loop: EventLoop, inner: Scheduled) -> None:
        super().__init__(loop.simulation, inner.getTime(), loop.timer_due, (inner,))
        self._loop, self._inner = loop, inner

    def active(self) -> bool:
        return self._inner.active()

    def cancel(self) -> None:
        self._inner.cancel()

    def run(self) -> None:
        if self._inner.active():
            self._loop.timer_due(self._inner)
