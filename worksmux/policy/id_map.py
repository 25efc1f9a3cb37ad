"""Ids outside, objects inside: what the bench's adapter and the running nodes have in front of a policy.

No decision is taken here.  The map makes the engines and requests that the policy works on, finds them again
by the ids that the outside uses, and forgets a request once no event can name it any more.
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
    """What decides: the router or a baseline behind the same entry point."""

    def decide(self, now: float, events: list[Event]) -> list[Action]: ...


PolicyFactory = Callable[[PolicySettings, int], Policy]  # settings, seed


class IdMap:
    """One policy and the objects that it shares with the outside."""

    def __init__(self, settings: PolicySettings, seed: int, make: PolicyFactory = Router) -> None:
        self.settings = settings
        self.policy = make(settings, seed)
        self.engines: dict[bytes, Engine] = {}
        self.requests: dict[int, Request] = {}
        self._touched: list[Request] = []

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """One decision round on all that happened, in order; its actions, in order."""
        # Events count too: no action names a request that was served, and it would be kept for ever.
        for event in events:
            if isinstance(event, AttemptEnded):
                self._touched.append(event.attempt.request)
            elif isinstance(event, ClientDisconnected):
                self._touched.append(event.request)
        actions = self.policy.decide(now, events)
        for action in actions:
            if isinstance(action, (RejectRequest, AbortRequest, ReleaseKvCache, ReserveSlot)):
                self._touched.append(action.request)
        self._forget_ended()
        return actions

    def _forget_ended(self) -> None:
        for request in self._touched:
            if request.ended and all(attempt.outcome for attempt in request.attempts):
                self.requests.pop(request.id, None)
        self._touched.clear()

    def engine(self, address: bytes, key: int) -> Engine:
        """The engine with this id, made when it is first seen; `key` is a number for hashing."""
        if address not in self.engines:
            self.engines[address] = Engine(address, key)
        return self.engines[address]

    def forget(self, engine: Engine) -> bool:
        """Forgets an engine that is gone, once the policy has; whether it did."""
        if engine.state != GONE or engine.attempts or engine in getattr(self.policy, "engines", ()):
            return False
        self.engines.pop(engine.id, None)
        return True

    def request_arrived(self, request: Request) -> RequestArrived:
        self.requests[request.id] = request
        return RequestArrived(request)

    def client_disconnected(self, number: int) -> ClientDisconnected | None:
        """None where the request was forgotten: it had ended a moment ago."""
        request = self.requests.get(number)
        return ClientDisconnected(request) if request else None

    def attempt(self, number: int, at: int) -> Attempt | None:
        """Attempt `at` of request `number`; None where the request was forgotten."""
        request = self.requests.get(number)
        if request is None or at >= len(request.attempts):
            return None
        return request.attempts[at]
