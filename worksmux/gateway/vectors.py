"""Serves embeddings and rerank: admission, token counting, batching, and one final answer to each request.

The admission controller admits a request, the token service counts its tokens, and the planner divides
requests into batches, which the dispatcher of their path sends to engines.  Statuses: 200 for a served
request; 400 and 404 for a request that cannot be served; `answers` lists the others.
"""

from __future__ import annotations

from typing import Any

import structlog
import xxhash

from ..admission.controller import AdmissionController, AdmissionResult, Rejection, RequestState
from ..api import errors
from ..batching.planner import BatchFailure, BatchLimits, InputBatch, Planner, RequestResult
from ..batching.planner import Step as PlanStep
from ..net import clock
from ..net.server import Exchange
from ..settings.front import Admission
from ..tokenization.service import Result, TokenService
from .answers import (
    SERVICE_UNAVAILABLE,
    TOO_MANY_REQUESTS,
    answer_rejected,
    answer_timed_out,
)
from .chat_engine_client import ChatEngineClient
from .stage import StageDispatcher
from .vector_batches import VectorBatch
from .vector_requests import (
    EMBEDDINGS,
    PATHS,
    RERANK,
    RequestEnd,
    RequestReader,
    VectorClass,
    VectorRequest,
)

LOG = structlog.get_logger()
OK = 200
BAD_REQUEST = 400
RETRY_AFTER_STOP_MS = 1000.0
NO_TOKEN_LIMIT = 10**9
NO_SESSION = 0
ACCEPTED_ENDS = (RequestEnd.SERVED, RequestEnd.CLIENT_DISCONNECTED, RequestEnd.BAD_INPUT)


