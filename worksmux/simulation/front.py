"""Gateway in simulated time.

It uses the id map, the endpoint list and the cached endpoint list of the real gateway, without its sockets.
"""

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

# Stands for an engine that no longer exists.
MISSING_ENGINE_SPEC = Spec("nowhere", "", "both", "", -1, 0, 0, 0.0)


@dataclass(eq=False, slots=True)
class RequestContext:
    """One request at its gateway."""

    request: Request
    journal_id: str
    client_attempt: ClientAttempt
    kv_holder: ModelEngine | None = None
    engines_with_kv: dict[Engine, None] = field(default_factory=dict)
    reserved_engine: Engine | None = None
    calls: dict[Attempt, tuple[Call, ModelEngine]] = field(default_factory=dict)
    outcome: str = ""
    deadline_timer: Timer | None = None


@dataclass(eq=False, slots=True)
class ClientAttempt:
    """What one try of a client sends, in milliseconds and tokens.

    `on_answer(answer)` tells the client how its request ended.
    """

    id: str
    request_class: int
    request_class_name: str
    session: int
    prefix: int
    prompt_tokens: float
    prefix_tokens: float
    answer_tokens: int
    max_answer_tokens: int
    time_left_ms: float
    is_retry: bool
    on_first_token: Callable[[], object]
    on_answer: Callable[[str], object]
    retry_after_ms: float = 0.0  # sent with a rejection


@dataclass(slots=True)
class GatewayCounts:
    """Counters of one gateway."""

    probes: int = 0
    attempts: int = 0
    unreachable: int = 0
    last_unreachable_at: float = 0.0  # last attempt at an engine that no longer exists
    decision_rounds: int = 0
    events: int = 0


