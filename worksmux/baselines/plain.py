"""Plain policies: a job goes to a reader, its state to a writer, by chance, in turn, or where few of our own
are.

They keep the rules as far as a front can without watching engines: drains, what may be repeated, one answer
in time, state let go, and a cold engine's budget by staying away from it while another of its role is warm.
"""

from __future__ import annotations

from ..policy import interface as i
from ..policy.measure import Chance


class Plain:
    """What the baselines share; a subclass picks one engine of several."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.chance = settings, Chance(seed)
        self.engines: dict[i.Engine, None] = {}
        self.jobs: dict[i.Job, None] = {}  # unanswered, with no trip out
        self.now = 0.0
        self.rings = False
        self.actions: list[i.Action] = [i.Watch(True)] if settings["ask_for_list"] else []

    def pick(self, engines: list[i.Engine]) -> i.Engine:
        raise NotImplementedError

    def decide(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.now = now
        for event in events:
            self._take(event)
        for job in list(self.jobs):
            self._forward(job)
        if self.jobs and not self.rings:
            self.rings = True
            self.actions.append(i.Alarm(self.settings["release_within"] / 6, 0))
        actions, self.actions = self.actions, []
        return actions

    def _take(self, event: i.Event) -> None:
        match event:
            case i.Arrived(job):
                self.jobs[job] = None
            case i.Began(trip, _):
                trip.began, trip.job.began, trip.job.holder = self.now, True, None
            case i.Ended():
                self._ended(event)
            case i.Left(job):
                self._drop(job)
            case i.Rang():
                self.rings = False
            case i.Listed():
                self._list(event)

    def _list(self, event: i.Listed) -> None:
        if event.scope == "failed":
            return
        if event.scope != "delta":
            for engine in self.engines.keys() - {entry.engine for entry in event.entries}:
                engine.state = "gone"
        for entry in event.entries:
            engine = entry.engine
            self.engines[engine] = None
            engine.state, engine.started, engine.size = entry.state, entry.started, entry.size
            engine.zone, engine.cell, engine.kind = entry.zone, entry.cell, entry.kind
            engine.role = self.settings["roles"][entry.kind]

    def _ended(self, event: i.Ended) -> None:
        trip, job = event.trip, event.trip.job
        trip.outcome = event.outcome
        trip.engine.trips.pop(trip, None)
        if event.closed:
            job.ended = True
        if job.ended:
            if event.outcome is not i.Outcome.DELIVERED:
                self.actions.append(i.Release(job))
        elif event.outcome is i.Outcome.READ:
            job.holder, job.held_since = trip.engine, self.now
            self.jobs[job] = None
        else:
            if job.holder and event.outcome is i.Outcome.FULL and event.note != 1:
                job.held_since = self.now
            else:
                job.holder = None
                self.actions.append(i.Release(job))
            self.jobs[job] = None

    def _drop(self, job: i.Job) -> None:
        job.ended = True
        self.jobs.pop(job, None)
        for trip in job.out:
            if self.settings["may_cancel"] and not trip.began and not trip.called_off:
                trip.called_off = True
                self.actions.append(i.Cancel(trip))
        if job.trips and not job.out:
            self.actions.append(i.Release(job))

    def _may_repeat(self, job: i.Job) -> bool:
        effect = self.settings["offerings"][job.offering]["effect"]
        return not job.may_have_run or effect == "redoable"

    def _forward(self, job: i.Job) -> None:
        last = self.now > job.give_up_at - self.settings["release_within"] / 2
        spent = len(job.trips) >= self.settings["most_trips"] or not self._may_repeat(job)
        if last or spent:
            self.actions.append(i.Defer(job) if self._may_repeat(job) else i.BreakOff(job))
            return self._drop(job)
        roles = ("write", "both") if job.holder else ("read", "both")
        able = [engine for engine in self.engines if engine.state == "ready" and engine.role in roles]
        warm = [
            engine
            for engine in able
            if not engine.started or self.now >= engine.started + self.settings["warm_up"]
        ]
        if not warm:
            if job.holder and self.now > job.held_since + self.settings["release_within"] / 2:
                job.holder = None
                self.actions.append(i.Release(job))
            return
        engine = self.pick(warm)
        trip = i.Trip(job, engine, len(job.trips), self.now, engine.role == "read")
        job.trips.append(trip)
        engine.trips[trip] = None
        del self.jobs[job]
        self.actions.append(i.Send(trip))


class Random(Plain):
    """Any engine of the role."""

    def pick(self, engines: list[i.Engine]) -> i.Engine:
        return engines[int(self.chance.share() * len(engines))]


class RoundRobin(Plain):
    """The engine that had no turn for longest, without windows."""

    turns = 0

    def pick(self, engines: list[i.Engine]) -> i.Engine:
        self.turns += 1
        engine = min(engines, key=lambda engine: engine.turn)
        engine.turn = self.turns
        return engine


class LeastOfOurOwn(Plain):
    """The engine with the fewest of our own trips; chance decides between equals."""

    def pick(self, engines: list[i.Engine]) -> i.Engine:
        fewest = min(len(engine.trips) for engine in engines)
        able = [engine for engine in engines if len(engine.trips) == fewest]
        return able[int(self.chance.share() * len(able))]
