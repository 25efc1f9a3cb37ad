"""Carries jobs of one stage: a decision module of its own, engines of its own kinds, whole replies.

Each call of one stage has its lane, so that what floods one reaches neither the windows nor the engines of
the others.  The module is the same as for chat; its engines all read and answer.  A lane carries out the
module's actions and tells it what happened, and decides nothing.
"""

from __future__ import annotations

from typing import Any, Protocol

import structlog

from ..api import chat, errors
from ..api import engine as calls
from ..forwarding.decision_loop import DecisionLoop
from ..net import client, clock
from ..policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from ..policy.events import AttemptEnded, ClientDisconnected, FirstToken, TimerFired
from ..policy.id_map import IdMap, PolicyFactory
from ..policy.state import Attempt, Outcome, Request
from ..settings.front import Lane as LaneSettings
from . import attempts as carriers
from .chat_engine_client import PublishedCore

LOG = structlog.get_logger()
BAD_INPUT = frozenset({400, 413, 422})  # the engine finds fault with what it is asked


class Errand(Protocol):
    """One load as its sender has it."""

    def path(self) -> str: ...

    def body(self) -> bytes:
        """What the next trip asks for."""

    def replied(self, body: bytes) -> bool:
        """Takes a whole reply; false where something of it is missing."""

    def delivered(self) -> None: ...

    def refused(self, message: str) -> None: ...

    def failed(self, deferred: bool) -> None: ...


class Whole(carriers.Carrier):
    """A trip whose answer is one reply."""

    def __init__(self, *args: Any, errand: Errand) -> None:
        super().__init__(*args)
        self.errand = errand

    def send(self, headers: client.Headers, body: bytes) -> None:
        self.call = self.pool.call("POST", self.errand.path(), self, headers, body)

    def done(self) -> None:
        if self.over:
            return
        if self.status == 200:
            complete = self.errand.replied(bytes(self.body))
            self._end(Outcome.SERVED if complete else Outcome.ERROR, 0, "")
        elif self.status in BAD_INPUT:
            self._end(Outcome.SERVED, 0, errors.message_of(bytes(self.body)) or "bad input")
        else:
            super().done()


class Work:
    """A job of the lane: its errand and the trips that are out."""

    __slots__ = ("request", "errand", "key", "out", "over")

    def __init__(self, request: Request, errand: Errand, key: str) -> None:
        self.request, self.errand, self.key = request, errand, key
        self.out: dict[Attempt, Whole] = {}
        self.over = False


class Lane(DecisionLoop):
    def __init__(self, settings: LaneSettings, core: PublishedCore, seed: int, make: PolicyFactory) -> None:
        super().__init__(IdMap(settings.module, seed, make), core.reactor, core.metrics)
        self.settings, self.core = settings, core
        self.works: dict[Request, Work] = {}
        self.number = 0

    def _module_name(self) -> str:
        return self.settings.call

    def _abort_all(self) -> None:
        for work in list(self.works.values()):
            self._final(work, deferred=False)
        if self.core.on_fault:
            self.core.on_fault()

    # Jobs.

    def take(self, request_class: int, errand: Errand, cost: float, give_up_at: float, session: int) -> Work:
        """From here on the errand is owed one end: delivered, refused or failed."""
        self.number += 1
        now = clock.now()
        request = Request(self.number, request_class, session, 0, max(1.0, cost), 0.0, 0.0, now, give_up_at)
        work = Work(request, errand, f"{self.core.name}.{self.settings.call}.{self.number}")
        self.works[request] = work
        self.tell(self.door.arrived(request))
        return work

    def drop(self, work: Work) -> None:
        """Nobody wants it any more."""
        if not work.over:
            work.over = True
            self.tell(ClientDisconnected(work.request))
            for carrier in list(work.out.values()):
                carrier.cancel()
            self._close(work)

    def _close(self, work: Work) -> None:
        if work.over and not work.out:
            self.works.pop(work.request, None)

    def _final(self, work: Work | None, deferred: bool) -> None:
        if work is not None and not work.over:
            work.over = True
            for carrier in list(work.out.values()):
                carrier.cancel()
            self._close(work)
            work.errand.failed(deferred)

    # What the carriers tell.

    def on_first_token(self, attempt: Attempt) -> None:
        """A whole reply has no beginning of its own."""

    def on_content(self, attempt: Attempt, content: str) -> None:
        """Nor any text before its end."""

    def on_attempt_end(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        work = self.works.get(attempt.request)
        if work is None:
            return
        work.out.pop(attempt, None)
        if self.core.on_attempt:
            self.core.on_attempt(attempt.engine, outcome)
        now = clock.now()
        closed = work.over
        if outcome is Outcome.SERVED and not work.over:
            closed = work.over = True
            attempt.first_token_at, attempt.request.streaming = now, True
            self.tell(FirstToken(attempt, now - attempt.sent_at))  # so that the module sees the time it took
        self.tell(AttemptEnded(attempt, outcome, now - attempt.sent_at, closed, note, report))
        self._close(work)
        if outcome is Outcome.SERVED and closed:
            if result:
                work.errand.refused(result)
            else:
                work.errand.delivered()

    # Actions.

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case RejectRequest(request, _):
                self._final(self.works.get(request), deferred=True)
            case AbortRequest(request):
                self._final(self.works.get(request), deferred=False)
            case CancelAttempt(attempt):
                work = self.works.get(attempt.request)
                if work is not None and attempt in work.out:
                    work.out[attempt].cancel()
            case SetTimer(after, token):
                self.reactor.callLater(max(0.0, after) / 1000, self.tell, TimerFired(token))
            case CheckHealth(engine):
                self.core.check_health(engine, self.tell)
            case WriteLog(text):
                LOG.info("module", text=text)
            case _:
                pass  # one stage holds no state; the list comes by the core

    def _send(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        work, now = self.works.get(request), clock.now()
        left = request.deadline - now
        if work is None or work.over or left <= 0 or attempt.engine not in self.core.pools:
            self.metrics.attempt("moot")
            self.tell(AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, work is None or work.over))
            return
        transport = self.core.settings.transport
        carrier = Whole(
            self.reactor,
            self.core.pools[attempt.engine],
            attempt,
            self,
            min(action.timeout_ms, left) if action.timeout_ms else left,
            transport.stream_silence,
            transport.reply,
            errand=work.errand,
        )
        work.out[attempt] = carrier
        headers = [
            ("Content-Type", "application/json"),
            (chat.REQUEST_ID, f"{work.key}.{attempt.number}"),
            (calls.REQUEST, work.key),
            (calls.FRONT, self.core.settings.name),
        ]
        carrier.send(headers, work.errand.body())
        self.metrics.attempt(self.settings.call)