class ModelGateway:
    """Simulated gateway that runs the decision code of the real one."""

    def __init__(
        self,
        sim: Sim,
        engines: dict[str, ModelEngine],
        name: str,
        settings: PolicySettings,
        zones: list[str],
        kinds: list[str],
        policy_factory: PolicyFactory,
        seed: int,
        note: Note,
        hop_ms: float,
        empty_list_confirmation_ms: float = 5000.0,
        answer_margin_ms: float = 30.0,
    ) -> None:
        self.sim, self.engines, self.name, self.settings, self.note = sim, engines, name, settings, note
        self.id_map = IdMap(settings, seed, policy_factory)
        self.endpoint_list = EndpointList(
            kinds,
            zones,
            self._engine,
            empty_list_confirmation_ms,
            max(empty_list_confirmation_ms, settings.slow_start_ms),
        )
        self.hop_ms, self.answer_margin_ms, self.tick_ms = hop_ms, answer_margin_ms, float(settings.tick_ms)
        self.contexts: dict[Request, RequestContext] = {}
        self.events: list[Event] = []
        self.round_is_scheduled = self.is_dead = False
        self.sequence = 0
        self.closing: list[RequestContext] = []
        self.missing_engine = ModelEngine(sim, MISSING_ENGINE_SPEC, lambda *_, **__: None, hop_ms)
        self.missing_engine.alive = False
        self.learner: LearnedStateRecorder | None = None
        self.watcher: Watcher | None = None
        self.cached_list: CachedEndpointList | None = None
        self.cached_list_timer: Timer | None = None
        self.counts = GatewayCounts()
        self.run_id = f"{name}-{sim.now:.0f}"
        if settings.polls_endpoint_list:
            self._schedule_round()

    def _engine(self, name: str) -> Engine:
        address = name.encode()
        return self.id_map.engine(address, key_of(address))

    # Decision rounds.

    def add_event(self, event: Event) -> None:
        """Adds an event to the next decision round."""
        if not self.is_dead:
            self.events.append(event)
            self._schedule_round()

    def _schedule_round(self) -> None:
        if not self.round_is_scheduled:
            self.round_is_scheduled = True
            self.sim.after(self.tick_ms, self._run_round)

    def _run_round(self) -> None:
        self.round_is_scheduled = False
        if self.is_dead:
            return
        events, self.events = self.events, []
        self.counts.decision_rounds += 1
        self.counts.events += len(events)
        if self.learner is not None:
            for event in events:
                self.learner.observe(self.sim.now, event)
        if self.watcher is not None:
            for event in events:
                self.watcher.observe(self.sim.now, event)
        for action in self.id_map.decide(self.sim.now, events):
            self._execute(action)
        closing, self.closing = self.closing, []
        for context in closing:
            if not context.calls:
                self.contexts.pop(context.request, None)

    def kill(self) -> None:
        """Kills the process: the connections to its clients and engines break."""
        self.is_dead = True
        self.note("runner", "front killed", front=self.name)
        for context in list(self.contexts.values()):
            for call, engine in context.calls.values():
                self.sim.after(self.hop_ms, engine.cancel, call)
            if not context.outcome:
                context.outcome = "reset"
                context.client_attempt.on_answer("reset")
        if self.cached_list_timer is not None:
            self.cached_list_timer.cancel()

    # Endpoint list.

    def on_endpoint_list(self, message: Listing) -> None:
        """Applies a message of the registry to the endpoint list."""
        if self.is_dead:
            return
        update = self.endpoint_list.take(self.sim.now, message)
        if update.event is not None:
            if self.cached_list is not None and message.scope == "full":
                self.cached_list.accept_list(empty=not message.engines)
            self.add_event(update.event)

    def use_cached_list(self, cached_list: CachedEndpointList) -> None:
        """Starts from a cached endpoint list."""
        self.cached_list = cached_list
        self._apply(cached_list.initial_update(), "cached")
        self._schedule_tick()

    def _apply(self, update: CacheUpdate, scope: str = "delta") -> None:
        entries = []
        for endpoint in update.changed:
            state = endpoint.status.listed_state
            if state == "gone" and endpoint.line.id not in self.endpoint_list.reader.known:
                continue
            entry = self.endpoint_list.reader.add_cached(
                self.sim.now,
                self.sim.now,
                endpoint.line,
                state,
                as_just_started=endpoint.status is EndpointStatus.STALE,
            )
            if entry is not None:
                entries.append(entry)
        if entries or scope == "cached":
            self.endpoint_list.add_cached(entries)
            self.add_event(EndpointListUpdate(scope, entries))
        for line in update.to_probe:
            self._probe_cached(line.id)

    def _schedule_tick(self) -> None:
        if self.cached_list_timer is not None:
            self.cached_list_timer.cancel()
        next_time = self.cached_list.next_time() if self.cached_list else None
        if next_time is not None and not self.is_dead:
            self.cached_list_timer = self.sim.after(next_time - self.sim.now, self._tick)

    def _tick(self) -> None:
        if self.cached_list is not None and not self.is_dead:
            self._apply(self.cached_list.tick(self.sim.now))
            self._schedule_tick()

    def _probe_cached(self, name: str) -> None:
        engine = self.engines.get(name)
        self.counts.probes += 1

        def on_probe_reply(has_answered: bool, replying_engine: ModelEngine | None) -> None:
            if self.cached_list is None or self.is_dead:
                return
            if has_answered and replying_engine is not None:
                reply = ProbeReply(
                    replying_engine.spec.id,
                    replying_engine.spec.kind,
                    replying_engine.started or 0.0,
                    replying_engine.draining,
                )
                self._apply(self.cached_list.probe_answered(name, reply))
            else:
                self._apply(self.cached_list.probe_failed(name, self.sim.now))
            self._schedule_tick()

        if engine is None:
            self.sim.after(2 * self.hop_ms, on_probe_reply, False, None)
        else:
            self.sim.after(self.hop_ms, engine.probe, on_probe_reply)

    def _record_outcome(self, engine: Engine, outcome: Outcome) -> None:
        if self.cached_list is not None and not self.cached_list.superseded:
            self._apply(self.cached_list.attempt_ended(engine.id.decode(), outcome, self.sim.now))
            if outcome is Outcome.UNREACHABLE:
                self._schedule_tick()

    def _update_cached_list(self) -> None:
        if self.cached_list is not None and not self.cached_list.superseded:
            roles = dict(zip(self.endpoint_list.reader.kinds, self.settings.engine_roles, strict=True))
            update = self.cached_list.request_arrived(self.sim.now, roles)
            self._apply(update)
            if update.to_probe:
                self._schedule_tick()

    # Requests.

    def receive(self, client_attempt: ClientAttempt) -> None:
        """Takes the request of a client's try, and schedules a decision round for it."""
        if self.is_dead:
            client_attempt.on_answer("reset")
            return
        self._update_cached_list()
        self.sequence += 1
        now = self.sim.now
        time_left_ms = max(0.0, client_attempt.time_left_ms - self.answer_margin_ms)
        request = Request(
            self.sequence,
            client_attempt.request_class,
            client_attempt.session,
            client_attempt.prefix,
            client_attempt.prompt_tokens,
            client_attempt.prefix_tokens,
            float(client_attempt.max_answer_tokens),
            now,
            now + time_left_ms,
            is_retry=client_attempt.is_retry,
        )
        context = RequestContext(request, f"{self.run_id}.{self.sequence}", client_attempt)
        context.deadline_timer = self.sim.after(
            time_left_ms + self.settings.answer_slack_ms, self._on_deadline, context
        )
        self.contexts[request] = context
        self.add_event(self.id_map.request_arrived(request))

    def _on_deadline(self, context: RequestContext) -> None:
        if not context.outcome and not context.request.streaming:
            self._answer(context, "overdue")
            self.add_event(ClientDisconnected(context.request))

    def on_client_disconnected(self, try_id: str) -> None:
        """Ends the request whose client has disconnected, found by the id of the client's try."""
        for context in self.contexts.values():
            if context.client_attempt.id == try_id:
                if not context.outcome:
                    self._answer(context, "left")
                    self.add_event(ClientDisconnected(context.request))
                for attempt in list(context.calls):
                    if attempt.request.streaming:
                        self._cancel(attempt)
                return

    def _answer(self, context: RequestContext, answer: str) -> None:
        if context.outcome or self.is_dead:
            return
        context.outcome = answer
        if context.deadline_timer is not None:
            context.deadline_timer.cancel()
        context.client_attempt.on_answer(answer)
        self._close(context)

    def _close(self, context: RequestContext) -> None:
        """Marks a finished request for removal.

        It is removed at the end of a decision round, as the policy may still release KV cache that is held
        for it.
        """
        if context.outcome and not context.calls:
            self.closing.append(context)
            self._schedule_round()

    # Events of attempts.

    def _on_first_token(self, attempt: Attempt) -> None:
        context = self.contexts.get(attempt.request)
        if context is None or self.is_dead or attempt not in context.calls:
            return
        if attempt.request.streaming or context.outcome:
            return self._cancel(attempt)
        attempt.first_token_at, attempt.request.streaming = self.sim.now, True
        context.engines_with_kv.clear()
        context.client_attempt.on_first_token()
        self.add_event(FirstToken(attempt, self.sim.now - attempt.sent_at))

    def _on_attempt_ended(self, attempt: Attempt, outcome: Outcome, note: int) -> None:
        context = self.contexts.get(attempt.request)
        if context is None or self.is_dead or context.calls.pop(attempt, None) is None:
            return
        self._record_outcome(attempt.engine, outcome)
        if outcome is Outcome.UNREACHABLE:
            self.counts.unreachable += 1
            self.counts.last_unreachable_at = self.sim.now
        if attempt.is_prefill:
            if outcome is Outcome.PREFILLED:
                context.kv_holder = self.engines.get(attempt.engine.id.decode())
            if outcome not in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT):
                context.engines_with_kv[attempt.engine] = None
        elif outcome is Outcome.SERVED:
            self._answer(context, "delivered")
        elif attempt.first_token_at:
            self._answer(context, "broken off")
        elif outcome is Outcome.FULL and note == 1:
            context.kv_holder = None
        self._close(context)
        self.add_event(
            AttemptEnded(attempt, outcome, self.sim.now - attempt.sent_at, bool(context.outcome), note, None)
        )

    # Actions.

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request, retry_after_ms):
                if request in self.contexts:
                    self.contexts[request].client_attempt.retry_after_ms = retry_after_ms
                self._end_request(request, "deferred")
            case AbortRequest(request):
                self._end_request(request, "broken off")
            case CancelAttempt(attempt):
                self._cancel(attempt)
            case SetTimer(delay_ms, token):
                self.sim.after(delay_ms, self.add_event, TimerFired(token))
            case CheckHealth(engine):
                self._check_health(engine)
            case ReserveSlot(request, engine):
                self._reserve_slot(request, engine)
            case ReleaseKvCache(request):
                self._release_kv_cache(request)
            case _:
                pass

    def _end_request(self, request: Request, answer: str) -> None:
        context = self.contexts.get(request)
        if context is not None:
            self._answer(context, answer)

    def _cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        context = self.contexts.get(attempt.request)
        if context is not None and attempt in context.calls:
            call, engine = context.calls[attempt]
            self.sim.after(self.hop_ms, engine.cancel, call)
            self._on_attempt_ended(attempt, outcome, 0)

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        context = self.contexts.get(request)
        time_left_ms = request.deadline - self.sim.now
        if context is None or context.outcome or request.streaming or time_left_ms <= 0:
            self.add_event(
                AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, context is None or bool(context.outcome))
            )
            return
        self.counts.attempts += 1
        if context.reserved_engine not in (None, attempt.engine) and not attempt.is_prefill:
            self._release_engine(context, context.reserved_engine)
        client_attempt = context.client_attempt
        journal_fields: dict[str, Any] = {
            "job": context.journal_id,
            "trip": f"{context.journal_id}.{attempt.number}",
            "front": self.name,
            "try": client_attempt.id,
            "label": context.journal_id,
            "offering": client_attempt.request_class_name,
        }
        prefixes: tuple[tuple[int, float], ...] = ((client_attempt.session, client_attempt.prompt_tokens),)
        if client_attempt.prefix:
            prefixes += ((-client_attempt.prefix, client_attempt.prefix_tokens),)
        call = Call(
            context.journal_id,
            journal_fields["trip"],
            self.name,
            client_attempt.request_class_name,
            client_attempt.prompt_tokens,
            client_attempt.answer_tokens,
            attempt.is_prefill,
            context.kv_holder if request.kv_holder is not None else None,
            prefixes,
            lambda: self._on_first_token(attempt),
            lambda outcome, note: self._on_attempt_ended(attempt, outcome, note),
            journal_fields,
        )
        engine = self.engines.get(attempt.engine.id.decode())
        if engine is None:
            context.calls[attempt] = call, self.missing_engine
            self.sim.after(2 * self.hop_ms, self._on_attempt_ended, attempt, Outcome.UNREACHABLE, 0)
            return
        context.calls[attempt] = call, engine
        self.sim.after(self.hop_ms, engine.receive, call)
        timeout_ms = min(action.timeout_ms, time_left_ms) if action.timeout_ms else time_left_ms
        self.sim.after(timeout_ms, self._on_timeout, attempt)

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.outcome is None and not attempt.first_token_at:
            self._cancel(attempt, Outcome.TIMED_OUT)

    def _check_health(self, engine: Engine) -> None:
        self.counts.probes += 1
        sent, target = self.sim.now, self.engines.get(engine.id.decode())
        outcomes: list[Outcome] = []

        def report(outcome: Outcome) -> None:
            if not outcomes:
                outcomes.append(outcome)
                self.add_event(HealthCheckEnded(engine, outcome, self.sim.now - sent))

        def on_probe_reply(has_answered: bool, _: ModelEngine) -> None:
            report(Outcome.SERVED if has_answered else Outcome.UNREACHABLE)

        if target is None:
            self.sim.after(2 * self.hop_ms, report, Outcome.UNREACHABLE)
        else:
            self.sim.after(self.hop_ms, target.probe, on_probe_reply)
            self.sim.after(self.settings.connect_timeout_ms, report, Outcome.TIMED_OUT)

    def _reserve_slot(self, request: Request, engine: Engine) -> None:
        context = self.contexts.get(request)
        target = self.engines.get(engine.id.decode())
        if context is None or context.outcome or target is None:
            return
        prefill_attempt = next((attempt for attempt in context.calls if attempt.is_prefill), None)
        prefill_engine = context.calls[prefill_attempt][1] if prefill_attempt is not None else None
        if prefill_engine is not None and prefill_attempt is not None:
            context.calls[prefill_attempt][0].reserved_engine = target
        if context.reserved_engine not in (None, engine):
            self._release_engine(context, context.reserved_engine)
        context.reserved_engine = engine
        context.engines_with_kv[engine] = None

        def reply(is_reserved: bool) -> None:
            if is_reserved and (
                context.outcome or request.streaming or context.reserved_engine is not engine
            ):
                self.sim.after(self.hop_ms, target.release, context.journal_id)
            if prefill_attempt is not None and prefill_attempt.outcome is None:
                self.add_event(SlotReserved(prefill_attempt, engine, is_reserved))

        self.sim.after(
            self.hop_ms,
            target.reserve_slot,
            context.journal_id,
            request.prompt_tokens * 1.2,
            prefill_engine,
            self.name,
            reply,
        )

    def _release_kv_cache(self, request: Request) -> None:
        context = self.contexts.get(request)
        if context is not None:
            context.kv_holder = None
            self._release_all(context, list(context.engines_with_kv))

    def _release_all(self, context: RequestContext, engines: Iterable[Engine]) -> None:
        for engine in engines:
            self._release_engine(context, engine)

    def _release_engine(self, context: RequestContext, engine: Engine | None) -> None:
        if engine is None:
            return
        context.engines_with_kv.pop(engine, None)
        if context.reserved_engine is engine:
            context.reserved_engine = None
        target = self.engines.get(engine.id.decode())
        if target is not None:
            self.sim.after(self.hop_ms, target.release, context.journal_id)
