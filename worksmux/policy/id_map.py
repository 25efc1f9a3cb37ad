"""Maps external ids to the objects of a policy, for the bench adapter and for running nodes.

The map creates the engines that the policy works on, finds engines and requests by their external ids, and
forgets a request once no event can refer to it.  It takes no decision.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .actions import AbortRequest, Action, RejectRequest, ReleaseKvCache, ReserveSlot
from .events import AttemptEnded, ClientDisconnected, Event, RequestArrived
from .router import Router
from .settings import PolicySettings
from .state import GONE, Attempt, Engine, Request


class Policy(Protocol):
    """Interface of a policy: the router or a baseline."""

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """Runs one decision round on events in order; returns its actions in order."""


PolicyFactory = Callable[[PolicySettings, int], Policy]  # takes settings and a seed


class IdMap:
    """Holds one policy and the objects that it shares with its caller."""

    def __init__(self, settings: PolicySettings, seed: int, make_policy: PolicyFactory = Router) -> None:
        self.settings = settings
        self.policy = make_policy(settings, seed)
        self.engines: dict[bytes, Engine] = {}
        self.requests: dict[int, Request] = {}
        self._possibly_ended: list[Request] = []

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """Runs one decision round on events in order; returns its actions in order."""
        # Events count too: no action refers to a served request, which would otherwise be kept for ever.
        for event in events:
            if isinstance(event, AttemptEnded):
                self._possibly_ended.append(event.attempt.request)
            elif isinstance(event, ClientDisconnected):
                self._possibly_ended.append(event.request)
        actions = self.policy.decide(now, events)
        for action in actions:
            if isinstance(action, (RejectRequest, AbortRequest, ReleaseKvCache, ReserveSlot)):
                self._possibly_ended.append(action.request)
        self._forget_ended()
        return actions

    def _forget_ended(self) -> None:
        for request in self._possibly_ended:
            if request.ended and all(attempt.outcome for attempt in request.attempts):
                self.requests.pop(request.id, None)
        self._possibly_ended.clear()

    def engine(self, engine_id: bytes, hash_key: int) -> Engine:
        """Returns the engine with this id, created on first use; `hash_key` is its number for hashing."""
        if engine_id not in self.engines:
            self.engines[engine_id] = Engine(engine_id, hash_key)
        return self.engines[engine_id]

    def forget(self, engine: Engine) -> bool:
        """Forgets an engine that is gone once the policy has forgotten it; returns whether it did."""
        if engine.state != GONE or engine.attempts or engine in getattr(self.policy, "engines", ()):
            return False
        self.engines.pop(engine.id, None)
        return True

    def request_arrived(self, request: Request) -> RequestArrived:
        """Registers a new request and returns its event."""
        self.requests[request.id] = request
        return RequestArrived(request)

    def client_disconnected(self, request_id: int) -> ClientDisconnected | None:
        """Returns the event of a client's disconnect; None if the request has ended and was forgotten."""
        request = self.requests.get(request_id)
        return ClientDisconnected(request) if request else None

    def attempt(self, request_id: int, number: int) -> Attempt | None:
        """Returns attempt `number` of the request; None if the request was forgotten."""
        request = self.requests.get(request_id)
        if request is None or number >= len(request.attempts):
            return None
        return request.attempts[number]
