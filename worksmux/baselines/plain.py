"""Baseline policies: a random engine, round-robin, or the engine with the fewest attempts of this node.

They keep the rules as far as a node can that does not monitor engines: they respect draining and idempotence,
answer once and in time, and release KV cache.  A cold engine gets no request.  Times are milliseconds.
"""

from __future__ import annotations

from ..policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    RejectRequest,
    ReleaseKvCache,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FirstToken,
    RequestArrived,
    TimerFired,
)
from ..policy.random_source import RandomSource
from ..policy.settings import IDEMPOTENT, ROLE_COMBINED, ROLE_DECODE, ROLE_PREFILL, PolicySettings
from ..policy.state import GONE, READY, Attempt, Engine, Outcome, Request

ROUNDS_PER_RELEASE = 6  # decision rounds within the limit for held KV cache while a request waits
ROUND_TIMER = 0


class BaselinePolicy:
    """Base of the baselines; a subclass picks one engine of several."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings, self.random_source = settings, RandomSource(seed)
        self.engines: dict[Engine, None] = {}
        self.waiting: dict[Request, None] = {}  # not ended, with no attempt in flight
        self.now = 0.0
        self.timer_set = False
        self.actions: list[Action] = [WatchEndpoints(True)] if settings.polls_endpoint_list else []

    def pick(self, engines: list[Engine]) -> Engine:
        """Picks the engine for an attempt."""
        raise NotImplementedError

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """Runs one decision round on events in order; returns actions in order."""
        self.now = now
        for event in events:
            self._handle_event(event)
        for request in list(self.waiting):
            self._forward(request)
        if self.waiting and not self.timer_set:
            self.timer_set = True
            self.actions.append(SetTimer(self.settings.release_within_ms / ROUNDS_PER_RELEASE, ROUND_TIMER))
        actions, self.actions = self.actions, []
        return actions

    def _handle_event(self, event: Event) -> None:
        match event:
            case RequestArrived(request):
                self.waiting[request] = None
            case FirstToken(attempt, _):
                attempt.first_token_at = self.now
                attempt.request.streaming, attempt.request.kv_holder = True, None
            case AttemptEnded():
                self._on_attempt_ended(event)
            case ClientDisconnected(request):
                self._abandon(request)
            case TimerFired():
                self.timer_set = False
            case EndpointListUpdate():
                self._on_endpoint_list(event)

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        if event.scope == "failed":
            return
        if event.scope != "delta":
            for engine in self.engines.keys() - {entry.engine for entry in event.entries}:
                engine.state = GONE
        for entry in event.entries:
            engine = entry.engine
            self.engines[engine] = None
            engine.state, engine.started, engine.size = entry.state, entry.started, entry.size
            engine.zone, engine.cell, engine.kind = entry.zone, entry.cell, entry.kind
            engine.role = self.settings.engine_roles[entry.kind]

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt, request = event.attempt, event.attempt.request
        attempt.outcome = event.outcome
        attempt.engine.attempts.pop(attempt, None)
        if event.closed:
            request.ended = True
        if request.ended:
            if event.outcome is not Outcome.SERVED:
                self.actions.append(ReleaseKvCache(request))
        elif event.outcome is Outcome.PREFILLED:
            request.kv_holder, request.kv_held_since = attempt.engine, self.now
            self.waiting[request] = None
        else:
            if request.kv_holder and event.outcome is Outcome.FULL and not event.kv_cache_lost:
                request.kv_held_since = self.now
            else:
                request.kv_holder = None
                self.actions.append(ReleaseKvCache(request))
            self.waiting[request] = None

    def _abandon(self, request: Request) -> None:
        request.ended = True
        self.waiting.pop(request, None)
        for attempt in request.in_flight:
            if self.settings.may_cancel and not attempt.first_token_at and not attempt.cancel_requested:
                attempt.cancel_requested = True
                self.actions.append(CancelAttempt(attempt))
        if request.attempts and not request.in_flight:
            self.actions.append(ReleaseKvCache(request))

    def _may_retry(self, request: Request) -> bool:
        effect = self.settings.request_classes[request.request_class].effect
        return not request.possibly_executed or effect == IDEMPOTENT

    def _forward(self, request: Request) -> None:
        """Ends the request, or sends it to a warm engine; without a warm engine it waits."""
        if self._must_end(request):
            may_retry = self._may_retry(request)
            self.actions.append(RejectRequest(request) if may_retry else AbortRequest(request))
            self._abandon(request)
            return
        warm_engines = self._warm_engines(request)
        if warm_engines:
            self._send(request, self.pick(warm_engines))
        elif request.kv_holder and self.now > request.kv_held_since + self.settings.release_within_ms / 2:
            request.kv_holder = None
            self.actions.append(ReleaseKvCache(request))

    def _must_end(self, request: Request) -> bool:
        too_late = self.now > request.deadline - self.settings.release_within_ms / 2
        exhausted = len(request.attempts) >= self.settings.max_attempts
        return too_late or exhausted or not self._may_retry(request)

    def _warm_engines(self, request: Request) -> list[Engine]:
        roles = (ROLE_DECODE if request.kv_holder else ROLE_PREFILL, ROLE_COMBINED)
        return [
            engine
            for engine in self.engines
            if engine.state == READY
            and engine.role in roles
            and (not engine.started or self.now >= engine.started + self.settings.slow_start_ms)
        ]

    def _send(self, request: Request, engine: Engine) -> None:
        is_prefill = engine.role == ROLE_PREFILL
        attempt = Attempt(request, engine, len(request.attempts), self.now, is_prefill)
        request.attempts.append(attempt)
        engine.attempts[attempt] = None
        del self.waiting[request]
        self.actions.append(StartAttempt(attempt))


class RandomEngine(BaselinePolicy):
    """Picks a random engine of the role."""

    def pick(self, engines: list[Engine]) -> Engine:
        """Picks by chance."""
        return engines[int(self.random_source.share() * len(engines))]


class RoundRobin(BaselinePolicy):
    """Round-robin over all engines of the role, without a limit on attempts in flight."""

    turn_count = 0

    def pick(self, engines: list[Engine]) -> Engine:
        """Picks the engine chosen longest ago and moves it to the end of the order."""
        self.turn_count += 1
        engine = min(engines, key=lambda engine: engine.last_turn)
        engine.last_turn = self.turn_count
        return engine


class LeastInFlight(BaselinePolicy):
    """Picks the engine with the fewest attempts of this node in flight, a random one of equals."""

    def pick(self, engines: list[Engine]) -> Engine:
        """Picks by this node's own attempts alone."""
        fewest = min(len(engine.attempts) for engine in engines)
        candidates = [engine for engine in engines if len(engine.attempts) == fewest]
        return candidates[int(self.random_source.share() * len(candidates))]
