"""The request lifecycle: executes the policy's actions and reports the outcomes of attempts to the policy.

This module makes no routing decisions. It guarantees what the policy relies on: each attempt has exactly one
outcome, no attempt is sent for a request that has ended, a stream that has begun is never replaced by the one
of another attempt, and each client gets one final answer. A protocol derives from `RequestLifecycle` and
implements the attempts, the control calls and the client side.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from ..net import client, clock
from ..net.loop import Reactor
from ..policy.actions import (
    AbortRequest,
    Action,
    CancelAttempt,
    CheckHealth,
    CloseConnections,
    FetchEndpointList,
    RejectRequest,
    ReleaseKvCache,
    ReserveSlot,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from ..policy.events import AttemptEnded, FirstToken, TimerFired
from ..policy.id_map import IdMap
from ..policy.state import Attempt, Engine, Outcome, Request
from .counters import Counters
from .open_requests import OpenRequests
from .request_context import FinalAnswer, RequestContext, RunningAttempt

LOG = structlog.get_logger()


class RequestLifecycle(OpenRequests):
    """Runs the attempts of all open requests of a gateway or node."""

    def __init__(self, id_map: IdMap, reactor: Reactor, metrics: Counters) -> None:
        super().__init__(id_map, reactor, metrics)
        self.engine_list: Any = None  # source of the endpoint list, set after construction
        self.plan_version: Callable[[], str] | None = None  # of the fleet's plan, sent with each attempt
        self.on_attempt: Callable[[Engine, Outcome], None] | None = None  # called when an attempt ends

    # Implemented by each protocol.

    def _open_attempt(
        self, context: RequestContext, attempt: Attempt, pool: client.Pool, timeout_ms: float
    ) -> RunningAttempt:
        """Starts an attempt, which calls its listener only after this method returns."""
        raise NotImplementedError

    def _reserve_slot(self, request: Request, engine: Engine) -> None:
        """Reserves a decode slot for a request whose prefill runs."""
        raise NotImplementedError

    def _release_kv_cache(self, request: Request) -> None:
        """Releases all KV cache held for a request, with retries until a release is acknowledged."""
        raise NotImplementedError

    def start(self) -> None:
        """Schedules a first decision round without events, in which the policy requests the endpoint list."""
        self.wake()

    def _module_name(self) -> str:
        return "chat"

    # Called by attempts.

    def on_first_token(self, attempt: Attempt) -> None:
        """Starts the answer, or cancels the attempt if the request is already streaming or answered."""
        context = self.open_requests[attempt.request]
        if attempt.request.streaming or context.final_answer:
            context.in_flight[attempt].cancel("another answer was first")
            return
        now = clock.now()
        attempt.first_token_at, attempt.request.streaming, context.first_token_at = now, True, now
        self._on_answer_begun(context)
        context.stop_deadline_timer()
        self.tell(FirstToken(attempt, now - attempt.sent_at))

    def _on_answer_begun(self, context: RequestContext) -> None:
        """Forgets the holding engines: the decode engine took the KV cache when the answer began."""
        context.holding_engines.clear()

    def on_content(self, attempt: Attempt, content: Any) -> None:
        """Sends a piece of the answer to the client."""
        context = self.open_requests[attempt.request]
        if not context.final_answer and attempt.first_token_at:
            context.client.send_content(content)

    def on_attempt_end(
        self, attempt: Attempt, outcome: Outcome, note: int, report: dict[str, float] | None, result: Any
    ) -> None:
        """Applies the outcome of an attempt, which may end its request, and reports it to the policy."""
        context = self.open_requests.get(attempt.request)
        if context is None:  # the policy has failed and all requests were aborted
            return
        call = context.in_flight.pop(attempt, None)
        if call is not None and call.end_reason:
            context.attempt_end_reasons[attempt] = call.end_reason
        self._record_kv_cache(context, attempt, outcome, call)
        if outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            context.last_cancelled_at = clock.now()
        if self.on_attempt:
            self.on_attempt(attempt.engine, outcome)
        self._apply_outcome(context, attempt, outcome, note, result)
        context.timed_out = outcome is Outcome.TIMED_OUT
        if context.final_answer:
            self._answered.append(context)
        elapsed_ms = clock.now() - attempt.sent_at
        self.tell(AttemptEnded(attempt, outcome, elapsed_ms, bool(context.final_answer), note, report))

    def _record_kv_cache(
        self, context: RequestContext, attempt: Attempt, outcome: Outcome, call: Any
    ) -> None:
        """Records that the engine may hold KV cache, even if the reply to its prefill was lost."""
        if attempt.is_prefill and outcome not in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT):
            context.holding_engines[attempt.engine] = None

    def _apply_outcome(
        self, context: RequestContext, attempt: Attempt, outcome: Outcome, note: int, result: Any
    ) -> None:
        if attempt.is_prefill:
            if outcome is Outcome.PREFILLED:
                context.kv_handle = result
                context.cached_tokens += note
        elif outcome is Outcome.SERVED:
            context.result = result
            self._finish(context, FinalAnswer.SERVED, result=result)
        elif attempt.first_token_at:
            context.timed_out = outcome is Outcome.TIMED_OUT
            context.answer_reason = "stream broke"
            self._finish(context, FinalAnswer.ABORTED)  # no other attempt can continue a stream
        elif outcome is Outcome.FULL and note == 1:  # the engine lost the KV cache
            context.kv_handle = None

    # Actions.

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request, retry_after_ms, reason):
                self._record_reason(request, reason)
                self._answer_for_policy(request, FinalAnswer.REJECTED, retry_after_ms)
            case AbortRequest(request, reason):
                self._record_reason(request, reason)
                self._answer_for_policy(request, FinalAnswer.ABORTED)
            case CancelAttempt(attempt):
                context = self.open_requests.get(attempt.request)
                if context and attempt in context.in_flight and not attempt.first_token_at:
                    context.in_flight[attempt].cancel("cancelled by the policy")
            case SetTimer(after, token):
                self.reactor.callLater(max(0.0, after) / 1000, self.tell, TimerFired(token))
            case CheckHealth(engine):
                self.check_health(engine, self.tell)
            case ReserveSlot(request, engine):
                self._reserve_slot(request, engine)
            case ReleaseKvCache(request):
                self._release_kv_cache(request)
            case WatchEndpoints(on):
                self.engine_list.watch(on)
            case FetchEndpointList():
                self.engine_list.fetch()
            case CloseConnections(engine):
                self._close_connections(engine)
            case WriteLog(text):
                LOG.info("policy", text=text)
            case _:
                LOG.warning("unsupported action of the policy", action=type(action).__name__)

    def _record_reason(self, request: Request, reason: str) -> None:
        context = self.open_requests.get(request)
        if context is not None and not context.final_answer:
            context.answer_reason = reason

    def _answer_for_policy(self, request: Request, answer: FinalAnswer, retry_after_ms: float = 0.0) -> None:
        """Sends the final answer that the policy decided on."""
        context = self.open_requests.get(request)
        if context:
            self._finish(context, answer, retry_after_ms)

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt, request = action.attempt, action.attempt.request
        context = self.open_requests.get(request)
        if context is not None and not context.final_answer and context.client.is_disconnected():
            self.client_disconnected(context)  # the reactor has not reported it yet
        remaining_ms = request.deadline - clock.now()
        if context is None or self._is_moot(context, remaining_ms):
            self.metrics.attempt("moot")
            ended = context is None or bool(context.final_answer)
            self.tell(AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, ended))
            return
        if attempt.engine not in self.pools:
            LOG.error(
                "attempt at an engine without a known address; it counts as unreachable",
                request=context.key,
                engine=attempt.engine.id.decode(),
            )
            context.attempt_end_reasons[attempt] = "no known address"
            self.tell(AttemptEnded(attempt, Outcome.UNREACHABLE, 0.0, False))
            return
        if self.on_decision:
            self.on_decision(context.key, attempt.number)
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms else remaining_ms
        pool = self.pools[attempt.engine]
        context.in_flight[attempt] = self._open_attempt(context, attempt, pool, timeout_ms)
        self.metrics.attempt("read" if attempt.is_prefill else "write")

    def _is_moot(self, context: RequestContext, remaining_ms: float) -> bool:
        """Whether an attempt would be pointless.

        It is if its request is answered, is streaming, has no time left, or is over its attempt limit.
        """
        request = context.request
        max_attempts = int(self.module_settings.max_attempts)
        return (
            bool(context.final_answer)
            or request.streaming
            or remaining_ms <= 0
            or len(request.attempts) > max_attempts
        )