class VectorService:
    """Serves the exchanges of both paths."""

    def __init__(
        self,
        core: ChatEngineClient,
        dispatchers: dict[str, StageDispatcher],
        admission: AdmissionController,
        bounds: Admission,
        first_admission_number: int,
        tokens: TokenService | None = None,
    ) -> None:
        """Numbers the request classes of the dispatchers and builds the planner.

        The admission controller numbers the request classes of chat first; `first_admission_number` is its
        number of the dispatchers' first request class.  Without `tokens` lengths are estimated from bytes.
        """
        self.admission = admission
        self.open_requests: dict[VectorRequest, None] = {}
        self.batches: dict[InputBatch, VectorBatch] = {}
        self.planner = Planner(lambda batched: admission.may_retry(batched.item.admission.request_class))
        self.stopping = False
        self._core = core
        self._dispatchers = dispatchers
        self._bounds = bounds
        self._tokens = tokens
        self._classes = self._number_classes(first_admission_number)
        self._reader = RequestReader(
            self._classes,
            {
                EMBEDDINGS: BatchLimits(bounds.load_tokens, bounds.load_inputs),
                RERANK: BatchLimits(bounds.load_tokens, bounds.load_inputs, may_join=False),
            },
        )
        self._timer: Any = None
        self._timer_at = 0.0

    def _number_classes(self, first_admission_number: int) -> dict[tuple[str, str], VectorClass]:
        classes: dict[tuple[str, str], VectorClass] = {}
        for dispatcher in self._dispatchers.values():
            for number, settings in enumerate(dispatcher.settings.request_classes):
                key = dispatcher.settings.call, settings.name
                classes[key] = VectorClass(settings, first_admission_number + len(classes), number)
        return classes

    def model_names(self) -> list[str]:
        """The names of the request classes, which clients use as model names."""
        return [name for _, name in self._classes]

    def __call__(self, exchange: Exchange, path: str) -> None:
        metrics = self._core.metrics
        if self.stopping:
            metrics.not_accepted("stopping")
            exchange.set_header("connection", "close")
            return answer_rejected(
                exchange, SERVICE_UNAVAILABLE, "the front is stopping; try another", RETRY_AFTER_STOP_MS
            )
        if len(self.open_requests) >= self._bounds.open_calls:
            metrics.not_accepted("too many open")
            return answer_rejected(
                exchange,
                TOO_MANY_REQUESTS,
                "the front holds as many calls as it may",
                self._bounds.stay_away[0],
            )
        try:
            request = self._reader.read(exchange, PATHS[path], self._core.settings.transport.answer_margin)
        except errors.InvalidRequestError as error:
            metrics.not_accepted("bad job")
            return exchange.answer(error.status, error.body)
        self._accept(request)

    def _accept(self, request: VectorRequest) -> None:
        """Accepts a request, which gets exactly one final answer, and passes it to admission."""
        self.open_requests[request] = None
        self._core.metrics.arrived(request.vector_class.settings.name)
        slack_ms = float(self._core.settings.policy_settings.answer_slack_ms)
        time_left_ms = request.batched.deadline - request.arrived_at
        request.overdue_timer = self._core.reactor.callLater(
            (time_left_ms + slack_ms) / 1000, self._time_out, request
        )
        request.exchange.on_disconnect = lambda: self._finish(request, RequestEnd.CLIENT_DISCONNECTED)
        self._apply_admission(self.admission.arrived(clock.now(), request.admission))

    def _apply_admission(self, result: AdmissionResult) -> None:
        for rejection in result.rejected:
            self._reject(rejection)
        for admitted in result.admitted:
            request: VectorRequest = admitted.item
            if request.end is None:
                request.admitted_at = clock.now()
                self._count_tokens(request)
        self._schedule_tick()

    def _count_tokens(self, request: VectorRequest) -> None:
        """Counts an admitted request's tokens and plans it; without a count in time the estimate is used.

        Counting follows admission, so that no count is spent on a rejected request.
        """
        texts = request.texts_to_count()
        if self._tokens is None or not request.vector_class.settings.tokenizer or not texts:
            return self._apply_plan(self.planner.add(clock.now(), request.batched))
        request.prompt = self._tokens.count(
            [("user", text) for text in texts],
            request.admission.request_class,
            NO_TOKEN_LIMIT,
            max(1.0, request.batched.latency_target_at - clock.now()),
            NO_SESSION,
            lambda result: self._tokens_counted(request, result),
        )

    def _tokens_counted(self, request: VectorRequest, result: Result) -> None:
        """Divides an exact count among the inputs in proportion to their estimates, and plans the request."""
        if request.end is not None or request.is_planned:  # ended, or planned with the estimate
            return
        request.is_planned = True
        batched = request.batched
        if result.exact:
            estimate = sum(batched.costs)
            batched.costs = [cost * result.prompt / estimate for cost in batched.costs]
        self._apply_plan(self.planner.add(clock.now(), batched))

    def _apply_plan(self, step: PlanStep) -> None:
        for input_batch in step.cancel:
            batch = self.batches.pop(input_batch, None)
            if batch is not None and batch.context is not None:
                self._dispatcher_of(batch).drop(batch.context)
        for result in step.results:
            self._answer(result)
        for input_batch in step.send:
            self._send(input_batch)
        for due_at, input_batch in step.send_later:
            self._core.reactor.callLater(max(0.0, due_at - clock.now()) / 1000, self._send, input_batch)
        self._schedule_tick()

    def _dispatcher_of(self, batch: VectorBatch) -> StageDispatcher:
        return self._dispatchers[PATHS[batch.path()]]

    def _send(self, input_batch: InputBatch) -> None:
        if input_batch.ended or not input_batch.missing_inputs():
            return self._apply_plan(self.planner.batch_served(input_batch, [], {}))
        batch = self.batches[input_batch] = VectorBatch(input_batch, self.planner, self._batch_ended)
        request_class = batch.first_request.vector_class.dispatcher_number
        session = xxhash.xxh3_64_intdigest(str(input_batch.number).encode())
        batch.context = self._dispatcher_of(batch).submit(
            request_class, batch, input_batch.cost, input_batch.deadline, session
        )

    def _batch_ended(self, batch: VectorBatch, step: PlanStep) -> None:
        self.batches.pop(batch.input_batch, None)
        self._apply_plan(step)

    def _schedule_tick(self) -> None:
        times = [
            due_at for due_at in (self.admission.next_time(), self.planner.next_time()) if due_at is not None
        ]
        due_at = min(times, default=None)
        if self._timer is not None and self._timer.active():
            if due_at == self._timer_at:  # runs several times per request, and most runs change nothing
                return
            self._timer.cancel()
        if due_at is not None:
            self._timer_at = due_at
            self._timer = self._core.reactor.callLater(max(0.0, due_at - clock.now()) / 1000, self._tick)

    def _tick(self) -> None:
        now = clock.now()
        self._apply_admission(self.admission.tick(now))
        self._apply_plan(self.planner.tick(now))

    def _answer(self, result: RequestResult) -> None:
        """Answers a request that the planner has finished."""
        request: VectorRequest = result.request.item
        exchange, headers = request.exchange, request.answer_headers
        if result.input_error:
            body = errors.error(result.input_error, "invalid_request_error", "input")
            exchange.answer(BAD_REQUEST, body, headers=headers)
            self._finish(request, RequestEnd.BAD_INPUT)
        elif result.failure is None:
            exchange.answer(OK, request.answer_body(result.request.results), headers=headers)
            self._finish(request, RequestEnd.SERVED)
        elif result.failure is BatchFailure.REJECTED:
            answer_rejected(
                exchange,
                SERVICE_UNAVAILABLE,
                "the call was deferred: it has had no effect, and trying again is harmless",
                self._bounds.stay_away[0],
                headers,
            )
            self._finish(request, RequestEnd.REJECTED)
        else:
            answer_timed_out(exchange, headers)
            self._finish(request, RequestEnd.ABORTED)

    def _time_out(self, request: VectorRequest) -> None:
        if request.end is None:
            answer_timed_out(request.exchange, request.answer_headers)
            self._finish(request, RequestEnd.ABORTED)

    def _reject(self, rejection: Rejection) -> None:
        request: VectorRequest = rejection.request.item
        if request.end is None:
            reason = rejection.reason.value
            self._core.metrics.not_accepted(reason)
            answer_rejected(
                request.exchange,
                TOO_MANY_REQUESTS,
                f"turned away: {reason}; come back later",
                rejection.retry_after_ms,
                request.answer_headers,
            )
            self._finish(request, RequestEnd.REJECTED)

    def _finish(self, request: VectorRequest, end: RequestEnd) -> None:
        """Records the final answer of a request; later calls do nothing."""
        if request.end is not None:
            return
        request.end = end
        self.open_requests.pop(request, None)
        if request.overdue_timer is not None and request.overdue_timer.active():
            request.overdue_timer.cancel()
        if request.prompt is not None and not request.is_planned and self._tokens is not None:
            self._tokens.cancel(request.prompt)
        now = clock.now()
        elapsed_ms, name = now - request.arrived_at, request.vector_class.settings.name
        self._core.metrics.ended(name, end.value, elapsed_ms, None, 0)
        if not request.batched.ended:
            self._apply_plan(self.planner.client_disconnected(request.batched))
        self._end_admission(request, now, end in ACCEPTED_ENDS)
        LOG.info(
            "vector request ended",
            request_class=name,
            answer=end.value,
            ms=round(elapsed_ms, 1),
            inputs=len(request.batched.costs),
            tokens=round(request.admission.cost),
        )
        if self._core.on_empty:
            self._core.on_empty()

    def _end_admission(self, request: VectorRequest, now: float, accepted: bool) -> None:
        admission = request.admission
        if admission.state is RequestState.QUEUED:
            self.admission.client_disconnected(admission)
        else:
            elapsed_ms = now - request.admitted_at
            self._apply_admission(self.admission.ended(now, admission, elapsed_ms, accepted))
