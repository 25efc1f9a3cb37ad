"""Embeddings and rerank requests of clients: parsing, token counts, engine requests and answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import xxhash

from ..admission.controller import AdmissionRequest
from ..api import chat, embeddings, errors, rerank
from ..batching.planner import BatchedRequest, BatchLimits
from ..net import clock
from ..net.server import Exchange
from ..settings.shared import RequestClass
from ..tokenization.service import Prompt

EMBEDDINGS, RERANK = "embeddings", "rerank"
PATHS = {embeddings.PATH: EMBEDDINGS, rerank.PATH: RERANK}
MAX_QUOTED_CHARACTERS = 100  # of the client's text in an error message
NOT_FOUND = 404


class RequestEnd(Enum):
    """How a request ended; the values are used in metrics and logs."""

    SERVED = "delivered"
    REJECTED = "deferred"
    ABORTED = "broken off"
    BAD_INPUT = "bad input"
    CLIENT_DISCONNECTED = "left"


@dataclass(frozen=True, slots=True)
class VectorClass:
    """A request class with its index in the admission controller and in its dispatcher."""

    settings: RequestClass
    admission_number: int
    dispatcher_number: int


class VectorRequest:
    """One client's request.

    `admission` represents it in the admission controller, and `batched` in the planner.
    """

    path = ""

    def __init__(
        self,
        exchange: Exchange,
        vector_class: VectorClass,
        client_request: embeddings.EmbeddingsRequest | rerank.RerankRequest,
        arrived_at: float,
        deadline: float,
        bounds: BatchLimits,
    ) -> None:
        self.exchange = exchange
        self.vector_class = vector_class
        self.client_request = client_request
        self.arrived_at = arrived_at
        self.admitted_at = arrived_at  # replaced when it is admitted
        self.request_id = exchange.header(chat.REQUEST_ID) or ""
        self.engine_tokens = 0.0  # the engines' count
        self.overdue_timer: Any = None
        self.prompt: Prompt | None = None  # while its tokens are counted
        self.is_planned = False
        self.end: RequestEnd | None = None
        cost = sum(client_request.costs)
        target_at = min(self._latency_target_at(cost), deadline)
        self.admission = self._admission_request(cost, target_at, deadline)
        self.batched = BatchedRequest(
            client_request.costs, self._batch_group(), bounds, arrived_at, target_at, deadline, self
        )

    def _latency_target_at(self, cost: float) -> float:
        settings = self.vector_class.settings
        return self.arrived_at + settings.promised_time + settings.promised_per_k * cost / 1000

    def _admission_request(self, cost: float, target_at: float, deadline: float) -> AdmissionRequest:
        exchange = self.exchange
        caller = self.client_request.user or exchange.header("authorization") or exchange.client_host()
        sender = f"{PATHS[self.path]}\0{caller}\0".encode("utf-8", "surrogatepass")
        retry_count = exchange.header(chat.CLIENT_RETRIES) or ""
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
        """The key of requests that may share a batch."""
        raise NotImplementedError

    def texts_to_count(self) -> list[str]:
        """The texts whose tokens are counted; empty if their lengths are known."""
        raise NotImplementedError

    @property
    def answer_headers(self) -> tuple[tuple[str, str], ...]:
        """The headers of the answer: the client's request id, if it sent one."""
        return ((chat.REQUEST_ID, self.request_id),) if self.request_id else ()

    def engine_body(self, inputs: list[tuple[Any, int]]) -> bytes:
        """The body of a batch with inputs of requests of the same group, given as (request, index)."""
        raise NotImplementedError

    def read_response(self, body: bytes, count: int) -> tuple[dict[int, Any], embeddings.Usage]:
        """The results by position in a batch of `count` inputs, and the usage.  Raises ValueError."""
        raise NotImplementedError

    def answer_body(self, results: list[Any]) -> bytes:
        """The body of the client's answer."""
        raise NotImplementedError


class EmbeddingRequest(VectorRequest):
    """A request for embeddings; requests of the same model and dimensions may share a batch."""

    path = embeddings.PATH
    client_request: embeddings.EmbeddingsRequest

    def _batch_group(self) -> tuple[Any, ...]:
        return EMBEDDINGS, self.client_request.model, self.client_request.dimensions, None

    def texts_to_count(self) -> list[str]:
        """The inputs that are texts; inputs of token ids have known lengths."""
        return [text for text in self.client_request.inputs if isinstance(text, str)]

    def engine_body(self, inputs: list[tuple[Any, int]]) -> bytes:
        """The embeddings request with these inputs."""
        values = [request.client_request.inputs[index] for request, index in inputs]
        return embeddings.to_engine(self.client_request.model, values, self.client_request.dimensions)

    def read_response(self, body: bytes, count: int) -> tuple[dict[int, Any], embeddings.Usage]:
        """The embeddings by position, and the usage."""
        embeddings_by_index, usage = embeddings.vectors(body, count)
        return dict(embeddings_by_index), usage

    def answer_body(self, results: list[Any]) -> bytes:
        """The embeddings answer in the encoding that the client asked for."""
        return embeddings.encode_response(
            self.client_request.model, self.client_request.encoding_format, results, round(self.engine_tokens)
        )


