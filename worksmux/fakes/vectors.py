"""Embeddings and rerank at an engine stand-in: results that anyone can check, made one call after the other.

A vector is four numbers drawn from the hash of model and input; a score is drawn from query and document.
Faults of its own: `few` leaves the last result out, `many` gives one twice, `shuffle` gives scores in another
order, `bad` refuses every call that holds an input with the word BAD.
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

MOST_WAIT = 1000.0  # milliseconds of work that may wait: more is answered full


def vector(model: str, one: object, dimensions: int | None = None) -> list[float]:
    """What the stand-in answers for an input, exact in 32 bits."""
    seed = xxhash.xxh3_64_intdigest(f"{model}\0{one}".encode("utf-8", "surrogatepass"))
    return [((seed >> 8 * at) % 256) / 256 for at in range(min(dimensions or 4, 8))]


def score(query: str, document: str) -> float:
    return xxhash.xxh3_64_intdigest(f"{query}\0{document}".encode("utf-8", "surrogatepass")) % 10_000 / 10_000


class Vectors:
    """`process` is the engine that this belongs to; `end` writes a trip's end into its journal."""

    def __init__(self, process: Any, end: Callable[..., None]) -> None:
        self.process, self.end = process, end
        self.free_at = 0.0
        self.tokens = 0.0  # made so far

    def take(self, path: str, exchange: Exchange) -> None:
        body, process = exchange.body(), self.process
        facts = process.facts(exchange, path)
        process.journal.note("got", **facts)
        if process.model.press(clock.now(), 1.0):
            process.journal.note("fell", front=facts["front"])
            return process.fall()  # type: ignore[no-any-return]
        if "drain" in process.faults:
            return self._refuse(exchange, facts, calls.DRAINING)
        try:
            asked = embeddings.parse_request(body) if path == embeddings.PATH else rerank.parse_request(body)
        except errors.InvalidRequestError as bad:
            self.end("bad", **facts)
            return exchange.answer(bad.status, bad.body)
        if "bad" in process.faults and any("BAD" in str(one) for one in asked.inputs):
            self.end("bad", **facts)
            return exchange.answer(400, errors.error("an input is BAD", "invalid_request_error", "input"))
        fault = process.faults.get("fail_fast")
        if fault and process.chance.random() < fault.share:
            self.end("error", **facts)
            return exchange.answer(500, errors.error("an injected fault", "server_error"))
        now = clock.now()
        if self.free_at - now > MOST_WAIT:
            return self._refuse(exchange, facts, calls.FULL)
        cost = sum(asked.costs)
        speed = process.spec.read_speed * max(0.01, process.model.speed(now))
        self.free_at = max(now, self.free_at) + 1000 * cost / speed
        over = {"gone": False}

        def gone() -> None:
            over["gone"] = True
            self.end("cut", **facts)

        def done() -> None:
            if not over["gone"]:
                exchange.on_disconnect = None
                self.tokens += cost
                self.end("done", made=1, **facts)
                exchange.answer(200, self._answer(asked))

        exchange.on_disconnect = gone
        process.reactor.callLater((self.free_at - now) / 1000, done)

    def _refuse(self, exchange: Exchange, facts: dict[str, Any], code: str) -> None:
        self.end(code, **facts)
        exchange.answer(429, errors.error(f"turned away: {code}", "rate_limit_error", code=code))

    def _answer(self, asked: embeddings.EmbeddingsRequest | rerank.RerankRequest) -> bytes:
        tokens = round(sum(asked.costs))
        usage, faults = embeddings.Usage(tokens, tokens), self.process.faults
        found: list[Any]
        if isinstance(asked, embeddings.EmbeddingsRequest):
            found = []
            for at, one in enumerate(asked.inputs):
                values = vector(asked.model, one, asked.dimensions)
                packed = base64.b64encode(struct.pack(f"<{len(values)}f", *values)).decode()
                found.append(embeddings.Vector(at, packed))
        else:
            found = [rerank.Score(at, score(asked.query, text)) for at, text in enumerate(asked.inputs)]
        if "few" in faults:
            found = found[:-1]
        if "many" in faults:
            found.append(found[0])
        if "shuffle" in faults:
            found.reverse()
        if isinstance(asked, embeddings.EmbeddingsRequest):
            return msgspec.json.encode(embeddings.Reply(found, asked.model, usage))
        return msgspec.json.encode(rerank.Reply(found, "r", asked.model, usage))
