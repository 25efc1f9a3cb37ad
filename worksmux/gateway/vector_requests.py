"""Embeddings and rerank requests of clients, from their exchange to their final answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import xxhash

from ..admission.controller import AdmissionRequest
from ..api import chat, embeddings, errors, rerank
from ..batching.planner import Bounds, Call
from ..net import clock
from ..net.server import Exchange
from ..settings.shared import RequestClass
from ..tokenization.service import Prompt

EMBEDDINGS, RERANK = "embeddings", "rerank"
PATHS = {embeddings.PATH: EMBEDDINGS, rerank.PATH: RERANK}
MAX_QUOTED_CHARACTERS = 100  # of a client's text, in an error
NOT_FOUND = 404


class RequestEnd(Enum):
    """How a request ended; the values stand in metrics and logs."""

    DELIVERED = "delivered"
    DEFERRED = "deferred"
    BROKEN_OFF = "broken off"
    BAD_INPUT = "bad input"
    CLIENT_DISCONNECTED = "left"


@dataclass(frozen=True, slots=True)
class VectorClass:
    """A request class with its numbers at the admission controller and at its dispatcher."""

    settings: RequestClass
    admission_number: int
    dispatcher_number: int


class VectorRequest:
    """One client's request.  `admission` and `call` are how the controller and the planner know it."""

    path = ""

    def __init__(
        self,
        exchange: Exchange,
        vector_class: VectorClass,
        asked: embeddings.Asked | rerank.Asked,
        arrived_at: float,
        deadline: float,
        bounds: Bounds,
    ) -> None:
        self.exchange = exchange
        self.vector_class = vector_class
        self.asked = asked
        self.arrived_at = arrived_at
        self.admitted_at = arrived_at  # until it is admitted
        self.request_id = exchange.header(chat.REQUEST_ID) or ""
        self.engine_tokens = 0.0  # as the engines count them
        self.overdue_timer: Any = None
        self.prompt: Prompt | None = None  # while its tokens are counted
        self.is_planned = False
        self.end: RequestEnd | None = None
        cost = sum(asked.costs)
        target_at = min(self._latency_target_at(cost), deadline)
        self.admission = self._admission_request(cost, target_at, deadline)
        self.call = Call(asked.costs, self._batch_group(), bounds, arrived_at, target_at, deadline, self)

    def _latency_target_at(self, cost: float) -> float:
        settings = self.vector_class.settings
        return self.arrived_at + settings.promised_time + settings.promised_per_k * cost / 1000

    def _admission_request(self, cost: float, target_at: float, deadline: float) -> AdmissionRequest:
        exchange = self.exchange
        caller = self.asked.user or exchange.header("authorization") or exchange.client_host()
        sender = f"{PATHS[self.path]}\0{caller}\0".encode("utf-8", "surrogatepass")
        retry_count = exchange.header(chat.REPEAT) or ""
        return AdmissionRequest(
            self.vector_class.admission_number,
            caller,
            cost,
            self.arrived_at,
            target_at,
            deadline,
            is_retry=retry_count.isdigit() and int(retry_count) > 0,
            content_hash=xxhash.xxh3_64_intdigest(sender + exchange.body()),
            item=self,
        )

    def _batch_group(self) -> tuple[Any, ...]:
        """Requests of the same group may share a batch."""
        raise NotImplementedError

    def texts_to_count(self) -> list[str]:
        """Texts whose tokens are to be counted; empty where the lengths are known."""
        raise NotImplementedError

    @property
    def answer_headers(self) -> tuple[tuple[str, str], ...]:
        return ((chat.REQUEST_ID, self.request_id),) if self.request_id else ()

    def engine_body(self, inputs: list[tuple[Any, int]]) -> bytes:
        """The body of a batch for inputs of requests of its group: (request, index)."""
        raise NotImplementedError

    def read_response(self, body: bytes, count: int) -> tuple[dict[int, Any], embeddings.Usage]:
        """Results by their place in a batch of `count` inputs.  Raises ValueError."""
        raise NotImplementedError

    def answer_body(self, results: list[Any]) -> bytes:
        raise NotImplementedError


