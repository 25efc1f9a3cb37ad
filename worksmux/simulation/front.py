"""A front in simulated time: the id map, the roster and the remembered list of the real one, without its
sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..api.listing import Listing
from ..endpoints.endpoint_list import EndpointList
from ..endpoints.keys import key_of
from ..endpoints.learned_state import LearnedStateRecorder
from ..endpoints.staleness import CachedEndpointList, CacheUpdate, EndpointStatus, ProbeReply
from ..failover.watcher import Watcher
from ..fakes.generator import Spec
from ..policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
)
from ..policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FirstToken,
    HealthCheckEnded,
    SlotReserved,
    TimerFired,
)
from ..policy.id_map import IdMap, PolicyFactory
from ..policy.settings import PolicySettings
from ..policy.state import Attempt, Engine, Outcome, Request
from .engine import Call, ModelEngine, Note
from .sim import Sim, Timer

NOWHERE = Spec("nowhere", "", "both", "", -1, 0, 0, 0.0)  # where an engine that is no more was


@dataclass(eq=False, slots=True)
class Case:
    """One job as its front has it; `answered(how)` tells its client."""

    request: Request
    key: str
    asked: Ask
    holder: ModelEngine | None = None
    held: dict[Engine, None] = field(default_factory=dict)
    place: Engine | None = None
    out: dict[Attempt, tuple[Call, ModelEngine]] = field(default_factory=dict)
    over: str = ""
    guard: Timer | None = None


@dataclass(eq=False, slots=True)
class Ask:
    """What a client asks; milliseconds and tokens."""

    id: str
    request_class: int
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
    attempts: int = 0
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
        settings: PolicySettings,
        zones: list[str],
        kinds: list[str],
        make: PolicyFactory,
        seed: int,
        note: Note,
        hop: float,
        doubt: float = 5000.0,
        margin: float = 30.0,
    ) -> None:
        self.sim, self.engines, self.name, self.settings, self.note = sim, engines, name, settings, note
        self.id_map = IdMap(settings, seed, make)
        self.roster = EndpointList(kinds, zones, self._engine, doubt, max(doubt, settings.slow_start_ms))
        self.hop, self.margin, self.turn = hop, margin, float(settings.tick_ms)
        self.cases: dict[Request, Case] = {}
        self.events: list[Event] = []
        self.due = self.dead = False
        self.number = 0
        self.closing: list[Case] = []
        self.nowhere = ModelEngine(sim, NOWHERE, lambda *_, **__: None, hop)
        self.nowhere.alive = False
        self.learner: LearnedStateRecorder | None = None
        self.watcher: Watcher | None = None
        self.beliefs: CachedEndpointList | None = None
        self.belief_timer: Timer | None = None
        self.counts = FrontCounts()
        self.start = f"{name}-{sim.now:.0f}"
        if settings.polls_endpoint_list:
            self._soon()

    def _engine(self, name: str) -> Engine:
        address = name.encode()
        return self.id_map.engine(address, key_of(address))

    # Turns.

    def tell(self, event: Event) -> None:
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
                self.learner.observe(self.sim.now, event)
        if self.watcher is not None:
            for event in events:
                self.watcher.observe(self.sim.now, event)
        for action in self.id_map.decide(self.sim.now, events):
            self._carry_out(action)
        closing, self.closing = self.closing, []
        for case in closing:
            if not case.out:
                self.cases.pop(case.request, None)

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
                self.beliefs.accept_list(empty=not message.engines)
            self.tell(told.event)

    def remember(self, beliefs: CachedEndpointList) -> None:
        """Starts from a remembered list."""
        self.beliefs = beliefs
        self._apply(beliefs.initial_update(), "cached")
        self._watch()

    def _apply(self, step: CacheUpdate, scope: str = "delta") -> None:
        entries = []
        for belief in step.changed:
            state = belief.status.listed_state
            if state == "gone" and belief.line.id not in self.roster.reader.known:
                continue
            entry = self.roster.reader.add_cached(
                self.sim.now,
                self.sim.now,
                belief.line,
                state,
                as_just_started=belief.status is EndpointStatus.STALE,
            )
            if entry is not None:
                entries.append(entry)
        if entries or scope == "cached":
            self.roster.add_cached(entries)
            self.tell(EndpointListUpdate(scope, entries))
        for line in step.to_probe:
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
                answer = ProbeReply(one.spec.id, one.spec.kind, one.started or 0.0, one.draining)
                self._apply(self.beliefs.probe_answered(name, answer))
            else:
                self._apply(self.beliefs.probe_failed(name, self.sim.now))
            self._watch()

        if engine is None:
            self.sim.after(2 * self.hop, heard, False, None)
        else:
            self.sim.after(self.hop, engine.probe, heard)

    def _believe(self, engine: Engine, outcome: Outcome) -> None:
        if self.beliefs is not None and not self.beliefs.superseded:
            self._apply(self.beliefs.attempt_ended(engine.id.decode(), outcome, self.sim.now))
            if outcome is Outcome.UNREACHABLE:
                self._watch()

    def _urge(self) -> None:
        if self.beliefs is not None and not self.beliefs.superseded:
            roles = dict(zip(self.roster.reader.kinds, self.settings.engine_roles, strict=True))
            step = self.beliefs.request_arrived(self.sim.now, roles)
            self._apply(step)
            if step.to_probe:
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
        request = Request(
            self.number,
            asked.request_class,
            asked.session,
            asked.prefix,
            asked.prompt,
            asked.prefix_tokens,
            float(asked.most),
            now,
            now + left,
            is_retry=asked.repeat,
        )
        case = Case(request, f"{self.start}.{self.number}", asked)
        case.guard = self.sim.after(left + self.settings.answer_slack_ms, self._overdue, case)
        self.cases[request] = case
        self.tell(self.id_map.request_arrived(request))

    def _overdue(self, case: Case) -> None:
        if not case.over and not case.request.streaming:
            self._answer(case, "overdue")
            self.tell(ClientDisconnected(case.request))

    def left_by(self, name: str) -> None:
        """The client of the try so named has hung up."""
        for case in self.cases.values():
            if case.asked.id == name:
                if not case.over:
                    self._answer(case, "left")
                    self.tell(ClientDisconnected(case.request))
                for attempt in list(case.out):
                    if attempt.request.streaming:
                        self._cancel(attempt)
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

    def _began(self, attempt: Attempt) -> None:
        case = self.cases.get(attempt.request)
        if case is None or self.dead or attempt not in case.out:
            return
        if attempt.request.streaming or case.over:
            return self._cancel(attempt)
        attempt.first_token_at, attempt.request.streaming = self.sim.now, True
        case.held.clear()
        case.asked.began()
        self.tell(FirstToken(attempt, self.sim.now - attempt.sent_at))

    def _ended(self, attempt: Attempt, outcome: Outcome, note: int) -> None:
        case = self.cases.get(attempt.request)
        if case is None or self.dead or case.out.pop(attempt, None) is None:
            return
        self._believe(attempt.engine, outcome)
        if outcome is Outcome.UNREACHABLE:
            self.counts.unreachable += 1
            self.counts.stale_last = self.sim.now
        if attempt.is_prefill:
            if outcome is Outcome.PREFILLED:
                case.holder = self.engines.get(attempt.engine.id.decode())
            if outcome not in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT):
                case.held[attempt.engine] = None
        elif outcome is Outcome.SERVED:
            self._answer(case, "delivered")
        elif attempt.first_token_at:
            self._answer(case, "broken off")
        elif outcome is Outcome.FULL and note == 1:
            case.holder = None
        self._close(case)
        self.tell(AttemptEnded(attempt, outcome, self.sim.now - attempt.sent_at, bool(case.over), note, None))

    # Actions.

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case RejectRequest(request, stay_away):
                if request in self.cases:
                    self.cases[request].asked.stay_away = stay_away
                self._final(request, "deferred")
            case AbortRequest(request):
                self._final(request, "broken off")
            case CancelAttempt(attempt):
                self._cancel(attempt)
            case SetTimer(after, token):
                self.sim.after(after, self.tell, TimerFired(token))
            case CheckHealth(engine):
                self._probe(engine)
            case ReserveSlot(request, engine):
                self._hold(request, engine)
            case ReleaseKvCache(request):
                self._release(request)
            case _:
                pass

    def _final(self, request: Request, how: str) -> None:
        case = self.cases.get(request)
        if case is not None:
            self._answer(case, how)

    def _cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        case = self.cases.get(attempt.request)
        if case is not None and attempt in case.out:
            call, engine = case.out[attempt]
            self.sim.after(self.hop, engine.cancel, call)
            self._ended(attempt, outcome, 0)

    def _send(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        case = self.cases.get(request)
        left = request.deadline - self.sim.now
        if case is None or case.over or request.streaming or left <= 0:
            self.tell(AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, case is None or bool(case.over)))
            return
        self.counts.attempts += 1
        if case.place not in (None, attempt.engine) and not attempt.is_prefill:
            self._let_go(case, case.place)
        asked = case.asked
        facts: dict[str, Any] = {
            "job": case.key,
            "trip": f"{case.key}.{attempt.number}",
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
            attempt.is_prefill,
            case.holder if request.kv_holder is not None else None,
            beginnings,
            lambda: self._began(attempt),
            lambda outcome, note: self._ended(attempt, outcome, note),
            facts,
        )
        engine = self.engines.get(attempt.engine.id.decode())
        if engine is None:
            case.out[attempt] = call, self.nowhere
            self.sim.after(2 * self.hop, self._ended, attempt, Outcome.UNREACHABLE, 0)
            return
        case.out[attempt] = call, engine
        self.sim.after(self.hop, engine.got, call)
        time_out = min(action.timeout_ms, left) if action.timeout_ms else left
        self.sim.after(time_out, self._late, attempt)

    def _late(self, attempt: Attempt) -> None:
        if attempt.outcome is None and not attempt.first_token_at:
            self._cancel(attempt, Outcome.TIMED_OUT)

    def _probe(self, engine: Engine) -> None:
        self.counts.probes += 1
        sent, target = self.sim.now, self.engines.get(engine.id.decode())
        told: list[Outcome] = []

        def end(outcome: Outcome) -> None:
            if not told:
                told.append(outcome)
                self.tell(HealthCheckEnded(engine, outcome, self.sim.now - sent))

        def heard(answered: bool, _: ModelEngine) -> None:
            end(Outcome.SERVED if answered else Outcome.UNREACHABLE)

        if target is None:
            self.sim.after(2 * self.hop, end, Outcome.UNREACHABLE)
        else:
            self.sim.after(self.hop, target.probe, heard)
            self.sim.after(self.settings.connect_timeout_ms, end, Outcome.TIMED_OUT)

    def _hold(self, request: Request, engine: Engine) -> None:
        case = self.cases.get(request)
        target = self.engines.get(engine.id.decode())
        if case is None or case.over or target is None:
            return
        reading = next((attempt for attempt in case.out if attempt.is_prefill), None)
        reader = case.out[reading][1] if reading is not None else None
        if reader is not None and reading is not None:
            case.out[reading][0].ahead = target
        if case.place not in (None, engine):
            self._let_go(case, case.place)
        case.place = engine
        case.held[engine] = None

        def reply(held: bool) -> None:
            if held and (case.over or request.streaming or case.place is not engine):
                self.sim.after(self.hop, target.release, case.key)
            if reading is not None and reading.outcome is None:
                self.tell(SlotReserved(reading, engine, held))

        self.sim.after(
            self.hop, target.place, case.key, request.prompt_tokens * 1.2, reader, self.name, reply
        )

    def _release(self, request: Request) -> None:
        case = self.cases.get(request)
        if case is not None:
            case.holder = None
            self._let_all_go(case, list(case.held))

    def _let_all_go(self, case: Case, engines: Iterable[Engine]) -> None:
        for engine in engines:
            self._let_go(case, engine)

    def _let_go(self, case: Case, engine: Engine | None) -> None:
        if engine is None:
            return
        case.held.pop(engine, None)
        if case.place is engine:
            case.place = None
        target = self.engines.get(engine.id.decode())
        if target is not None:
            self.sim.after(self.hop, target.release, case.key)
