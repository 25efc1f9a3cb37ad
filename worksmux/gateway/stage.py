"""Dispatches single-stage requests, such as embeddings and rerank, to engines.

Each path has a dispatcher with a policy and engines of its own, so that a flood on one path affects neither
the in-flight limits nor the engines of another.  The policy is the same as for chat, but every engine is a
combined engine.  A dispatcher executes the policy's actions and reports events to the policy; it decides
nothing itself.
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
from ..settings.front import StageSettings
from .attempts import OK, EngineCall
from .chat_engine_client import ChatEngineClient

LOG = structlog.get_logger()
BAD_INPUT_STATUSES = frozenset({400, 413, 422})  # the engine rejects the client's input


class Batch(Protocol):
    """The content of one request to an engine, and the callbacks for its end.

    Exactly one of `served`, `input_rejected` and `failed` is called, unless the batch is dropped.
    """

    def path(self) -> str:
        """The HTTP path of the request."""

    def body(self) -> bytes:
        """The body of the next attempt, with the inputs that have no result yet."""

    def take_response(self, body: bytes) -> bool:
        """Takes the body of a 200 response; returns whether all results are present."""

    def served(self) -> None:
        """Ends a batch whose results are all present."""

    def input_rejected(self, message: str) -> None:
        """Ends a batch whose input the engine rejected with this message."""

    def failed(self, is_rejected: bool) -> None:
        """Ends a batch that no engine served; without `is_rejected` it was possibly executed."""


class BatchCall(EngineCall):
    """An attempt of a batch, whose answer is one complete response."""

    def __init__(self, *args: Any, batch: Batch) -> None:
        super().__init__(*args)
        self._batch = batch

    def send(self, headers: client.Headers, body: bytes) -> None:
        """Sends the HTTP request of the attempt."""
        self.call = self.pool.call("POST", self._batch.path(), self, headers, body)

    def done(self) -> None:
        """Ends the attempt with the complete response."""
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
    """A batch, the request that represents it to the policy, and its calls in flight."""

    __slots__ = ("request", "batch", "key", "calls", "over")

    def __init__(self, request: Request, batch: Batch, key: str) -> None:
        self.request, self.batch, self.key = request, batch, key
        self.calls: dict[Attempt, BatchCall] = {}
        self.over = False


class StageDispatcher(DecisionLoop):
    """Sends the batches of one path to engines as the policy decides."""

    def __init__(
        self, settings: StageSettings, core: ChatEngineClient, seed: int, make_policy: PolicyFactory
    ) -> None:
        super().__init__(IdMap(settings.policy_settings, seed, make_policy), core.reactor, core.metrics)
        self.settings = settings
        self._core = core
        self._contexts: dict[Request, BatchContext] = {}
        self._last_number = 0

    def submit(
        self, request_class: int, batch: Batch, cost: float, deadline: float, session: int
    ) -> BatchContext:
        """Accepts a batch, which gets exactly one end unless it is dropped.

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
        """Cancels a batch that no client waits for; none of its callbacks is called."""
        if not context.over:
            context.over = True
            self.tell(ClientDisconnected(context.request))
            self._cancel_calls(context)
            self._forget_if_done(context)

    def on_first_token(self, attempt: Attempt) -> None:
        """See `AttemptListener`; never called for a batch, whose response is not streamed."""

    def on_content(self, attempt: Attempt, content: str) -> None:
        """See `AttemptListener`; never called for a batch, whose response is not streamed."""

    def on_attempt_end(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        """Reports the outcome to the policy, and ends the batch if it was served.

        `result` is the engine's message if it rejected the input.
        """
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
            self.tell(FirstToken(attempt, now - attempt.sent_at))  # the policy learns the latency from it
        self.tell(AttemptEnded(attempt, outcome, now - attempt.sent_at, is_closed, note, report))
        self._forget_if_done(context)
        if outcome is Outcome.SERVED and is_closed:
            if result:
                context.batch.input_rejected(result)
            else:
                context.batch.served()

    def _module_name(self) -> str:
        return self.settings.call

    def _abort_all(self) -> None:
        for context in list(self._contexts.values()):
            self._fail(context, is_rejected=False)
        if self._core.on_policy_failure:
            self._core.on_policy_failure()

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request, _):
                self._fail(self._contexts.get(request), is_rejected=True)
            case AbortRequest(request):
                self._fail(self._contexts.get(request), is_rejected=False)
            case CancelAttempt(attempt):
                context = self._contexts.get(attempt.request)
                if context is not None and attempt in context.calls:
                    context.calls[attempt].cancel()
            case SetTimer(after, token):
                self.reactor.callLater(max(0.0, after) / 1000, self.tell, TimerFired(token))
            case CheckHealth(engine):
                self._core.check_health(engine, self.tell)
            case WriteLog(text):
                LOG.info("policy", text=text)
            case _:
                pass  # a single stage has no KV cache, and ChatEngineClient fetches the endpoint list

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        context, time_left_ms = self._contexts.get(request), request.deadline - clock.now()
        if context is None or context.over or time_left_ms <= 0 or attempt.engine not in self._core.pools:
            self.metrics.attempt("moot")
            self.tell(AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, context is None or context.over))
            return
        call = self._make_call(attempt, context.batch, action.timeout_ms, time_left_ms)
        context.calls[attempt] = call
        headers = [
            ("Content-Type", "application/json"),
            (chat.REQUEST_ID, f"{context.key}.{attempt.number}"),
            (calls.REQUEST, context.key),
            (calls.GATEWAY, self._core.settings.name),
        ]
        call.send(headers, context.batch.body())
        self.metrics.attempt(self.settings.call)

    def _make_call(self, attempt: Attempt, batch: Batch, timeout_ms: float, time_left_ms: float) -> BatchCall:
        """Builds the call of an attempt; the time left limits the policy's `timeout_ms` (0: none)."""
        transport = self._core.settings.transport
        return BatchCall(
            self.reactor,
            self._core.pools[attempt.engine],
            attempt,
            self,
            min(timeout_ms, time_left_ms) if timeout_ms else time_left_ms,
            transport.stream_silence,
            transport.reply,
            batch=batch,
        )

    def _fail(self, context: BatchContext | None, is_rejected: bool) -> None:
        if context is not None and not context.over:
            context.over = True
            self._cancel_calls(context)
            self._forget_if_done(context)
            context.batch.failed(is_rejected)

    @staticmethod
    def _cancel_calls(context: BatchContext) -> None:
        for call in list(context.calls.values()):
            call.cancel()

    def _forget_if_done(self, context: BatchContext) -> None:
        if context.over and not context.calls:
            self._contexts.pop(context.request, None)
