"""A front in simulated time: the door, the roster and the remembered list of the real one, without its
sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..api.listing import Listing
from ..endpoints.endpoint_list import Roster
from ..endpoints.keys import key_of
from ..endpoints.learned_state import Learner
from ..endpoints.staleness import Answer, Beliefs, Stand, Step
from ..failover.watcher import Watcher
from ..fakes.generator import Spec
from ..policy import interface as i
from ..policy.id_map import Door, Maker
from .engine import Call, ModelEngine, Note
from .sim import Sim, Timer

NOWHERE = Spec("nowhere", "", "both", "", -1, 0, 0, 0.0)  # where an engine that is no more was


@dataclass(eq=False, slots=True)
class Case:
    """One job as its front has it; `answered(how)` tells its client."""

    job: i.Job
    key: str
    asked: Ask
    holder: ModelEngine | None = None
    held: dict[i.Engine, None] = field(default_factory=dict)
    place: i.Engine | None = None
    out: dict[i.Trip, tuple[Call, ModelEngine]] = field(default_factory=dict)
    over: str = ""
    guard: Timer | None = None


@dataclass(eq=False, slots=True)
class Ask:
    """What a client asks; milliseconds and tokens."""

    id: str
    offering: int
    name: str
    session: int
    prefix: int
    prompt: float
    prefix_tokens: float
    answer: int
    most: int
    left: float
    repeat: bool
    began: Callable[[], object]
    answered: Callable[[str], object]
    stay_away: float = 0.0  # told with a deferral


@dataclass(slots=True)
class FrontCounts:
    probes: int = 0
    trips: int = 0
    unreachable: int = 0
    stale_last: float = 0.0  # when a send last went to an engine that is no more
    turns: int = 0
    events: int = 0


class ModelFront:
    def __init__(
        self,
        sim: Sim,
        engines: dict[str, ModelEngine],
        name: str,
        settings: i.Settings,
        zones: list[str],
        kinds: list[str],
        make: Maker,
        seed: int,
        note: Note,
        hop: float,
        doubt: float = 5000.0,
        margin: float = 30.0,
    ) -> None:
        self.sim, self.engines, self.name, self.settings, self.note = sim, engines, name, settings, note
        self.door = Door(settings, seed, make)
        self.roster = Roster(kinds, zones, self._engine, doubt, max(doubt, settings["warm_up"]))
        self.hop, self.margin, self.turn = hop, margin, float(settings["tick"])
        self.cases: dict[i.Job, Case] = {}
        self.events: list[i.Event] = []
        self.due = self.dead = False
        self.number = 0
        self.closing: list[Case] = []
        self.nowhere = ModelEngine(sim, NOWHERE, lambda *_, **__: None, hop)
        self.nowhere.alive = False
        self.learner: Learner | None = None
        self.watcher: Watcher | None = None
        self.beliefs: Beliefs | None = None
        self.belief_timer: Timer | None = None
        self.counts = FrontCounts()
        self.start = f"{name}-{sim.now:.0f}"
        if settings["ask_for_list"]:
            self._soon()

    def _engine(self, name: str) -> i.Engine:
        address = name.encode()
        return self.door.engine(address, key_of(address))

    # Turns.

    def tell(self, event: i.Event) -> None:
        if not self.dead:
            self.events.append(event)
            self._soon()

    def _soon(self) -> None:
        if not self.due:
            self.due = True
            self.sim.after(self.turn, self._turn)

    def _turn(self) -> None:
        self.due = False
        if self.dead:
            return
        events, self.events = self.events, []
        self.counts.turns += 1
        self.counts.events += len(events)
        if self.learner is not None:
            for event in events:
                self.learner.saw(self.sim.now, event)
        if self.watcher is not None:
            for event in events:
                self.watcher.saw(self.sim.now, event)
        for action in self.door.decide(self.sim.now, events):
            self._carry_out(action)
        closing, self.closing = self.closing, []
        for case in closing:
            if not case.out:
                self.cases.pop(case.job, None)

    def die(self) -> None:
        """The process is killed: its clients see their connections break, its engines too."""
        self.dead = True
        self.note("runner", "front killed", front=self.name)
        for case in list(self.cases.values()):
            for call, engine in case.out.values():
                self.sim.after(self.hop, engine.cancel, call)
            if not case.over:
                case.over = "reset"
                case.asked.answered("reset")
        if self.belief_timer is not None:
            self.belief_timer.cancel()

    # The list.

    def listed(self, message: Listing) -> None:
        if self.dead:
            return
        told = self.roster.take(self.sim.now, message)
        if told.event is not None:
            if self.beliefs is not None and message.scope == "full":
                self.beliefs.listed(empty=not message.engines)
            self.tell(told.event)

    def remember(self, beliefs: Beliefs) -> None:
        """Starts from a remembered list."""
        self.beliefs = beliefs
        self._apply(beliefs.start(), "cached")
        self._watch()

    def _apply(self, step: Step, scope: str = "delta") -> None:
        entries = []
        for belief in step.changed:
            state = belief.stand.listed
            if state == "gone" and belief.line.id not in self.roster.keeper.known:
                continue
            entry = self.roster.keeper.remember(
                self.sim.now, self.sim.now, belief.line, state, careful=belief.stand is Stand.LIKELY
            )
            if entry is not None:
                entries.append(entry)
        if entries or scope == "cached":
            self.roster.remembered(entries)
            self.tell(i.Listed(scope, entries))
        for line in step.ask:
            self._ask(line.id)

    def _watch(self) -> None:
        if self.belief_timer is not None:
            self.belief_timer.cancel()
        at = self.beliefs.next_time() if self.beliefs else None
        if at is not None and not self.dead:
            self.belief_timer = self.sim.after(at - self.sim.now, self._tick)

    def _tick(self) -> None:
        if self.beliefs is not None and not self.dead:
            self._apply(self.beliefs.tick(self.sim.now))
            self._watch()

    def _ask(self, name: str) -> None:
        engine = self.engines.get(name)
        self.counts.probes += 1

        def heard(answered: bool, one: ModelEngine | None) -> None:
            if self.beliefs is None or self.dead:
                return
            if answered and one is not None:
                answer = Answer(one.spec.id, one.spec.kind, one.started or 0.0, one.draining)
                self._apply(self.beliefs.answered(name, answer))
            else:
                self._apply(self.beliefs.silent(name, self.sim.now))
            self._watch()

        if engine is None:
            self.sim.after(2 * self.hop, heard, False, None)
        else:
            self.sim.after(self.hop, engine.probe, heard)

    def _believe(self, engine: i.Engine, outcome: i.Outcome) -> None:
        if self.beliefs is not None and not self.beliefs.over:
            self._apply(self.beliefs.trip_ended(engine.id.decode(), outcome, self.sim.now))
            if outcome is i.Outcome.UNREACHABLE:
                self._watch()

    def _urge(self) -> None:
        if self.beliefs is not None and not self.beliefs.over:
            roles = dict(zip(self.roster.keeper.kinds, self.settings["roles"], strict=True))
            step = self.beliefs.job_came(self.sim.now, roles)
            self._apply(step)
            if step.ask:
                self._watch()

    # Jobs.

    def ask(self, asked: Ask) -> None:
        if self.dead:
            asked.answered("reset")
            return
        self._urge()
        self.number += 1
        now = self.sim.now
        left = max(0.0, asked.left - self.margin)
        job = i.Job(
            self.number,
            asked.offering,
            asked.session,
            asked.prefix,
            asked.prompt,
            asked.prefix_tokens,
            float(asked.most),
            now,
            now + left,
            repeat=asked.repeat,
        )
        case = Case(job, f"{self.start}.{self.number}", asked)
        case.guard = self.sim.after(left + self.settings["answer_slack"], self._overdue, case)
        self.cases[job] = case
        self.tell(self.door.arrived(job))

    def _overdue(self, case: Case) -> None:
        if not case.over and not case.job.began:
            self._answer(case, "overdue")
            self.tell(i.Left(case.job))

    def left_by(self, name: str) -> None:
        """The client of the try so named has hung up."""
        for case in self.cases.values():
            if case.asked.id == name:
                if not case.over:
                    self._answer(case, "left")
                    self.tell(i.Left(case.job))
                for trip in list(case.out):
                    if trip.job.began:
                        self._cancel(trip)
                return

    def _answer(self, case: Case, how: str) -> None:
        if case.over or self.dead:
            return
        case.over = how
        if case.guard is not None:
            case.guard.cancel()
        case.asked.answered(how)
        self._close(case)

    def _close(self, case: Case) -> None:
        """A case is forgotten at the end of a turn: the module may yet let go of what is held for it."""
        if case.over and not case.out:
            self.closing.append(case)
            self._soon()

    # What trips tell.

    def _began(self, trip: i.Trip) -> None:
        case = self.cases.get(trip.job)
        if case is None or self.dead or trip not in case.out:
            return
        if trip.job.began or case.over:
            return self._cancel(trip)
        trip.began, trip.job.began = self.sim.now, True
        case.held.clear()
        case.asked.began()
        self.tell(i.Began(trip, self.sim.now - trip.sent))

    def _ended(self, trip: i.Trip, outcome: i.Outcome, note: int) -> None:
        case = self.cases.get(trip.job)
        if case is None or self.dead or case.out.pop(trip, None) is None:
            return
        self._believe(trip.engine, outcome)
        if outcome is i.Outcome.UNREACHABLE:
            self.counts.unreachable += 1
            self.counts.stale_last = self.sim.now
        if trip.reading:
            if outcome is i.Outcome.READ:
                case.holder = self.engines.get(trip.engine.id.decode())
            if outcome not in (i.Outcome.FULL, i.Outcome.UNREACHABLE, i.Outcome.MOOT):
                case.held[trip.engine] = None
        elif outcome is i.Outcome.DELIVERED:
            self._answer(case, "delivered")
        elif trip.began:
            self._answer(case, "broken off")
        elif outcome is i.Outcome.FULL and note == 1:
            case.holder = None
        self._close(case)
        self.tell(i.Ended(trip, outcome, self.sim.now - trip.sent, bool(case.over), note, None))

    # Actions.

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send():
                self._send(action)
            case i.Defer(job, stay_away):
                if job in self.cases:
                    self.cases[job].asked.stay_away = stay_away
                self._final(job, "deferred")
            case i.BreakOff(job):
                self._final(job, "broken off")
            case i.Cancel(trip):
                self._cancel(trip)
            case i.Alarm(after, token):
                self.sim.after(after, self.tell, i.Rang(token))
            case i.Probe(engine):
                self._probe(engine)
            case i.Hold(job, engine):
                self._hold(job, engine)
            case i.Release(job):
                self._release(job)
            case _:
                pass

    def _final(self, job: i.Job, how: str) -> None:
        case = self.cases.get(job)
        if case is not None:
            self._answer(case, how)

    def _cancel(self, trip: i.Trip, outcome: i.Outcome = i.Outcome.CANCELLED) -> None:
        case = self.cases.get(trip.job)
        if case is not None and trip in case.out:
            call, engine = case.out[trip]
            self.sim.after(self.hop, engine.cancel, call)
            self._ended(trip, outcome, 0)

    def _send(self, action: i.Send) -> None:
        trip, job = action.trip, action.trip.job
        case = self.cases.get(job)
        left = job.give_up_at - self.sim.now
        if case is None or case.over or job.began or left <= 0:
            self.tell(i.Ended(trip, i.Outcome.MOOT, 0.0, case is None or bool(case.over)))
            return
        self.counts.trips += 1
        if case.place not in (None, trip.engine) and not trip.reading:
            self._let_go(case, case.place)
        asked = case.asked
        facts: dict[str, Any] = {
            "job": case.key,
            "trip": f"{case.key}.{trip.number}",
            "front": self.name,
            "try": asked.id,
            "label": case.key,
            "offering": asked.name,
        }
        beginnings: tuple[tuple[int, float], ...] = ((asked.session, asked.prompt),)
        if asked.prefix:
            beginnings += ((-asked.prefix, asked.prefix_tokens),)
        call = Call(
            case.key,
            facts["trip"],
            self.name,
            asked.name,
            asked.prompt,
            asked.answer,
            trip.reading,
            case.holder if job.holder is not None else None,
            beginnings,
            lambda: self._began(trip),
            lambda outcome, note: self._ended(trip, outcome, note),
            facts,
        )
        engine = self.engines.get(trip.engine.id.decode())
        if engine is None:
            case.out[trip] = call, self.nowhere
            self.sim.after(2 * self.hop, self._ended, trip, i.Outcome.UNREACHABLE, 0)
            return
        case.out[trip] = call, engine
        self.sim.after(self.hop, engine.got, call)
        time_out = min(action.time_out, left) if action.time_out else left
        self.sim.after(time_out, self._late, trip)

    def _late(self, trip: i.Trip) -> None:
        if trip.outcome is None and not trip.began:
            self._cancel(trip, i.Outcome.TIMED_OUT)

    def _probe(self, engine: i.Engine) -> None:
        self.counts.probes += 1
        sent, target = self.sim.now, self.engines.get(engine.id.decode())
        told: list[i.Outcome] = []

        def end(outcome: i.Outcome) -> None:
            if not told:
                told.append(outcome)
                self.tell(i.Probed(engine, outcome, self.sim.now - sent))

        def heard(answered: bool, _: ModelEngine) -> None:
            end(i.Outcome.DELIVERED if answered else i.Outcome.UNREACHABLE)

        if target is None:
            self.sim.after(2 * self.hop, end, i.Outcome.UNREACHABLE)
        else:
            self.sim.after(self.hop, target.probe, heard)
            self.sim.after(self.settings["connect_time_out"], end, i.Outcome.TIMED_OUT)

    def _hold(self, job: i.Job, engine: i.Engine) -> None:
        case = self.cases.get(job)
        target = self.engines.get(engine.id.decode())
        if case is None or case.over or target is None:
            return
        reading = next((trip for trip in case.out if trip.reading), None)
        reader = case.out[reading][1] if reading is not None else None
        if reader is not None and reading is not None:
            case.out[reading][0].ahead = target
        if case.place not in (None, engine):
            self._let_go(case, case.place)
        case.place = engine
        case.held[engine] = None

        def reply(held: bool) -> None:
            if held and (case.over or job.began or case.place is not engine):
                self.sim.after(self.hop, target.release, case.key)
            if reading is not None and reading.outcome is None:
                self.tell(i.Placed(reading, engine, held))

        self.sim.after(self.hop, target.place, case.key, job.prompt * 1.2, reader, self.name, reply)

    def _release(self, job: i.Job) -> None:
        case = self.cases.get(job)
        if case is not None:
            case.holder = None
            self._let_all_go(case, list(case.held))

    def _let_all_go(self, case: Case, engines: Iterable[i.Engine]) -> None:
        for engine in engines:
            self._let_go(case, engine)

    def _let_go(self, case: Case, engine: i.Engine | None) -> None:
        if engine is None:
            return
        case.held.pop(engine, None)
        if case.place is engine:
            case.place = None
        target = self.engines.get(engine.id.decode())
        if target is not None:
            self.sim.after(self.hop, target.release, case.key)
