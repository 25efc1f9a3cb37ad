"""The door of one front: ids outside, objects inside, for the simulator's wire and the running front alike.

No decision is taken here.  The door makes the engines, jobs and list entries that the module is told of,
finds them again by the ids that the outside uses, and forgets a job once nothing more can be told of it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .actions import AbortRequest, Action, RejectRequest, ReleaseKvCache, ReserveSlot
from .events import AttemptEnded, ClientDisconnected, Event, RequestArrived
from .router import Router
from .settings import PolicySettings
from .state import Attempt, Engine, Request


class Module(Protocol):
    """What decides: the module or a baseline behind the same entry point."""

    def decide(self, now: float, events: list[Event]) -> list[Action]: ...


Maker = Callable[[PolicySettings, int], Module]


class Door:
    def __init__(self, settings: PolicySettings, seed: int, make: Maker = Router) -> None:
        self.settings = settings
        self.module = make(settings, seed)
        self.engines: dict[bytes, Engine] = {}
        self.requests: dict[int, Request] = {}
        self._touched: list[Request] = []

    def decide(self, now: float, events: list[Event]) -> list[Action]:
        """One call to the module for all that happened, in order; its actions, in order."""
        # Guards against jobs kept for ever that were delivered: no action names them any more.
        for event in events:
            if isinstance(event, AttemptEnded):
                self._touched.append(event.attempt.request)
            elif isinstance(event, ClientDisconnected):
                self._touched.append(event.request)
        actions = self.module.decide(now, events)
        for action in actions:
            if isinstance(action, (RejectRequest, AbortRequest, ReleaseKvCache, ReserveSlot)):
                self._touched.append(action.request)
        for request in self._touched:  # nothing more can be told of these
            if request.ended and all(attempt.outcome for attempt in request.attempts):
                self.requests.pop(request.id, None)
        self._touched.clear()
        return actions

    def engine(self, address: bytes, key: int) -> Engine:
        """The engine with this id, made at first sight; `key` is a number for hashing."""
        if address not in self.engines:
            self.engines[address] = Engine(address, key)
        return self.engines[address]

    def forget(self, engine: Engine) -> bool:
        """Forgets an engine that is gone, once the module has; whether it did."""
        if engine.state != "gone" or engine.attempts or engine in getattr(self.module, "engines", ()):
            return False
        self.engines.pop(engine.id, None)
        return True

    def arrived(self, request: Request) -> RequestArrived:
        self.requests[request.id] = request
        return RequestArrived(request)

    def left(self, number: int) -> ClientDisconnected | None:
        """None where the job was forgotten: it had ended a moment ago."""
        request = self.requests.get(number)
        return ClientDisconnected(request) if request else None

    def attempt(self, number: int, at: int) -> Attempt | None:
        """Trip `at` of job `number`, of which something is about to be told."""
        request = self.requests.get(number)
        if request is None or at >= len(request.attempts):
            return None
        return request.attempts[at]
