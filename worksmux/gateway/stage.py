"""Dispatches single-stage requests, such as embeddings and rerank, to engines that answer them whole.

Each path has a dispatcher with a policy and engines of its own, so that a flood of one path reaches neither
the in-flight limits nor the engines of another.  The policy is the same as for chat; here every engine both
prefills and answers.  A dispatcher carries out the policy's actions, reports events to it and decides
nothing.
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
from ..settings.front import Lane as StageSettings
from .attempts import OK, EngineCall
from .chat_engine_client import ChatEngineClient

LOG = structlog.get_logger()
BAD_INPUT_STATUSES = frozenset({400, 413, 422})  # the engine finds fault with the client's input


class Batch(Protocol):
    """What is sent to an engine in one request, and who hears of its end.

    It gets exactly one of `delivered`, `rejected_input` and `failed`, unless it is dropped.
    """

    def path(self) -> str: ...

    def body(self) -> bytes:
        """The body of the next attempt: what earlier ones did not bring."""

    def take_response(self, body: bytes) -> bool:
        """Takes the body of a 200 response; returns whether nothing is missing any more."""

    def delivered(self) -> None: ...

    def rejected_input(self, message: str) -> None:
        """The engine finds fault with the input."""

    def failed(self, deferred: bool) -> None:
        """`deferred`: it has had no effect; otherwise its attempts or its time ran out."""


class BatchCall(EngineCall):
    """An attempt whose answer is one whole response."""

    def __init__(self, *args: Any, batch: Batch) -> None:
        super().__init__(*args)
        self._batch = batch

    def send(self, headers: client.Headers, body: bytes) -> None:
        self.call = self.pool.call("POST", self._batch.path(), self, headers, body)

    def done(self) -> None:
        if self.over:
            return
        if self.status == OK:
            is_complete = self._batch.take_response(bytes(self.body))
            self._end(Outcome.SERVED if is_complete else Outcome.ERROR, 0, "")
        elif self.status in BAD_INPUT_STATUSES:
            self._end(Outcome.SERVED, 0, errors.message_of(bytes(self.body)) or "bad input")
        else:
            super().done()


class BatchContext:
    """A batch with the request that the policy knows it by, and its calls that are out."""

    __slots__ = ("request", "batch", "key", "calls", "over")

    def __init__(self, request: Request, batch: Batch, key: str) -> None:
        self.request, self.batch, self.key = request, batch, key
        self.calls: dict[Attempt, BatchCall] = {}
        self.over = False


class StageDispatcher(DecisionLoop):
    """Sends the batches of one path."""

    def __init__(
        self, settings: StageSettings, core: ChatEngineClient, seed: int, make: PolicyFactory
    ) -> None:
        super().__init__(IdMap(settings.module, seed, make), core.reactor, core.metrics)
        self.settings = settings
        self._core = core
        self._contexts: dict[Request, BatchContext] = {}
        self._last_number = 0

    def submit(
        self, request_class: int, batch: Batch, cost: float, deadline: float, session: int
    ) -> BatchContext:
        """Takes a batch, which from here on is owed one end.

        `cost` is in tokens, `deadline` in milliseconds of the clock; `session` is a hash.
        """
        self._last_number += 1
        number, now = self._last_number, clock.now()
        request = Request(number, request_class, session, 0, max(1.0, cost), 0.0, 0.0, now, deadline)
        context = BatchContext(request, batch, f"{self._core.name}.{self.settings.call}.{number}")
        self._contexts[request] = context
        self.tell(self.id_map.request_arrived(request))
        return context

    def drop(self, context: BatchContext) -> None:
        """Cancels a batch that nobody waits for any more; it is not told of its end."""
        if not context.over:
            context.over = True
            self.tell(ClientDisconnected(context.request))
            self._cancel_calls(context)
            self._forget_if_done(context)

    def on_first_token(self, attempt: Attempt) -> None:
        """See `Listener`: a whole response has no beginning of its own."""

    def on_content(self, attempt: Attempt, content: str) -> None:
        """See `Listener`: nor has it any text before its end."""

    def on_attempt_end(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        """See `Listener`; `result` is the engine's message where it finds fault with the input."""
        context = self._contexts.get(attempt.request)
        if context is None:
            return
        context.calls.pop(attempt, None)
        if self._core.on_attempt:
            self._core.on_attempt(attempt.engine, outcome)
        now = clock.now()
        is_closed = context.over
        if outcome is Outcome.SERVED and not context.over:
            is_closed = context.over = True
            attempt.first_token_at, attempt.request.streaming = now, True
            self.tell(FirstToken(attempt, now - attempt.sent_at))  # so that the policy learns the latency
        self.tell(AttemptEnded(attempt, outcome, now - attempt.sent_at, is_closed, note, report))
        self._forget_if_done(context)
        if outcome is Outcome.SERVED and is_closed:
            if result:
                context.batch.rejected_input(result)
            else:
                context.batch.delivered()

    def _module_name(self) -> str:
        return self.settings.call

    def _abort_all(self) -> None:
        for context in list(self._contexts.values()):
            self._fail(context, deferred=False)
        if self._core.on_policy_failure:
            self._core.on_policy_failure()

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request, _):
                self._fail(self._contexts.get(request), deferred=True)
            case AbortRequest(request):
                self._fail(self._contexts.get(request), deferred=False)
            case CancelAttempt(attempt):
                context = self._contexts.get(attempt.request)
                if context is not None and attempt in context.calls:
                    context.calls[attempt].cancel()
            case SetTimer(after, token):
                self.reactor.callLater(max(0.0, after) / 1000, self.tell, TimerFired(token))
            case CheckHealth(engine):
                self._core.check_health(engine, self.tell)
            case WriteLog(text):
                LOG.info("module", text=text)
            case _:
                pass  # a single stage holds no KV cache, and the chat core fetches the endpoint list

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        context, left_ms = self._contexts.get(request), request.deadline - clock.now()
        if context is None or context.over or left_ms <= 0 or attempt.engine not in self._core.pools:
            self.metrics.attempt("moot")
            self.tell(AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, context is None or context.over))
            return
        call = self._make_call(attempt, context.batch, action.timeout_ms, left_ms)
        context.calls[attempt] = call
        headers = [
            ("Content-Type", "application/json"),
            (chat.REQUEST_ID, f"{context.key}.{attempt.number}"),
            (calls.REQUEST, context.key),
            (calls.FRONT, self._core.settings.name),
        ]
        call.send(headers, context.batch.body())
        self.metrics.attempt(self.settings.call)

    def _make_call(self, attempt: Attempt, batch: Batch, timeout_ms: float, left_ms: float) -> BatchCall:
        """`timeout_ms` is the policy's, 0 for none; the time left bounds it."""
        transport = self._core.settings.transport
        return BatchCall(
            self.reactor,
            self._core.pools[attempt.engine],
            attempt,
            self,
            min(timeout_ms, left_ms) if timeout_ms else left_ms,
            transport.stream_silence,
            transport.reply,
            batch=batch,
        )

    def _fail(self, context: BatchContext | None, deferred: bool) -> None:
        if context is not None and not context.over:
            context.over = True
            self._cancel_calls(context)
            self._forget_if_done(context)
            context.batch.failed(deferred)

    @staticmethod
    def _cancel_calls(context: BatchContext) -> None:
        for call in list(context.calls.values()):
            call.cancel()

    def _forget_if_done(self, context: BatchContext) -> None:
        if context.over and not context.calls:
            self._contexts.pop(context.request, None)
