"""Embeddings and rerank at a fake engine: results that a test can recompute, made one call at a time.

A vector is four numbers from the hash of model and input; a score comes from the hash of query and document.
Faults: `few` omits the last result, `many` repeats one, `shuffle` reverses the order of the results, and
`bad` rejects each call that has an input with the word BAD.
"""

from __future__ import annotations

import base64
import struct
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from ..api import embeddings, errors, rerank
from ..api import engine as calls
from ..net import clock
from ..net.server import Exchange

MAX_BACKLOG_MS = 1000.0  # a call that finds more is rejected as full


def vector(model: str, text: object, dimensions: int | None = None) -> list[float]:
    """The fake engine's vector for an input, exact in 32-bit floats."""
    seed = xxhash.xxh3_64_intdigest(f"{model}\0{text}".encode("utf-8", "surrogatepass"))
    return [((seed >> 8 * index) % 256) / 256 for index in range(min(dimensions or 4, 8))]


def score(query: str, document: str) -> float:
    """The fake engine's score for a document."""
    return xxhash.xxh3_64_intdigest(f"{query}\0{document}".encode("utf-8", "surrogatepass")) % 10_000 / 10_000


class Vectors:
    """The embeddings and rerank calls of one engine.

    `process` is the engine process; `end` writes the outcome of an attempt into its journal.
    """

    def __init__(self, process: Any, end: Callable[..., None]) -> None:
        self.process, self.note_end = process, end
        self.free_at_ms = 0.0
        self.tokens_made = 0.0  # tokens processed so far

    def handle(self, path: str, exchange: Exchange) -> None:
        """Answers a call once its work is done, or rejects it."""
        body, process = exchange.body(), self.process
        facts = process.journal_facts(exchange, path)
        process.journal.note("got", **facts)
        if process.model.record_arrival(clock.now(), 1.0):
            process.journal.note("fell", front=facts["front"])
            return process.fall()  # type: ignore[no-any-return]
        if "drain" in process.faults:
            return self._reject(exchange, facts, calls.DRAINING)
        try:
            request = (
                embeddings.parse_request(body) if path == embeddings.PATH else rerank.parse_request(body)
            )
        except errors.InvalidRequestError as error:
            self.note_end("bad", **facts)
            return exchange.answer(error.status, error.body)
        if "bad" in process.faults and any("BAD" in str(text) for text in request.inputs):
            self.note_end("bad", **facts)
            return exchange.answer(400, errors.error("an input is BAD", "invalid_request_error", "input"))
        fault = process.faults.get("fail_fast")
        if fault and process.random_source.random() < fault.share:
            self.note_end("error", **facts)
            return exchange.answer(500, errors.error("an injected fault", "server_error"))
        now = clock.now()
        if self.free_at_ms - now > MAX_BACKLOG_MS:
            return self._reject(exchange, facts, calls.FULL)
        tokens = sum(request.costs)
        speed = process.spec.read_speed * max(0.01, process.model.speed(now))
        self.free_at_ms = max(now, self.free_at_ms) + 1000 * tokens / speed
        state = {"gone": False}

        def disconnected() -> None:
            state["gone"] = True
            self.note_end("cut", **facts)

        def finish() -> None:
            if not state["gone"]:
                exchange.on_disconnect = None
                self.tokens_made += tokens
                self.note_end("done", made=1, **facts)
                exchange.answer(200, self._answer(request))

        exchange.on_disconnect = disconnected
        process.reactor.callLater((self.free_at_ms - now) / 1000, finish)

    def _reject(self, exchange: Exchange, facts: dict[str, Any], code: str) -> None:
        self.note_end(code, **facts)
        exchange.answer(429, errors.error(f"turned away: {code}", "rate_limit_error", code=code))

    def _answer(self, request: embeddings.EmbeddingsRequest | rerank.RerankRequest) -> bytes:
        tokens = round(sum(request.costs))
        usage, faults = embeddings.Usage(tokens, tokens), self.process.faults
        results: list[Any]
        if isinstance(request, embeddings.EmbeddingsRequest):
            results = []
            for index, text in enumerate(request.inputs):
                values = vector(request.model, text, request.dimensions)
                packed = base64.b64encode(struct.pack(f"<{len(values)}f", *values)).decode()
                results.append(embeddings.Vector(index, packed))
        else:
            results = [
                rerank.Score(index, score(request.query, text)) for index, text in enumerate(request.inputs)
            ]
        if "few" in faults:
            results = results[:-1]
        if "many" in faults:
            results.append(results[0])
        if "shuffle" in faults:
            results.reverse()
        if isinstance(request, embeddings.EmbeddingsRequest):
            return msgspec.json.encode(embeddings.Reply(results, request.model, usage))
        return msgspec.json.encode(rerank.Reply(results, "r", request.model, usage))