class RerankRequest(VectorRequest):
    """A request to rank documents; it shares no batch."""

    path = rerank.PATH
    client_request: rerank.RerankRequest

    def _batch_group(self) -> tuple[Any, ...]:
        return RERANK, self.client_request.model, None, id(self)  # a batch has one query

    def texts_to_count(self) -> list[str]:
        """Each document with the query."""
        return [f"{self.client_request.query} {text}" for text in self.client_request.inputs]

    def engine_body(self, inputs: list[tuple[Any, int]]) -> bytes:
        """The rerank request with these documents."""
        documents = [self.client_request.inputs[index] for _, index in inputs]
        return rerank.to_engine(self.client_request.model, self.client_request.query, documents)

    def read_response(self, body: bytes, count: int) -> tuple[dict[int, Any], embeddings.Usage]:
        """The relevance scores by position, and the usage."""
        scores_by_index, usage = rerank.scores(body, count)
        return dict(scores_by_index), usage

    def answer_body(self, results: list[Any]) -> bytes:
        """The rerank answer, sorted by relevance."""
        answer_id = f"rerank-{self.request_id or id(self)}"
        return rerank.encode_response(answer_id, self.client_request, results, round(self.engine_tokens))


class RequestReader:
    """Parses and checks requests.

    Args:
        classes: request classes by path name and model.
        bounds: limits of a batch by path name.
    """

    def __init__(
        self,
        classes: dict[tuple[str, str], VectorClass],
        bounds: dict[str, BatchLimits],
    ) -> None:
        self._classes, self._bounds = classes, bounds

    def read(self, exchange: Exchange, call: str, answer_margin_ms: float) -> VectorRequest:
        """Parses the request of an exchange.

        `answer_margin_ms` is subtracted from the time left, since the answer takes time back to the client.
        Raises InvalidRequestError.
        """
        body = exchange.body()
        client_request: embeddings.EmbeddingsRequest | rerank.RerankRequest
        client_request = embeddings.parse_request(body) if call == EMBEDDINGS else rerank.parse_request(body)
        vector_class = self._class_of(call, client_request.model)
        self._check_length(client_request, vector_class.settings)
        arrived_at = clock.now()
        deadline = arrived_at + self._time_left_ms(exchange, vector_class.settings, answer_margin_ms)
        bounds = self._bounds[call]
        if isinstance(client_request, embeddings.EmbeddingsRequest):
            return EmbeddingRequest(exchange, vector_class, client_request, arrived_at, deadline, bounds)
        return RerankRequest(exchange, vector_class, client_request, arrived_at, deadline, bounds)

    def _class_of(self, call: str, model: str) -> VectorClass:
        vector_class = self._classes.get((call, model))
        if vector_class is None:
            raise errors.InvalidRequestError(
                f"the model {model[:MAX_QUOTED_CHARACTERS]!r} does not exist for {call}; GET /v1/models "
                "lists those that do",
                "model",
                "model_not_found",
                NOT_FOUND,
            )
        return vector_class

    @staticmethod
    def _check_length(
        client_request: embeddings.EmbeddingsRequest | rerank.RerankRequest, settings: RequestClass
    ) -> None:
        max_input_tokens = max(client_request.costs)
        if max_input_tokens > settings.most_prompt:
            raise errors.InvalidRequestError(
                f"an input has about {max_input_tokens:.0f} tokens; {client_request.model} takes "
                f"{settings.most_prompt} at most; shorten it",
                "input",
                "context_length_exceeded",
            )

    @staticmethod
    def _time_left_ms(exchange: Exchange, settings: RequestClass, answer_margin_ms: float) -> float:
        client_limit_ms = chat.parse_number(exchange.header(chat.TIME_LEFT), chat.TIME_LEFT)
        limit_ms = (
            settings.outer_limit if client_limit_ms is None else min(client_limit_ms, settings.outer_limit)
        )
        return max(0.0, limit_ms - answer_margin_ms)
