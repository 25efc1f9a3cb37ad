"""The door of one front: ids outside, objects inside, for the simulator's wire and the running front alike.

No decision is taken here.  The door makes the engines, jobs and list entries that the module is told of,
finds them again by the ids that the outside uses, and forgets a job once nothing more can be told of it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from . import interface as i
from .router import Front


class Module(Protocol):
    """What decides: the module or a baseline behind the same entry point."""

    def decide(self, now: float, events: list[i.Event]) -> list[i.Action]: ...


Maker = Callable[[i.Settings, int], Module]


class Door:
    def __init__(self, settings: i.Settings, seed: int, make: Maker = Front) -> None:
        self.settings = settings
        self.module = make(settings, seed)
        self.engines: dict[bytes, i.Engine] = {}
        self.jobs: dict[int, i.Job] = {}
        self._touched: list[i.Job] = []

    def decide(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """One call to the module for all that happened, in order; its actions, in order."""
        # Guards against jobs kept for ever that were delivered: no action names them any more.
        for event in events:
            if isinstance(event, i.Ended):
                self._touched.append(event.trip.job)
            elif isinstance(event, i.Left):
                self._touched.append(event.job)
        actions = self.module.decide(now, events)
        for action in actions:
            if isinstance(action, (i.Defer, i.BreakOff, i.Release, i.Hold, i.Move)):
                self._touched.append(action.job)
        for job in self._touched:  # nothing more can be told of these
            if job.ended and all(trip.outcome for trip in job.trips):
                self.jobs.pop(job.id, None)
        self._touched.clear()
        return actions

    def engine(self, address: bytes, key: int) -> i.Engine:
        """The engine with this id, made at first sight; `key` is a number for hashing."""
        if address not in self.engines:
            self.engines[address] = i.Engine(address, key)
        return self.engines[address]

    def forget(self, engine: i.Engine) -> bool:
        """Forgets an engine that is gone, once the module has; whether it did."""
        if engine.state != "gone" or engine.trips or engine in getattr(self.module, "engines", ()):
            return False
        self.engines.pop(engine.id, None)
        return True

    def arrived(self, job: i.Job) -> i.Arrived:
        self.jobs[job.id] = job
        return i.Arrived(job)

    def left(self, number: int) -> i.Left | None:
        """None where the job was forgotten: it had ended a moment ago."""
        job = self.jobs.get(number)
        return i.Left(job) if job else None

    def trip(self, number: int, at: int) -> i.Trip | None:
        """Trip `at` of job `number`, of which something is about to be told."""
        job = self.jobs.get(number)
        if job is None or at >= len(job.trips):
            return None
        return job.trips[at]
