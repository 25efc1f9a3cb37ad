"""The clients' side of embeddings and rerank: from the exchange through gate and planner to the lanes, and
back to one final answer.

Statuses: 200 delivered; 400 and 404 for what cannot be taken; 429 where the gate turned the call away and 503
where it was deferred, both harmless to repeat and with `Retry-After`; 504 where its time ran out.
"""

from __future__ import annotations

from math import ceil
from typing import Any

import structlog
import xxhash

from ..admission.controller import (
    AdmissionController,
    AdmissionRequest,
    AdmissionResult,
    Rejection,
    RequestState,
)
from ..api import chat, embeddings, errors, rerank
from ..batching.planner import Bounds, Call, Done, How, Load, Planner
from ..batching.planner import Step as PlanStep
from ..net import clock
from ..net.server import Exchange
from ..settings.front import Admission
from ..settings.shared import RequestClass
from ..tokenization.service import Prompt, Result, TokenService
from .chat_engine_client import PublishedCore
from .stage import BatchContext, StageDispatcher

LOG = structlog.get_logger()
ANSWER = "x-worksmux-answer"
OUT_OF_TIME = "the call's time ran out"
PATHS = {embeddings.PATH: "embeddings", rerank.PATH: "rerank"}


class Attempt:
    """One load on its way: see `lane.Errand`."""

    def __init__(self, side: VectorSide, load: Load, lane: StageDispatcher) -> None:
        self.side, self.load, self.lane = side, load, lane
        self.asked: list[tuple[Call, int]] = []
        self.results: dict[int, Any] = {}
        self.work: BatchContext | None = None
        first = load.wanted[0][0].item
        self.first: One = first

    def path(self) -> str:
        return self.first.path

    def body(self) -> bytes:
        self.asked = self.load.needs()
        self.results = {}
        return self.first.engine_body([(call.item, at) for call, at in self.asked])

    def take_response(self, body: bytes) -> bool:
        try:
            self.results, usage = self.first.read(body, len(self.asked))
        except ValueError as error:
            LOG.warning("an engine's reply makes no sense", call=self.path(), why=str(error)[:200])
            return False
        self._count(usage.total_tokens)
        if len(self.results) == len(self.asked):
            return True
        LOG.warning(
            "an engine's reply lacks results", call=self.path(), wanted=len(self.asked), got=len(self.results)
        )
        self.side.planner.partial(self.load, self.asked, self.results)
        return not self.load.needs()  # who is missing may have left meanwhile

    def _count(self, tokens: int) -> None:
        """Shares out the engine's count among the calls, in proportion to their own parts."""
        whole = sum(call.costs[at] for call, at in self.asked) or 1.0
        for call, at in self.asked:
            call.item.tokens += tokens * call.costs[at] / whole

    def delivered(self) -> None:
        self.side.over(self, self.side.planner.delivered(self.load, self.asked, self.results))

    def rejected_input(self, message: str) -> None:
        self.side.over(self, self.side.planner.refused(self.load, message))

    def failed(self, deferred: bool) -> None:
        how = How.DEFERRED if deferred else How.BROKEN
        self.side.over(self, self.side.planner.failed(clock.now(), self.load, how))


class One:
    """One client's call, from its exchange to its final answer."""

    path = ""

    def __init__(self, exchange: Exchange, request_class: RequestClass, at: int) -> None:
        self.exchange, self.request_class, self.at = exchange, request_class, at
        self.arrived = clock.now()
        self.sent = self.arrived  # past the gate
        self.request_id = exchange.header(chat.REQUEST_ID) or ""
        self.tokens = 0.0
        self.gate: AdmissionRequest | None = None
        self.call: Call | None = None
        self.guard: Any = None
        self.prompt: Prompt | None = None  # while its length is counted
        self.planned = False
        self.how = ""

    def texts(self) -> list[str]:
        """What is to be counted; empty where the lengths are known."""
        raise NotImplementedError

    @property
    def tags(self) -> tuple[tuple[str, str], ...]:
        return ((chat.REQUEST_ID, self.request_id),) if self.request_id else ()

    def engine_body(self, asked: list[tuple[Any, int]]) -> bytes:
        raise NotImplementedError

    def read(self, body: bytes, wanted: int) -> tuple[dict[int, Any], embeddings.Usage]:
        raise NotImplementedError

    def answer(self, results: list[Any]) -> bytes:
        raise NotImplementedError


