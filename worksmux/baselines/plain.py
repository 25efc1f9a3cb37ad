"""Plain policies: a job goes to a reader, its state to a writer, by chance, in turn, or where few of our own
are.

They keep the rules as far as a front can without watching engines: drains, what may be repeated, one answer
in time, state let go, and a cold engine's budget by staying away from it while another of its role is warm.
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
from ..policy.measure import Chance
from ..policy.settings import PolicySettings
from ..policy.state import Attempt, Engine, Outcome, Request


class Plain:
    """What the baselines share; a subclass picks one engine of several."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings, self.chance = settings, Chance(seed)
        self.engines: dict[Engine, None] = {}
        self.requests: dict[Request, None] = {}  # unanswered, with no trip out
        self.now = 0.0
        self.rings = False
        self.actions: list[Action] = [WatchEndpoints(True)] if settings.polls_endpoint_list else []

    def pick(self, engines: list[Engine]) -> Engine:
        raise NotImplementedError

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        self.now = now
        for event in events:
            self._take(event)
        for request in list(self.requests):
            self._forward(request)
        if self.requests and not self.rings:
            self.rings = True
            self.actions.append(SetTimer(self.settings.release_within_ms / 6, 0))
        actions, self.actions = self.actions, []
        return actions

    def _take(self, event: Event) -> None:
        match event:
            case RequestArrived(request):
                self.requests[request] = None
            case FirstToken(attempt, _):
                attempt.first_token_at, attempt.request.streaming, attempt.request.kv_holder = (
                    self.now,
                    True,
                    None,
                )
            case AttemptEnded():
                self._ended(event)
            case ClientDisconnected(request):
                self._drop(request)
            case TimerFired():
                self.rings = False
            case EndpointListUpdate():
                self._list(event)

    def _list(self, event: EndpointListUpdate) -> None:
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
            engine.role = self.settings.engine_roles[entry.kind]

    def _ended(self, event: AttemptEnded) -> None:
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
            self.requests[request] = None
        else:
            if request.kv_holder and event.outcome is Outcome.FULL and event.note != 1:
                request.kv_held_since = self.now
            else:
                request.kv_holder = None
                self.actions.append(ReleaseKvCache(request))
            self.requests[request] = None

    def _drop(self, request: Request) -> None:
        request.ended = True
        self.requests.pop(request, None)
        for attempt in request.in_flight:
            if self.settings.may_cancel and not attempt.first_token_at and not attempt.cancel_requested:
                attempt.cancel_requested = True
                self.actions.append(CancelAttempt(attempt))
        if request.attempts and not request.in_flight:
            self.actions.append(ReleaseKvCache(request))

    def _may_repeat(self, request: Request) -> bool:
        effect = self.settings.request_classes[request.request_class].effect
        return not request.possibly_executed or effect == "redoable"

    def _forward(self, request: Request) -> None:
        last = self.now > request.deadline - self.settings.release_within_ms / 2
        spent = len(request.attempts) >= self.settings.max_attempts or not self._may_repeat(request)
        if last or spent:
            self.actions.append(
                RejectRequest(request) if self._may_repeat(request) else AbortRequest(request)
            )
            return self._drop(request)
        roles = ("write", "both") if request.kv_holder else ("read", "both")
        able = [engine for engine in self.engines if engine.state == "ready" and engine.role in roles]
        warm = [
            engine
            for engine in able
            if not engine.started or self.now >= engine.started + self.settings.slow_start_ms
        ]
        if not warm:
            if request.kv_holder and self.now > request.kv_held_since + self.settings.release_within_ms / 2:
                request.kv_holder = None
                self.actions.append(ReleaseKvCache(request))
            return
        engine = self.pick(warm)
        attempt = Attempt(request, engine, len(request.attempts), self.now, engine.role == "read")
        request.attempts.append(attempt)
        engine.attempts[attempt] = None
        del self.requests[request]
        self.actions.append(StartAttempt(attempt))


class Random(Plain):
    """Any engine of the role."""

    def pick(self, engines: list[Engine]) -> Engine:
        return engines[int(self.chance.share() * len(engines))]


class RoundRobin(Plain):
    """The engine that had no turn for longest, without windows."""

    turns = 0

    def pick(self, engines: list[Engine]) -> Engine:
        self.turns += 1
        engine = min(engines, key=lambda engine: engine.last_turn)
        engine.last_turn = self.turns
        return engine


class LeastOfOurOwn(Plain):
    """The engine with the fewest of our own trips; chance decides between equals."""

    def pick(self, engines: list[Engine]) -> Engine:
        fewest = min(len(engine.attempts) for engine in engines)
        able = [engine for engine in engines if len(engine.attempts) == fewest]
        return able[int(self.chance.share() * len(able))]
