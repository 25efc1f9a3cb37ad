"""A simulated clock with its event queue, and the event loops of processes, which can stall or die."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

START_S = 1000.0  # the clock at the beginning of a run, in seconds


class ScheduledCall:
    """A call that is due at a given time: the part of Twisted's IDelayedCall that protocols use."""

    __slots__ = ("_simulation", "_time", "_call", "_arguments", "_over")

    def __init__(
        self, simulation: Simulation, time: float, call: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        self._simulation, self._time, self._call, self._arguments = simulation, time, call, arguments
        self._over = False

    def active(self) -> bool:
        """Returns whether the call has neither run nor been cancelled."""
        return not self._over

    def cancel(self) -> None:
        """Prevents the call."""
        self._over = True

    def getTime(self) -> float:
        """Returns the time (seconds) at which the call is due."""
        return self._time

    def reset(self, delay: float) -> None:
        """Makes the call due `delay` seconds from now, earlier or later than before."""
        self._time = self._simulation.now + delay
        self._simulation.push(self)

    def delay(self, seconds: float) -> None:
        """Postpones the call."""
        self._time += seconds
        self._simulation.push(self)

    def run(self) -> None:
        """Makes the call, unless it has been made or cancelled."""
        if not self._over:
            self._over = True
            self._call(*self._arguments)


class Simulation:
    """Runs scheduled calls in the order of their times; calls of the same time in the order of scheduling."""

    def __init__(self) -> None:
        self.now = START_S
        self._queue: list[tuple[float, int, ScheduledCall]] = []
        self._numbers = count()

    def call_at(self, time: float, call: Callable[..., Any], *arguments: Any) -> ScheduledCall:
        """Schedules a call at a time in seconds, or now if the time has passed."""
        scheduled = ScheduledCall(self, max(time, self.now), call, arguments)
        self.push(scheduled)
        return scheduled

    def push(self, scheduled: ScheduledCall) -> None:
        """Queues a call for the time at which it is due; older entries of a postponed call are skipped."""
        heapq.heappush(self._queue, (scheduled.getTime(), next(self._numbers), scheduled))

    def run_until(self, end: float) -> None:
        """Runs all calls that are due up to `end`, and sets the clock to `end`."""
        while self._queue and self._queue[0][0] <= end:
            time, _, scheduled = heapq.heappop(self._queue)
            if scheduled.active() and scheduled.getTime() <= time:
                self.now = max(self.now, time)
                scheduled.run()
        self.now = max(self.now, end)


class EventLoop:
    """The event loop of one process.

    While the loop is stalled, nothing runs.  Afterwards the timers that came due run first, then the calls
    that the network delivered, each in their order, as in Twisted's reactors.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.dead = False
        self.stalled_until = 0.0
        self._due_timers: list[ScheduledCall] = []
        self._arrived: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []

    @property
    def stalled(self) -> bool:
        """Returns whether the loop is stalled now."""
        return self.simulation.now < self.stalled_until

    def call_later(self, delay: float, call: Callable[..., Any], *arguments: Any) -> ScheduledCall:
        """Starts a timer of the process."""
        timer = ScheduledCall(self.simulation, self.simulation.now + max(0.0, delay), call, arguments)
        wrapper = _LoopTimer(self, timer)
        self.simulation.push(wrapper)
        return wrapper

    def deliver(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Runs a call from the network, after the stall if the loop is stalled."""
        if self.dead:
            return
        if self.stalled:
            self._arrived.append((call, arguments))
        else:
            call(*arguments)

    def timer_due(self, timer: ScheduledCall) -> None:
        """Runs a timer that is due, after the stall if the loop is stalled."""
        if self.stalled and not self.dead:
            self._due_timers.append(timer)
        elif not self.dead:
            timer.run()

    def stall(self, seconds: float) -> None:
        """Stalls the loop for at least `seconds` from now."""
        self.stalled_until = max(self.stalled_until, self.simulation.now + seconds)
        self.simulation.call_at(self.stalled_until, self._wake)

    def die(self) -> None:
        """Ends the loop: nothing runs any more."""
        self.dead = True
        self._due_timers.clear()
        self._arrived.clear()

    def _wake(self) -> None:
        """Runs the timers and calls that waited for the end of the stall."""
        if self.stalled:
            return
        timers, self._due_timers = self._due_timers, []
        arrived, self._arrived = self._arrived, []
        for timer in timers:
            timer.run()
        for call, arguments in arrived:
            self.deliver(call, *arguments)


class _LoopTimer(ScheduledCall):
    """A timer whose call runs in the event loop of its process."""

    __slots__ = ("_loop", "_inner")

    def __init__(self, loop: EventLoop, inner: ScheduledCall) -> None:
        super().__init__(loop.simulation, inner.getTime(), loop.timer_due, (inner,))
        self._loop, self._inner = loop, inner

    def active(self) -> bool:
        return self._inner.active()

    def cancel(self) -> None:
        self._inner.cancel()

    def run(self) -> None:
        if self._inner.active():
            self._loop.timer_due(self._inner)
