"""The open requests: each gets exactly one final answer, by its deadline."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from ..net import clock
from ..net.loop import Reactor
from ..net.time_out import TimeOut
from ..policy.events import AttemptEnded, ClientDisconnected
from ..policy.id_map import IdMap
from ..policy.state import Request
from .counters import Counters
from .engine_client import EngineClient
from .executed_keys import ExecutedKeys
from .request_context import FinalAnswer, RequestContext
from .request_log import request_fields

LOG = structlog.get_logger()
# Reactor iterations between a missed deadline and its answer: in these a timeout checks once more, reports to
# the policy, and the policy answers.
DEADLINE_GRACE_ITERATIONS = 3
POLICY_FAILED = "policy failed"  # reason of answers and attempt ends, for the log
FINAL_ANSWER_DECISION = -1  # passed to `on_decision` in place of an attempt number


class OpenRequests(EngineClient):
    """Stores each request's context from arrival until it is answered and has no attempt in flight."""

    def __init__(self, id_map: IdMap, reactor: Reactor, metrics: Counters) -> None:
        super().__init__(id_map, reactor, metrics)
        self.module_settings = id_map.settings
        self.open_requests: dict[Request, RequestContext] = {}
        self.last_request_id = 0
        self.on_policy_failure: Callable[[], None] | None = None  # called once the policy has failed
        # Called with a request's key and an attempt number or `FINAL_ANSWER_DECISION`.
        self.on_decision: Callable[[str, int], None] | None = None
        self.on_empty: Callable[[], None] | None = None  # called when a request is closed
        self.executed_keys = ExecutedKeys()
        self.open_effect_keys: set[str] = set()
        self._answered: list[RequestContext] = []  # closed after the round, once no attempt is in flight

    def _effect_key(self, context: RequestContext) -> str:
        """Returns the client's key of a request whose effect must not happen twice; empty for others."""
        return ""

    def _log_fields(self, context: RequestContext) -> dict[str, Any]:
        """Returns protocol-specific fields for the log line of a request."""
        return {}

    def _accept(self, context: RequestContext) -> RequestContext:
        """Passes a request to the policy and starts its deadline timer.

        From here on the client must get exactly one final answer.
        """
        request = context.request
        slack_ms = float(self.module_settings.answer_slack_ms)
        remaining_ms = max(0.0, request.deadline + slack_ms - clock.now())
        context.deadline_timer = TimeOut(
            self.reactor,
            remaining_ms / 1000,
            lambda: self._deadline_missed(context),
            DEADLINE_GRACE_ITERATIONS,
        )
        self.open_requests[request] = context
        if key := self._effect_key(context):
            self.open_effect_keys.add(key)
        self.metrics.arrived(context.class_name)
        self.tell(self.id_map.request_arrived(request))
        return context

    def client_disconnected(self, context: RequestContext) -> None:
        """Ends the request of a disconnected client.

        Attempts that were not sent are withdrawn; an attempt whose stream has begun is cancelled.
        """
        if not context.final_answer:
            context.answer_reason = "client disconnected"
            self._finish(context, FinalAnswer.CLIENT_DISCONNECTED)
            self.tell(ClientDisconnected(context.request))
        for attempt, call in list(context.in_flight.items()):
            if attempt.first_token_at or attempt.request.streaming:
                call.cancel("client disconnected")
            else:
                call.withdraw()

    def _deadline_missed(self, context: RequestContext) -> None:
        """Aborts a request whose deadline passed without an answer from the policy.

        Its client would wait forever otherwise.
        """
        if context.final_answer or context.first_token_at:
            return
        LOG.error("request missed its deadline without an answer", request=context.key)
        self.metrics.overdue()
        context.timed_out, context.answer_reason = True, "deadline missed without an answer"
        self._finish(context, FinalAnswer.ABORTED)
        self.tell(ClientDisconnected(context.request))

    def _finish(
        self,
        context: RequestContext,
        answer: FinalAnswer,
        retry_after_ms: float = 0.0,
        result: Any = None,
    ) -> None:
        """Sends the final answer, unless one was sent."""
        if context.final_answer:
            return
        context.final_answer = answer
        if self.on_decision:
            self.on_decision(context.key, FINAL_ANSWER_DECISION)
        context.stop_deadline_timer()
        match answer:
            case FinalAnswer.SERVED:
                context.client.complete(*result)
            case FinalAnswer.REJECTED:
                context.client.reject(retry_after_ms)
            case FinalAnswer.ABORTED:
                context.client.abort(context.timed_out)
        self._answered.append(context)
        self.wake()  # the next round closes the request

    def _close(self, context: RequestContext) -> None:
        """Removes and logs an answered request, unless an attempt is in flight."""
        request = context.request
        if context.in_flight or self.open_requests.pop(request, None) is None:
            return
        if key := self._effect_key(context):
            self.open_effect_keys.discard(key)
            if request.possibly_executed:
                self.executed_keys.add(key)
        now = clock.now()
        self.metrics.ended(
            context.class_name,
            context.final_answer.value if context.final_answer else "",
            now - request.arrived,
            context.first_token_at - request.arrived if context.first_token_at else None,
            len(request.attempts),
        )
        LOG.info("request ended", **request_fields(context, now), **self._log_fields(context))
        if self.on_empty:
            self.on_empty()

    # The decision loop.

    def _after_round(self) -> None:
        """Closes the answered requests.

        Failure: a client disconnects during prefill, the attempt is cancelled in this round, and the policy
        releases the KV cache in the next round. That release needs the request context, so a request stays
        open until the policy has received the end of each of its attempts.
        """
        answered, self._answered = self._answered, []
        requests_with_pending_ends = {
            event.attempt.request for event in self._events if isinstance(event, AttemptEnded)
        }
        for context in answered:
            if context.request in requests_with_pending_ends:
                self._answered.append(context)
            else:
                self._close(context)

    def _abort_all(self) -> None:
        """Ends all that needs the policy; a stream that has begun does not, and runs to its end."""
        contexts = list(self.open_requests.values())
        streams = sum(bool(context.first_token_at) for context in contexts)
        LOG.error("open requests aborted", aborted=len(contexts) - streams, streams_continued=streams)
        for context in contexts:
            if not context.first_token_at:
                context.answer_reason = context.answer_reason or POLICY_FAILED
                self._finish(context, FinalAnswer.ABORTED)
            for attempt, call in list(context.in_flight.items()):
                if not attempt.first_token_at:
                    call.cancel(POLICY_FAILED)
        if self.on_policy_failure:
            self.on_policy_failure()