class Embedding(One):
    path = embeddings.PATH

    def __init__(
        self, exchange: Exchange, request_class: RequestClass, at: int, asked: embeddings.Asked
    ) -> None:
        super().__init__(exchange, request_class, at)
        self.asked = asked

    def texts(self) -> list[str]:
        return [one for one in self.asked.inputs if isinstance(one, str)]

    def engine_body(self, asked: list[tuple[Any, int]]) -> bytes:
        inputs = [one.asked.inputs[at] for one, at in asked]
        return embeddings.to_engine(self.asked.model, inputs, self.asked.dimensions)

    def read(self, body: bytes, wanted: int) -> tuple[dict[int, Any], embeddings.Usage]:
        found, usage = embeddings.vectors(body, wanted)
        return dict(found), usage

    def answer(self, results: list[Any]) -> bytes:
        return embeddings.whole(self.asked.model, self.asked.form, results, round(self.tokens))


class Reranking(One):
    path = rerank.PATH

    def __init__(self, exchange: Exchange, request_class: RequestClass, at: int, asked: rerank.Asked) -> None:
        super().__init__(exchange, request_class, at)
        self.asked = asked

    def texts(self) -> list[str]:
        return [f"{self.asked.query} {text}" for text in self.asked.inputs]

    def engine_body(self, asked: list[tuple[Any, int]]) -> bytes:
        return rerank.to_engine(
            self.asked.model, self.asked.query, [self.asked.inputs[at] for _, at in asked]
        )

    def read(self, body: bytes, wanted: int) -> tuple[dict[int, Any], embeddings.Usage]:
        found, usage = rerank.scores(body, wanted)
        return dict(found), usage

    def answer(self, results: list[Any]) -> bytes:
        return rerank.whole(f"rerank-{self.request_id or id(self)}", self.asked, results, round(self.tokens))