class EmbeddingRequest(VectorRequest):
    path = embeddings.PATH
    asked: embeddings.Asked

    def _batch_group(self) -> tuple[Any, ...]:
        return EMBEDDINGS, self.asked.model, self.asked.dimensions, None

    def texts_to_count(self) -> list[str]:
        return [one for one in self.asked.inputs if isinstance(one, str)]

    def engine_body(self, inputs: list[tuple[Any, int]]) -> bytes:
        values = [request.asked.inputs[index] for request, index in inputs]
        return embeddings.to_engine(self.asked.model, values, self.asked.dimensions)

    def read_response(self, body: bytes, count: int) -> tuple[dict[int, Any], embeddings.Usage]:
        found, usage = embeddings.vectors(body, count)
        return dict(found), usage

    def answer_body(self, results: list[Any]) -> bytes:
        return embeddings.whole(self.asked.model, self.asked.form, results, round(self.engine_tokens))


class RerankRequest(VectorRequest):
    path = rerank.PATH
    asked: rerank.Asked

    def _batch_group(self) -> tuple[Any, ...]:
        return RERANK, self.asked.model, None, id(self)  # its query is its own, so it shares no batch

    def texts_to_count(self) -> list[str]:
        return [f"{self.asked.query} {text}" for text in self.asked.inputs]

    def engine_body(self, inputs: list[tuple[Any, int]]) -> bytes:
        documents = [self.asked.inputs[index] for _, index in inputs]
        return rerank.to_engine(self.asked.model, self.asked.query, documents)

    def read_response(self, body: bytes, count: int) -> tuple[dict[int, Any], embeddings.Usage]:
        found, usage = rerank.scores(body, count)
        return dict(found), usage

    def answer_body(self, results: list[Any]) -> bytes:
        answer_id = f"rerank-{self.request_id or id(self)}"
        return rerank.whole(answer_id, self.asked, results, round(self.engine_tokens))


class RequestReader:
    """Reads requests from exchanges.

    Args:
        classes: by path name and model.
        bounds: of a batch, by path name.
    """

    def __init__(
        self,
        classes: dict[tuple[str, str], VectorClass],
        bounds: dict[str, Bounds],
    ) -> None:
        self._classes, self._bounds = classes, bounds

    def read(self, exchange: Exchange, call: str, answer_margin_ms: float) -> VectorRequest:
        """`answer_margin_ms` is taken off the time left, for the answer's way back.

        Raises InvalidRequestError.
        """
        body = exchange.body()
        asked: embeddings.Asked | rerank.Asked
        asked = embeddings.asked(body) if call == EMBEDDINGS else rerank.asked(body)
        vector_class = self._class_of(call, asked.model)
        self._check_length(asked, vector_class.settings)
        arrived_at = clock.now()
        deadline = arrived_at + self._time_left_ms(exchange, vector_class.settings, answer_margin_ms)
        bounds = self._bounds[call]
        if isinstance(asked, embeddings.Asked):
            return EmbeddingRequest(exchange, vector_class, asked, arrived_at, deadline, bounds)
        return RerankRequest(exchange, vector_class, asked, arrived_at, deadline, bounds)

    def _class_of(self, call: str, model: str) -> VectorClass:
        known = self._classes.get((call, model))
        if known is None:
            raise errors.InvalidRequestError(
                f"the model {model[:MAX_QUOTED_CHARACTERS]!r} does not exist for {call}; GET /v1/models "
                "lists those that do",
                "model",
                "model_not_found",
                NOT_FOUND,
            )
        return known

    @staticmethod
    def _check_length(asked: embeddings.Asked | rerank.Asked, settings: RequestClass) -> None:
        longest = max(asked.costs)
        if longest > settings.most_prompt:
            raise errors.InvalidRequestError(
                f"an input has about {longest:.0f} tokens; {asked.model} takes "
                f"{settings.most_prompt} at most; shorten it",
                "input",
                "context_length_exceeded",
            )

    @staticmethod
    def _time_left_ms(exchange: Exchange, settings: RequestClass, answer_margin_ms: float) -> float:
        named = chat.figure(exchange.header(chat.TIME_LEFT), chat.TIME_LEFT)
        limit = settings.outer_limit if named is None else min(named, settings.outer_limit)
        return max(0.0, limit - answer_margin_ms)