class VectorSide:
    def __init__(
        self,
        core: PublishedCore,
        lanes: dict[str, StageDispatcher],
        gate: AdmissionController,
        bounds: Admission,
        first: int,
        tokens: TokenService | None = None,
    ) -> None:
        """`first` is the gate's number of the lanes' first offering; theirs follow those of chat."""
        self.core, self.lanes, self.gate, self.bounds = core, lanes, gate, bounds
        self.tokens = tokens
        self.request_classes: dict[tuple[str, str], tuple[int, int, RequestClass]] = {}
        for lane in lanes.values():
            for at, one in enumerate(lane.settings.request_classes):
                self.request_classes[lane.settings.call, one.name] = first, at, one
                first += 1
        self.planner = Planner(lambda call: gate.may_retry(call.item.gate.request_class))
        self.loads = {
            "embeddings": Bounds(bounds.load_tokens, bounds.load_inputs),
            "rerank": Bounds(bounds.load_tokens, bounds.load_inputs, join=False),
        }
        self.open: dict[One, None] = {}
        self.attempts: dict[Load, Attempt] = {}
        self.timer: Any = None
        self.timer_at = 0.0
        self.stopping = False

    def names(self) -> list[str]:
        return [name for _, name in self.request_classes]

    # Clients.

    def __call__(self, exchange: Exchange, path: str) -> None:
        call = PATHS[path]
        metrics = self.core.metrics
        if self.stopping:
            metrics.turned_away("stopping")
            exchange.setHeader("connection", "close")
            return self._busy(exchange, 503, "the front is stopping; try another", "deferred", 1000.0)
        if len(self.open) >= self.bounds.open_calls:
            metrics.turned_away("too many open")
            return self._busy(
                exchange, 429, "the front holds as many calls as it may", "deferred", self.bounds.stay_away[0]
            )
        try:
            one = self._read(exchange, call)
            left = self._time_left(exchange, one.request_class)
        except errors.BadRequest as bad:
            metrics.turned_away("bad job")
            return exchange.answer(bad.status, bad.body)
        self._take(one, left)

    def _read(self, exchange: Exchange, call: str) -> One:
        body = exchange.body()
        asked: embeddings.Asked | rerank.Asked
        asked = embeddings.asked(body) if call == "embeddings" else rerank.asked(body)
        known = self.request_classes.get((call, asked.model))
        if known is None:
            raise errors.BadRequest(
                f"the model {asked.model[:100]!r} does not exist for {call}; GET /v1/models "
                "lists those that do",
                "model",
                "model_not_found",
                404,
            )
        number, at, request_class = known
        if max(asked.costs) > request_class.most_prompt:
            raise errors.BadRequest(
                f"an input has about {max(asked.costs):.0f} tokens; {asked.model} takes "
                f"{request_class.most_prompt} at most; shorten it",
                "input",
                "context_length_exceeded",
            )
        one: One = (
            Embedding(exchange, request_class, at, asked)
            if isinstance(asked, embeddings.Asked)
            else Reranking(exchange, request_class, at, asked)
        )
        caller = asked.user or exchange.header("authorization") or exchange.getClientAddress().host
        cost, now = sum(asked.costs), one.arrived
        promised = now + request_class.promised_time + request_class.promised_per_k * cost / 1000
        who = xxhash.xxh3_64_intdigest(f"{call}\0{caller}\0".encode("utf-8", "surrogatepass") + body)
        repeats = exchange.header(chat.REPEAT) or ""
        one.gate = AdmissionRequest(
            number,
            caller,
            cost,
            now,
            promised,
            promised,
            item=one,
            content_hash=who,
            is_retry=repeats.isdigit() and int(repeats) > 0,
        )
        one.call = Call(
            asked.costs,
            (
                call,
                asked.model,
                getattr(asked, "dimensions", None),
                None if call == "embeddings" else id(one),
            ),
            self.loads[call],
            now,
            promised,
            promised,
            one,
        )
        return one

    def _time_left(self, exchange: Exchange, request_class: RequestClass) -> float:
        named = chat.figure(exchange.header(chat.TIME_LEFT), chat.TIME_LEFT)
        limit = request_class.outer_limit if named is None else min(named, request_class.outer_limit)
        return max(0.0, limit - self.core.settings.transport.answer_margin)

    def _take(self, one: One, left: float) -> None:
        assert one.gate is not None and one.call is not None
        one.gate.deadline = one.call.give_up_at = one.arrived + left
        one.call.promised_at = one.gate.latency_target_at = min(
            one.gate.latency_target_at, one.arrived + left
        )
        self.open[one] = None
        self.core.metrics.arrived(one.request_class.name)
        slack = float(self.core.settings.module["answer_slack"])
        one.guard = self.core.reactor.callLater((left + slack) / 1000, self._overdue, one)
        one.exchange.on_disconnect = lambda: self._gone(one)
        self._gate(self.gate.arrived(clock.now(), one.gate))

    def _gone(self, one: One) -> None:
        """The client hung up: its answer would reach nobody."""
        self._final(one, "left")

    def _overdue(self, one: One) -> None:
        if not one.how:
            self._broken_off(one)

    # What follows from gate and planner.

    def _gate(self, step: AdmissionResult) -> None:
        for refused in step.rejected:
            self._refused(refused)
        for asked in step.admitted:
            one: One = asked.item
            if not one.how:
                one.sent = clock.now()
                self._count(one)
        self._watch()

    def _count(self, one: One) -> None:
        """Past the gate, so that what is turned away costs no counting: the call's length as the router
        counts it, shared out over its inputs by bytes; where that would take too long, the guess from
        bytes."""
        assert one.gate is not None and one.call is not None
        texts = one.texts()
        if self.tokens is None or not one.request_class.tokenizer or not texts:
            return self._plan(self.planner.add(clock.now(), one.call))
        one.prompt = self.tokens.count(
            [("user", text) for text in texts],
            one.gate.request_class,
            10**9,
            max(1.0, one.call.promised_at - clock.now()),
            0,
            lambda told: self._counted(one, told),
        )

    def _counted(self, one: One, told: Result) -> None:
        call = one.call
        assert call is not None
        if one.how or one.planned:  # it has ended, or has gone by the guess
            return
        one.planned = True
        if told.exact:
            guessed = sum(call.costs)
            call.costs = [cost * told.prompt / guessed for cost in call.costs]
        self._plan(self.planner.add(clock.now(), call))

    def _plan(self, step: PlanStep) -> None:
        for load in step.drop:
            attempt = self.attempts.pop(load, None)
            if attempt is not None and attempt.work is not None:
                attempt.lane.drop(attempt.work)
        for done in step.done:
            self._done(done)
        for load in step.send:
            self._send(load)
        for at, load in step.later:
            self.core.reactor.callLater(max(0.0, at - clock.now()) / 1000, self._send, load)
        self._watch()

    def _send(self, load: Load) -> None:
        if load.ended or not load.needs():
            return self._plan(self.planner.delivered(load, [], {}))
        first: One = load.wanted[0][0].item
        lane = self.lanes[PATHS[first.path]]
        attempt = self.attempts[load] = Attempt(self, load, lane)
        session = xxhash.xxh3_64_intdigest(str(load.number).encode())
        attempt.work = lane.submit(first.at, attempt, load.cost, load.give_up_at, session)

    def over(self, attempt: Attempt, step: PlanStep) -> None:
        """A load has ended."""
        self.attempts.pop(attempt.load, None)
        self._plan(step)

    def _watch(self) -> None:
        times = [at for at in (self.gate.next_time(), self.planner.next_time()) if at is not None]
        at = min(times, default=None)
        if self.timer is not None and self.timer.active():
            if at == self.timer_at:  # asked several times a call: most change nothing
                return
            self.timer.cancel()
        if at is not None:
            self.timer_at = at
            self.timer = self.core.reactor.callLater(max(0.0, at - clock.now()) / 1000, self._tick)

    def _tick(self) -> None:
        now = clock.now()
        self._gate(self.gate.tick(now))
        self._plan(self.planner.tick(now))

    # Answers.

    def _done(self, done: Done) -> None:
        one: One = done.call.item
        if done.bad:
            one.exchange.answer(
                400, errors.error(done.bad, "invalid_request_error", "input"), headers=one.tags
            )
            self._final(one, "bad input")
        elif done.how is None:
            one.exchange.answer(200, one.answer(done.call.results), headers=one.tags)
            self._final(one, "delivered")
        elif done.how is How.DEFERRED:
            self._busy(
                one.exchange,
                503,
                "the call was deferred: it has had no effect, and trying again is harmless",
                "deferred",
                self.bounds.stay_away[0],
                one.tags,
            )
            self._final(one, "deferred")
        else:
            self._broken_off(one)

    def _broken_off(self, one: One) -> None:
        one.exchange.answer(
            504,
            errors.error(OUT_OF_TIME, "server_error", code="broken_off"),
            headers=((ANSWER, "broken-off"), *one.tags),
        )
        self._final(one, "broken off")

    def _refused(self, refused: Rejection) -> None:
        one: One = refused.request.item
        if not one.how:
            self.core.metrics.turned_away(refused.reason.value)
            self._busy(
                one.exchange,
                429,
                f"turned away: {refused.reason.value}; come back later",
                "deferred",
                refused.retry_after_ms,
                one.tags,
            )
            self._final(one, "deferred")

    @staticmethod
    def _busy(
        exchange: Exchange,
        status: int,
        message: str,
        code: str,
        wait: float,
        tags: tuple[tuple[str, str], ...] = (),
    ) -> None:
        kind = "rate_limit_error" if status == 429 else "server_error"
        headers = (
            ("Retry-After", str(ceil(wait / 1000))),
            ("retry-after-ms", str(round(wait))),
            (ANSWER, "deferred"),
        )
        exchange.answer(status, errors.error(message, kind, code=code), headers=(*headers, *tags))

    def _final(self, one: One, how: str) -> None:
        """Bookkeeping of the one final answer."""
        if one.how:
            return
        one.how = how
        self.open.pop(one, None)
        if one.guard is not None and one.guard.active():
            one.guard.cancel()
        if one.prompt is not None and not one.planned and self.tokens is not None:
            self.tokens.cancel(one.prompt)
        now = clock.now()
        self.core.metrics.ended(one.request_class.name, how, now - one.arrived, None, 0)
        assert one.gate is not None and one.call is not None
        if not one.call.over:
            self._plan(self.planner.left(one.call))
        good = how in ("delivered", "left", "bad input")
        if one.gate.state is RequestState.QUEUED:
            self.gate.client_disconnected(one.gate)
        else:
            self._gate(self.gate.ended(now, one.gate, now - one.sent, good))
        LOG.info(
            "call",
            request_class=one.request_class.name,
            answer=how,
            ms=round(now - one.arrived, 1),
            inputs=len(one.call.costs),
            tokens=round(one.gate.cost),
        )
        if self.core.on_empty:
            self.core.on_empty()
